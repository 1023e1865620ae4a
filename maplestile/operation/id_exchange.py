"""The ids of the requests that the two processes of an upgrade have had, each in a file for the other.

A process writes the ids that it knows to its file once there is another process, and then each new id before
it handles that request. It reads what the other has written after it has written its own: of two processes
that get one id at the same time, at least one sees the other's.
"""

import contextlib
import logging
import os
import sys
from array import array
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from maplestile.requests.recent_ids import RecentIds

log = logging.getLogger(__name__)
SERVING_FILE = "ids.serving"  # of the process that serves alone, or did until there was a successor
NEXT_FILE = "ids.next"  # of its successor
FILE_MODE = 0o600
RECORD_BYTES = 8  # of one id
MAX_UNWRITTEN_BYTES = 1 << 20  # that are kept while the file cannot be written


class IdFileReader:
    """Reads the ids that the other process adds to its file."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._inode = 0  # of the file that was read last
        self._offset = 0

    def read_new(self) -> "array[int]":
        """Return the ids that were added since the last call; a half written one is left. Raises OSError."""
        ids = array("Q")
        try:
            descriptor = os.open(self._file, os.O_RDONLY)
        except FileNotFoundError:
            return ids
        try:
            status = os.fstat(descriptor)
            if status.st_ino != self._inode or status.st_size < self._offset:
                self._inode, self._offset = status.st_ino, 0
            count = (status.st_size - self._offset) // RECORD_BYTES
            data = os.pread(descriptor, count * RECORD_BYTES, self._offset) if count else b""
        finally:
            os.close(descriptor)
        ids.frombytes(data[: len(data) // RECORD_BYTES * RECORD_BYTES])
        self._offset += len(ids) * RECORD_BYTES
        return ids


class IdFileWriter:
    """Writes ids to this process's file; what cannot be written is tried again with the next id."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._descriptor = -1
        self._unwritten = bytearray()

    def create(self, ids: Iterable[int]) -> None:
        """Replace the file by one with these ids. Raises OSError."""
        self.close()
        temporary = self._file.with_name(f"{self._file.name}.new")
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self._descriptor = os.open(temporary, flags, FILE_MODE)
        self._unwritten = bytearray(array("Q", ids).tobytes())
        self._write()
        temporary.replace(self._file)

    def append(self, id_: int) -> None:
        """Add an id to the file. Raises OSError."""
        if len(self._unwritten) < MAX_UNWRITTEN_BYTES:
            self._unwritten += id_.to_bytes(RECORD_BYTES, sys.byteorder)
        self._write()

    def close(self) -> None:
        """Close and remove the file, unless another process has replaced it."""
        if self._descriptor < 0:
            return
        with contextlib.suppress(OSError):
            if self._file.stat().st_ino == os.fstat(self._descriptor).st_ino:
                self._file.unlink()
        os.close(self._descriptor)
        self._descriptor = -1

    def _write(self) -> None:
        while self._unwritten:
            del self._unwritten[: os.write(self._descriptor, self._unwritten)]


class IdExchange:
    """The memory of the latest ids, which it shares with the other process of an upgrade, if there is one."""

    def __init__(self, recent: RecentIds, folder: Path, counters: Counter[str]) -> None:
        self.recent = recent
        self.is_sharing = False
        self._folder = folder
        self._counters = counters
        self._writer = IdFileWriter(folder / SERVING_FILE)
        self._reader = IdFileReader(folder / NEXT_FILE)

    def share(self, is_successor: bool) -> None:
        """Share the ids from now on; if that cannot begin, the next call tries again."""
        if self.is_sharing:
            return
        own, other = (NEXT_FILE, SERVING_FILE) if is_successor else (SERVING_FILE, NEXT_FILE)
        self._writer = IdFileWriter(self._folder / own)
        self._reader = IdFileReader(self._folder / other)
        try:
            self._writer.create(self.recent)
        except OSError as error:
            self._report(error)
            return
        self.is_sharing = True

    def stop_sharing(self) -> None:
        """Take over what the other process has written, and remove the files: this process is alone."""
        self.collect()
        self._writer.close()
        with contextlib.suppress(OSError):  # that of a predecessor, which has ended
            (self._folder / SERVING_FILE).unlink(missing_ok=True)
        self.is_sharing = False

    def has_predecessors_ids(self) -> bool:
        """Return whether the process that serves has left its ids."""
        return (self._folder / SERVING_FILE).exists()

    def add(self, id_: int) -> bool:
        """Add an id, and return whether it was new to both processes."""
        if not self.recent.add(id_):
            return False
        if not self.is_sharing:
            return True
        try:
            self._writer.append(id_)
        except OSError as error:
            self._report(error)
        return id_ not in self.collect()

    def collect(self) -> "array[int]":
        """Add the ids that the other process has written since the last call, and return them."""
        try:
            ids = self._reader.read_new()
        except OSError as error:
            self._report(error)
            return array("Q")
        for id_ in ids:
            self.recent.add(id_)
        return ids

    def _report(self, error: OSError) -> None:
        self._counters["operation.id_file_faults"] += 1
        log.warning("cannot share the ids of requests with the other process: %s", error)
