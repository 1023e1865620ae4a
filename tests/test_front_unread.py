"""The platform's front and clients that do not read their answers, or read them late."""

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
    """What is unread is bounded, and those who read lose nothing by it."""

    async def test_client_that_reads_keeps_its_answers_whatever_others_leave_unread(self) -> None:
        """The one with the most unread answers was let go, though others read nothing at all."""
        # Neither sends a request, and on a busy machine the test may take longer than a message may.
        self.front.limits = changed_limits(
            unread_bytes=1 << 30, all_unread_bytes=30_000_000, message_us=20_000_000
        )
        _, reading_client = [await self.connect() for _ in range(2)]
        async with asyncio.timeout(PATIENCE_S):
            await self.until_connected(2)
            unreading, reading = self.front.clients
            self.front.answer_writer.write(unreading, bytes(13_000_000))
            self.front.answer_writer.write(reading, bytes(14_000_000))
            self.harness.now += 1_000_000
            while reading.writer.transport.get_write_buffer_size():
                await reading_client.reader.read(1 << 20)
            self.front.answer_writer.write(reading, bytes(25_000_000))  # the most that is unread
            await wait_until(lambda: unreading not in self.front.clients)
        self.assertIn(reading, self.front.clients)
        self.assertFalse(reading.writer.is_closing())
        self.assertEqual(self.counters["clients.too_slow"], 1)

    async def test_client_that_reads_nothing_is_let_go(self) -> None:
        client = await self.connect()
        client.send(CALL_FRAME)
        await self.until_open()
        self.front.answer_writer.write(next(iter(self.front.clients)), b"x" * 50_000_000)
        await self.until_disconnected()
        self.assertEqual((self.counters["clients.too_slow"], self.harness.core.open), (1, {}))

    async def test_answers_are_not_lost_to_a_reset_over_what_nobody_reads(self) -> None:
        """Behind a message that cannot be followed more comes; the answer given before is read only then."""
        client = await self.connect()
        client.send(call_frame(1))
        client.send(b"Content-Length: none\r\n\r\n" + bytes(400_000))
        await wait_until(lambda: self.counters["clients.malformed"])
        self.serve()
        await self.until_disconnected()
        self.assertIn("error", await client.read_answer())
        self.assertEqual((await client.read_answer())["id"], 1)
        self.assertTrue(await client.is_closed())

    async def test_clients_that_close_and_never_read_their_answers_are_counted_and_let_go(self) -> None:
        self.front.limits = changed_limits(unread_bytes=64 << 20, close_us=1_000_000)
        async with asyncio.timeout(FLUSH_PATIENCE_S):
            for _ in range(2):
                await self.close_with_an_answer_unread()
            self.assertEqual(len(self.front.table.flushing), 2)
            early = await self.connect()  # the two may read yet, so a newcomer is refused
            early.send(CALL_FRAME)
            self.assertEqual(error_code(await early.read_answer()), REFUSED)
            self.assertTrue(await early.is_closed())
            self.assert_flushing_and_evicted(2, 0)
            self.harness.now += CLIENT_LIMITS.unread_us + 1
            late = await self.connect()  # at the cap: the first of them makes room
            await late.check()
            self.assert_flushing_and_evicted(1, 1)
            await wait_until(lambda: not self.front.has_unread_answers(), FLUSH_PATIENCE_S)

    async def close_with_an_answer_unread(self) -> None:
        """Connect, get a long answer, and close one's own side without reading it."""
        unreading = socket.create_connection(self.server.address)
        self.addCleanup(unreading.close)
        await wait_until(self.open_for_writing, FLUSH_PATIENCE_S)
        self.front.answer_writer.write(self.open_for_writing()[-1], bytes(16 << 20))
        unreading.shutdown(socket.SHUT_WR)
        await wait_until(lambda: not self.front.clients, FLUSH_PATIENCE_S)

    def open_for_writing(self) -> list[Client]:
        """Return the connections to which the front still writes."""
        return [client for client in self.front.clients if not client.write_closed]

    def assert_flushing_and_evicted(self, flushing: int, evicted: int) -> None:
        """Check how many closed connections still flush answers, and how many clients were evicted."""
        counts = (len(self.front.table.flushing), self.counters["clients.idle_evicted"])
        self.assertEqual(counts, (flushing, evicted))
