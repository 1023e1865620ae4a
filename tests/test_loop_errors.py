"""Tests of the report of errors that escape from callbacks and tasks of an event loop."""

import asyncio
import logging
from collections import Counter

import pytest

from maplestile.common.loop_errors import LoopErrorReporter
from maplestile.common.stream_server import start_stream_server
from tests.standins import PATIENCE_S


def test_error_of_one_connection_is_counted_and_logged_and_the_others_are_served(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against errors of connections that leave no counter, and a log that they can flood."""
    counters = Counter[str]()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await reader.read(1)
        if request == b"x":
            raise RuntimeError("simulated failure")
        writer.write(request)
        writer.close()

    async def answer_to(port: int, request: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        answer = await reader.read()
        writer.close()
        return answer

    async def scenario() -> list[bytes]:
        LoopErrorReporter(counters).install()
        server = await start_stream_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(PATIENCE_S), server:
            return [await answer_to(port, request) for request in (b"x", b"1", b"x", b"2")]

    with caplog.at_level(logging.WARNING):
        assert asyncio.run(scenario()) == [b"", b"1", b"", b"2"]
    assert counters == {"loop.errors": 2}
    assert caplog.text.count("RuntimeError: simulated failure") == 2
    assert {record.levelno for record in caplog.records} == {logging.WARNING}  # these have a rate limit


def test_connections_that_are_open_at_the_exit_are_no_errors(caplog: pytest.LogCaptureFixture) -> None:
    counters = Counter[str]()

    async def scenario() -> None:
        LoopErrorReporter(counters).install()
        accepted = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
            accepted.set()
            await reader.read()

        server = await start_stream_server(serve, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        async with asyncio.timeout(PATIENCE_S):
            await accepted.wait()
        server.close()
        writer.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.01)

    with caplog.at_level(logging.WARNING):
        asyncio.run(scenario())
    assert (dict(counters), caplog.records) == ({}, [])
