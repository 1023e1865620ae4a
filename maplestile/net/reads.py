"""How much asyncio reads from a socket in one go, and what is known of it before it is taken up."""

import asyncio
import contextlib
import errno
from collections.abc import Awaitable, Callable
from typing import Protocol

NO_DESCRIPTOR = errno.EMFILE, errno.ENFILE
LAST_LOOK_S = 0.01


def bound(transport: asyncio.BaseTransport, most: int) -> None:
    """Have a transport read so many bytes at a time, in place of 256 KB.

    Guards memory twice: against what one read of a flooding client brings, and against a heap in pieces. Each
    read takes a buffer of its full size and gives back what was not filled; with large ones the heap grew by
    22 KB a second for as long as the process lived, though no more of it was in use."""
    transport.max_size = most  # type: ignore[attr-defined]


async def within(seconds: float, read: Callable[[], Awaitable[bytes]]) -> bytes:
    """Read, or raise TimeoutError. Guards what came in time to a loop that was busy until the time was over:
    in one turn the loop then finds the bytes, and ends the wait for them."""
    try:
        async with asyncio.timeout(seconds):
            return await read()
    except TimeoutError:
        async with asyncio.timeout(LAST_LOOK_S):
            return await read()


async def away(writer: asyncio.StreamWriter, read: Callable[[], Awaitable[bytes]], seconds: float) -> None:
    """End this side, and read away for a moment what still comes: the system answers bytes that nobody reads
    with a reset, which would take the last answers along."""
    with contextlib.suppress(TimeoutError, OSError):  # the peer may reset it meanwhile: it wants no more
        writer.write_eof()
        async with asyncio.timeout(seconds):
            while await read():
                pass


class ReceiveTimestamps(Protocol):
    @property
    def since_us(self) -> int:
        """The earliest moment at which bytes that are found just now can have come."""
        ...

    @property
    def rested_us(self) -> int:
        """When the loop last had nothing to do."""
        ...


class Inbox(asyncio.StreamReader):
    """A stream that tells at once that its peer has closed, though what came before is not taken up yet; and
    from when on what is read can have waited."""

    def __init__(self, limit: int, stamps: ReceiveTimestamps) -> None:
        super().__init__(limit)
        self.most = limit
        self.stamps, self.rested_us = stamps, 0
        self.came_us = 0  # the earliest moment at which the bytes that were read last can have come
        self.full = False  # the last read took all it could, so more had come with it, perhaps, and waits
        self.held = 0  # bytes read, and not taken up yet
        self.ended = False
        self.on_end: Callable[[], object] = lambda: None

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]
        # What a flood leaves in the system is as old as its first bytes, until the loop has caught up.
        if not self.full or self.stamps.rested_us != self.rested_us:
            self.came_us = self.stamps.since_us
        self.full, self.rested_us = len(data) >= self.most, self.stamps.rested_us
        self.held += len(data)
        super().feed_data(data)

    async def take(self, most: int) -> bytes:
        data = await self.read(most)
        self.held -= len(data)
        return data

    def feed_eof(self) -> None:
        super().feed_eof()
        self.end()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        self.end()

    def end(self) -> None:
        if not self.ended:
            self.ended = True
            self.on_end()
