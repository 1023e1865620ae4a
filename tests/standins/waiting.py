"""Bounded waits for what a test expects to happen."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

PATIENCE_S = 20.0  # how long a test waits for an expected event; never a measure of speed
THREAD_POLL_S = 0.01
LOOP_POLL_S = 0.005


def eventually(condition: Callable[[], Any], what: str = "it", patience_s: float = PATIENCE_S) -> Any:
    """Call `condition` until its result is true, and return that; `AssertionError` after the time."""
    end_s = time.monotonic() + patience_s
    while not (result := condition()):
        if time.monotonic() > end_s:
            raise AssertionError(f"waited in vain for {what}")
        time.sleep(THREAD_POLL_S)
    return result


async def wait_until(condition: Callable[[], Any], timeout_s: float = PATIENCE_S) -> None:
    """Wait on the event loop until the condition holds; `TimeoutError` after the time."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(LOOP_POLL_S)
