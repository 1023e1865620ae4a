"""Tests of connections that a client has reset before the event loop has noticed it.

Every call on such a socket may fail. The failure must end that connection alone.
"""

import asyncio
import select
import socket
import unittest
from collections import Counter
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import cast

from maplestile.net.http import HttpFront
from maplestile.wire.http import Application, FrontLimits
from tests.front_fixture import CALL_FRAME, FrontTestCase
from tests.standins import PATIENCE_S, reset_on_close, wait_until

RESET_EVENTS = select.POLLERR | select.POLLHUP


def reset(client: socket.socket, server_side: socket.socket) -> None:
    """Reset a connection, and return once the server's socket shows it; the event loop does not run."""
    reset_on_close(client)
    client.close()
    poll = select.poll()
    poll.register(server_side.fileno(), RESET_EVENTS)
    assert poll.poll(PATIENCE_S * 1000), "the reset has not arrived"


def server_socket(writer: asyncio.StreamWriter) -> socket.socket:
    """Return the socket of an accepted connection."""
    return cast(socket.socket, writer.get_extra_info("socket"))


class PlatformResetTest(FrontTestCase):
    """Resets at the platform front while it closes its connections."""

    async def connect_to_reset(self) -> socket.socket:
        """Connect the client that will reset its connection; it is the first of the front's clients."""
        client = socket.create_connection(self.server.address)
        self.addCleanup(client.close)
        await self.wait_until_connected()
        return client

    async def test_reset_before_graceful_close_ends_that_connection_alone(self) -> None:
        """Guards against ENOTCONN of one half-close ending a draining router with its calls open."""
        closes: list[Callable[[], None]] = [partial(self.front.close_gracefully, 0), self.front.close_all]
        for close in closes:
            self.counters.clear()
            resetting = await self.connect_to_reset()
            other = await self.connect()
            await other.check()
            reset(resetting, server_socket(next(iter(self.front.clients)).writer))
            with self.assertLogs("maplestile.net", "WARNING") as logs:
                close()
            self.assertIn("reset its connection before the router closed it", logs.output[0])
            self.assertEqual(self.counters["clients.reset_before_close"], 1)
            self.assertTrue(await other.is_closed())
            other.writer.close()
            await self.wait_until_disconnected()

    async def test_answer_to_disconnected_client_does_not_raise_where_the_runner_is_read(self) -> None:
        """Guards against a client's reset ending the runner connection whose answer meets it."""
        self.front.close_gracefully(0)
        client = await self.connect_to_reset()
        client.sendall(CALL_FRAME)
        await self.wait_until_calls_are_open()
        accepted = next(iter(self.front.clients))
        client.close()
        await wait_until(lambda: accepted.reader.ended)
        self.answer_attempt()  # the client's system answers with a reset, at once
        self.assertEqual(self.harness.core.open, {})
        await self.wait_until_disconnected()


class HttpResetTest(unittest.IsolatedAsyncioTestCase):
    """Resets at an HTTP front while it closes its connections."""

    async def test_reset_before_graceful_close_ends_that_connection_alone(self) -> None:
        """Guards against ENOTCONN of one half-close ending a router while its invoke front closes."""
        counters = Counter[str]()
        api = SimpleNamespace(bounds=FrontLimits(4, 60.0, 10_000_000, 100, 100_000, 16))
        http = HttpFront("invoke", cast(Application, api), counters, lambda: 0)
        server = await http.start("127.0.0.1", 0)
        resetting = socket.create_connection(server.address)
        await wait_until(lambda: len(http.state.idle) == 1)
        reader, writer = await asyncio.open_connection(*server.address)
        await wait_until(lambda: len(http.state.idle) == 2)
        reset(resetting, server_socket(next(iter(http.state.idle)).writer))
        with self.assertLogs("maplestile.net", "WARNING") as logs:
            http.close_idle_connections()
        self.assertIn("reset its connection before the router closed it", logs.output[0])
        self.assertEqual(counters["invoke.reset_before_close"], 1)
        async with asyncio.timeout(PATIENCE_S):
            self.assertEqual(await reader.read(), b"")
            writer.close()
            await http.close_gracefully(server)
        self.assertEqual(http.connections, 0)
