"""Reads the input of a client connection, with receive timestamps and immediate detection of a close."""

import asyncio
from collections.abc import Callable
from typing import Protocol


class ReceiveTimestamps(Protocol):
    """The timestamps that the event loop's selector provides for received input."""

    @property
    def earliest_event_us(self) -> int:
        """The earliest time in microseconds at which the bytes of the last select can have arrived."""
        ...

    @property
    def last_idle_us(self) -> int:
        """The time in microseconds at which the event loop last waited with all input read."""
        ...


def _do_nothing() -> None:
    """Do nothing at the end of a stream."""


class ClientReader(asyncio.StreamReader):
    """A stream reader that reports end of stream at once, even while earlier bytes are still buffered."""

    # Of asyncio's stream reader, which has no method that drops them.
    _buffer: bytearray
    _exception: Exception | None

    def __init__(self, max_read_bytes: int, timestamps: ReceiveTimestamps) -> None:
        super().__init__(max_read_bytes)
        self.max_read_bytes = max_read_bytes
        self.timestamps = timestamps
        self.received_us = 0  # earliest time at which the bytes of the last read can have arrived
        self.read_was_full = False  # the last read filled the buffer, so the socket may hold more input
        self.buffered_bytes = 0  # read from the socket, and not yet returned by `take`
        self.ended = False
        self.on_end: Callable[[], object] = _do_nothing
        self._last_idle_us = 0  # `timestamps.last_idle_us` at the last read

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # narrower than typeshed's buffers
        """Buffer what the transport has read, and update the receive time."""
        # Bytes left in the socket by a full read may be as old as that read, until the loop has been idle.
        if not self.read_was_full or self.timestamps.last_idle_us != self._last_idle_us:
            self.received_us = self.timestamps.earliest_event_us
        self.read_was_full = len(data) >= self.max_read_bytes
        self._last_idle_us = self.timestamps.last_idle_us
        self.buffered_bytes += len(data)
        super().feed_data(data)

    async def take(self, max_bytes: int) -> bytes:
        """Read at most `max_bytes`; return no bytes at the end of the stream."""
        data = await self.read(max_bytes)
        self.buffered_bytes -= len(data)
        return data

    def feed_eof(self) -> None:
        """Record that the peer has closed its write side."""
        super().feed_eof()
        self.end()

    def set_exception(self, exc: Exception) -> None:
        """Record that the connection is lost; the error is kept without the frames of a failed write."""
        super().set_exception(exc.with_traceback(None))
        self.end()

    def release(self) -> None:
        """Drop the buffered input, and what else refers to the connection, once nobody reads any more.

        Otherwise it stays until the next full garbage collection: the error of a lost connection refers to
        the frames that it passed, and `on_end` to the connection.
        """
        self.on_end = _do_nothing
        self.buffered_bytes = 0
        self._buffer.clear()
        if self._exception is not None:  # asyncio's protocol keeps it as well
            self._exception.with_traceback(None)
            self._exception = None

    def end(self) -> None:
        """Mark the stream as ended, and call `on_end` the first time."""
        if not self.ended:
            self.ended = True
            self.on_end()
