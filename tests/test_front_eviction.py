"""The platform's front at its cap of connections: which one makes room for a newcomer."""

from maplestile.net.client_reader import ClientReader
from maplestile.wire.jsonrpc import REFUSED
from tests.front_fixture import (
    CALL_FRAME,
    CALL_LIMIT_MS,
    CLIENT_LIMITS,
    FakeTimestamps,
    FrontTestCase,
    changed_limits,
    error_code,
)
from tests.standins import wait_until
from tests.test_machines import framed, message


class EvictionTest(FrontTestCase):
    """The front has room for two connections, `CLIENT_LIMITS.connections`."""

    async def fill_to_the_cap(self) -> None:
        """Take the front to its cap with connections that each wait for an answer."""
        for _ in range(CLIENT_LIMITS.connections):
            client = await self.connect()
            client.send(CALL_FRAME)
        await self.until_open(CLIENT_LIMITS.connections)

    async def test_newcomers_over_the_cap_have_their_requests_refused_and_none_is_closed_unanswered(
        self,
    ) -> None:
        # Long enough for a busy machine: the newcomers are to write before their time is up.
        self.front.limits = changed_limits(grace_us=20_000_000, message_us=20_000_000)
        await self.fill_to_the_cap()
        newcomers = [await self.connect() for _ in range(5)]
        partial_frame = framed(message(limit=CALL_LIMIT_MS)[:-1] + b"}")[:40]
        for newcomer in newcomers:
            newcomer.send(CALL_FRAME + partial_frame)
        for newcomer in newcomers:
            await newcomer.writer.drain()
        for newcomer in newcomers:
            self.assertEqual(error_code(await newcomer.read_answer()), REFUSED)
        self.assertEqual(self.counters["clients.refused_at_cap"], 5)
        self.assertEqual(len(self.harness.core.open), CLIENT_LIMITS.connections)

    async def test_connection_whose_request_is_read_and_not_handled_yet_makes_no_room(self) -> None:
        """The bytes are in the stream, and their reader has not had its turn."""
        clients = [await self.connect() for _ in range(2)]
        for client in clients:
            await client.check()
        accepted = next(iter(self.front.clients))
        accepted.reader.feed_data(CALL_FRAME)
        self.assertTrue(self.front.evict_idle())
        self.assertIn(accepted, self.front.clients)
        await self.until_open()

    async def test_connection_that_is_yet_to_send_a_request_outlives_one_that_sent_one(self) -> None:
        """A request that is on its way met a close after 0.2 s, though others only stayed."""
        early = await self.connect()
        await early.check()
        late = await self.connect()
        await self.until_connected(2)
        self.harness.now += CLIENT_LIMITS.grace_us + 1
        self.assertTrue(self.front.evict_idle())
        self.assertTrue(await early.is_closed())
        self.assertEqual((await late.check(2))["id"], 2)
        await self.connect()
        await self.until_connected(2)
        self.harness.now += CLIENT_LIMITS.silent_us + 1
        self.assertTrue(self.front.evict_idle())  # the one that never sent a request, and has had its time
        self.assertEqual((await late.check(3))["id"], 3)

    async def test_client_that_comes_back_stays_and_strangers_that_sent_one_request_make_room(self) -> None:
        """A crowd that asks once and stays put out each client in use, whose requests crossed the close."""
        regular = await self.connect()
        for id_ in (1, 2):
            await regular.check(id_)
        for _ in range(5):
            stranger = await self.connect()
            await stranger.check()
        self.assertEqual((await regular.check(3))["id"], 3)
        self.assertEqual(self.counters["clients.idle_evicted"], 4)

    async def test_request_in_pieces_makes_no_room_before_its_rest_has_had_its_time(self) -> None:
        self.front.limits = changed_limits(message_us=9_000_000)
        clients = [await self.connect() for _ in range(2)]
        for client in clients:
            client.send(CALL_FRAME[:50])
        await wait_until(lambda: sum(bool(accepted.framer.rest) for accepted in self.front.clients) >= 2)
        self.harness.now += self.front.limits.clients.grace_us + 1
        self.assertFalse(self.front.evict_idle())
        self.timestamps.earliest_event_us = self.harness.now
        clients[0].send(CALL_FRAME[50:])
        await self.until_open()
        self.harness.now += self.front.limits.clients.unfinished_us
        self.assertTrue(self.front.evict_idle())  # the one whose rest never came
        self.assertEqual((self.counters["clients.unfinished_evicted"], len(self.harness.core.open)), (1, 1))

    async def test_at_the_cap_the_one_silent_longest_makes_room_and_none_that_waits_for_an_answer(
        self,
    ) -> None:
        first = await self.connect()
        await first.check()
        second = await self.connect()
        await second.check()
        first.send(CALL_FRAME)
        await self.until_open()
        third = await self.connect()
        await third.check()
        self.assertTrue(await second.is_closed())  # idle, and older than the third
        self.assertEqual((len(self.harness.core.open), self.counters["clients.idle_evicted"]), (1, 1))

    async def test_newcomer_is_not_the_one_to_make_room_for_the_next(self) -> None:
        """Where all others sent requests and stay, the newcomer is the only one that has not yet."""
        idle = await self.connect()
        await idle.check()
        newcomer = await self.connect()
        await self.until_connected(2)
        await self.connect()
        self.assertTrue(await idle.is_closed())
        self.assertEqual((await newcomer.check())["id"], 1)

    async def test_request_that_crosses_the_close_of_its_connection_is_not_taken(self) -> None:
        await self.connect()
        await self.until_connected()
        accepted = next(iter(self.front.clients))
        self.assertTrue(self.front.evict_idle())
        accepted.reader = ClientReader(1 << 16, FakeTimestamps())
        accepted.reader.feed_data(CALL_FRAME)  # read before the close, handled after it
        await self.front._read_all(accepted)
        self.assertEqual(self.harness.core.counters["requests.taken"], 0)
