"""Tests of processes that an earlier agent left running: how they are adopted, and their logs read."""

import asyncio
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from maplestile.agent.adopted_process import AdoptedProcess, ProcessGone, start_time_of
from maplestile.agent.log_reader import read_lines
from maplestile.agent.process_registry import ProcessRegistry
from tests.standins import PATIENCE_S


def start_sleeping_process() -> subprocess.Popen[bytes]:
    """Start a process that outlasts the test unless the test ends it."""
    return subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])


def assert_other_start_times_are_refused(pid: int) -> None:
    """Check that a process cannot be adopted with a start time other than its own."""
    for start_time in (start_time_of(pid) + 1, 0):
        try:
            AdoptedProcess(pid, start_time)
        except ProcessGone:
            continue
        raise AssertionError(f"process {pid} was adopted with the wrong start time {start_time}")


def test_adopts_only_process_with_recorded_pid_and_start_time() -> None:
    """The adopted process can be signaled and waited for; a damaged record is read as an empty one."""
    folder = Path(tempfile.mkdtemp())
    child = start_sleeping_process()

    async def adopt_and_end() -> None:
        registry = ProcessRegistry(folder)
        registry.record("r", child.pid)
        orphan = ProcessRegistry(folder).find_orphan("r")
        assert orphan is not None and orphan.pid == child.pid and orphan.returncode is None
        assert ProcessRegistry(folder).find_orphan("other") is None
        assert_other_start_times_are_refused(child.pid)
        orphan.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE_S):
            assert await orphan.wait() == 0
        orphan.send_signal(signal.SIGTERM)  # the process has ended: no effect, and no error
        child.wait()
        assert ProcessRegistry(folder).find_orphan("r") is None
        registry.record("r", None)
        for damaged in (b"", b"{}", b'{"version": 1, "sum": "", "body": {}}'):
            (folder / "roster.json").write_bytes(damaged)
            assert ProcessRegistry(folder).processes == {}

    try:
        asyncio.run(adopt_and_end())
    finally:
        child.kill()


LONG_LINE_BYTES = 9 << 20  # more than the size at which the reader truncates the log
MAX_TRUNCATED_LOG_BYTES = 100  # more than this test writes after the truncation


def test_reads_log_until_writer_ends_and_truncates_large_log() -> None:
    """Lines before the offset are skipped; a line that the writer appends after the truncation is read."""
    path = Path(tempfile.mkdtemp()) / "r.log"
    path.write_bytes(b"old\n")

    async def read_while_writing() -> list[bytes]:
        writer_ended = asyncio.Event()
        found = list[bytes]()
        with path.open("ab", buffering=0) as writer:
            async for line in read_lines(path, 4, writer_ended):
                found.append(line)
                if len(found) == 1:
                    writer.write(b"x" * LONG_LINE_BYTES + b"\nthird\n")
                if line == b"third\n":
                    asyncio.get_running_loop().call_later(0.2, writer.write, b"last\n")
                    asyncio.get_running_loop().call_later(0.3, writer_ended.set)
                if line == b"last\n":
                    assert path.stat().st_size < MAX_TRUNCATED_LOG_BYTES
        return found

    with path.open("ab") as file:
        file.write(b"first\n")
    found = asyncio.run(read_while_writing())
    first, long_line, *rest = found
    assert [first, *rest] == [b"first\n", b"third\n", b"last\n"] and len(long_line) == LONG_LINE_BYTES + 1
    assert Path(path).exists()
