"""Waits for a state of a process or a router that signals no event."""

import asyncio
from collections.abc import Awaitable, Callable

POLL_INTERVAL_S = 0.1


async def poll_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Return once the condition holds; it is checked at once, and then every POLL_INTERVAL_S."""
    while True:
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
