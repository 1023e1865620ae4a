"""Standard error as a text stream that neither blocks nor raises, whatever becomes of its reader.

A pipe that nobody reads is full after 64 KB. A plain write would then block the event loop for good, and one
to a pipe whose reader has gone, or to a full disk, would end whatever has logged.
"""

import asyncio
import io
import os
import stat
import sys
import threading
from typing import TextIO, cast

MAX_PENDING_BYTES = 1 << 20  # of text that the reader has not taken yet
RETRY_S = 0.05
OPEN_DESCRIPTOR = "/proc/self/fd/{}"


class StandardError(io.TextIOBase):
    """A stream on a file descriptor. Text that cannot be written yet is kept, or lost if it is too much."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._original = descriptor
        self._descriptor = _reopen_nonblocking(descriptor)
        self._line = bytearray()  # what was added since the last line feed or flush
        self._pending = bytearray()  # what could not be written yet
        self._lost = 0  # texts that were lost since the last one that was kept
        self._retry: asyncio.TimerHandle | None = None
        self._lock = threading.RLock()  # jobs in other threads write logs as well

    def fileno(self) -> int:
        """Return the descriptor that the stream was made for."""
        return self._original

    def writable(self) -> bool:
        """Return True."""
        return True

    def write(self, text: str) -> int:
        """Add a text to what is written; complete lines are written at once."""
        with self._lock:
            self._line += text.encode(errors="replace")
            if "\n" in text:
                self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much as is possible without blocking; the rest is tried again soon."""
        with self._lock:
            self._flush()

    def _flush(self) -> None:
        self._keep_line()
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                self._retry_soon()
                return
            except OSError:  # the reader has gone, or the disk is full or fails
                self._lost += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]

    def _keep_line(self) -> None:
        """Keep what was added last until it can be written, unless that is too much."""
        if len(self._pending) + len(self._line) > MAX_PENDING_BYTES:
            self._lost += 1
        elif self._line:
            if self._lost:
                note = f"({self._lost} texts were lost: standard error could not be written)\n"
                self._pending += note.encode()
                self._lost = 0
            self._pending += self._line
        self._line.clear()

    def _retry_soon(self) -> None:
        if self._retry is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:  # no event loop runs; the next text tries again
            return
        self._retry = loop.call_later(RETRY_S, self._flush_again)

    def _flush_again(self) -> None:
        self._retry = None
        self.flush()


def install() -> None:
    """Replace `sys.stderr` of this process, for logs and for all else that is printed there.

    A stream without a file descriptor, such as one in memory, stays.
    """
    if isinstance(sys.stderr, StandardError):
        return
    try:
        descriptor = sys.stderr.fileno()
    except OSError:
        return
    sys.stderr = cast(TextIO, StandardError(descriptor))


def _reopen_nonblocking(descriptor: int) -> int:
    """Return a descriptor of the same pipe that does not block; any other file is returned unchanged.

    The flag is one of the open file, which may be shared with other processes, so the pipe is opened again.
    """
    try:
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            return os.open(OPEN_DESCRIPTOR.format(descriptor), os.O_WRONLY | os.O_NONBLOCK)
    except OSError:  # its reader has gone, or the system does not allow it
        pass
    return descriptor
