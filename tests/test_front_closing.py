"""Tests of closing connections at the platform front: on a message timeout and when the process exits."""

import asyncio
import os
import socket
import time

from tests.front_fixture import CLIENT_LIMITS, FrontTestCase, call_frame, check_frame
from tests.standins import PATIENCE_S, wait_until
from tests.test_machines import framed, message

SHORT_CALL_FRAME = framed(message())


class MessageTimeTest(FrontTestCase):
    """A message must be complete within `message_us` of its first byte, or of the connect."""

    async def test_closes_connection_without_complete_message_in_time_but_not_idle_one(self) -> None:
        idle = await self.connect()
        await idle.check()
        for part in (b"", SHORT_CALL_FRAME[:-1]):
            partial = await self.connect()
            partial.send(part)
            self.assertIn("error", await partial.read_answer())
            self.assertTrue(await partial.is_closed())
        self.assertEqual((await idle.check(2))["id"], 2)
        idle.send(b"Content-")  # the time limit also applies to a later incomplete message
        self.assertIn("error", await idle.read_answer())

    async def test_closes_connection_whose_message_never_ends_although_each_piece_comes_soon(self) -> None:
        """Guards against a time limit that a client puts off by writing a little all the time."""
        client = await self.connect()
        closed = asyncio.ensure_future(client.read_answer())
        sent = SHORT_CALL_FRAME[:-1]
        deadline_us = self.harness.now + CLIENT_LIMITS.message_us
        for position in range(len(sent)):
            if closed.done():
                break
            client.send(sent[position : position + 1])
            self.harness.now += 4 * CLIENT_LIMITS.message_us // len(sent)
            await asyncio.sleep(0.005)
        self.assertTrue(closed.done(), "still open after four times the time limit")
        self.assertIn("error", await closed)
        self.assertGreater(self.harness.now, deadline_us)
        self.assertEqual(self.counters["clients.malformed.time"], 1)

    async def test_accepts_request_that_arrived_in_time_while_loop_was_busy(self) -> None:
        """A single iteration of a busy event loop sees both the timeout and the bytes that came in time."""
        for sent_first in (0, len(SHORT_CALL_FRAME) - 1):
            frame = framed(message(txn=os.urandom(8).hex()))
            first, rest = frame[:sent_first], frame[sent_first:]
            client = socket.create_connection(self.server.address)
            client.sendall(first)
            await self.wait_until_connected()
            if first:
                await wait_until(lambda: next(iter(self.front.clients)).framer.incomplete)
            client.sendall(rest)
            time.sleep(1.2 * CLIENT_LIMITS.message_us / 1e6)  # blocks the event loop
            await self.wait_until_calls_are_open()
            self.assertEqual(self.counters["clients.malformed"], 0)
            self.assertEqual(len(self.harness.core.open), 1)
            self.answer_attempt(-1)
            client.close()
            await self.wait_until_disconnected()

    async def test_reads_past_message_timeout_while_answer_is_pending(self) -> None:
        """While an answer is pending the connection stays open, so a request sent meanwhile must be read."""
        client = await self.connect()
        second_call = call_frame(2)
        client.send(call_frame(1) + second_call[:-1])
        await asyncio.sleep(2.5 * CLIENT_LIMITS.message_us / 1e6)
        client.send(second_call[-1:])
        await self.wait_until_calls_are_open(2)
        for index in range(len(self.harness.sent)):
            self.answer_attempt(index)
        self.assertEqual({(await client.read_answer())["id"] for _ in range(2)}, {1, 2})


class GracefulCloseTest(FrontTestCase):
    """When the process exits, each connection closes after its last answer."""

    async def test_closes_after_last_answer_and_handles_all_messages_already_read(self) -> None:
        """The front starts to close between two messages of one read, which ends with a call."""

        def close_and_report_ready() -> bool:
            self.front.close_gracefully(0)
            return True

        self.front.request_handler.is_ready = close_and_report_ready
        client = await self.connect()
        check_ids = range(10, 50)
        client.send(b"".join(check_frame(id_) for id_ in check_ids) + call_frame(1))
        for id_ in check_ids:
            self.assertEqual((await client.read_answer())["id"], id_)
        await self.wait_until_calls_are_open()
        self.answer_attempt()
        self.assertEqual((await client.read_answer())["id"], 1)
        self.assertTrue(await client.is_closed())  # without another call to `close_gracefully`

    async def test_close_all_closes_after_last_answer_despite_unread_input(self) -> None:
        client = await self.connect()
        client.send(call_frame(1) + b"Content-Length: 9")
        async with asyncio.timeout(PATIENCE_S):
            await self.wait_until_calls_are_open()
            self.front.close_gracefully(0)
            self.answer_attempt()
            self.assertEqual((await client.read_answer())["id"], 1)
            self.assertTrue(self.front.has_open_connections())  # because of the incomplete message
            self.front.close_all()
        self.assertTrue(await client.is_closed())
        client.send(b"9\r\n\r\n")  # crosses the close, and is read and discarded
        await wait_until(lambda: self.counters["clients.crossed_close"])
