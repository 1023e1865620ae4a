"""Reads the clock of a router process, and polls for conditions that no event signals."""

import asyncio
import time
from collections.abc import Callable

POLL_S = 0.02  # how often to check a condition


def clock() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


async def poll_until(condition: Callable[[], bool]) -> None:
    """Return once the condition holds; check it every `POLL_S`."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_S)
