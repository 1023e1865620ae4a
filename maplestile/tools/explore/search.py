"""The search for violations: breadth first, so that the first one found is a shortest one.

Each state is reached anew by its events, and counts as seen by its fingerprint. From each new state time is
also let pass without events, to check what has to hold once everything has ended.
"""

import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from maplestile.tools.explore import fingerprint, properties
from maplestile.tools.explore.cases import Case
from maplestile.tools.explore.events import Event
from maplestile.tools.explore.example_files import Example, encode
from maplestile.tools.explore.records import Violation
from maplestile.tools.explore.simulation import SHIPPED, Components, Simulation


@dataclass(slots=True)
class Report:
    """The result of exploring a case."""

    case: str
    visited: int = 0  # distinct states
    played: int = 0  # runs of an event, with what led to it
    depth: int = 0  # events of the longest list
    bound: int = 0  # on that length; 0 for none
    complete: bool = True  # nothing was cut off by the bounds on depth, states or time
    seconds: float = 0.0
    example: Example | None = None

    def as_json(self) -> dict[str, Any]:
        """The report as a JSON object."""
        return {
            "case": self.case,
            "visited": self.visited,
            "played": self.played,
            "depth": self.depth,
            "bound": self.bound,
            "complete": self.complete,
            "seconds": round(self.seconds, 2),
            "held": self.example is None,
            "counterexample": None if self.example is None else _example_json(self.example),
        }


def _example_json(example: Example) -> dict[str, Any]:
    events = [encode(event) for event in example.events]
    return {"property": example.property, "told": example.detail, "events": events}


@dataclass(slots=True)
class PlayResult:
    """The outcome of a list of events."""

    problems: list[Violation]
    digest: bytes = b""  # of the state that they lead to
    enabled: list[Event] = field(default_factory=list)  # there


def play(
    case: Case, events: Sequence[Event], components: Components = SHIPPED, until_idle: bool = True
) -> PlayResult:
    """Play the events from the start, then (with `until_idle`) let time pass until nothing more happens."""
    simulation = Simulation(case, properties, components)
    try:
        for event in events:
            simulation.play(event)
            properties.check_after_event(simulation)
            if simulation.problems:
                return PlayResult(simulation.problems)
        result = PlayResult(simulation.problems, fingerprint.digest(simulation), simulation.enabled())
        if until_idle:
            properties.check_when_idle(simulation)
    except Exception as error:  # of any type: the components must not raise
        simulation.violate("no-crash", f"{type(error).__name__}: {error}")
        return PlayResult(simulation.problems)
    return result


@dataclass(slots=True, frozen=True)
class _State:
    """A state of the search."""

    events: tuple[Event, ...]  # that lead to it
    enabled: list[Event]  # that may follow


class _Search:
    """The state of one search."""

    def __init__(self, case: Case, components: Components, report: Report) -> None:
        self.case = case
        self.components = components
        self.report = report
        self.seen: set[bytes] = set()  # digests
        self.frontier: deque[_State] = deque()  # states whose events are still to be played

    def visit(self, events: tuple[Event, ...]) -> None:
        """Play a list of events; a new state is put into the frontier, a violation into the report."""
        result = play(self.case, events, self.components)
        if result.problems:
            self.report.example = shrink(self.case, events, result.problems[0], self.components)
        elif result.digest not in self.seen:
            self.seen.add(result.digest)
            self.report.depth = max(self.report.depth, len(events))
            self.frontier.append(_State(events, result.enabled))

    def expand(self, state: _State) -> None:
        """Visit the states that follow a state, up to the first violation."""
        for event in state.enabled:
            self.visit((*state.events, event))
            self.report.played += 1
            if self.report.example is not None:
                return


def explore(
    case: Case, depth: int = 0, states: int = 0, seconds: float = 0.0, components: Components = SHIPPED
) -> Report:
    """Search until nothing new is found, a property is violated, or a bound is met (0 for none)."""
    started_s = time.monotonic()
    report = Report(case.name, bound=depth)
    search = _Search(case, components, report)
    search.visit(())
    while search.frontier and report.example is None:
        state = search.frontier.popleft()
        too_deep = depth > 0 and len(state.events) >= depth
        too_many = states > 0 and len(search.seen) >= states
        too_late = seconds > 0 and time.monotonic() - started_s > seconds
        if too_deep or too_many or too_late:
            report.complete = report.complete and not state.enabled
        else:
            search.expand(state)
    report.visited = max(1, len(search.seen))
    report.seconds = time.monotonic() - started_s
    return report


def shrink(
    case: Case, events: Sequence[Event], violation: Violation, components: Components = SHIPPED
) -> Example:
    """Make an example without any event that the violation of the same property does not need."""
    name = violation.property
    kept = list(events)
    has_shrunk = True
    while has_shrunk:
        has_shrunk = False
        for index in range(len(kept) - 1, -1, -1):
            fewer = kept[:index] + kept[index + 1 :]
            if _violation_detail(case, fewer, name, components) is not None:
                kept = fewer
                has_shrunk = True
    detail = _violation_detail(case, kept, name, components)
    return Example(case.name, name, tuple(kept), violation.detail if detail is None else detail)


def _violation_detail(case: Case, events: Sequence[Event], name: str, components: Components) -> str | None:
    """How the events violate the property of this name; None where they do not."""
    problems = play(case, events, components).problems
    return next((problem.detail for problem in problems if problem.property == name), None)
