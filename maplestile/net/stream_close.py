"""Closes connections whose peer may have reset them, or may still be reading what was written.

The event loop learns of a reset only with its next read. Until then the socket looks open, but the kernel
rejects a half-close with ENOTCONN.
"""

import asyncio
import contextlib
import logging

log = logging.getLogger(__name__)


def close_write_side(writer: asyncio.StreamWriter, front: str) -> bool:
    """Close the write side of a client connection, and return whether the client was still connected.

    If the client has reset the connection, it is closed completely, and a warning names the front. Nothing is
    raised, since the caller may be closing other connections, or reporting the answer of a runner.
    """
    try:
        writer.write_eof()
    except OSError as error:
        log.warning("%s client: reset its connection before the router closed it: %s", front, error)
        writer.transport.abort()
        return False
    return True


async def flush_and_close(writer: asyncio.StreamWriter, timeout_s: float) -> None:
    """Close a connection once the kernel has taken what was written, at the latest after `timeout_s`.

    Without the limit, a peer that never reads would hold a file descriptor and keep the process alive.
    """
    try:
        writer.close()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(timeout_s):
                await writer.wait_closed()
    finally:
        writer.transport.abort()
