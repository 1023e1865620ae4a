"""Lists the events that may happen next in a simulation.

The search tries events in this order, so the order affects which counterexample it reports.
"""

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
    """The parts of a simulation's state that determine which events may happen next."""

    case: Case
    core: Core
    now_us: int  # simulated time
    clients: list[Client]
    links: list[Link]
    workers: SimulatedWorkers
    fault_count: int  # number of events so far that `Case.fault_events` lists
    time_steps: int  # number of `time` events so far
    stopped: bool  # the router process has been told to stop and is draining


def enabled_events(simulation: SimulationState) -> list[Event]:
    """Return the events that may happen next, in a fixed order."""
    case = simulation.case
    faults = case.fault_events if simulation.fault_count < case.max_faults else ()
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
    if simulation.time_steps < simulation.case.max_time_steps and simulation.clients:
        yield Event(EventKind.TIME)
