"""Tests of the platform front over real sockets: messages, and clients that disconnect."""

import asyncio
import socket
from typing import Any
from unittest import mock

from maplestile.dispatch.api import Result
from maplestile.net.client import Client
from maplestile.net.client_reader import ClientReader
from tests.front_fixture import (
    CLIENT_LIMITS,
    FakeTimestamps,
    FrontClient,
    FrontTestCase,
    call_frame,
    changed_limits,
)
from tests.standins import PATIENCE_S, reset_on_close, wait_until
from tests.test_machines import framed


class MessagesTest(FrontTestCase):
    """Answers, ids and limits of one connection."""

    async def test_accepted_connection_disables_nagles_algorithm(self) -> None:
        """With Nagle's algorithm, an answer would wait until the client acknowledges the one before."""
        client = await self.connect()
        await client.check()
        accepted = next(iter(self.front.clients)).writer.get_extra_info("socket")
        self.assertTrue(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    async def test_limits_size_of_one_read(self) -> None:
        """The limit bounds the memory of a client's input and the buffer allocated for each read."""
        client = await self.connect()
        await self.wait_until_connected()
        sizes = self.record_read_sizes()
        client.send(b"Content-Length: 30000\r\n\r\n" + bytes(25_000))
        await wait_until(lambda: sum(sizes) >= 25_000)
        self.assertLessEqual(max(sizes), CLIENT_LIMITS.read_bytes)

    def record_read_sizes(self) -> list[int]:
        """Return a list to which the size of each read of the front's only connection is appended."""
        sizes = list[int]()
        (accepted,) = self.front.clients
        protocol: Any = accepted.writer.transport.get_protocol()
        data_received = protocol.data_received

        def record_and_pass_on(data: bytes) -> None:
            sizes.append(len(data))
            data_received(data)

        protocol.data_received = record_and_pass_on
        return sizes

    async def test_check_reports_readiness_of_router(self) -> None:
        client = await self.connect()
        for self.ready in (False, True):
            self.assertEqual((await client.check())["result"], {"ready": self.ready})

    async def test_rejects_duplicate_id_and_call_over_stream_limit(self) -> None:
        client = await self.connect()
        for id_ in (1, 1, 2, 3):  # the second 1 is a duplicate, and 3 exceeds the limit of two streams
            client.send(call_frame(id_))
        errors = [await client.read_answer() for _ in range(2)]
        self.assertEqual([error["id"] for error in errors], [None, 3])
        self.assertEqual(len(self.harness.core.open), 2)

    async def test_bytes_after_full_read_keep_its_receive_time_until_loop_was_idle(self) -> None:
        timestamps = FakeTimestamps(100, 7)
        reader = ClientReader(4, timestamps)
        for earliest_event_us, last_idle_us, data, received_us in (
            (100, 7, b"xxxx", 100),
            (200, 7, b"xxxx", 100),
            (300, 8, b"xxxx", 300),
            (400, 8, b"x", 300),
            (500, 8, b"x", 500),
        ):
            timestamps.earliest_event_us = earliest_event_us
            timestamps.last_idle_us = last_idle_us
            reader.feed_data(data)
            self.assertEqual(reader.received_us, received_us)


class DisconnectedClientTest(FrontTestCase):
    """Clients that close or reset their connection while calls are open."""

    async def test_same_id_on_two_connections_and_lost_client_withdraws_its_call(self) -> None:
        clients = [await self.connect() for _ in range(2)]
        for client in clients:
            client.send(call_frame(1))
        async with asyncio.timeout(PATIENCE_S):
            await self.wait_until_calls_are_open(2)
            third = await self.connect()  # over the limit of two connections
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await third.reader.readexactly(1)
            clients[0].writer.transport.abort()
            self.front.answer_writer.write(next(iter(self.front.clients)), b"")
            await wait_until(self.write_unless_a_call_was_withdrawn)
        self.assertEqual(self.counters["clients.rejected"], 1)

    def write_unless_a_call_was_withdrawn(self) -> bool:
        """Write to all clients, since a write detects a lost peer; return whether a call was withdrawn."""
        if len(self.harness.core.open) <= 1 or self.harness.core.counters["requests.withdrawn"]:
            return True
        for client in list(self.front.clients):
            self.front.answer_writer.write(client, framed(b"{}"))
        return False

    async def test_close_is_found_between_two_batches_of_a_read(self) -> None:
        """Guards against calls that begin after their client has left, while its socket is not read."""
        self.front.limits = changed_limits(streams=1000)
        client = socket.create_connection(self.server.address)
        handle = self.front.request_handler.handle
        taken_before_reset = 0

        def handle_and_reset(accepted: Client, view: memoryview, received_us: int) -> None:
            nonlocal taken_before_reset
            handle(accepted, view, received_us)
            reading_is_paused = accepted.reader.buffered_bytes > 2 * accepted.reader.max_read_bytes
            if reading_is_paused and not taken_before_reset:
                reset_on_close(client)
                client.close()
                taken_before_reset = self.harness.core.counters["requests.taken"]

        with mock.patch.object(self.front.request_handler, "handle", handle_and_reset):
            client.sendall(b"".join(call_frame(number) for number in range(1, 400)))
            await self.wait_until_connected()
            await self.wait_until_disconnected()
        self.assertGreater(taken_before_reset, 0)
        late = self.harness.core.counters["requests.taken"] - taken_before_reset
        self.assertLessEqual(late, self.front.limits.clients.batch_messages)

    async def test_reset_while_input_is_discarded_raises_no_exception(self) -> None:
        """Guards against a traceback in the log for each such reset; a busy day had 6,672 of them."""
        errors = list[dict[str, Any]]()
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        self.front.limits = changed_limits(linger_us=5_000_000)
        client = await self.connect()
        client.send(b"Content-")
        self.assertIn("error", await client.read_answer())
        connection = client.writer.get_extra_info("socket")
        reset_on_close(connection)
        client.writer.transport.abort()
        await self.wait_until_disconnected()
        await asyncio.sleep(0)
        self.assertEqual(errors, [])

    async def test_starts_no_attempt_for_client_that_closed_after_a_flood(self) -> None:
        """The whole flood and the close are in the socket before the front reads the first byte."""
        self.front.limits = changed_limits(streams=10_000, unread_bytes=1 << 20)
        ids = range(1, 181)
        frames = [call_frame(id_) for id_ in ids]
        self.assertGreater(sum(map(len, frames)), 2 * CLIENT_LIMITS.read_bytes)
        flood = socket.create_connection(self.server.address)
        flood.sendall(b"".join(frames))
        flood.shutdown(socket.SHUT_WR)
        client = FrontClient(*await asyncio.open_connection(sock=flood))
        self.addCleanup(client.writer.close)
        answers = [await client.read_answer() for _ in ids]
        self.assertEqual({answer["id"] for answer in answers}, set(ids))
        self.assertEqual(self.harness.sent, [])
        self.assertTrue(await client.is_closed())

    async def test_closed_client_leaves_no_state_behind(self) -> None:
        """The client disconnects while its attempt is not yet written, and again when it is in flight."""
        for unwritten in (True, False):
            client = await self.connect()
            client.send(call_frame(1))
            await self.wait_until_calls_are_open()
            (attempt,) = list(self.harness.core.in_flight)
            self.harness.unwritten_attempts = {attempt} if unwritten else set()
            client.writer.close()
            await wait_until(self.core_knows_of_disconnect)
            if not unwritten:
                self.harness.core.attempt_ended(attempt, Result.MISS)
            await self.wait_until_disconnected()
            self.assert_no_state_is_left()
        self.assertEqual(len(self.harness.sent), 2)

    def core_knows_of_disconnect(self) -> bool:
        """Return whether the core was notified that the client has disconnected."""
        return bool(self.harness.core.counters["requests.client_disconnected"] or self.harness.core.answers)

    def assert_no_state_is_left(self) -> None:
        """Check that the tables of the core and the dispatcher are empty."""
        core = self.harness.core
        dispatcher = core.dispatcher
        self.assertEqual((core.open, core.in_flight, core.open_bytes), ({}, {}, 0))
        self.assertEqual((dispatcher.calls, dispatcher.attempts), ({}, {}))
        self.assertEqual([worker.busy for worker in dispatcher.workers.values()], [0, 0])
        self.assertFalse(any(function.waiting for function in dispatcher.tiers.functions.values()))
