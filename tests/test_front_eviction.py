"""Tests of eviction at the platform front: which connection is closed for a new one at the limit."""

import asyncio
import socket

from maplestile.dispatch.api import Result
from maplestile.net.client_reader import ClientReader
from maplestile.wire.jsonrpc import REFUSED
from tests.front_fixture import (
    CALL_FRAME,
    CALL_LIMIT_MS,
    CLIENT_LIMITS,
    FakeTimestamps,
    FrontTestCase,
    call_frame,
    changed_limits,
    error_code,
)
from tests.standins import PATIENCE_S, wait_until
from tests.test_machines import framed, message

ANSWER_BYTES = 30_000  # more than the receive buffer of a slow client, and less than the send buffer


class EvictionTest(FrontTestCase):
    """The limit `CLIENT_LIMITS.connections` is two connections."""

    async def fill_to_connection_limit(self) -> None:
        """Open connections up to the limit, each with a pending call."""
        for _ in range(CLIENT_LIMITS.connections):
            client = await self.connect()
            client.send(call_frame(1))
        await self.wait_until_calls_are_open(CLIENT_LIMITS.connections)

    async def test_refuses_requests_of_new_connections_over_limit(self) -> None:
        # Time limits that are long enough for the new clients to write, even on a busy machine.
        self.front.limits = changed_limits(first_request_us=20_000_000, message_us=20_000_000)
        await self.fill_to_connection_limit()
        new_clients = [await self.connect() for _ in range(5)]
        partial_frame = framed(message(limit=CALL_LIMIT_MS)[:-1] + b"}")[:40]
        for new_client in new_clients:
            new_client.send(CALL_FRAME + partial_frame)
        for new_client in new_clients:
            await new_client.writer.drain()
        for new_client in new_clients:
            self.assertEqual(error_code(await new_client.read_answer()), REFUSED)
        self.assertEqual(self.counters["clients.refused_at_cap"], 5)
        self.assertEqual(len(self.harness.core.open), CLIENT_LIMITS.connections)

    async def test_does_not_evict_connection_with_unhandled_request(self) -> None:
        """The request is in the stream's buffer, but the front's reading task has not run yet."""
        clients = [await self.connect() for _ in range(2)]
        for client in clients:
            await client.check()
        accepted = next(iter(self.front.clients))
        accepted.reader.feed_data(CALL_FRAME)
        self.assertTrue(self.front.evict_idle())
        self.assertIn(accepted, self.front.clients)
        await self.wait_until_calls_are_open()

    async def test_evicts_connection_with_one_request_before_new_one_without(self) -> None:
        """Guards against closing a new connection after 0.2 s, with its first request on the way.

        Connections that already sent a request and stay idle are evicted before it.
        """
        early = await self.connect()
        await early.check()
        late = await self.connect()
        await self.wait_until_connected(2)
        self.harness.now += CLIENT_LIMITS.first_request_us + 1
        self.assertTrue(self.front.evict_idle())
        self.assertTrue(await early.is_closed())
        self.assertEqual((await late.check(2))["id"], 2)
        await self.connect()
        await self.wait_until_connected(2)
        self.harness.now += CLIENT_LIMITS.silent_us + 1
        self.assertTrue(self.front.evict_idle())  # the one that sent no request within `silent_us`
        self.assertEqual((await late.check(3))["id"], 3)

    async def test_evicts_clients_with_one_request_before_returning_client(self) -> None:
        """Guards against a crowd of one-time clients evicting every client in use.

        The evicted clients' next requests then crossed the close of their connections.
        """
        returning_client = await self.connect()
        for id_ in (1, 2):
            await returning_client.check(id_)
        for _ in range(5):
            one_time_client = await self.connect()
            await one_time_client.check()
        self.assertEqual((await returning_client.check(3))["id"], 3)
        self.assertEqual(self.counters["clients.idle_evicted"], 4)

    async def test_evicts_connection_with_incomplete_request_only_after_time_limit(self) -> None:
        self.front.limits = changed_limits(message_us=9_000_000)
        clients = [await self.connect() for _ in range(2)]
        for client in clients:
            client.send(CALL_FRAME[:50])
        await wait_until(
            lambda: sum(bool(accepted.framer.incomplete) for accepted in self.front.clients) >= 2
        )
        self.harness.now += self.front.limits.clients.first_request_us + 1
        self.assertFalse(self.front.evict_idle())
        self.timestamps.earliest_event_us = self.harness.now
        clients[0].send(CALL_FRAME[50:])
        await self.wait_until_calls_are_open()
        self.harness.now += self.front.limits.clients.unfinished_eviction_us
        self.assertTrue(self.front.evict_idle())  # the one whose request stays incomplete
        self.assertEqual((self.counters["clients.unfinished_evicted"], len(self.harness.core.open)), (1, 1))

    async def test_evicts_longest_idle_connection_and_none_with_pending_answer(self) -> None:
        first = await self.connect()
        await first.check()
        second = await self.connect()
        await second.check()
        first.send(CALL_FRAME)
        await self.wait_until_calls_are_open()
        third = await self.connect()
        await third.check()
        self.assertTrue(await second.is_closed())  # idle, and for longer than the third
        self.assertEqual((len(self.harness.core.open), self.counters["clients.idle_evicted"]), (1, 1))

    async def test_does_not_evict_newest_connection(self) -> None:
        """The newest connection must not be evicted only because it is the one without a request so far."""
        idle = await self.connect()
        await idle.check()
        new_client = await self.connect()
        await self.wait_until_connected(2)
        await self.connect()
        self.assertTrue(await idle.is_closed())
        self.assertEqual((await new_client.check())["id"], 1)

    async def test_ignores_request_that_crosses_eviction(self) -> None:
        await self.connect()
        await self.wait_until_connected()
        accepted = next(iter(self.front.clients))
        self.assertTrue(self.front.evict_idle())
        accepted.reader = ClientReader(1 << 16, FakeTimestamps())
        accepted.reader.feed_data(CALL_FRAME)  # read before the close, handled after it
        await self.front._read_all(accepted)
        self.assertEqual(self.harness.core.counters["requests.taken"], 0)

    async def test_evicts_past_connection_whose_socket_is_closed_already(self) -> None:
        """Guards against an eviction failing on a lost connection whose reading task has not run yet.

        The error reached the new connection, or a drain that needed the descriptor, and so the process.
        """
        for client in [await self.connect() for _ in range(2)]:
            await client.check()
        lost, idle = self.front.clients
        lost.writer.transport.abort()
        await asyncio.sleep(0)  # the transport closes the socket; the reading task runs next
        self.assertEqual(lost.writer.get_extra_info("socket").fileno(), -1)
        self.assertTrue(self.front.evict_idle())
        self.assertEqual(list(self.front.clients), [idle])


class SlowReaderTest(FrontTestCase):
    """Clients that have not received all of their answers when a connection is needed."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.slow = socket.socket()
        self.addCleanup(self.slow.close)
        self.slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.slow.connect(self.server.address)
        self.slow.sendall(CALL_FRAME)
        await self.wait_until_calls_are_open()
        self.harness.core.attempt_ended(self.harness.sent[0], Result.OK, bytes(ANSWER_BYTES))
        (self.accepted,) = self.front.clients
        await wait_until(lambda: not self.accepted.unsent_bytes(0))  # the kernel has taken all of it
        self.assertGreater(self.accepted.undelivered_bytes(), 0)

    async def read_answer(self) -> bytes:
        """Have the slow client read its whole answer."""
        self.slow.setblocking(False)
        answer = b""
        async with asyncio.timeout(PATIENCE_S):
            while not answer.endswith(b"}}"):
                answer += await asyncio.get_running_loop().sock_recv(self.slow, 1 << 20)
        return answer

    async def test_evicts_another_client_than_one_with_undelivered_answers(self) -> None:
        """Guards against a reset in the midst of an answer, when a request meets the closed connection."""
        idle = await self.connect()
        await idle.check()  # used later than the slow client
        self.assertTrue(self.front.evict_idle())
        self.assertTrue(await idle.is_closed())
        self.assertEqual(list(self.front.clients), [self.accepted])
        self.slow.sendall(call_frame(8))  # would meet a reset
        await self.wait_until_calls_are_open()
        self.assertIn(b'"result"', await self.read_answer())

    async def test_evicts_slow_client_only_once_it_has_its_answers_or_has_stalled(self) -> None:
        self.assertFalse(self.front.evict_idle())
        self.harness.now += CLIENT_LIMITS.unread_eviction_us
        self.slow.recv(2048)  # it reads on
        await wait_until(self.has_progressed)
        self.assertFalse(self.front.evict_idle())
        self.harness.now += CLIENT_LIMITS.unread_eviction_us + 1
        self.assertTrue(self.front.evict_idle())

    def has_progressed(self) -> bool:
        """Have the slow client read, and return whether more of the answer was sent."""
        before = self.accepted.undelivered_bytes()
        self.slow.recv(4096)
        return self.accepted.undelivered_bytes() < before

    async def test_drain_waits_for_undelivered_answers(self) -> None:
        self.assertTrue(self.front.has_unread_answers())
        await self.read_answer()
        await wait_until(lambda: not self.front.has_unread_answers())
