"""Tests that a connection ends once its handler has, on an agent's command port and with the bare server.

All connections are real ones on loopback.
"""

import ast
import asyncio
import socket
import unittest
from collections import Counter

from maplestile.agent.command_results import ProcessStatuses
from maplestile.agent.command_server import AgentCommand, CommandServer
from maplestile.common.loop_errors import LoopErrorReporter
from maplestile.common.stream_server import start_stream_server
from tests.standins import ROOT, wait_until

END_S = 1.0  # within which a client must see the end of its connection
STATUS = b'{"do": "status"}\n'
SERVER_MODULE = ROOT / "maplestile" / "common" / "stream_server.py"


class HandlerEndTest(unittest.IsolatedAsyncioTestCase):
    """A command server whose `status` command fails, or waits for its cancellation."""

    async def asyncSetUp(self) -> None:
        self.counters = Counter[str]()
        LoopErrorReporter(self.counters).install()
        self.command_server = CommandServer({}, lambda: None, self.counters)
        self.server = await self.command_server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def read_to_end(self) -> bytes:
        """Send a `status` command, and return what comes until the connection ends, without closing it."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(STATUS)
        async with asyncio.timeout(END_S):
            return await reader.read()

    # Guards against clients that wait for the answer of a handler that has failed.
    async def test_connection_ends_after_an_error_that_no_handler_expects(self) -> None:
        async def fail(_command: AgentCommand) -> ProcessStatuses:
            raise RuntimeError("simulated failure")

        self.command_server.handlers["status"] = fail
        with self.assertLogs(level="WARNING"):
            for number in (1, 2):
                self.assertEqual(await self.read_to_end(), b"")
                self.assertEqual(self.counters["loop.errors"], number)
        del self.command_server.handlers["status"]
        self.assertIn(b"error", await self.read_to_end())

    async def test_connection_ends_after_its_handler_was_cancelled(self) -> None:
        tasks = list[asyncio.Task[object] | None]()

        async def wait(_command: AgentCommand) -> ProcessStatuses:
            tasks.append(asyncio.current_task())
            await asyncio.Event().wait()
            raise AssertionError

        self.command_server.handlers["status"] = wait
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(STATUS)
        await wait_until(lambda: tasks)
        assert tasks[0] is not None
        tasks[0].cancel()
        async with asyncio.timeout(END_S):
            self.assertEqual(await reader.read(), b"")
        self.assertEqual(self.counters["loop.errors"], 0)

    async def test_connection_of_a_client_that_stays_ends_after_the_answer(self) -> None:
        self.assertTrue((await self.read_to_end()).endswith(b"}\n"))
        self.assertEqual(self.counters["loop.errors"], 0)


class UnreadAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A handler that fails while its client reads nothing."""

    async def test_connection_ends_although_its_client_reads_nothing(self) -> None:
        async def fail(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(bytes(20_000_000))
            raise RuntimeError("simulated failure")

        LoopErrorReporter(Counter()).install()
        server = await start_stream_server(fail, "127.0.0.1", 0)
        self.addCleanup(server.close)
        with (
            self.assertLogs(level="WARNING"),
            socket.create_connection(server.sockets[0].getsockname()) as client,
        ):
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await asyncio.sleep(END_S)
            received = 0
            async with asyncio.timeout(END_S):
                while data := await loop.sock_recv(client, 1 << 20):
                    received += len(data)
        self.assertLess(received, 20_000_000)


def test_every_stream_server_of_the_product_is_this_one() -> None:
    """Guards against a server whose connections outlive a failed handler on some versions of Python."""
    files = [file for file in (ROOT / "maplestile").rglob("*.py") if file != SERVER_MODULE]
    uses = [
        f"{file.relative_to(ROOT)}:{node.lineno}"
        for file in files
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Attribute) and node.attr in ("start_server", "start_unix_server")
    ]
    assert not uses
