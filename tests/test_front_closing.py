"""When the platform's front closes a connection: the time for a message, and the end of the process."""

import asyncio
import socket
import time

from tests.front_fixture import CLIENT_LIMITS, FrontTestCase, call_frame, check_frame
from tests.standins import PATIENCE_S, wait_until
from tests.test_machines import framed, message

SHORT_CALL_FRAME = framed(message())


class MessageTimeTest(FrontTestCase):
    """A message that has started has `CLIENT_LIMITS.message_us` to come whole."""

    async def test_connection_without_a_whole_message_in_time_is_closed_and_a_quiet_one_is_not(self) -> None:
        quiet = await self.connect()
        await quiet.check()
        for part in (b"", SHORT_CALL_FRAME[:-1]):
            partial = await self.connect()
            partial.send(part)
            self.assertIn("error", await partial.read_answer())
            self.assertTrue(await partial.is_closed())
        self.assertEqual((await quiet.check(2))["id"], 2)
        quiet.send(b"Content-")  # a later message that does not come whole is bounded, too
        self.assertIn("error", await quiet.read_answer())

    async def test_request_that_came_in_time_to_a_busy_loop_is_not_lost_to_the_end_of_that_time(self) -> None:
        """One turn of the loop finds the bytes, and the end of the time in which they were to come."""
        for first in (b"", SHORT_CALL_FRAME[:-1]):
            client = socket.create_connection(self.server.address)
            client.sendall(first)
            await self.until_connected()
            if first:
                await wait_until(lambda: next(iter(self.front.clients)).framer.rest)
            client.sendall(SHORT_CALL_FRAME[len(first) :])
            time.sleep(1.2 * CLIENT_LIMITS.message_us / 1e6)  # the loop is busy
            await self.until_open()
            self.assertEqual(self.counters["clients.malformed"], 0)
            self.assertEqual(len(self.harness.core.open), 1)
            self.serve(-1)
            client.close()
            await self.until_disconnected()

    async def test_connection_that_waits_for_an_answer_is_read_on_past_the_time_for_a_message(self) -> None:
        """What its client sends while the answer is on its way was written to a connection that was open."""
        client = await self.connect()
        second_call = call_frame(2)
        client.send(call_frame(1) + second_call[:-1])
        await asyncio.sleep(2.5 * CLIENT_LIMITS.message_us / 1e6)
        client.send(second_call[-1:])
        await self.until_open(2)
        for index in range(len(self.harness.sent)):
            self.serve(index)
        self.assertEqual({(await client.read_answer())["id"] for _ in range(2)}, {1, 2})


class GracefulCloseTest(FrontTestCase):
    """The process ends, and each connection closes behind its last answer."""

    async def test_connection_ends_with_its_last_answer_and_not_in_the_midst_of_what_was_read(self) -> None:
        """The process begins to close between two messages of one read, and a call is behind them."""

        def close_and_be_ready() -> bool:
            self.front.close_gracefully(0)
            return True

        self.front.request_handler.is_ready = close_and_be_ready
        client = await self.connect()
        check_ids = range(10, 50)
        client.send(b"".join(check_frame(id_) for id_ in check_ids) + call_frame(1))
        for id_ in check_ids:
            self.assertEqual((await client.read_answer())["id"], id_)
        await self.until_open()
        self.serve()
        self.assertEqual((await client.read_answer())["id"], 1)
        self.assertTrue(await client.is_closed())  # by itself: nothing calls the front again

    async def test_process_that_ends_closes_behind_the_last_answer_whatever_is_unread(self) -> None:
        client = await self.connect()
        client.send(call_frame(1) + b"Content-Length: 9")
        async with asyncio.timeout(PATIENCE_S):
            await self.until_open()
            self.front.close_gracefully(0)
            self.serve()
            self.assertEqual((await client.read_answer())["id"], 1)
            self.assertTrue(self.front.has_open_connections())  # a message has started
            self.front.close_all()
        self.assertTrue(await client.is_closed())
        client.send(b"9\r\n\r\n")  # crosses the end, and is read away
        await wait_until(lambda: self.counters["clients.crossed_close"])
