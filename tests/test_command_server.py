"""Tests of an agent's command server whose clients reset their connections or send what cannot be read."""

import asyncio
import json
import socket
import unittest
from collections import Counter
from typing import Any, cast

from maplestile.agent.command_client import send_command
from maplestile.agent.command_results import ProcessStatuses
from maplestile.agent.command_server import AgentCommand, CommandServer, ControlCommands
from tests.standins import PATIENCE_S, reset_on_close, wait_until

NESTED_TOO_DEEPLY = b"[" * 60_000 + b"\n"


class CommandServerTest(unittest.IsolatedAsyncioTestCase):
    """A command server without instances, whose `status` command waits until the test lets it go on."""

    async def asyncSetUp(self) -> None:
        self.counters = Counter[str]()
        self.may_answer = asyncio.Event()
        self.waiting = 0
        self.command_server = CommandServer({}, lambda: None, self.counters)
        self.command_server.handlers["status"] = self.answer_late
        self.server = await self.command_server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.address = self.server.sockets[0].getsockname()

    async def answer_late(self, _command: AgentCommand) -> ProcessStatuses:
        """Answer a `status` command once the test allows it."""
        self.waiting += 1
        await self.may_answer.wait()
        return ProcessStatuses({})

    def send(self, line: bytes) -> socket.socket:
        """Open a connection, and send a command."""
        client = socket.create_connection(self.address)
        self.addCleanup(client.close)
        client.sendall(line)
        return client

    async def assert_serves(self, unanswered: int) -> None:
        """Check that this number of commands could not be answered, and that another one is."""
        await wait_until(lambda: self.counters["commands.unanswered"] >= unanswered)
        self.assertEqual(self.counters["commands.unanswered"], unanswered)
        self.may_answer.set()
        async with asyncio.timeout(PATIENCE_S):
            answer: dict[str, Any] = await send_command(self.address[:2], "status", [])
        self.assertNotIn("error", answer)

    async def test_reset_before_the_answer_ends_that_connection_alone(self) -> None:
        """Guards against resets of the command line's connections that leave no counter."""
        client = self.send(json.dumps({"do": "status", "instances": []}).encode() + b"\n")
        await wait_until(lambda: self.waiting == 1)
        reset_on_close(client)
        client.close()
        await asyncio.sleep(0.05)  # for the event loop to read the reset
        self.may_answer.set()
        await self.assert_serves(1)

    async def test_reset_before_the_command_is_complete_ends_that_connection_alone(self) -> None:
        client = self.send(b'{"do": ')
        reset_on_close(client)
        client.close()
        await self.assert_serves(1)

    async def test_command_that_is_nested_too_deeply_is_answered_with_an_error(self) -> None:
        client = self.send(NESTED_TOO_DEEPLY)
        answer = await asyncio.to_thread(client.makefile().readline)
        self.assertIn("not understood", json.loads(answer)["error"])
        await self.assert_serves(0)

    async def test_control_command_whose_content_is_no_map_is_answered_with_an_error(self) -> None:
        """Guards against a line that ends its connection without an answer."""
        self.command_server.enable_control(cast(ControlCommands, ReadingControl()))
        for name in ("rollout", "policy"):
            for content in (b"[1]", b"5", b'"x"', b"true"):
                client = self.send(
                    b'{"do": "%b", "what": "start", "command": %b}\n' % (name.encode(), content)
                )
                answer = await asyncio.to_thread(client.makefile().readline)
                self.assertEqual(json.loads(answer)["error"], "'command' must be a map")
        await self.assert_serves(0)


class ReadingControl:
    """A control plane that reads a field of each command, as the real one does."""

    async def execute_rollout_command(self, _operation: str, command: dict[str, Any]) -> ProcessStatuses:
        """Read the command."""
        command.get("budget")
        return ProcessStatuses({})

    execute_policy_command = execute_rollout_command
