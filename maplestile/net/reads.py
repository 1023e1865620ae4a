"""Bounded reads of sockets."""

import asyncio
import contextlib
import errno
from collections.abc import Awaitable, Callable

NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE)  # of an OSError: no file descriptor is left
LAST_READ_S = 0.01


def limit_read_size(transport: asyncio.BaseTransport, max_bytes: int) -> None:
    """Let a transport read at most so many bytes at a time, in place of asyncio's 256 KB.

    That bounds what one read of a flooding client brings, and keeps the heap from fragmenting: each read
    allocates a buffer of its full size and shrinks it to what came. With large ones the heap grew by 22 KB a
    second for as long as the process lived, though no more of it was in use.
    """
    transport.max_size = max_bytes  # type: ignore[attr-defined]  # not in the public interface


async def read_within(seconds: float, read: Callable[[], Awaitable[bytes]]) -> bytes:
    """Read, or raise TimeoutError.

    A loop that was busy until the time was over finds the bytes that came in time and the end of the time in
    one turn, so there is a last short read.
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
    """End this side of a connection, and drop for so long what still comes.

    The system answers bytes that nobody reads with a reset, which would drop the last answers.
    """
    with contextlib.suppress(TimeoutError, OSError):  # the peer may reset it meanwhile: it wants no more
        writer.write_eof()
        async with asyncio.timeout(seconds):
            while await read():
                pass
