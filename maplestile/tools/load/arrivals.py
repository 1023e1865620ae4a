"""When calls are made and to which function; free of I/O. Times are seconds from the start of the load.

The load is open: a call is made when it is due, whatever became of those before, so that a router that stalls
meets the calls it would meet in life."""

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from maplestile.tools.traces import Trace


@dataclass(slots=True, frozen=True, order=True)
class Arrival:
    at_s: float
    function: str


def poisson(functions: Mapping[str, float], rate: float, seconds: float, seed: int) -> Iterator[Arrival]:
    """`rate` calls a second over `functions`, by their weights; the same seed gives the same calls."""
    chance = random.Random(seed)
    names, weights = list(functions), list(functions.values())
    at_s = chance.expovariate(rate)
    while at_s < seconds:
        yield Arrival(at_s, chance.choices(names, weights)[0])
        at_s += chance.expovariate(rate)


@dataclass(slots=True)
class Recorder:
    """Keeps the calls of a trace as it is read (`Trace.keep`); at most `most`, the first that are told."""

    seed: int
    most: int
    calls: list[tuple[float, str, str]] = field(default_factory=list)
    dropped: int = 0
    chance: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)

    def keep(self, app: str, function: str, began_s: float, span_s: float, count: int) -> None:
        """`count` calls within a span; where in it the trace does not tell, so by chance."""
        for _ in range(count):
            if len(self.calls) >= self.most:
                self.dropped += 1
                continue
            self.calls.append((began_s + self.chance.random() * span_s, app, function))


def replay(recorder: Recorder, names: Mapping[tuple[str, str], str], speed: float) -> list[Arrival]:
    """The trace's calls from its first on, `speed` times as fast, under the functions' names."""
    if not recorder.calls:
        return []
    first_s = min(call[0] for call in recorder.calls)
    return sorted(Arrival((at_s - first_s) / speed, names[app, func]) for at_s, app, func in recorder.calls)


def names_of(trace: Trace, only: str = "") -> dict[tuple[str, str], str]:
    """The name of each function of a trace in a function table (`traces --format functions`), or `only`."""
    return {(u.app, u.name): only or name for u, name in trace.named()}


def bounded(arrivals: Iterable[Arrival], seconds: float, count: int) -> Iterator[Arrival]:
    for number, arrival in enumerate(arrivals):
        if number >= count or arrival.at_s > seconds:
            return
        yield arrival
