"""Limits reads from sockets in size and time."""

import asyncio
import contextlib
import errno
from collections.abc import Awaitable, Callable

NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)  # OSError.errno values: no free file descriptor
LAST_READ_S = 0.01  # time for one more read after a timeout


def limit_read_size(transport: asyncio.BaseTransport, max_bytes: int) -> None:
    """Limit each read of a transport to `max_bytes`, instead of asyncio's default of 256 KB.

    This bounds how much one read of a flooding client returns, and it avoids heap fragmentation: each read
    allocates a buffer of the full size and shrinks it to the bytes received. With large buffers, the heap
    grew by 22 KB per second for as long as the process ran, although memory in use stayed the same.
    """
    transport.max_size = max_bytes  # type: ignore[attr-defined]  # not part of asyncio's public interface


async def read_within(seconds: float, read: Callable[[], Awaitable[bytes]]) -> bytes:
    """Read, and raise TimeoutError if no bytes arrive within `seconds`.

    An event loop that was busy until the timeout sees the timeout and bytes that arrived in time in the same
    iteration, so one more short read follows the timeout.
    """
    try:
        async with asyncio.timeout(seconds):
            return await read()
    except TimeoutError:
        async with asyncio.timeout(LAST_READ_S):
            return await read()


async def end_and_discard(
    writer: asyncio.StreamWriter, read: Callable[[], Awaitable[bytes]], seconds: float
) -> None:
    """Close the write side of a connection, and discard further input for up to `seconds`.

    If the connection were closed with unread input, the kernel would send a reset, and the peer could lose
    the last answers.
    """
    with contextlib.suppress(TimeoutError, OSError):  # a peer that resets the connection needs no answer
        writer.write_eof()
        async with asyncio.timeout(seconds):
            while await read():
                pass
