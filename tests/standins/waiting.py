"""Waits with a timeout for a condition that a test expects to become true."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

PATIENCE_S = 20.0  # how long a test waits for an expected event; not a requirement on the program's speed
THREAD_POLL_S = 0.01  # how often a blocking wait checks its condition
LOOP_POLL_S = 0.005  # how often a wait on the event loop checks its condition


def eventually(condition: Callable[[], Any], what: str = "it", patience_s: float = PATIENCE_S) -> Any:
    """Call `condition` until its result is true, and return the result.

    Raises `AssertionError`, which names `what`, if this takes longer than `patience_s`.
    """
    end_s = time.monotonic() + patience_s
    while not (result := condition()):
        if time.monotonic() > end_s:
            raise AssertionError(f"timed out waiting for {what}")
        time.sleep(THREAD_POLL_S)
    return result


async def wait_until(condition: Callable[[], Any], timeout_s: float = PATIENCE_S) -> None:
    """Wait on the event loop until the condition holds; raise `TimeoutError` after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(LOOP_POLL_S)
