"""What the parts of a core share."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from maplestile.requests.timers import TimerQueue


@dataclass(slots=True, frozen=True)
class Runtime:
    """The time in Unix microseconds, the timers by it, and the counters."""

    clock: Callable[[], int]
    timers: TimerQueue
    counters: Counter[str]
