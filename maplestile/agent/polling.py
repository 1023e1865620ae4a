"""Waiting by polling, for conditions on a process or a router that send no notification."""

import asyncio
from collections.abc import Awaitable, Callable

POLL_INTERVAL_S = 0.1


async def poll_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until the condition holds; it is checked at once and then every POLL_INTERVAL_S."""
    while True:
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
