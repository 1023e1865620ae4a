"""The clock, timers and counters that the components of a core share."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from maplestile.requests.timers import TimerQueue


@dataclass(slots=True, frozen=True)
class Runtime:
    """A clock that gives microseconds, the timers that run by it, and the counters."""

    clock: Callable[[], int]
    timers: TimerQueue
    counters: Counter[str]
