"""Time in a router process: its clock, and waits for conditions that have no event."""

import asyncio
import time
from collections.abc import Callable

POLL_S = 0.02


def clock() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


async def poll_until(condition: Callable[[], bool]) -> None:
    """Return once the condition holds; it is checked every `POLL_S`."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_S)
