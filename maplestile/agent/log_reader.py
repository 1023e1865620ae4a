"""Reads the log file of a process while the process writes it."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

POLL_INTERVAL_S = 0.05
READ_BYTES = 65_536  # the most that one read returns
MAX_LOG_BYTES = 8 << 20  # a log file that has grown larger is truncated once it has been read


async def read_lines(path: Path, offset: int, writer_ended: asyncio.Event) -> AsyncIterator[bytes]:
    """Yield the lines of a log file from an offset on as they are written, until the writer has ended.

    A file larger than MAX_LOG_BYTES is truncated once it has been read to its end. The writer opened it in
    append mode, so it continues at the new end of the file.
    """
    incomplete = b""
    with path.open("r+b") as file:
        file.seek(offset)
        while True:
            is_last = writer_ended.is_set()  # checked before the read, so that the last lines are read too
            if data := file.read(READ_BYTES):
                *complete, incomplete = (incomplete + data).split(b"\n")
                for line in complete:
                    yield line + b"\n"
                continue
            if file.tell() > MAX_LOG_BYTES:
                file.seek(0)
                file.truncate()
            if is_last:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
