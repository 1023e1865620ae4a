"""Plans of when calls are made and to which functions; times are seconds from the start of a run.

This module does no I/O.

The load is open-loop: each call is made when it is due, whether or not earlier calls have ended, so that a
router that stalls receives the calls that it would receive in production.
"""

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import islice

from maplestile.tools.traces import CallGroup, Trace


@dataclass(slots=True, frozen=True, order=True)
class Arrival:
    """One planned call."""

    at_s: float
    function: str


def poisson(functions: Mapping[str, float], rate: float, seconds: float, seed: int) -> Iterator[Arrival]:
    """Plan a Poisson process of `rate` calls per second, and choose the function of each call by weight.

    The same seed gives the same calls.
    """
    generator = random.Random(seed)
    names = list(functions)
    weights = list(functions.values())
    at_s = generator.expovariate(rate)
    while at_s < seconds:
        yield Arrival(at_s, generator.choices(names, weights)[0])
        at_s += generator.expovariate(rate)


@dataclass(slots=True, frozen=True)
class TracedCall:
    """One call of a trace."""

    at_s: float  # on the clock of the trace
    app: str
    function: str


@dataclass(slots=True)
class Recorder:
    """Records the first `max_calls` calls of a trace; `record` serves as the trace's `on_calls`."""

    seed: int
    max_calls: int
    calls: list[TracedCall] = field(default_factory=list)
    dropped: int = 0  # calls beyond `max_calls`
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def record(self, group: CallGroup) -> None:
        """Record the calls of a group, at random times within its span."""
        for _ in range(group.count):
            if len(self.calls) >= self.max_calls:
                self.dropped += 1
                continue
            at_s = group.start_s + self._random.random() * group.span_s
            self.calls.append(TracedCall(at_s, group.app, group.function))


def replay(recorder: Recorder, names: Mapping[tuple[str, str], str], speed: float) -> list[Arrival]:
    """Plan the recorded calls at `speed` times the speed of the trace, starting with the first call.

    `names` maps each app and function to the name under which the function is called.
    """
    if not recorder.calls:
        return []
    first_s = min(call.at_s for call in recorder.calls)
    return sorted(
        Arrival((call.at_s - first_s) / speed, names[call.app, call.function]) for call in recorder.calls
    )


def called_names(trace: Trace, only_function: str = "") -> dict[tuple[str, str], str]:
    """Return the names under which a trace's functions are called, by app and function.

    They are the names of `traces --format functions`, or `only_function` for all if it is given.
    """
    return {(usage.app, usage.name): only_function or name for usage, name in trace.named()}


def bounded(arrivals: Iterable[Arrival], seconds: float, count: int) -> Iterator[Arrival]:
    """Yield at most `count` arrivals, and stop at the first that is due after `seconds`."""
    for arrival in islice(arrivals, count):
        if arrival.at_s > seconds:
            return
        yield arrival
