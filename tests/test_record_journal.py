"""Tests of the journal of invocation records: kills within a write, writes that fail, and damaged files."""

import errno
import os
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from maplestile.invoke.record_events import StoredInvocation
from maplestile.invoke.record_journal import MAX_SEGMENT_BYTES, RecordJournal
from maplestile.router.clock import clock
from maplestile.wire.http import Response

ANSWER = Response(200, b"result \n\xff", (("Content-Type", "x"),))
SECOND_US = 1_000_000


class Journal(RecordJournal):
    """A journal in a folder, whose timers the test fires."""

    def __init__(self, folder: Path) -> None:
        self.timers = list[Callable[[], object]]()
        self.counters = Counter[str]()
        super().__init__(folder, clock, lambda _, callback: self.timers.append(callback), self.counters)

    def fire(self) -> None:
        """Call the timers that were set."""
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


def invocation(id_: str, deferred: bool = True, body: bytes = b"body") -> StoredInvocation:
    """Return an invocation that is pending."""
    return StoredInvocation(
        id_, b"\1\2", clock() + SECOND_US, "paper", "test-submit", "desk", "k", body, deferred
    )


def state(folder: Path) -> dict[str, tuple[Any, ...]]:
    """Return what a new process reads in a folder: by id, what may change of each invocation."""
    loaded = Journal(folder).load()
    return {one.id: (one.deferred, one.answer, one.delivered) for one in loaded}


def segments(folder: Path) -> list[Path]:
    """Return the files of a journal."""
    return sorted(folder.glob("records-*"))


def play(journal: RecordJournal) -> list[dict[str, tuple[Any, ...]]]:
    """Record the life of two invocations; return the states after each event, from the empty one on."""
    pending, ended, taken = (True, None, False), (True, ANSWER, False), (True, ANSWER, True)
    events: list[tuple[Callable[[], object], dict[str, tuple[Any, ...]]]] = [
        (lambda: journal.accept(invocation("a")), {"a": pending}),
        (lambda: journal.accept(invocation("b", deferred=False)), {"a": pending, "b": (False, None, False)}),
        (lambda: journal.mark_deferred("b"), {"a": pending, "b": pending}),
        (lambda: journal.finish("a", ANSWER), {"a": ended, "b": pending}),
        (lambda: journal.mark_delivered("a"), {"a": taken, "b": pending}),
        (lambda: journal.finish("b", ANSWER), {"a": taken, "b": ended}),
        (lambda: journal.drop("a"), {"b": ended}),
    ]
    states: list[dict[str, tuple[Any, ...]]] = [{}]
    for event, after in events:
        event()
        states.append(after)
    return states


def test_kill_at_any_byte_of_a_write_keeps_what_was_written_before(tmp_path: Path) -> None:
    """Guards against an invocation that is forgotten, or a journal of no use, after a write half done."""
    journal = Journal(tmp_path / "whole")
    states = play(journal)
    (segment,) = segments(journal.folder)
    content = segment.read_bytes()
    cut = tmp_path / "cut"
    cut.mkdir()
    for size in range(len(content) + 1):
        (cut / segment.name).write_bytes(content[:size])
        assert state(cut) == states[content[:size].count(b"\n")] or content[size : size + 1] == b"\n"
    assert len(states) == content.count(b"\n") + 1


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS])
@pytest.mark.parametrize("partial", [0, 1, 40])
def test_events_that_cannot_be_written_are_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int, partial: int
) -> None:
    """Guards against a 202 that cannot be kept, and against events lost while the disk is full."""
    journal = Journal(tmp_path)
    assert journal.accept(invocation("a"))
    assert journal.accept(invocation("c", deferred=False))
    real_write = os.pwrite
    calls = [0]

    def fail(descriptor: int, data: bytes, offset: int) -> int:
        """Write a part, and then nothing."""
        calls[0] += 1
        if partial and calls[0] % 2:
            return real_write(descriptor, data[:partial], offset)
        raise OSError(error, os.strerror(error))

    with monkeypatch.context() as patched:
        patched.setattr(os, "pwrite", fail)
        assert not journal.accept(invocation("b"))  # refused
        assert not journal.accept(invocation("d", deferred=False))  # taken on, and written later
        journal.finish("a", ANSWER)
        assert not journal.mark_deferred("c")
        journal.fire()
        assert not journal.accept(invocation("e"))
        assert state(tmp_path) == {"a": (True, None, False), "c": (False, None, False)}
    journal.fire()
    expected = {"a": (True, ANSWER, False), "c": (True, None, False), "d": (False, None, False)}
    assert state(tmp_path) == expected and journal.counters["invoke.journal_faults"] >= 2
    assert journal.accept(invocation("f")) and "f" in state(tmp_path)


def test_segment_that_cannot_be_created_is_created_later(tmp_path: Path) -> None:
    journal = Journal(tmp_path / "folder")
    journal.folder.rmdir()
    assert not journal.accept(invocation("a"))
    journal.folder.mkdir()
    assert journal.accept(invocation("b")) and state(journal.folder).keys() == {"b"}


def test_segments_are_removed_oldest_first_once_nothing_in_them_is_kept(tmp_path: Path) -> None:
    """Guards against a folder that grows, and against an invocation that comes back after it was dropped."""
    journal = Journal(tmp_path)
    body = b"x" * MAX_SEGMENT_BYTES
    for id_ in "abcdef":
        assert journal.accept(invocation(id_, body=body))
    count = len(segments(tmp_path))
    assert count >= 5
    for id_ in "bdc":
        journal.drop(id_)
    assert len(segments(tmp_path)) >= count and state(tmp_path).keys() == {"a", "e", "f"}
    journal.drop("a")
    assert len(segments(tmp_path)) < count and state(tmp_path).keys() == {"e", "f"}
    journal.drop("e")
    journal.drop("f")
    assert len(segments(tmp_path)) <= 2 and not state(tmp_path)


def test_events_of_a_dropped_invocation_that_are_written_late_keep_no_segment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a folder that grows for good after the disk was full for a while."""
    journal = Journal(tmp_path)
    assert journal.accept(invocation("a", body=b"x" * MAX_SEGMENT_BYTES))
    with monkeypatch.context() as patched:
        patched.setattr(os, "pwrite", lambda *_: os.write(-1, b""))
        assert not journal.accept(invocation("b", deferred=False))
        for id_ in "ab":
            journal.finish(id_, ANSWER)
            journal.drop(id_)
    journal.fire()
    for id_ in "cd":
        assert journal.accept(invocation(id_, body=b"x" * MAX_SEGMENT_BYTES))
        journal.drop(id_)
    assert len(segments(tmp_path)) <= 2 and not state(tmp_path)


def test_damaged_and_foreign_lines_are_skipped_and_counted(tmp_path: Path) -> None:
    journal = Journal(tmp_path)
    states = play(journal)
    (segment,) = segments(tmp_path)
    lines = segment.read_bytes().splitlines(keepends=True)
    foreign = [
        b"\n",
        b"x\n",
        b"00000000 {}\n",
        b"\xff" * 300 + b"\n",
        lines[0][:-2] + b"\n",
    ]
    segment.write_bytes(b"".join(line + odd for line, odd in zip(lines, foreign * 2, strict=False)))
    found = Journal(tmp_path)
    assert {one.id for one in found.load()} == states[-1].keys()
    assert found.counters["invoke.journal_damaged_lines"] == len(lines)


def test_deadline_is_kept_across_processes_and_has_passed_after_a_boot(tmp_path: Path) -> None:
    """Guards against deadlines by a clock that may be stepped, or that starts again at each boot."""
    kept = invocation("a")
    Journal(tmp_path).accept(kept)
    (loaded,) = Journal(tmp_path).load()
    assert abs(loaded.due_us - kept.due_us) < 1000
    (segment,) = segments(tmp_path)
    segment.rename(segment.with_name("records-000000000001-otherboot"))
    (loaded,) = Journal(tmp_path).load()
    assert loaded.due_us <= clock()
    assert Journal(tmp_path).accept(invocation("b")) and len(segments(tmp_path)) == 2
