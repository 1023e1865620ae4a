"""Compares what a cold runner got with what the settings allow it in each overload window."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from tests.release.workers import Capacity

OVERLOAD_MULTIPLE = 4.0
WINDOW_S = 2.0
FEW_CALLS = 30  # below this many, the allowance for chance is larger
TOLD_SHARE = 2 / 3  # of the calls of a fall that breaks the rule, more than this came from routers that knew


@dataclass(frozen=True)
class FullestWindow:
    """The window in which a runner got most, measured by what it was allowed."""

    worker: str
    age_s: float  # age of the runner at the end of the window
    calls: int
    allowed: float
    told: int  # calls that came after all routers had been told of the start

    @property
    def fullness(self) -> float:
        """What the runner got, as a fraction of what it was allowed."""
        return self.calls / self.allowed

    def __str__(self) -> str:
        return (
            f"{self.worker} got {self.calls} of {self.allowed:.0f} in the window up to age {self.age_s:.1f} s"
        )


def allowed_calls(capacity: Capacity, age_s: float) -> float:
    """Return how many calls a runner of this age may get in a window, with the allowance for chance."""
    calls = OVERLOAD_MULTIPLE * capacity.share(age_s) * capacity.calls_per_s * WINDOW_S
    slack = 3 * math.sqrt(calls) + 3 if calls < FEW_CALLS else 2 * math.sqrt(calls) + 2
    return calls + slack


@dataclass(frozen=True)
class ReceivedCalls:
    """The times at which one process of a runner got calls and loads, on the monotonic clock."""

    worker: str
    capacity: Capacity
    started_s: float
    told_s: float  # when all routers had been told of the start
    received_s: list[float]

    def windows(self) -> Iterator[FullestWindow]:
        """Yield the overload window that ends with each call."""
        first = 0
        for last, at_s in enumerate(self.received_s):
            while self.received_s[first] <= at_s - WINDOW_S:
                first += 1
            told = sum(other_s > self.told_s for other_s in self.received_s[first : last + 1])
            age_s = at_s - self.started_s
            allowed = allowed_calls(self.capacity, age_s)
            yield FullestWindow(self.worker, age_s, last - first + 1, allowed, told)

    def fullest_window(self) -> FullestWindow:
        """Return the fullest window up to the first fall, after which a runner gets nothing more.

        A window counts if over two thirds of its calls came after all routers had been told; another fall
        breaks no rule.
        """
        fullest = FullestWindow(self.worker, 0.0, 0, 1.0, 0)
        for window in self.windows():
            if window.told > TOLD_SHARE * window.calls:
                fullest = max(fullest, window, key=lambda candidate: candidate.fullness)
            if window.fullness > 1:
                break
        return fullest
