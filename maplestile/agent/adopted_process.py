"""Finding, watching and signaling processes that another process has started.

The state of a process is read from /proc, see proc(5). A pidfd, see pidfd_open(2), still refers to the same
process after its pid was reused.
"""

import asyncio
import contextlib
import os
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

PROC = Path("/proc")
# Indexes of fields of /proc/PID/stat, counted from the field after the command name.
STATE_FIELD = 0
PARENT_PID_FIELD = 1
START_TIME_FIELD = 19  # in clock ticks since boot
ENDED_STATES = ("Z", "X")  # zombie, dead
NO_START_TIME = 0  # the start time returned for a process that does not exist


class ProcessGone(Exception):
    """Raised when a process has ended; its pid may belong to another process by now."""


class ProcessId(NamedTuple):
    """Identifies one process: a pid may be reused, but not with the same start time."""

    pid: int
    start_time: int  # in clock ticks since boot


class AdoptedProcess:
    """A running process that another process has started.

    It has the interface of `asyncio.subprocess.Process`, but its exit code is not known.
    """

    def __init__(self, pid: int, start_time: int) -> None:
        """Open the process. Raises ProcessGone if it has ended, or its pid was reused."""
        self.pid = pid
        self.returncode: int | None = None
        try:
            self.pidfd = os.pidfd_open(pid)
        except OSError as error:
            raise ProcessGone(str(error)) from None
        # Checked once the pidfd is open, so that a pid that was reused before is noticed.
        if start_time_of(pid) != start_time:
            os.close(self.pidfd)
            raise ProcessGone("another process has its number")
        self.ended = asyncio.Event()
        asyncio.get_running_loop().add_reader(self.pidfd, self._on_end)

    def _on_end(self) -> None:
        asyncio.get_running_loop().remove_reader(self.pidfd)
        os.close(self.pidfd)
        self.returncode = 0  # the real exit code is not known
        self.ended.set()

    def send_signal(self, number: int) -> None:
        """Send a signal; do nothing if the process has ended."""
        if self.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, number)

    async def wait(self) -> int:
        """Wait until the process has ended; return 0, because the exit code is not known."""
        await self.ended.wait()
        return 0


def start_time_of(pid: int) -> int:
    """Return the start time of a process in clock ticks since boot, or 0 if no such process runs."""
    try:
        fields = _stat_fields(pid)
    except OSError:
        return NO_START_TIME
    return NO_START_TIME if fields[STATE_FIELD] in ENDED_STATES else int(fields[START_TIME_FIELD])


def find_writers(log_file: Path) -> Iterator[ProcessId]:
    """Yield the processes whose standard error is that file, in the order of their start times.

    Children of such processes are left out. The scan of /proc begins when the first result is requested.
    """
    file_status = log_file.stat()
    parent_pids = dict[ProcessId, int]()
    for entry in PROC.iterdir():
        # Skips processes of other users, and those that have just ended.
        with contextlib.suppress(OSError, ValueError, IndexError):
            pid = int(entry.name)
            if not os.path.samestat((entry / "fd" / "2").stat(), file_status):
                continue
            if start_time := start_time_of(pid):
                parent_pids[ProcessId(pid, start_time)] = int(_stat_fields(pid)[PARENT_PID_FIELD])
    pids = {process.pid for process in parent_pids}
    for process in sorted(parent_pids, key=lambda process: (process.start_time, process.pid)):
        if parent_pids[process] not in pids:
            yield process


def _stat_fields(pid: int) -> list[str]:
    """Return the fields of /proc/PID/stat that follow the command name."""
    return (PROC / str(pid) / "stat").read_text().rpartition(")")[2].split()
