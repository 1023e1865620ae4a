"""Waits with a timeout that never lose a cancellation.

In Python 3.11, `asyncio.wait_for` returns the result instead of raising `CancelledError` if the task is
cancelled when the awaited object is already done. A loop around it then continues, and a caller that waits
for the end of the task hangs.
"""

import asyncio


async def wait_until_set(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for the event; return whether it was set in time.

    A cancellation is always raised, even if the event is set at the same time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await event.wait()
    except TimeoutError:
        return False
