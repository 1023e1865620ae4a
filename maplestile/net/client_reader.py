"""The input stream of a client's connection: it knows the age of its bytes, and notes the close at once."""

import asyncio
from collections.abc import Callable
from typing import Protocol


class ReceiveTimestamps(Protocol):
    """What the event loop's selector knows of the age of input."""

    @property
    def since_us(self) -> int:
        """The earliest Unix time in microseconds at which bytes found just now can have come."""
        ...

    @property
    def last_idle_us(self) -> int:
        """When the loop last had nothing to do, in Unix microseconds."""
        ...


class ClientReader(asyncio.StreamReader):
    """A stream that reports the end of its peer's side even while earlier bytes are still to be taken."""

    def __init__(self, max_read_bytes: int, timestamps: ReceiveTimestamps) -> None:
        super().__init__(max_read_bytes)
        self.max_read_bytes = max_read_bytes
        self.timestamps = timestamps
        self.received_us = 0  # the earliest time at which the bytes of the last read can have come
        self.read_was_full = False  # the last read took all it could, so more may wait behind it
        self.buffered_bytes = 0  # read from the socket and not taken yet
        self.ended = False
        self.on_end: Callable[[], object] = lambda: None
        self._last_idle_us = 0  # `last_idle_us` at the last read

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # narrower than typeshed's buffers
        """Take what the transport has read."""
        # What a flood leaves in the socket is as old as its first bytes, until the loop has caught up.
        if not self.read_was_full or self.timestamps.last_idle_us != self._last_idle_us:
            self.received_us = self.timestamps.since_us
        self.read_was_full = len(data) >= self.max_read_bytes
        self._last_idle_us = self.timestamps.last_idle_us
        self.buffered_bytes += len(data)
        super().feed_data(data)

    async def take(self, max_bytes: int) -> bytes:
        """Read at most so many bytes; empty at the end of the stream."""
        data = await self.read(max_bytes)
        self.buffered_bytes -= len(data)
        return data

    def feed_eof(self) -> None:
        """Note the end of the peer's side."""
        super().feed_eof()
        self.end()

    def set_exception(self, exc: Exception) -> None:
        """Note that the connection is lost."""
        super().set_exception(exc)
        self.end()

    def end(self) -> None:
        """Call `on_end`, once."""
        if not self.ended:
            self.ended = True
            self.on_end()
