"""Which events may happen next in a simulation. Their order is part of the search's result."""

from collections.abc import Iterator, Sequence
from typing import Protocol

from maplestile.dispatch.api import WorkerState
from maplestile.requests.core import Core
from maplestile.tools.explore.cases import ANSWERS, Case, Event
from maplestile.tools.explore.connections import Link
from maplestile.tools.explore.records import Client

ANSWERED_KINDS = ("CALL", "LOAD", "STATS")  # messages that a worker answers


class SimulationState(Protocol):
    """What of a simulation's state decides on its next events."""

    case: Case
    core: Core
    now: int  # the simulated clock, in microseconds
    clients: list[Client]
    links: list[Link]
    state: dict[str, WorkerState]  # by worker
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


def _client_events(simulation: SimulationState, faults: Sequence[str]) -> Iterator[Event]:
    has_ended = simulation.stopped and simulation.now >= simulation.core.leave_us
    if len(simulation.clients) < len(simulation.case.classes) and not has_ended:
        yield ("submit",)
    for number, client in enumerate(simulation.clients):
        if not client.is_waiting():
            continue
        if "leave" in faults:
            yield "leave", number
        if "away" in faults and not client.away:
            yield "away", number


def _link_events(link: Link, faults: Sequence[str]) -> Iterator[Event]:
    if link.connection.socket is None:
        yield "up", link.number
        if "refuse" in faults:
            yield "refuse", link.number
        return
    yield from _answer_events(link, faults)
    if "reset" in faults:
        yield "reset", link.number
    if link.held:
        yield "drained", link.number
    elif "part" in faults and not link.part:
        yield "part", link.number
    if "stray" in faults:
        yield "stray", link.number


def _answer_events(link: Link, faults: Sequence[str]) -> Iterator[Event]:
    for number, line in enumerate(link.lines):
        if line.kind not in ANSWERED_KINDS:
            continue
        if not line.answers:
            yield "ok", link.number, number
            yield from ((answer, link.number, number) for answer in ANSWERS if answer in faults)
        elif line.answers == 1 and "again" in faults:
            yield "again", link.number, number


def _worker_events(simulation: SimulationState, faults: Sequence[str]) -> Iterator[Event]:
    for number, state in enumerate(simulation.state.values()):
        if state is WorkerState.RUNNING and "drain" in faults:
            yield "drain", number
        if state is not WorkerState.GONE and "gone" in faults:
            yield "gone", number
        if state is not WorkerState.RUNNING and "return" in faults:
            yield "return", number


def _router_events(simulation: SimulationState, faults: Sequence[str]) -> Iterator[Event]:
    if "policy" in faults:
        yield ("policy",)
    if "stop" in faults and not simulation.stopped:
        yield ("stop",)
    if simulation.steps < simulation.case.max_time_steps and simulation.clients:
        yield ("time",)
