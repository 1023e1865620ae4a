"""The record of an agent's processes: the next agent adopts those that are still running.

A router serves on when its agent is killed, and it holds its ports: a new agent that knew nothing of it
would start another in vain. So the agent keeps a registry in its folder, and its instances write their logs
to files there, which outlive the reader as a pipe would not.
"""

import contextlib
import itertools
import logging
from pathlib import Path
from typing import Any

from maplestile.agent.adopted_process import AdoptedProcess, ProcessGone, ProcessId, started_of, writers_of
from maplestile.common import durable_file as durable

log = logging.getLogger("maplestile.agent")
RECORD_VERSION = 1
RECORD_NAME = "roster.json"


class ProcessRegistry:
    """The running processes of one agent, by instance, in a file of its folder."""

    def __init__(self, folder: Path) -> None:
        """Read the record, where there is one of use. Raises OSError where the folder cannot be made."""
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.processes = _decode(durable.read(folder / RECORD_NAME, RECORD_VERSION))

    def log_file(self, name: str) -> Path:
        """The file that an instance logs to, which is made if it is not there. Raises OSError."""
        path = self.folder / f"{name}.log"
        path.touch()
        return path

    def orphan(self, name: str) -> AdoptedProcess | None:
        """The process of an instance that an earlier agent has left, if it is there.

        It may not be in the record: its agent was killed just then, or its disk was full, or the record is
        damaged. It holds its ports all the same, so each further start would fail.
        """
        on_record = [self.processes[name]] if name in self.processes else []
        for process in itertools.chain(on_record, writers_of(self.log_file(name))):
            with contextlib.suppress(ProcessGone):
                return AdoptedProcess(process.pid, process.started)
        return None

    def record(self, name: str, pid: int | None) -> None:
        """Record the process of an instance, or remove it from the record once there is none.

        A failed write is logged; the process is then found by its log file alone.
        """
        if pid is None:
            self.processes.pop(name, None)
        elif started := started_of(pid):
            self.processes[name] = ProcessId(pid, started)
        try:
            durable.write(self.folder / RECORD_NAME, RECORD_VERSION, _encode(self.processes))
        except OSError as fault:
            log.warning("agent: the roster cannot be kept: %s", fault)


def _encode(processes: dict[str, ProcessId]) -> dict[str, list[int]]:
    return {name: [process.pid, process.started] for name, process in processes.items()}


def _decode(record: Any) -> dict[str, ProcessId]:
    """Decode the processes of a record; an invalid entry is left out."""
    if not isinstance(record, dict):
        return {}
    return {name: ProcessId(*entry) for name, entry in record.items() if _is_process(entry)}


def _is_process(entry: object) -> bool:
    if not isinstance(entry, list) or len(entry) != len(ProcessId._fields):
        return False
    return all(type(number) is int for number in entry)
