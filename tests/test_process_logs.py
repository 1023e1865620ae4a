"""Tests of what a supervised process may write to its log, and of a log that cannot be written."""

import asyncio
import contextlib
import fcntl
import io
import logging
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from maplestile.agent.process_registry import ProcessRegistry
from maplestile.agent.settings import AgentSettings, InstanceSettings
from maplestile.agent.supervised_process import SupervisedProcess
from maplestile.common import logs
from maplestile.common.standard_error import MAX_PENDING_BYTES, StandardError
from maplestile.common.text import MAX_TEXT_CHARACTERS, shortened
from maplestile.wire import jsonrpc
from maplestile.wire.jsonrpc_params import AllowedNames
from maplestile.wire.limits import Limits
from tests.standins.waiting import PATIENCE_S

LONG_LINE_BYTES = 300_000  # more than asyncio's limit of a line, and than what a pipe holds
WRITE = "import sys; w = sys.stderr.write; {}; w(chr(10) + 'the end' + chr(10)); sys.stderr.flush()"
ODD_OUTPUT = {
    "a long line": f"w('x' * {LONG_LINE_BYTES})",
    "nested JSON": "w('{\"a\":' + '[' * 100_000 + ']' * 100_000 + '}')",
    "no text": "sys.stderr.buffer.write(bytes(range(256)) * 1000)",
    "no end of line": f"w(('y' * 1000 + chr(13)) * {LONG_LINE_BYTES // 1000})",
}


def supervised(command: str, registry: ProcessRegistry | None) -> SupervisedProcess:
    """Return the supervision of a Python program, which is not started yet."""
    instance = InstanceSettings("odd", (sys.executable, "-c", command), (), None, "")
    agent = AgentSettings(("127.0.0.1", 0), (instance,), 0.01, 0.02, 60.0, 5.0)
    return SupervisedProcess(instance, agent, lambda _: instance, registry)


async def until_started_again(process: SupervisedProcess) -> None:
    """Supervise a process until it has been restarted twice."""
    task = asyncio.get_running_loop().create_task(process.run())
    try:
        async with asyncio.timeout(PATIENCE_S):
            while process.starts < 3:
                assert not task.done(), task.exception()
                await asyncio.sleep(0.01)
    finally:
        await process.stop()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize("logs_to", ["pipe", "file"])
@pytest.mark.parametrize("output", ODD_OUTPUT.values(), ids=ODD_OUTPUT.keys())
def test_odd_output_ends_neither_the_reading_nor_the_supervision(
    output: str, logs_to: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a router that blocks for good, because its agent has stopped reading its log."""
    registry = ProcessRegistry(Path(tempfile.mkdtemp())) if logs_to == "file" else None
    process = supervised(WRITE.format(output), registry)
    asyncio.run(until_started_again(process))
    assert capsys.readouterr().err.count("[odd] the end\n") >= 2 and not process.failures


def test_failure_while_a_line_is_handled_does_not_end_the_reading() -> None:
    """Guards against a supervision that ends on an exception that nobody sees."""
    process = supervised(WRITE.format("w('line')"), None)
    lines = list[bytes]()

    def handle(line: bytes) -> None:
        lines.append(line)
        if len(lines) == 1:
            raise RuntimeError

    process.output.handle = handle  # type: ignore[method-assign]
    asyncio.run(until_started_again(process))
    assert process.failures == 1 and lines.count(b"the end\n") >= 1


def test_process_whose_log_can_never_be_read_is_restarted_at_its_end() -> None:
    """Guards against a supervision that goes on reading, and does not notice the end of the process."""
    process = supervised("pass", None)

    async def fail(*_: object) -> int:
        raise OSError

    process.launcher.follow = fail  # type: ignore[method-assign, assignment]
    asyncio.run(until_started_again(process))


@contextlib.contextmanager
def full_pipe() -> Any:
    """Yield the two ends of a pipe that holds as much as it can."""
    reader, writer = os.pipe()
    size = fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ)
    os.write(writer, b"x" * size)
    yield reader, writer, size
    for end in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(end)


def test_log_to_a_pipe_that_nobody_reads_does_not_block_and_goes_on_once_it_is_read() -> None:
    """Guards against a router that blocks in a log line because the reader of its log has stopped."""

    async def log_while_nobody_reads() -> bytes:
        with full_pipe() as (reader, writer, size):
            stream = StandardError(writer)
            print("first", file=stream, flush=True)
            for _ in range(3):
                print("y" * (MAX_PENDING_BYTES // 2 - 100), file=stream, flush=True)
            print("lost" * 100, file=stream, flush=True)
            assert os.read(reader, size) == b"x" * size
            os.set_blocking(reader, False)
            found = b""
            while found.count(b"\n") < 3:  # without a further text that would cause another try
                await asyncio.sleep(0.01)
                with contextlib.suppress(BlockingIOError):
                    found += os.read(reader, size)
            print("last", file=stream, flush=True)
            return found + os.read(reader, size)

    async def within(action: Callable[[], Awaitable[bytes]]) -> bytes:
        async with asyncio.timeout(PATIENCE_S):
            return await action()

    found = asyncio.run(within(log_while_nobody_reads)).split(b"\n")
    assert (found[0], len(found[1]), len(found[2])) == (b"first", *[MAX_PENDING_BYTES // 2 - 100] * 2)
    assert found[3:] == [b"(2 texts were lost: standard error could not be written)", b"last", b""]


def test_log_that_cannot_be_written_raises_nothing() -> None:
    """Guards against a process that ends because its log's reader has gone, or the disk is full."""
    reader, writer = os.pipe()
    os.close(reader)
    with Path("/dev/full").open("wb", buffering=0) as full:
        for descriptor in (writer, full.fileno()):
            stream = StandardError(descriptor)
            print("text", file=stream, flush=True)
            logging.StreamHandler(stream).emit(logging.LogRecord("x", 1, "", 0, "text", (), None))
    os.close(writer)


def test_logged_text_is_limited() -> None:
    """Guards against log lines as long as what a client has sent."""
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    root = logging.getLogger()
    handlers, root.handlers = root.handlers, []
    error = sys.stderr
    try:
        logs.start()
        handler.setFormatter(root.handlers[0].formatter)
        record = logging.LogRecord("x", logging.INFO, "", 0, "rejected: %s", ("z" * 1_000_000,), None)
        handler.emit(record)
    finally:
        root.handlers = handlers
        sys.stderr = error
    text = stream.getvalue()
    assert (
        len(text) < MAX_TEXT_CHARACTERS + 100 and text.startswith("INFO rejected: zz") and "left out" in text
    )
    assert shortened("abc" * 4, 6) == "abc (6 characters left out) abc"


@pytest.mark.parametrize("value", ["\U00090000" * 8_000, "9" * 5_000, 10**400, [], None, {}, "x"])
def test_error_about_a_figure_does_not_quote_it_whole(value: object) -> None:
    """Guards against answers and log lines of 80 KB for a message of 32 KB whose `limit` is no number."""
    names = AllowedNames({"review": False}, frozenset())
    params = {"txn": "1", "limit": value, "item": "f"}
    call = {"jsonrpc": "2.0", "id": 1, "method": "review", "params": params}
    message = jsonrpc.frame(call).partition(b"\r\n\r\n")[2]
    with pytest.raises(jsonrpc.RpcError) as error:
        jsonrpc.parse(memoryview(message), Limits().messages, names)
    assert len(str(error.value)) < 300 and error.value.code == jsonrpc.INVALID_PARAMS
