"""A fixture that fails each test which leaves processes behind, and kills them.

They are found by a variable of the environment, which a process passes on to its children, so that one whose
parent has ended is found as well; and among the descendants of the test process, which finds those that were
started with another environment.
"""

import contextlib
import os
import signal
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import pytest

MARKER = "MAPLESTILE_TEST"
GRACE_S = 2.0  # for processes that were killed to have ended
POLL_S = 0.02
PROC = Path("/proc")


def _parents() -> dict[int, int]:
    """The parent of each process that runs; a zombie does not."""
    found = dict[int, int]()
    for entry in PROC.iterdir():
        if entry.name.isdigit():
            with contextlib.suppress(OSError):  # it has just ended
                state, parent = (entry / "stat").read_text().rpartition(")")[2].split()[:2]
                if state not in "ZX":
                    found[int(entry.name)] = int(parent)
    return found


def _descendants(parents: dict[int, int]) -> set[int]:
    """The processes that descend from this one."""
    found, newest = set[int](), {os.getpid()}
    while newest:
        newest = {pid for pid, parent in parents.items() if parent in newest}
        found |= newest
    return found


def _has_marker(pid: int, mark: str) -> bool:
    """Whether the environment of a process has this mark."""
    with contextlib.suppress(OSError):  # it has just ended, or is another user's
        return f"{MARKER}={mark}".encode() in (PROC / str(pid) / "environ").read_bytes().split(b"\0")
    return False


def _command(pid: int) -> str:
    """The command line of a process; empty if it has ended."""
    with contextlib.suppress(OSError):
        return (PROC / str(pid) / "cmdline").read_bytes().replace(b"\0", b" ").decode(errors="replace")
    return ""


def _left(mark: str, before: set[int]) -> set[int]:
    """The processes that a test has left: marked ones, and descendants that were not there before."""
    parents = _parents()
    marked = {pid for pid in parents if pid != os.getpid() and _has_marker(pid, mark)}
    return marked | (_descendants(parents) - before)


def _left_after_grace(mark: str, before: set[int]) -> set[int]:
    """The processes that a test has left, once those that are ending have had `GRACE_S` for it."""
    until_s = time.monotonic() + GRACE_S
    while (left := _left(mark, before)) and time.monotonic() < until_s:
        time.sleep(POLL_S)
    return left


def _kill(pids: set[int]) -> None:
    """Kill these processes; one that has ended already is passed over."""
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


@pytest.fixture(autouse=True)
def no_process_is_left_behind() -> Iterator[None]:
    """Fail each test that leaves processes behind, and kill them."""
    before, outer = _descendants(_parents()), os.environ.get(MARKER)
    mark = os.environ[MARKER] = uuid.uuid4().hex
    yield
    if outer is None:
        os.environ.pop(MARKER, None)
    else:
        os.environ[MARKER] = outer
    if left := _left_after_grace(mark, before):
        processes = "; ".join(f"pid {pid}: {_command(pid)}" for pid in sorted(left))
        while left:  # one that is killed may just have started another
            _kill(left)
            time.sleep(POLL_S)
            left = _left(mark, before)
        pytest.fail(f"processes were left behind: {processes}", pytrace=False)
