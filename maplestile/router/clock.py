"""Reads the clock of a router process, and polls for conditions that no event signals.

All times of a process (deadlines, windows, graces, idle times) are on this clock. It shows the Unix time at
the start of the process plus the time that has passed since then by the monotonic clock, so steps of the wall
clock do not change it. Only the start times of workers, which other machines give in Unix time, are compared
with it.
"""

import asyncio
import time
from collections.abc import Callable

POLL_S = 0.02  # how often to check a condition
NS_PER_US = 1000
# Unix time less monotonic time at the start of the process.
_START_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def clock() -> int:
    """Return the time in microseconds; differences are spans of real time."""
    return (_START_OFFSET_NS + time.monotonic_ns()) // NS_PER_US


async def poll_until(condition: Callable[[], bool]) -> None:
    """Return once the condition holds; check it every `POLL_S`."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_S)
