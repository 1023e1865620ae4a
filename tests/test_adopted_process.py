"""Processes that an earlier agent has left, and the logs that they write to."""

import asyncio
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from maplestile.agent.adopted_process import AdoptedProcess, ProcessGone, started_of
from maplestile.agent.log_reader import lines
from maplestile.agent.process_registry import ProcessRegistry
from tests.standins import PATIENCE_S


def start_sleeping_process() -> subprocess.Popen[bytes]:
    """A process that outlasts the test unless it is ended."""
    return subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])


def assert_other_starts_are_refused(pid: int) -> None:
    """Check that a process is not adopted under another time of start than its own."""
    for started in (started_of(pid) + 1, 0):
        try:
            AdoptedProcess(pid, started)
        except ProcessGone:
            continue
        raise AssertionError("another process passed for it")


def test_a_process_is_adopted_by_its_pid_and_its_time_of_start() -> None:
    folder = Path(tempfile.mkdtemp())
    child = start_sleeping_process()

    async def adopt_and_end() -> None:
        registry = ProcessRegistry(folder)
        registry.record("r", child.pid)
        orphan = ProcessRegistry(folder).orphan("r")
        assert orphan is not None and orphan.pid == child.pid and orphan.returncode is None
        assert ProcessRegistry(folder).orphan("other") is None
        assert_other_starts_are_refused(child.pid)
        orphan.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE_S):
            assert await orphan.wait() == 0
        orphan.send_signal(signal.SIGTERM)  # nobody there: nothing happens
        child.wait()
        assert ProcessRegistry(folder).orphan("r") is None
        registry.record("r", None)
        for damaged in (b"", b"{}", b'{"version": 1, "sum": "", "body": {}}'):
            (folder / "roster.json").write_bytes(damaged)
            assert ProcessRegistry(folder).processes == {}

    try:
        asyncio.run(adopt_and_end())
    finally:
        child.kill()


LONG_LINE_BYTES = 9 << 20  # past the size at which the reader truncates the log
TRUNCATED_LOG_BYTES = 100  # more than a log has after its truncation in this test


def test_the_lines_of_a_log_are_read_to_its_writers_end_and_it_does_not_grow_for_good() -> None:
    path = Path(tempfile.mkdtemp()) / "r.log"
    path.write_bytes(b"old\n")

    async def read_while_writing() -> list[bytes]:
        ended = asyncio.Event()
        found = list[bytes]()
        with path.open("ab", buffering=0) as writer:
            async for line in lines(path, 4, ended):
                found.append(line)
                if len(found) == 1:
                    writer.write(b"x" * LONG_LINE_BYTES + b"\nthird\n")
                if line == b"third\n":
                    asyncio.get_running_loop().call_later(0.2, writer.write, b"last\n")
                    asyncio.get_running_loop().call_later(0.3, ended.set)
                if line == b"last\n":
                    assert path.stat().st_size < TRUNCATED_LOG_BYTES
        return found

    with path.open("ab") as file:
        file.write(b"first\n")
    found = asyncio.run(read_while_writing())
    first, long_line, *rest = found
    assert [first, *rest] == [b"first\n", b"third\n", b"last\n"] and len(long_line) == LONG_LINE_BYTES + 1
    assert Path(path).exists()
