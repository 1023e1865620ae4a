"""A fixture that fails each test which leaves processes running, and kills these processes.

They are found in two ways. A marker in the environment is inherited by children, so it also finds processes
whose parent has ended. The descendants of the test process include those that were started with another
environment.
"""

import contextlib
import os
import signal
import time
import uuid
from collections.abc import Iterator
from pathlib import Path

import pytest

MARKER = "MAPLESTILE_TEST"  # environment variable with an id of the running test
GRACE_S = 2.0  # time for processes that are already ending
POLL_S = 0.02  # how often to scan /proc
PROC = Path("/proc")


def _parents() -> dict[int, int]:
    """Return the parent pid of each running process, by pid; zombies are left out."""
    parents = dict[int, int]()
    for entry in PROC.iterdir():
        if entry.name.isdigit():
            with contextlib.suppress(OSError):  # the process has just ended
                state, parent = (entry / "stat").read_text().rpartition(")")[2].split()[:2]
                if state not in "ZX":
                    parents[int(entry.name)] = int(parent)
    return parents


def _descendants(parents: dict[int, int]) -> set[int]:
    """Return the pids of the descendants of this process."""
    descendants, generation = set[int](), {os.getpid()}
    while generation:
        generation = {pid for pid, parent in parents.items() if parent in generation}
        descendants |= generation
    return descendants


def _has_marker(pid: int, test_id: str) -> bool:
    """Return whether the environment of a process has the marker of this test."""
    with contextlib.suppress(OSError):  # the process has just ended, or is another user's
        return f"{MARKER}={test_id}".encode() in (PROC / str(pid) / "environ").read_bytes().split(b"\0")
    return False


def _command_line(pid: int) -> str:
    """Return the command line of a process, or "" if the process has ended."""
    with contextlib.suppress(OSError):
        return (PROC / str(pid) / "cmdline").read_bytes().replace(b"\0", b" ").decode(errors="replace")
    return ""


def _left_processes(test_id: str, before: set[int]) -> set[int]:
    """Return the processes a test left behind: those with its marker, and descendants not in `before`."""
    parents = _parents()
    marked = {pid for pid in parents if pid != os.getpid() and _has_marker(pid, test_id)}
    return marked | (_descendants(parents) - before)


def _left_after_grace(test_id: str, before: set[int]) -> set[int]:
    """Wait up to GRACE_S for processes that are ending; return those that are still running."""
    deadline_s = time.monotonic() + GRACE_S
    while (left := _left_processes(test_id, before)) and time.monotonic() < deadline_s:
        time.sleep(POLL_S)
    return left


def _kill(pids: set[int]) -> None:
    """Kill these processes; those that have already ended are skipped."""
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


@pytest.fixture(autouse=True)
def no_process_is_left_behind() -> Iterator[None]:
    """Fail the test if it leaves processes running, and kill these processes."""
    before, outer_id = _descendants(_parents()), os.environ.get(MARKER)
    test_id = os.environ[MARKER] = uuid.uuid4().hex
    yield
    if outer_id is None:
        os.environ.pop(MARKER, None)
    else:
        os.environ[MARKER] = outer_id
    if left := _left_after_grace(test_id, before):
        processes = "; ".join(f"pid {pid}: {_command_line(pid)}" for pid in sorted(left))
        while left:  # repeated, because a process may have started another just before it was killed
            _kill(left)
            time.sleep(POLL_S)
            left = _left_processes(test_id, before)
        pytest.fail(f"processes were left behind: {processes}", pytrace=False)
