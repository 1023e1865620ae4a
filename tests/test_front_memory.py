"""Tests of what connections of the platform front leave in memory."""

import gc
import weakref

from tests.front_fixture import (
    CALL_FRAME,
    FrontClient,
    FrontTestCase,
    call_frame,
    changed_limits,
    check_frame,
)
from tests.standins import reset_on_close, wait_until

OVERSIZE = b"Content-Length: 99999\r\n\r\n" + b"x" * 10_000


class ClosedConnectionTest(FrontTestCase):
    """A connection that has ended is freed at once, with the input that it held."""

    async def test_closed_connections_do_not_wait_for_the_garbage_collector(self) -> None:
        """Guards against input of closed connections that stays until the next full collection."""
        for sent in (b"", check_frame(), CALL_FRAME[:-5], OVERSIZE):
            for resets in (False, True):
                with self.subTest(sent=sent[:24], resets=resets):
                    await self._check_that_connection_is_freed(sent, resets)
        await self._check_that_connection_is_freed(CALL_FRAME, True)

    async def _check_that_connection_is_freed(self, sent: bytes, resets: bool) -> None:
        client = await self.connect()
        await self.wait_until_connected()
        accepted = next(iter(self.front.clients))
        framer, reader = weakref.ref(accepted.framer), weakref.ref(accepted.reader)
        del accepted
        gc.collect()
        gc.disable()
        try:
            client.send(sent)
            await client.writer.drain()
            if resets:
                reset_on_close(client.writer.get_extra_info("socket"))
            client.writer.close()
            await self.wait_until_disconnected()
            await wait_until(lambda: framer() is None and reader() is None, 2.0)
        finally:
            gc.enable()


class IncompleteMessagesTest(FrontTestCase):
    """The incomplete messages of all clients together are limited."""

    PART = CALL_FRAME[:-1]
    LAST_BYTE = CALL_FRAME[-1:]

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.front.limits = changed_limits(
            connections=9, incomplete_bytes=2 * len(self.PART), message_us=60_000_000
        )

    async def begin_message(self, client: FrontClient) -> None:
        """Send a message without its last byte, and wait until the front has read it."""
        before = self.front.input_budget.held_bytes + self.counters["clients.incomplete_dropped"]
        client.send(call_frame(1)[:-1])
        budget = self.front.input_budget
        await wait_until(lambda: budget.held_bytes + self.counters["clients.incomplete_dropped"] > before)

    async def test_oldest_message_of_a_newcomer_is_dropped_first(self) -> None:
        """Guards against a limit that is kept for each connection and not for all of them."""
        known, *newcomers = [await self.connect() for _ in range(4)]
        await known.check()
        for client in (known, *newcomers):
            await self.begin_message(client)
        self.assertEqual(self.front.input_budget.held_bytes, 2 * len(self.PART))
        self.assertEqual(self.counters["clients.incomplete_dropped"], 2)
        for client in newcomers[:2]:  # their messages began first among those that have completed none
            client.send(self.LAST_BYTE)
            self.assertIn("too much memory", (await client.read_answer())["error"]["message"])
            self.assertTrue(await client.is_closed())
        for client in (known, newcomers[2]):
            client.send(self.LAST_BYTE)
        await self.wait_until_calls_are_open(2)
        self.assertEqual(self.front.input_budget.held_bytes, 0)

    async def test_dropped_message_that_never_goes_on_ends_its_connection_in_time(self) -> None:
        self.front.limits = changed_limits(incomplete_bytes=0)
        client = await self.connect()
        client.send(self.PART)
        self.assertIn("no whole message in time", (await client.read_answer())["error"]["message"])
        self.assertTrue(await client.is_closed())

    async def test_closed_connection_no_longer_counts(self) -> None:
        client = await self.connect()
        await self.begin_message(client)
        client.writer.close()
        await self.wait_until_disconnected()
        self.assertEqual(self.front.input_budget.held_bytes, 0)
