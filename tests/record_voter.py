"""Records the files of a voter of the control plane."""

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

RECORDED_FOLDER = RECORDED / "voter"
JOURNAL_HEADER_BYTES = 40  # bytes before the records
RECORDS_END_OFFSET = 36  # the offset of the 4-byte field in the header that holds the end of the records
TIMEOUT_S = 30.0
VOTER_LINES = """listen = "127.0.0.1:0"
folder = "{folder}"
"""
VOTERS_TABLE = """
[[voter]]
name = "a0"
address = "127.0.0.1:1"
"""
FIRST_RUN_COMMANDS = 100  # how many commands of the script the first of two runs submits


def voter_settings(folder: Path) -> ControlSettings:
    """Return the settings of the only voter of a cluster, with its files below this folder."""
    return control_settings(folder, VOTER_LINES.format(folder=folder / "voter"), VOTERS_TABLE)


async def run_voter(settings: ControlSettings, commands: list[dict[str, Any]]) -> RaftLog:
    """Start the only voter of a cluster on its folder, submit the commands, stop it, and return it."""
    raft = RaftLog(settings, Counter())
    running = asyncio.get_running_loop().create_task(raft.run())
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await wait_until(raft.is_ready, TIMEOUT_S)
            # All commands are submitted in this order before the first reply comes.
            await asyncio.gather(*(raft.submit(command) for command in commands))
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    return raft


def state_folder(settings: ControlSettings) -> Path:
    """Return the folder of a voter's files."""
    assert settings.folder is not None
    return settings.folder


def journal_records(path: Path) -> bytes:
    """Return the records of a journal.

    The header is left out because it contains the library's version, as is the unused rest of the file.
    """
    data = path.read_bytes()
    end: int = struct.unpack_from("<I", data, RECORDS_END_OFFSET)[0]
    return data[JOURNAL_HEADER_BYTES:end]


def voter_files() -> dict[str, bytes]:
    """Return the content of those files of a voter that do not depend on the time, by recorded name."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings = voter_settings(folder)
        asyncio.run(run_voter(settings, [*SCRIPT, HEARTBEAT, POLICY_READ]))
        journal = journal_records(state_folder(settings) / "journal")
        owner = (state_folder(settings) / "voter").read_bytes()
    return {"journal-records.bin": journal, "voter.json": owner}


def record_folder() -> None:
    """Record the voter's folder after two runs.

    The library writes a snapshot at startup; the journal contains the whole script.
    """
    shutil.rmtree(RECORDED_FOLDER, ignore_errors=True)
    with tempfile.TemporaryDirectory() as name:
        settings = voter_settings(Path(name))
        asyncio.run(run_voter(settings, SCRIPT[:FIRST_RUN_COMMANDS]))
        asyncio.run(run_voter(settings, [*SCRIPT[FIRST_RUN_COMMANDS:], HEARTBEAT]))
        shutil.copytree(state_folder(settings), RECORDED_FOLDER)
