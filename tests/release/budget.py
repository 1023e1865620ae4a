"""Compares what a cold runner got with what the settings allow it in each overload window."""

import math
from dataclasses import dataclass

from tests.release.workers import Capacity

OVERLOAD_MULTIPLE = 4.0
WINDOW_S = 2.0
FEW_CALLS = 30  # below this many, the allowance for chance is larger


@dataclass(frozen=True)
class FullestWindow:
    """The window in which a runner got most, measured by what it was allowed."""

    worker: str
    age_s: float  # age of the runner at the end of the window
    calls: int
    allowed: float

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


def fullest_window(
    worker: str, capacity: Capacity, started_s: float, received_s: list[float]
) -> FullestWindow:
    """Return the fullest window of a runner from its start on; the age is that at the end of the window."""
    fullest = FullestWindow(worker, 0.0, 0, 1.0)
    first = 0
    for last, at_s in enumerate(received_s):
        while received_s[first] <= at_s - WINDOW_S:
            first += 1
        age_s = at_s - started_s
        window = FullestWindow(worker, age_s, last - first + 1, allowed_calls(capacity, age_s))
        fullest = max(fullest, window, key=lambda candidate: candidate.fullness)
    return fullest
