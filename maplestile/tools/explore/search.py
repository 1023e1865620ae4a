"""The search: breadth first, each state reached anew by its events, so that what is found first is shortest.

A state counts as seen by its fingerprint. From each new state time is let pass in silence, too, and what has
to hold at rest is judged there."""

import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from maplestile.tools.explore import fingerprint, properties
from maplestile.tools.explore.cases import Case, Event, Example
from maplestile.tools.explore.world import SHIPPED, Parts, World


@dataclass(slots=True)
class Report:
    case: str
    visited: int = 0  # states that are told apart
    played: int = 0  # runs of an event, with what led to it
    depth: int = 0  # the longest list of events
    bound: int = 0  # no longer one was tried; 0 for none
    complete: bool = True  # nothing was cut off by the bounds on depth, states or time
    seconds: float = 0.0
    example: Example | None = None

    def told(self) -> dict[str, Any]:
        told = {name: getattr(self, name) for name in self.__slots__ if name != "example"}
        example = self.example
        found: dict[str, Any] | None = None
        if example is not None:
            events = [list(event) for event in example.events]
            found = {"property": example.property, "told": example.told, "events": events}
        return told | {"seconds": round(self.seconds, 2), "held": example is None, "counterexample": found}


@dataclass(slots=True)
class Outcome:
    problems: list[tuple[str, str]]
    digest: bytes = b""
    enabled: list[Event] = field(default_factory=list)


def play(case: Case, events: Sequence[Event], parts: Parts = SHIPPED, rest: bool = True) -> Outcome:
    """The events from the start; what is broken, then or once nothing more happens."""
    world = World(case, properties, parts)
    try:
        for event in events:
            world.play(event)
            properties.at_each(world)
            if world.problems:
                return Outcome(world.problems)
        found = Outcome(world.problems, fingerprint.digest(world), world.enabled())
        if rest:
            properties.at_rest(world)
    except Exception as fault:  # whatever it is: the program must not raise
        world.broken("no-crash", f"{type(fault).__name__}: {fault}")
        return Outcome(world.problems)
    return found


def explore(
    case: Case, depth: int = 0, states: int = 0, seconds: float = 0.0, parts: Parts = SHIPPED
) -> Report:
    """Until nothing new is found, a property is broken, or a bound is met (0 for none)."""
    began, report = time.monotonic(), Report(case.name, bound=depth)
    first = play(case, (), parts)
    seen, report.visited = {first.digest}, 1
    frontier: deque[tuple[tuple[Event, ...], list[Event]]] = deque([((), first.enabled)])
    if first.problems:
        report.example = shrunk(case, (), first.problems[0], parts)
    while frontier and report.example is None:
        prefix, enabled = frontier.popleft()
        late = seconds and time.monotonic() - began > seconds
        if depth and len(prefix) >= depth or states and report.visited >= states or late:
            report.complete = report.complete and not enabled
            continue
        for event in enabled:
            events = (*prefix, event)
            found = play(case, events, parts)
            report.played += 1
            if found.problems:
                report.example = shrunk(case, events, found.problems[0], parts)
                break
            if found.digest not in seen:
                seen.add(found.digest)
                report.visited += 1
                report.depth = max(report.depth, len(events))
                frontier.append((events, found.enabled))
    report.seconds = time.monotonic() - began
    return report


def shrunk(case: Case, events: Sequence[Event], problem: tuple[str, str], parts: Parts = SHIPPED) -> Example:
    """Without every event that the breaking of the same property does not need."""
    kept, name = list(events), problem[0]
    again = True
    while again:
        again = False
        for at in range(len(kept) - 1, -1, -1):
            fewer = kept[:at] + kept[at + 1 :]
            broken = play(case, fewer, parts).problems
            if any(one == name for one, _ in broken):
                kept, again = fewer, True
    told = next((what for one, what in play(case, kept, parts).problems if one == name), problem[1])
    return Example(case.name, name, tuple(kept), told)
