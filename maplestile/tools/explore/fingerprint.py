"""Computes the fingerprint of a simulation's state; states with equal fingerprints react alike to all events.

The fingerprint is a digest of the state in normal form (`normal_form.py`). A timer is represented by what its
callback would do; a timer whose callback would do nothing is left out.
"""

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.dispatch.state import Attempt, Call
from maplestile.requests.core import Core
from maplestile.tools.explore.connections import Link
from maplestile.tools.explore.normal_form import NormalForm
from maplestile.tools.explore.simulation import Simulation

DIGEST_BYTES = 12  # collisions among millions of states are very unlikely
# Captured variables of a timer's callback that do not affect what it does.
IGNORED_VARIABLES = frozenset(("self", "ended"))

Action = Callable[[], object]  # the callback of a timer


def digest(simulation: Simulation) -> bytes:
    """Return the fingerprint of a simulation's state."""
    state = _normalize_state(simulation, NormalForm(simulation))
    return hashlib.blake2b(repr(state).encode(), digest_size=DIGEST_BYTES).digest()


def _normalize_state(simulation: Simulation, form: NormalForm) -> tuple[Any, ...]:
    """Return the whole state: the components under test, their environment, and the event counts."""
    return (
        form.record(simulation.core.requests),
        form.record(simulation.core.attempts),
        form.record(simulation.core.control),
        form.record(simulation.core.intake),
        _normalize_dispatcher(simulation.core.dispatcher, form),
        form.record(simulation.pool),
        [_normalize_link(link, form) for link in simulation.links if link.open],
        *_normalize_environment(simulation, form),
        _normalize_timers(simulation.core, form),
        simulation.fault_count,
        simulation.time_steps,
        simulation.stopped,
        simulation.epoch,
        len(simulation.violations),
        [client.epoch for client in simulation.clients],
    )


def _normalize_dispatcher(dispatcher: Dispatcher, form: NormalForm) -> list[Any]:
    """Return the state of each component; references to other components appear as type names."""
    return [(name, form.record(component)) for name, component in sorted(vars(dispatcher).items())]


def _normalize_link(link: Link, form: NormalForm) -> Any:
    """Return a connection to a worker: the lines in flight on it and the state of both ends."""
    lines = [(line.command.kind.value, line.command.tag, line.answers) for line in link.lines]
    connection = form.connection(link.connection)
    return link.number, form.value(link.worker), link.accepts_part, link.unaccepted, lines, connection


def _normalize_environment(simulation: Simulation, form: NormalForm) -> tuple[Any, ...]:
    """Return the clients, the workers of the endpoint list, and the calls that workers have received."""
    clients = [
        (
            client.class_name,
            form.value(client.due_us),
            len(client.outcomes),
            client.withdrawn,
            client.half_closed,
        )
        for client in simulation.clients
    ]
    unavailable = [
        (form.value(name), form.value(since_us))
        for name, since_us in sorted(simulation.workers.unavailable_since_us.items())
    ]
    workers = [(form.value(name), state.value) for name, state in sorted(simulation.workers.states.items())]
    arrivals = [
        (line.command.tag, form.value(line.link.worker), line.never_ran, form.value(line.received_us))
        for line in sorted(simulation.arrivals, key=lambda line: line.command.tag)
    ]
    return clients, unavailable, workers, arrivals


# Timers. A callback is identified by its qualified name and the variables that it captures.


def _normalize_timers(core: Core, form: NormalForm) -> list[Any]:
    """Return the due time and effect of each timer that would do something."""
    tick_us = core.settings.tick_us
    timers = [
        (form.value(tick * tick_us), effect)
        for tick, actions in core.timers.items()
        for action in actions
        if (effect := _normalize_effect(action, core, form)) is not None
    ]
    return sorted(timers, key=repr)


@dataclass(slots=True, frozen=True)
class _Callback:
    """A timer's callback: the qualified name of the function and the variables that it captures."""

    name: str
    variables: Mapping[str, Any]

    def is_obsolete(self, core: Core) -> bool:
        """Return whether the call, attempt or request that the timer was set for has already ended."""
        if any(_has_ended(value) for value in self.variables.values()):
            return True
        if self.name.startswith("RequestIntake.submit"):
            return self.variables.get("call") not in core.open
        if self.name.startswith("AttemptTable.send"):
            return self.variables.get("attempt") not in core.in_flight
        if self.name.startswith("ControlRequests._register"):
            return self.variables.get("tag") not in core.control_requests
        return False

    def normal_form(self, form: NormalForm) -> Any:
        """Return the name and the variables that affect what the callback does."""
        relevant = [(key, value) for key, value in self.variables.items() if key not in IGNORED_VARIABLES]
        return self.name, sorted((key, form.value(value)) for key, value in relevant)


def _describe_callback(action: Action) -> _Callback:
    code = getattr(action, "__code__", None)
    closure = getattr(action, "__closure__", None)
    if code is None or closure is None:
        return _Callback(action.__qualname__, {})
    contents = (cell.cell_contents for cell in closure)
    return _Callback(action.__qualname__, dict(zip(code.co_freevars, contents, strict=True)))


def _normalize_effect(action: Action, core: Core, form: NormalForm) -> Any:
    """Return the normal form of what a timer would do; None if it would do nothing."""
    callback = _describe_callback(action)
    if "token" in callback.variables:  # the dispatcher set the timer, and keeps the callback under this token
        inner = core.dispatcher.context.timers.get(callback.variables["token"])
        return None if inner is None else _normalize_effect(inner, core, form)
    return None if callback.is_obsolete(core) else callback.normal_form(form)


def _has_ended(value: object) -> bool:
    match value:
        case Call():
            return not value.open
        case Attempt():
            return value.result is not None
    return False
