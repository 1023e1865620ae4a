"""Searches for violations breadth first, so that the first counterexample found is among the shortest.

Each state is reached by replaying its events from the start, and its fingerprint shows whether it is new.
After every replay, time also passes without events, to check the properties that must hold once everything
has ended.
"""

import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from maplestile.tools.explore import fingerprint, properties
from maplestile.tools.explore.cases import Case
from maplestile.tools.explore.events import Event
from maplestile.tools.explore.example_files import Example, encode_event
from maplestile.tools.explore.records import Violation
from maplestile.tools.explore.simulation import SHIPPED_COMPONENTS, Components, Simulation


@dataclass(slots=True)
class Report:
    """The result of exploring a case."""

    case: str
    visited: int = 0  # number of distinct states
    played: int = 0  # number of non-empty event lists tried
    depth: int = 0  # number of events in the longest list that led to a new state
    bound: int = 0  # maximum number of events in a list; 0 for no maximum
    complete: bool = True  # False if a bound on depth, states or time cut the search off
    seconds: float = 0.0  # duration of the search
    example: Example | None = None  # the counterexample; None if all properties held

    def as_json(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
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
    events = [encode_event(event) for event in example.events]
    return {"property": example.property, "told": example.detail, "events": events}


@dataclass(slots=True)
class PlayResult:
    """The result of playing a list of events."""

    violations: list[Violation]
    digest: bytes = b""  # fingerprint of the state after the events
    enabled: list[Event] = field(default_factory=list)  # events that may happen in that state


def play(
    case: Case, events: Sequence[Event], components: Components = SHIPPED_COMPONENTS, until_idle: bool = True
) -> PlayResult:
    """Play the events from the start, then, with `until_idle`, let time pass until everything has ended."""
    simulation = Simulation(case, properties, components)
    try:
        for event in events:
            simulation.play(event)
            properties.check_after_event(simulation)
            if simulation.violations:
                return PlayResult(simulation.violations)
        result = PlayResult(simulation.violations, fingerprint.digest(simulation), simulation.enabled())
        if until_idle:
            properties.check_when_idle(simulation)
    except Exception as error:  # any exception of the components violates a property
        simulation.record_violation("no-crash", f"{type(error).__name__}: {error}")
        return PlayResult(simulation.violations)
    return result


@dataclass(slots=True, frozen=True)
class _State:
    """A state that the search has found."""

    events: tuple[Event, ...]  # the events that lead to the state
    enabled: list[Event]  # the events that may happen next


class _Search:
    """The progress of one search."""

    def __init__(self, case: Case, components: Components, report: Report) -> None:
        self.case = case
        self.components = components
        self.report = report
        self.seen: set[bytes] = set()  # fingerprints of the states found
        self.frontier: deque[_State] = deque()  # states whose events are still to be played

    def visit(self, events: tuple[Event, ...]) -> None:
        """Play a list of events; add a new state to the frontier, or a violation to the report."""
        result = play(self.case, events, self.components)
        if result.violations:
            self.report.example = shrink(self.case, events, result.violations[0], self.components)
        elif result.digest not in self.seen:
            self.seen.add(result.digest)
            self.report.depth = max(self.report.depth, len(events))
            self.frontier.append(_State(events, result.enabled))

    def expand(self, state: _State) -> None:
        """Visit each state that one event leads to from a state, until the first violation."""
        for event in state.enabled:
            self.visit((*state.events, event))
            self.report.played += 1
            if self.report.example is not None:
                return


def explore(
    case: Case,
    depth: int = 0,
    states: int = 0,
    seconds: float = 0.0,
    components: Components = SHIPPED_COMPONENTS,
) -> Report:
    """Search until no state is new, a property is violated, or a bound is reached (0 for no bound)."""
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
    case: Case, events: Sequence[Event], violation: Violation, components: Components = SHIPPED_COMPONENTS
) -> Example:
    """Return an example without the events that are not needed to violate the same property."""
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
    """Return how the events violate the named property; None if they do not."""
    violations = play(case, events, components).violations
    return next((violation.detail for violation in violations if violation.property == name), None)
