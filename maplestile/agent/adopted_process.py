"""Processes that another process has started: how they are found, watched and signalled.

The state of a process is read from /proc, see proc(5). A pidfd, see pidfd_open(2), refers to one process even
after its pid was reused.
"""

import asyncio
import contextlib
import os
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

PROC = Path("/proc")
# Fields of /proc/PID/stat, counted from the one after the command's name.
STATE_FIELD = 0
PARENT_FIELD = 1
START_FIELD = 19  # in clock ticks since the boot
ENDED_STATES = ("Z", "X")  # zombie, dead
NOT_STARTED = 0


class ProcessGone(Exception):
    """There is no such process any more."""


class ProcessId(NamedTuple):
    """Identifies one process: its pid may be reused, but not with the same start."""

    pid: int
    started: int  # in clock ticks since the boot


class AdoptedProcess:
    """A process that another one has started.

    Like `asyncio.subprocess.Process`, except that its exit code is not known.
    """

    def __init__(self, pid: int, started: int) -> None:
        """Raises ProcessGone where that process has ended, or its pid was reused."""
        self.pid = pid
        self.returncode: int | None = None
        try:
            self.pidfd = os.pidfd_open(pid)
        except OSError as fault:
            raise ProcessGone(str(fault)) from None
        if started_of(pid) != started:  # checked with the pidfd open, so that no reuse goes unnoticed
            os.close(self.pidfd)
            raise ProcessGone("another process has its number")
        self.ended = asyncio.Event()
        asyncio.get_running_loop().add_reader(self.pidfd, self._on_end)

    def _on_end(self) -> None:
        asyncio.get_running_loop().remove_reader(self.pidfd)
        os.close(self.pidfd)
        self.returncode = 0  # unknown
        self.ended.set()

    def send_signal(self, number: int) -> None:
        """Send a signal; nothing happens where the process has ended."""
        if self.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, number)

    async def wait(self) -> int:
        """Wait for its end. The exit code is not known: 0."""
        await self.ended.wait()
        return 0


def started_of(pid: int) -> int:
    """When a process was started, in clock ticks since the boot; 0 if there is none, or it has ended."""
    try:
        fields = _stat_fields(pid)
    except OSError:
        return NOT_STARTED
    return NOT_STARTED if fields[STATE_FIELD] in ENDED_STATES else int(fields[START_FIELD])


def writers_of(log_file: Path) -> Iterator[ProcessId]:
    """The processes whose standard error is that file, in the order of their starts; without their children.

    A generator: the scan of all processes begins when the first result is requested.
    """
    file_status = log_file.stat()
    parents = dict[ProcessId, int]()
    for entry in PROC.iterdir():
        # Another user's process, or one that has just ended, is none of them.
        with contextlib.suppress(OSError, ValueError, IndexError):
            pid = int(entry.name)
            if not os.path.samestat((entry / "fd" / "2").stat(), file_status):
                continue
            if started := started_of(pid):
                parents[ProcessId(pid, started)] = int(_stat_fields(pid)[PARENT_FIELD])
    pids = {process.pid for process in parents}
    for process in sorted(parents, key=lambda process: (process.started, process.pid)):
        if parents[process] not in pids:
            yield process


def _stat_fields(pid: int) -> list[str]:
    """The fields of /proc/PID/stat after the command's name."""
    return (PROC / str(pid) / "stat").read_text().rpartition(")")[2].split()
