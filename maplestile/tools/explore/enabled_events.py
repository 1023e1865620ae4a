"""Which events may happen next in a simulation. Their order is part of the search's result."""

from collections.abc import Iterator, Sequence
from typing import Protocol

from maplestile.dispatch.api import WorkerState
from maplestile.requests.core import Core
from maplestile.tools.explore.cases import Case
from maplestile.tools.explore.connections import Link
from maplestile.tools.explore.events import ANSWERS, Event, EventKind
from maplestile.tools.explore.records import Client
from maplestile.tools.explore.simulated_workers import SimulatedWorkers
from maplestile.tools.explore.worker_lines import ANSWERED_KINDS


class SimulationState(Protocol):
    """What of a simulation's state decides on its next events."""

    case: Case
    core: Core
    now_us: int  # on the simulated clock
    clients: list[Client]
    links: list[Link]
    workers: SimulatedWorkers
    faults: int  # events of `Case.fault_events` that have happened
    steps: int  # of time that have passed
    stopped: bool  # the router's process drains


def enabled_events(simulation: SimulationState) -> list[Event]:
    """The events that may happen next, always in the same order."""
    case = simulation.case
    faults = case.fault_events if simulation.faults < case.max_faults else ()
    return [
        *_client_events(simulation, faults),
        *(event for link in simulation.links if link.open for event in _link_events(link, faults)),
        *_worker_events(simulation, faults),
        *_router_events(simulation, faults),
    ]


def _client_events(simulation: SimulationState, faults: Sequence[EventKind]) -> Iterator[Event]:
    has_ended = simulation.stopped and simulation.now_us >= simulation.core.exit_us
    if len(simulation.clients) < len(simulation.case.classes) and not has_ended:
        yield Event(EventKind.SUBMIT)
    for number, client in enumerate(simulation.clients):
        if not client.is_waiting():
            continue
        if EventKind.LEAVE in faults:
            yield Event(EventKind.LEAVE, (number,))
        if EventKind.AWAY in faults and not client.half_closed:
            yield Event(EventKind.AWAY, (number,))


def _link_events(link: Link, faults: Sequence[EventKind]) -> Iterator[Event]:
    if link.connection.socket is None:
        yield Event(EventKind.UP, (link.number,))
        if EventKind.REFUSE in faults:
            yield Event(EventKind.REFUSE, (link.number,))
        return
    yield from _answer_events(link, faults)
    if EventKind.RESET in faults:
        yield Event(EventKind.RESET, (link.number,))
    if link.unaccepted:
        yield Event(EventKind.DRAINED, (link.number,))
    elif EventKind.PART in faults and not link.accepts_part:
        yield Event(EventKind.PART, (link.number,))
    if EventKind.STRAY in faults:
        yield Event(EventKind.STRAY, (link.number,))


def _answer_events(link: Link, faults: Sequence[EventKind]) -> Iterator[Event]:
    for number, line in enumerate(link.lines):
        if line.command.kind not in ANSWERED_KINDS:
            continue
        if not line.answers:
            yield Event(EventKind.OK, (link.number, number))
            yield from (Event(answer, (link.number, number)) for answer in ANSWERS if answer in faults)
        elif line.answers == 1 and EventKind.AGAIN in faults:
            yield Event(EventKind.AGAIN, (link.number, number))


def _worker_events(simulation: SimulationState, faults: Sequence[EventKind]) -> Iterator[Event]:
    for number, state in enumerate(simulation.workers.states.values()):
        if state is WorkerState.RUNNING and EventKind.DRAIN in faults:
            yield Event(EventKind.DRAIN, (number,))
        if state is not WorkerState.GONE and EventKind.GONE in faults:
            yield Event(EventKind.GONE, (number,))
        if state is not WorkerState.RUNNING and EventKind.RETURN in faults:
            yield Event(EventKind.RETURN, (number,))


def _router_events(simulation: SimulationState, faults: Sequence[EventKind]) -> Iterator[Event]:
    if EventKind.POLICY in faults:
        yield Event(EventKind.POLICY)
    if EventKind.STOP in faults and not simulation.stopped:
        yield Event(EventKind.STOP)
    if simulation.steps < simulation.case.max_time_steps and simulation.clients:
        yield Event(EventKind.TIME)
