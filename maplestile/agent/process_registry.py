"""A record of an agent's running processes, from which the next agent adopts them.

A router keeps running when its agent is killed, and keeps its ports, so an agent that did not know about it
could not start another one. The agent therefore keeps a registry in its folder. Its instances log to files
there, because a pipe would break when the agent ends.
"""

import contextlib
import itertools
import logging
from pathlib import Path
from typing import Any

from maplestile.agent.adopted_process import (
    AdoptedProcess,
    ProcessGone,
    ProcessId,
    find_writers,
    start_time_of,
)
from maplestile.common import durable_file as durable

log = logging.getLogger("maplestile.agent")
RECORD_VERSION = 1
RECORD_NAME = "roster.json"


class ProcessRegistry:
    """The running processes of one agent, by instance name, recorded in a file in the agent's folder."""

    def __init__(self, folder: Path) -> None:
        """Read the record, if there is a valid one. Raises OSError if the folder cannot be created."""
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.processes = _decode(durable.read(folder / RECORD_NAME, RECORD_VERSION))

    def log_file(self, name: str) -> Path:
        """Return the log file of an instance, and create it if it is missing. Raises OSError."""
        path = self.folder / f"{name}.log"
        path.touch()
        return path

    def find_orphan(self, name: str) -> AdoptedProcess | None:
        """Return the running process of an instance that an earlier agent left behind, or None.

        The process may be missing from the record: the agent may have been killed before it wrote the record,
        the disk may have been full, or the record is damaged. Such a process still holds its ports, so
        starting another one would fail. It is found as the writer of the instance's log file.
        """
        recorded = [self.processes[name]] if name in self.processes else []
        for process in itertools.chain(recorded, find_writers(self.log_file(name))):
            with contextlib.suppress(ProcessGone):
                return AdoptedProcess(process.pid, process.start_time)
        return None

    def record(self, name: str, pid: int | None) -> None:
        """Record the process of an instance, or remove the entry if `pid` is None.

        A failed write is logged; the next agent then finds the process by its log file.
        """
        if pid is None:
            self.processes.pop(name, None)
        elif start_time := start_time_of(pid):
            self.processes[name] = ProcessId(pid, start_time)
        try:
            durable.write(self.folder / RECORD_NAME, RECORD_VERSION, _encode(self.processes))
        except OSError as error:
            log.warning("agent: the process registry cannot be written: %s", error)


def _encode(processes: dict[str, ProcessId]) -> dict[str, list[int]]:
    return {name: [process.pid, process.start_time] for name, process in processes.items()}


def _decode(record: Any) -> dict[str, ProcessId]:
    """Decode the processes of a record; invalid entries are left out."""
    if not isinstance(record, dict):
        return {}
    return {name: ProcessId(*entry) for name, entry in record.items() if _is_valid_entry(entry)}


def _is_valid_entry(entry: object) -> bool:
    if not isinstance(entry, list) or len(entry) != len(ProcessId._fields):
        return False
    return all(type(number) is int for number in entry)
