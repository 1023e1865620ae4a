"""Reads the log file of a process while it is written."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

POLL_INTERVAL_S = 0.05
READ_BYTES = 65_536  # of one read
MAX_LOG_BYTES = 8 << 20  # of a log file, which is then truncated


async def lines(path: Path, offset: int, ended: asyncio.Event) -> AsyncIterator[bytes]:
    """The lines of a log from that offset on as they come, until its writer has ended.

    A file that has grown large is truncated once it is read; its writer appends.
    """
    incomplete = b""
    with path.open("r+b") as file:
        file.seek(offset)
        while True:
            is_last = ended.is_set()  # checked before the read, so that the last lines are read as well
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
