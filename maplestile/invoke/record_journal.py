"""The journal of invocation records: what a router has taken on outlives its process.

Events are appended to a segment, a file that is named by a number. A new segment is begun at each start, and
when the current one has grown large. The oldest segment is removed once no invocation in it is kept any more,
so nothing is ever rewritten.

A write returns once the system has the bytes, which outlives any end of the process but not a power failure.
While writes fail, events are kept in memory, in their order, and written as soon as that is possible again.
"""

import logging
import os
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

from maplestile.invoke import record_events
from maplestile.invoke.record_events import EventError, Invocations, StoredInvocation
from maplestile.wire.http import Response

log = logging.getLogger(__name__)
SEGMENT_PREFIX = "records-"
SEGMENT_MODE = 0o600  # bodies are their tenants' own
MAX_SEGMENT_BYTES = 8 << 20
NOT_KEPT = ""  # in place of an id: no segment has to be kept for such an event
RETRY_US = 250_000  # after a failed write
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")

Timer = Callable[[int, Callable[[], object]], object]  # calls a function at a time of the router's clock


@dataclass(slots=True, eq=False)
class Segment:
    """A file of the journal, and the ids of the kept invocations that have events in it."""

    path: Path
    ids: set[str] = field(default_factory=set)


class RecordJournal:
    """The journal in a folder, which must be no other process's at the same time."""

    def __init__(
        self, folder: Path, clock: Callable[[], int], call_at: Timer, counters: Counter[str]
    ) -> None:
        """Create the folder if it is missing. Raises OSError, also if it belongs to another user."""
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        if folder.stat().st_uid != os.geteuid():
            raise OSError(f"{folder} belongs to another user")
        self.folder = folder
        self._clock = clock
        self._call_at = call_at
        self._counters = counters
        self._boot = _boot_id()
        self._segments: list[Segment] = []  # the oldest first
        self._descriptor: int | None = None  # of the last segment; None if a new one has to be begun
        self._size = 0  # of the last segment
        self._unwritten: list[tuple[str, bytes]] = []  # events that could not be written yet, by id
        self._retries = False  # a retry is scheduled

    def load(self) -> list[StoredInvocation]:
        """Read all segments, and return the invocations that are kept, with times of the router's clock.

        Damaged lines are counted, logged and skipped. After a boot it is not known how long the machine was
        away, so every deadline counts as passed. Raises OSError.
        """
        invocations: Invocations = {}
        boots = dict[str, str]()  # by id
        for path in sorted(self.folder.glob(f"{SEGMENT_PREFIX}*")):
            self._load_segment(path, invocations, boots)
        for segment in list(self._segments):
            segment.ids &= invocations.keys()
        self._remove_unused()
        now_us = self._clock()
        offset_us = now_us - _monotonic_us()
        for invocation in invocations.values():
            same_boot = boots[invocation.id] == self._boot
            invocation.due_us = invocation.due_us + offset_us if same_boot else now_us
        return list(invocations.values())

    # Events. Each takes effect at once in memory; the file follows.

    def accept(self, invocation: StoredInvocation) -> bool:
        """Record an invocation before it is taken on; return whether that is written.

        If not, a deferred one is not recorded: it has to be refused. Any other is written later.
        """
        offset_us = self._clock() - _monotonic_us()
        line = record_events.encode_accepted(replace(invocation, due_us=invocation.due_us - offset_us))
        self._append(invocation.id, line)
        is_written = not self._unwritten
        if not is_written and invocation.deferred:
            self._unwritten.pop()
        return is_written

    def mark_deferred(self, id_: str) -> bool:
        """Record that an invocation is deferred from now on; return whether that is written."""
        self._append(id_, record_events.encode_deferred(id_))
        return not self._unwritten

    def finish(self, id_: str, answer: Response) -> None:
        """Record the final answer of an invocation."""
        self._append(id_, record_events.encode_ended(id_, answer))

    def mark_delivered(self, id_: str) -> None:
        """Record that the answer of an invocation was given to a caller."""
        self._append(id_, record_events.encode_delivered(id_))

    def drop(self, id_: str) -> None:
        """Record that an invocation is forgotten, and remove the segments that are not needed any more."""
        self._unwritten = [(NOT_KEPT if other == id_ else other, line) for other, line in self._unwritten]
        self._append(NOT_KEPT, record_events.encode_dropped(id_))
        for segment in self._segments:
            segment.ids.discard(id_)
        self._remove_unused()

    def close(self) -> None:
        """Write what is left, if that is possible, and close the segment."""
        self._write_unwritten()
        self._close_segment()

    # Segments.

    def _append(self, id_: str, line: bytes) -> None:
        self._unwritten.append((id_, line))
        self._write_unwritten()

    def _write_unwritten(self) -> None:
        """Write the events that wait, in their order, until one cannot be written."""
        while self._unwritten:
            id_, line = self._unwritten[0]
            try:
                self._write(id_, line)
            except OSError as error:
                self._counters["invoke.journal_faults"] += 1
                log.warning("the journal of invocations cannot be written, trying again: %s", error)
                self._retry_later()
                return
            self._unwritten.pop(0)

    def _write(self, id_: str, line: bytes) -> None:
        """Write a line to the last segment, or to a new one. Raises OSError."""
        if self._descriptor is not None and self._size > MAX_SEGMENT_BYTES:
            self._close_segment()
        if self._descriptor is None:
            self._begin_segment()
        assert self._descriptor is not None
        written = 0
        while written < len(line):  # what a failed write has left is written over
            written += os.pwrite(self._descriptor, line[written:], self._size + written)
        self._size += len(line)
        if id_ != NOT_KEPT:
            self._segments[-1].ids.add(id_)

    def _begin_segment(self) -> None:
        """Create the next segment. Raises OSError."""
        path = self.folder / f"{SEGMENT_PREFIX}{self._next_number():012d}-{self._boot}"
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, SEGMENT_MODE)
        self._size = 0
        self._segments.append(Segment(path))
        self._remove_unused()

    def _next_number(self) -> int:
        numbers = (_number(path) for path in self.folder.glob(f"{SEGMENT_PREFIX}*"))
        return max(numbers, default=0) + 1

    def _close_segment(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _retry_later(self) -> None:
        if not self._retries:
            self._retries = True
            self._call_at(self._clock() + RETRY_US, self._retry)

    def _retry(self) -> None:
        self._retries = False
        self._write_unwritten()

    def _remove_unused(self) -> None:
        """Remove the oldest segments, up to the first with kept invocations; the last is kept for writes.

        A segment stays as long as an earlier one: it may tell that an invocation of that one was dropped.
        """
        while len(self._segments) > 1 and not self._segments[0].ids:
            try:
                self._segments[0].path.unlink(missing_ok=True)
            except OSError:  # tried again when the next invocation is dropped
                return
            del self._segments[0]

    def _load_segment(self, path: Path, invocations: Invocations, boots: dict[str, str]) -> None:
        segment = Segment(path)
        damaged = 0
        for line in path.read_bytes().splitlines():
            try:
                id_ = record_events.apply_line(line, invocations)
            except EventError:
                damaged += 1
                continue
            segment.ids.add(id_)
            boots.setdefault(id_, _boot_of(path))
        self._segments.append(segment)
        if damaged:
            self._counters["invoke.journal_damaged_lines"] += damaged
            log.warning("%s: %d lines are damaged and are skipped", path, damaged)


def _monotonic_us() -> int:
    return time.monotonic_ns() // 1000


def _boot_id() -> str:
    """Return the id of the machine's present boot; empty if the system does not tell."""
    try:
        return BOOT_ID_FILE.read_text().strip().replace("-", "")
    except OSError:
        return ""


def _number(path: Path) -> int:
    """Return the number in the name of a segment; 0 if it has none."""
    number = path.name.removeprefix(SEGMENT_PREFIX).partition("-")[0]
    return int(number) if number.isdecimal() else 0


def _boot_of(path: Path) -> str:
    """Return the boot in the name of a segment."""
    return path.name.removeprefix(SEGMENT_PREFIX).partition("-")[2]
