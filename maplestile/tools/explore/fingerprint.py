"""The fingerprint of a simulation's state: whatever events follow, equal ones go on alike.

It is a digest of the state in its normal form (`normal_form.py`). Timers appear by what they would do; those
that would do nothing are left out.
"""

import hashlib
from collections.abc import Callable
from typing import Any

from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.dispatch.state import Attempt, Call
from maplestile.requests.core import Core
from maplestile.tools.explore.connections import Link
from maplestile.tools.explore.normal_form import NormalForm
from maplestile.tools.explore.simulation import Simulation

DIGEST_BYTES = 12  # enough for no collision among some millions of states
# Variables of a timer's callback that do not change what it does.
IGNORED_VARIABLES = frozenset(("self", "ended"))

Action = Callable[[], object]  # what a timer runs


def digest(simulation: Simulation) -> bytes:
    """The fingerprint of a simulation's state."""
    state = _state(simulation, NormalForm(simulation))
    return hashlib.blake2b(repr(state).encode(), digest_size=DIGEST_BYTES).digest()


def _state(simulation: Simulation, form: NormalForm) -> tuple[Any, ...]:
    """The whole state: the components under test, their environment, and the bounds used up."""
    return (
        form.record(simulation.core.requests),
        form.record(simulation.core.attempts),
        form.record(simulation.core.control),
        form.record(simulation.core.intake),
        _dispatcher(simulation.core.dispatcher, form),
        form.record(simulation.pool),
        [_link(link, form) for link in simulation.links if link.open],
        *_environment(simulation, form),
        _timers(simulation.core, form),
        simulation.faults,
        simulation.steps,
        simulation.stopped,
        simulation.epoch,
        len(simulation.problems),
        [client.epoch for client in simulation.clients],
    )


def _dispatcher(dispatcher: Dispatcher, form: NormalForm) -> list[Any]:
    """Each part by its own state; a part's references to others appear as their types' names."""
    return [(name, form.record(part)) for name, part in sorted(vars(dispatcher).items())]


def _link(link: Link, form: NormalForm) -> Any:
    """One connection to a worker: what is in flight on it, and the state of both ends."""
    lines = [(line.kind, line.call, line.answers) for line in link.lines]
    connection = form.connection(link.connection)
    return link.number, form.value(link.worker), link.accepts_part, link.unaccepted, lines, connection


def _environment(simulation: Simulation, form: NormalForm) -> tuple[Any, ...]:
    """The clients, the workers by the endpoint list, and the calls that workers have received."""
    clients = [
        (client.class_name, form.value(client.due_us), len(client.outcomes), client.left, client.away)
        for client in simulation.clients
    ]
    unavailable = [
        (form.value(name), form.value(since_us))
        for name, since_us in sorted(simulation.workers.unavailable_since_us.items())
    ]
    workers = [(form.value(name), state.value) for name, state in sorted(simulation.workers.states.items())]
    arrivals = [
        (line.call, form.value(line.link.worker), line.never_ran, form.value(line.at_us))
        for line in sorted(simulation.arrivals, key=lambda line: str(line.call))
    ]
    return clients, unavailable, workers, arrivals


# Timers. A callback is known by the function of the core that makes it, and by the variables that it holds.


def _timers(core: Core, form: NormalForm) -> list[Any]:
    """The timers that would do something, with their due times."""
    tick_us = core.settings.tick_us
    timers = [
        (form.value(tick * tick_us), effect)
        for tick, actions in core.timers.items()
        for action in actions
        if (effect := _effect(action, core, form)) is not None
    ]
    return sorted(timers, key=repr)


def _effect(action: Action, core: Core, form: NormalForm) -> Any:
    """What a timer would do: its function and variables; None if nothing."""
    variables = _variables(action)
    if "token" in variables:  # a timer of the dispatcher
        inner = core.dispatcher.context.timers.get(variables["token"])
        return None if inner is None else _effect(inner, core, form)
    name = action.__qualname__
    if _is_over(name, variables, core):
        return None
    kept = [(key, form.value(value)) for key, value in variables.items() if key not in IGNORED_VARIABLES]
    return name, sorted(kept)


def _is_over(name: str, variables: dict[str, Any], core: Core) -> bool:
    """Whether what a timer was set for has ended already."""
    if any(_has_ended(value) for value in variables.values()):
        return True
    if name.startswith("RequestIntake.submit"):
        return variables.get("call") not in core.open
    if name.startswith("AttemptTable.send"):
        return variables.get("attempt") not in core.flights
    if name.startswith("ControlRequests._start"):
        return variables.get("tag") not in core.control_requests
    return False


def _has_ended(value: object) -> bool:
    match value:
        case Call():
            return not value.open
        case Attempt():
            return value.result is not None
    return False


def _variables(action: Action) -> dict[str, Any]:
    """The variables that a callback holds from the function that made it, by name."""
    code, closure = getattr(action, "__code__", None), getattr(action, "__closure__", None)
    if code is None or closure is None:
        return {}
    return dict(zip(code.co_freevars, (cell.cell_contents for cell in closure), strict=True))
