"""Tests of the platform front with clients that read their answers late or never."""

import asyncio
import socket

from maplestile.net.client import Client
from maplestile.wire.jsonrpc import REFUSED
from tests.front_fixture import (
    CALL_FRAME,
    CLIENT_LIMITS,
    FrontTestCase,
    call_frame,
    changed_limits,
    error_code,
)
from tests.standins import PATIENCE_S, wait_until

FLUSH_PATIENCE_S = 30


class UnreadAnswersTest(FrontTestCase):
    """Unread answers are limited, without any loss for clients that read theirs."""

    async def test_disconnects_client_that_stopped_reading_not_one_with_most_unread(self) -> None:
        """Guards against disconnecting the client with the most unread answers when another reads nothing."""
        # The clients send no request, so `message_us` must exceed the test's duration on a busy machine.
        self.front.limits = changed_limits(
            unread_bytes=1 << 30, all_unread_bytes=30_000_000, message_us=20_000_000
        )
        _, reading_client = [await self.connect() for _ in range(2)]
        async with asyncio.timeout(PATIENCE_S):
            await self.wait_until_connected(2)
            unreading, reading = self.front.clients
            self.front.answer_writer.write(unreading, bytes(13_000_000))
            self.front.answer_writer.write(reading, bytes(14_000_000))
            self.harness.now += 1_000_000
            while reading.writer.transport.get_write_buffer_size():
                await reading_client.reader.read(1 << 20)
            self.front.answer_writer.write(reading, bytes(25_000_000))  # now has the most unread bytes
            await wait_until(lambda: unreading not in self.front.clients)
        self.assertIn(reading, self.front.clients)
        self.assertFalse(reading.writer.is_closing())
        self.assertEqual(self.counters["clients.too_slow"], 1)

    async def test_answers_of_closing_connections_count_towards_the_limit_of_all(self) -> None:
        """Guards against clients that leave their answers unread and end, each time with all of the limit."""
        self.front.limits = changed_limits(
            connections=9, unread_bytes=64 << 20, all_unread_bytes=30_000_000, close_us=60_000_000
        )
        async with asyncio.timeout(FLUSH_PATIENCE_S):
            await self.close_with_an_answer_unread()
            (closing,) = self.front.table.flushing
            self.assertGreater(closing.unsent_bytes(self.harness.now), 10_000_000)
            self.harness.now += 1_000
            await self.connect()
            await self.wait_until_connected()
            (open_client,) = self.front.clients
            self.front.answer_writer.write(open_client, bytes(25_000_000))
            await wait_until(lambda: not self.front.table.flushing)
        self.assertIn(open_client, self.front.clients)
        self.assertEqual(self.counters["clients.too_slow"], 1)

    async def test_disconnects_client_over_its_unread_limit(self) -> None:
        client = await self.connect()
        client.send(CALL_FRAME)
        await self.wait_until_calls_are_open()
        self.front.answer_writer.write(next(iter(self.front.clients)), b"x" * 50_000_000)
        await self.wait_until_disconnected()
        self.assertEqual((self.counters["clients.too_slow"], self.harness.core.open), (1, {}))

    async def test_answers_survive_unread_input_after_malformed_message(self) -> None:
        """More input follows a malformed message, and the client reads its earlier answer only at the end.

        If that input stayed unread, closing the connection would reset it and lose the answer.
        """
        client = await self.connect()
        client.send(call_frame(1))
        client.send(b"Content-Length: none\r\n\r\n" + bytes(400_000))
        await wait_until(lambda: self.counters["clients.malformed"])
        self.answer_attempt()
        await self.wait_until_disconnected()
        self.assertIn("error", await client.read_answer())
        self.assertEqual((await client.read_answer())["id"], 1)
        self.assertTrue(await client.is_closed())

    async def test_closed_clients_with_unread_answers_count_towards_limit_and_are_evicted(self) -> None:
        self.front.limits = changed_limits(
            unread_bytes=64 << 20, all_unread_bytes=64 << 20, close_us=1_000_000
        )
        async with asyncio.timeout(FLUSH_PATIENCE_S):
            for _ in range(2):
                await self.close_with_an_answer_unread()
            self.assertEqual(len(self.front.table.flushing), 2)
            early = await self.connect()  # refused, since the two may still read their answers
            early.send(CALL_FRAME)
            self.assertEqual(error_code(await early.read_answer()), REFUSED)
            self.assertTrue(await early.is_closed())
            self.assert_flushing_and_evicted(2, 0)
            self.harness.now += CLIENT_LIMITS.unread_eviction_us + 1
            late = await self.connect()  # at the limit, so the first of the two is evicted
            await late.check()
            self.assert_flushing_and_evicted(1, 1)
            await wait_until(lambda: not self.front.has_unread_answers(), FLUSH_PATIENCE_S)

    async def close_with_an_answer_unread(self) -> None:
        """Connect, get a long answer, and close the write side without reading the answer."""
        unreading = socket.create_connection(self.server.address)
        self.addCleanup(unreading.close)
        await wait_until(self.connections_open_for_writing, FLUSH_PATIENCE_S)
        self.front.answer_writer.write(self.connections_open_for_writing()[-1], bytes(16 << 20))
        unreading.shutdown(socket.SHUT_WR)
        await wait_until(lambda: not self.front.clients, FLUSH_PATIENCE_S)

    def connections_open_for_writing(self) -> list[Client]:
        """Return the connections whose write side is open at the front."""
        return [client for client in self.front.clients if not client.write_closed]

    def assert_flushing_and_evicted(self, flushing: int, evicted: int) -> None:
        """Check how many closed connections still have unread answers, and how many were evicted."""
        counts = (len(self.front.table.flushing), self.counters["clients.idle_evicted"])
        self.assertEqual(counts, (flushing, evicted))
