"""Bounded waits that never lose a cancellation.

`asyncio.wait_for` of Python 3.11 returns a result in place of raising `CancelledError` where the task is
cancelled while what it waits for is done already. A loop around it then goes on, and a caller that awaits the
task's end hangs.
"""

import asyncio


async def wait_until_set(event: asyncio.Event, timeout_s: float) -> bool:
    """Return whether the event was set in time. A cancellation is always raised, also if the event is set."""
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return False
