"""When calls are made and to which function; free of I/O. Times are seconds from the start of the load.

The load is open: a call is made when it is due, whatever became of those before, so that a router that stalls
meets the calls that it would meet in production.
"""

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import islice

from maplestile.tools.traces import CallGroup, Trace


@dataclass(slots=True, frozen=True, order=True)
class Arrival:
    """One call that is due."""

    at_s: float
    function: str


def poisson(functions: Mapping[str, float], rate: float, seconds: float, seed: int) -> Iterator[Arrival]:
    """Plan `rate` calls a second over `functions`, by their weights; the same seed gives the same calls."""
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

    at_s: float  # in the trace's own time
    app: str
    function: str


@dataclass(slots=True)
class Recorder:
    """Records the calls of a trace as it is read (`Trace.on_calls`): the first `most` of them."""

    seed: int
    most: int
    calls: list[TracedCall] = field(default_factory=list)
    dropped: int = 0  # calls beyond `most`
    _random: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def record(self, group: CallGroup) -> None:
        """Record the calls of a group, at random times within its span."""
        for _ in range(group.count):
            if len(self.calls) >= self.most:
                self.dropped += 1
                continue
            at_s = group.start_s + self._random.random() * group.span_s
            self.calls.append(TracedCall(at_s, group.app, group.function))


def replay(recorder: Recorder, names: Mapping[tuple[str, str], str], speed: float) -> list[Arrival]:
    """Plan the trace's calls from its first on, `speed` times as fast, under the functions' names."""
    if not recorder.calls:
        return []
    first_s = min(call.at_s for call in recorder.calls)
    return sorted(
        Arrival((call.at_s - first_s) / speed, names[call.app, call.function]) for call in recorder.calls
    )


def names_of(trace: Trace, only: str = "") -> dict[tuple[str, str], str]:
    """The names of a trace's functions, by app and function.

    They are those of its function table (`traces --format functions`), or `only` for each if that is given.
    """
    return {(usage.app, usage.name): only or name for usage, name in trace.named()}


def bounded(arrivals: Iterable[Arrival], seconds: float, count: int) -> Iterator[Arrival]:
    """The first `count` arrivals, up to the first that is due after `seconds`."""
    for arrival in islice(arrivals, count):
        if arrival.at_s > seconds:
            return
        yield arrival
