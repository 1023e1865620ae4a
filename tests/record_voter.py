"""Records what a voter of the control plane has on disk."""

import asyncio
import shutil
import struct
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from maplestile.control.raft_log import RaftLog
from maplestile.control.settings import ControlSettings
from tests.control_recordings import RECORDED, control_settings
from tests.control_script import HEARTBEAT, POLICY_READ, SCRIPT
from tests.standins import wait_until

FOLDER = RECORDED / "voter"
JOURNAL_HEAD = 40  # bytes before the records
JOURNAL_END_AT = 36  # the offset of the 4 bytes that have the end of the records
PATIENCE_S = 30.0
VOTER = """listen = "127.0.0.1:0"
folder = "{folder}"
"""
VOTERS = """
[[voter]]
name = "a0"
address = "127.0.0.1:1"
"""
FIRST_RUN = 100  # commands of the script in the first of two runs


def voter_settings(folder: Path) -> ControlSettings:
    """The settings of a voter that is alone in its cluster, with its state below this folder."""
    return control_settings(folder, VOTER.format(folder=folder / "voter"), VOTERS)


async def run_voter(settings: ControlSettings, commands: list[dict[str, Any]]) -> RaftLog:
    """A voter alone in its cluster, started on its folder, given commands, and stopped."""
    raft = RaftLog(settings, Counter())
    running = asyncio.get_running_loop().create_task(raft.run())
    try:
        async with asyncio.timeout(PATIENCE_S):
            await wait_until(raft.ready, PATIENCE_S)
            # All are submitted in this order before the first is answered.
            await asyncio.gather(*(raft.submit(command) for command in commands))
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    return raft


def state_folder(settings: ControlSettings) -> Path:
    """The folder of a voter's state."""
    assert settings.folder is not None
    return settings.folder


def journal_records(path: Path) -> bytes:
    """The records of a journal, without its head, which names the library's version, and without its rest."""
    data = path.read_bytes()
    end: int = struct.unpack_from("<I", data, JOURNAL_END_AT)[0]
    return data[JOURNAL_HEAD:end]


def voter_files() -> dict[str, bytes]:
    """The parts of a voter's folder that do not depend on time."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings = voter_settings(folder)
        asyncio.run(run_voter(settings, [*SCRIPT, HEARTBEAT, POLICY_READ]))
        journal = journal_records(state_folder(settings) / "journal")
        owner = (state_folder(settings) / "voter").read_bytes()
    return {"journal-records.bin": journal, "voter.json": owner}


def record_folder() -> None:
    """Record the folder after two runs.

    The library writes a snapshot at the start; the whole script is in the journal.
    """
    shutil.rmtree(FOLDER, ignore_errors=True)
    with tempfile.TemporaryDirectory() as name:
        settings = voter_settings(Path(name))
        asyncio.run(run_voter(settings, SCRIPT[:FIRST_RUN]))
        asyncio.run(run_voter(settings, [*SCRIPT[FIRST_RUN:], HEARTBEAT]))
        shutil.copytree(state_folder(settings), FOLDER)
