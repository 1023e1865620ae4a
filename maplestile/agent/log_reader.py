"""Reads the log lines of a process while the process writes them, from a pipe or from a file.

No line ends the reading, however long it is: a process whose pipe is not read any more blocks in its next
write to the pipe.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

POLL_INTERVAL_S = 0.05
READ_BYTES = 65_536  # the most that one read returns
MAX_LOG_BYTES = 8 << 20  # a log file that has grown larger is truncated once it has been read
MAX_LINE_BYTES = 16 << 20  # a longer line is passed on in parts, to limit the memory


class LineSplitter:
    """Splits what is read into lines; each ends with a line feed."""

    def __init__(self) -> None:
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the lines that these bytes complete."""
        first, *others = data.split(b"\n")
        self._incomplete += first
        for start in others:
            yield from self.finish()
            self._incomplete += start
        if len(self._incomplete) >= MAX_LINE_BYTES:
            yield from self.finish()

    def finish(self) -> Iterator[bytes]:
        """Yield what has been fed since the last line, as a line."""
        line = bytes(self._incomplete) + b"\n"
        self._incomplete.clear()
        yield line

    def has_incomplete(self) -> bool:
        """Return whether anything was fed since the last line."""
        return bool(self._incomplete)


async def read_pipe_lines(stream: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the lines that a process writes to a pipe, until every writer has closed it. Raises OSError."""
    splitter = LineSplitter()
    while data := await stream.read(READ_BYTES):
        for line in splitter.feed(data):
            yield line
    if splitter.has_incomplete():
        for line in splitter.finish():
            yield line


async def read_lines(path: Path, offset: int, writer_ended: asyncio.Event) -> AsyncIterator[bytes]:
    """Yield the lines of a log file from an offset on as they are written, until the writer has ended.

    A file larger than MAX_LOG_BYTES is truncated once it has been read to its end. The writer opened it in
    append mode, so it continues at the new end of the file. Raises OSError.
    """
    splitter = LineSplitter()
    with path.open("r+b") as file:
        file.seek(offset)
        while True:
            is_last = writer_ended.is_set()  # checked before the read, so that the last lines are read too
            if data := file.read(READ_BYTES):
                for line in splitter.feed(data):
                    yield line
                await asyncio.sleep(0)  # a long log must not block the event loop
                continue
            if file.tell() > MAX_LOG_BYTES:
                file.seek(0)
                file.truncate()
            if is_last:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
