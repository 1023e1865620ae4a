"""Waiting in a coroutine for what must come; `standins.eventually` does it in a thread."""

import asyncio
from collections.abc import Callable

POLL_S = 0.01


async def wait_until(condition: Callable[[], bool], patience_s: float) -> None:
    """Wait for a condition, or raise `TimeoutError` once the patience is over."""
    async with asyncio.timeout(patience_s):
        while not condition():
            await asyncio.sleep(POLL_S)
