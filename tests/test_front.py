"""The platform's front over real sockets, before a core whose pool answers nothing."""

import asyncio
import json
import socket
import struct
import time
import unittest
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from maplestile.dispatch.api import Result
from maplestile.net.client_reader import ClientReader
from maplestile.net.platform import PlatformFront
from maplestile.wire.jsonrpc import REFUSED
from maplestile.wire.limits import ClientLimits, Limits
from tests.core_harness import CoreHarness
from tests.test_machines import framed, message

CLIENT_LIMITS = ClientLimits(connections=2, streams=2, unread_bytes=100_000, message_us=300_000)
LIMITS = Limits(clients=CLIENT_LIMITS)


def changed_limits(**changes: int) -> Limits:
    """Return `LIMITS` with other limits of client connections."""
    return replace(LIMITS, clients=replace(CLIENT_LIMITS, **changes))


@dataclass
class Timestamps:
    since_us: int = 0
    last_idle_us: int = 0


def wire_code(answer: dict[str, Any]) -> int:
    return int(answer["error"]["code"])


class FrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.rig, self.counters, self.ready = CoreHarness(), Counter[str](), False
        self.timestamps = Timestamps(self.rig.now)
        self.front = PlatformFront(self.rig.core, LIMITS, self.counters, self.timestamps, lambda: self.ready)
        self.server = await self.front.start("127.0.0.1", 0, False)
        self.addCleanup(self.server.close)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        port = self.server.address[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        return reader, writer

    async def answer(self, reader: asyncio.StreamReader) -> dict[str, object]:
        async with asyncio.timeout(20):
            head = await reader.readuntil(b"\r\n\r\n")
            answer: dict[str, object] = json.loads(await reader.readexactly(int(head.split(b":")[1])))
            return answer

    async def closed(self, reader: asyncio.StreamReader) -> bool:
        async with asyncio.timeout(20):
            return await reader.read(1) == b""

    async def test_answers_do_not_wait_for_the_client_to_acknowledge_the_one_before(self) -> None:
        reader, writer = await self.connect()
        writer.write(framed(b'{"id":1,"method":"check"}'))
        await self.answer(reader)
        link = next(iter(self.front.clients)).writer.get_extra_info("socket")
        self.assertTrue(link.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    async def test_one_read_of_a_socket_is_bounded(self) -> None:
        """What a client can have in memory, and the buffer that each read takes."""
        sizes = list[int]()
        _, writer = await self.connect()
        async with asyncio.timeout(20):
            while not self.front.clients:
                await asyncio.sleep(0.005)
            (client,) = self.front.clients
            protocol: Any = client.writer.transport.get_protocol()
            take = protocol.data_received

            def noted(data: bytes) -> None:
                sizes.append(len(data))
                take(data)

            protocol.data_received = noted
            writer.write(b"Content-Length: 30000\r\n\r\n" + bytes(25_000))
            while sum(sizes) < 25_000:
                await asyncio.sleep(0.005)
        self.assertLessEqual(max(sizes), CLIENT_LIMITS.read_bytes)

    async def test_check_is_ready_only_when_the_program_is(self) -> None:
        reader, writer = await self.connect()
        for self.ready in (False, True):
            writer.write(framed(b'{"id":1,"method":"check"}'))
            self.assertEqual((await self.answer(reader))["result"], {"ready": self.ready})

    async def fill(self) -> list[asyncio.StreamWriter]:
        """Take the front to its cap with connections that each wait for an answer."""
        writers = list[asyncio.StreamWriter]()
        for _ in range(CLIENT_LIMITS.connections):
            _, writer = await self.connect()
            writer.write(framed(message(limit=9_000)))
            writers.append(writer)
        async with asyncio.timeout(20):
            while len(self.rig.core.open) < CLIENT_LIMITS.connections:
                await asyncio.sleep(0.005)
        return writers

    async def test_newcomers_over_the_cap_have_their_requests_refused_and_none_is_closed_unanswered(
        self,
    ) -> None:
        # Long enough for a busy machine: the newcomers are to write before their time is up.
        self.front.limits = changed_limits(grace_us=20_000_000, message_us=20_000_000)
        await self.fill()
        newcomers = [await self.connect() for _ in range(5)]
        for _, writer in newcomers:
            writer.write(framed(message(limit=9_000)) + framed(message(limit=9_000)[:-1] + b"}")[:40])
        for _, writer in newcomers:
            await writer.drain()
        for reader, _ in newcomers:
            self.assertEqual(wire_code(await self.answer(reader)), REFUSED)
        self.assertEqual(self.counters["clients.refused_at_cap"], 5)
        self.assertEqual(len(self.rig.core.open), CLIENT_LIMITS.connections)

    async def test_connection_whose_request_is_read_and_not_handled_yet_makes_no_room(self) -> None:
        """The bytes are in the stream, and their reader has not had its turn."""
        pairs = [await self.connect() for _ in range(2)]
        for _, writer in pairs:
            writer.write(framed(b'{"id":1,"method":"check"}'))
        for reader, _ in pairs:
            await self.answer(reader)
        held = next(iter(self.front.clients))
        held.reader.feed_data(framed(message(limit=9_000)))
        self.assertTrue(self.front.evict_idle())
        self.assertIn(held, self.front.clients)
        async with asyncio.timeout(20):
            while not self.rig.core.open:
                await asyncio.sleep(0.005)

    async def test_connection_that_is_yet_to_ask_outlives_one_that_asked_once(self) -> None:
        """A request that is on its way met a close after 0.2 s, though others only stayed."""
        reader, writer = await self.connect()
        writer.write(framed(b'{"id":1,"method":"check"}'))
        await self.answer(reader)
        late, late_writer = await self.connect()
        async with asyncio.timeout(20):
            while len(self.front.clients) < 2:
                await asyncio.sleep(0.005)
        self.rig.now += CLIENT_LIMITS.grace_us + 1
        self.assertTrue(self.front.evict_idle())
        self.assertTrue(await self.closed(reader))
        late_writer.write(framed(b'{"id":2,"method":"check"}'))
        self.assertEqual((await self.answer(late))["id"], 2)
        await self.connect()
        async with asyncio.timeout(20):
            while len(self.front.clients) < 2:
                await asyncio.sleep(0.005)
        self.rig.now += CLIENT_LIMITS.silent_us + 1
        self.assertTrue(self.front.evict_idle())  # the one that never sent a request, and has had its time
        late_writer.write(framed(b'{"id":3,"method":"check"}'))
        self.assertEqual((await self.answer(late))["id"], 3)

    async def test_client_that_comes_back_stays_and_strangers_that_asked_once_make_room(self) -> None:
        """A crowd that asks once and stays put out each client in use, whose requests crossed the close."""
        reader, writer = await self.connect()
        for id_ in (1, 2):
            writer.write(framed(b'{"id":%d,"method":"check"}' % id_))
            await self.answer(reader)
        for _ in range(5):
            stranger, stranger_writer = await self.connect()
            stranger_writer.write(framed(b'{"id":1,"method":"check"}'))
            await self.answer(stranger)
        writer.write(framed(b'{"id":3,"method":"check"}'))
        self.assertEqual((await self.answer(reader))["id"], 3)
        self.assertEqual(self.counters["clients.idle_evicted"], 4)

    async def test_request_in_pieces_makes_no_room_before_its_rest_has_had_its_time(self) -> None:
        limits = changed_limits(message_us=9_000_000)
        self.front.limits = limits
        pairs = [await self.connect() for _ in range(2)]
        whole = framed(message(limit=9_000))
        for _, writer in pairs:
            writer.write(whole[:50])
        async with asyncio.timeout(20):
            while sum(bool(client.framer.rest) for client in self.front.clients) < 2:
                await asyncio.sleep(0.005)
        self.rig.now += limits.clients.grace_us + 1
        self.assertFalse(self.front.evict_idle())
        self.timestamps.since_us = self.rig.now
        pairs[0][1].write(whole[50:])
        async with asyncio.timeout(20):
            while not self.rig.core.open:
                await asyncio.sleep(0.005)
        self.rig.now += limits.clients.unfinished_us
        self.assertTrue(self.front.evict_idle())  # the one whose rest never came
        self.assertEqual((self.counters["clients.unfinished_evicted"], len(self.rig.core.open)), (1, 1))

    async def test_client_that_reads_keeps_its_answers_whatever_others_leave_unread(self) -> None:
        """The one with the most unread answers was let go, though others read nothing at all."""
        # Neither asks anything, and on a busy machine the test may take longer than a message may.
        self.front.limits = changed_limits(
            unread_bytes=1 << 30, all_unread_bytes=30_000_000, message_us=20_000_000
        )
        deaf, reading = [await self.connect() for _ in range(2)]
        async with asyncio.timeout(20):
            while len(self.front.clients) < 2:
                await asyncio.sleep(0.005)
            hog, reader = self.front.clients
            self.front.answers.write(hog, bytes(13_000_000))
            self.front.answers.write(reader, bytes(14_000_000))
            self.rig.now += 1_000_000
            while reader.writer.transport.get_write_buffer_size():
                await reading[0].read(1 << 20)
            self.front.answers.write(reader, bytes(25_000_000))  # the most that is unread
            while hog in self.front.clients:
                await asyncio.sleep(0.005)
        self.assertIn(reader, self.front.clients)
        self.assertFalse(reader.writer.is_closing())
        self.assertEqual(self.counters["clients.too_slow"], 1)
        del deaf

    async def test_client_that_resets_its_connection_while_it_is_read_away_is_no_fault(self) -> None:
        """Each left a trace of an exception in the log: 6,672 of them on one day of crowds."""
        faults = list[dict[str, Any]]()
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        self.front.limits = changed_limits(linger_us=5_000_000)
        reader, writer = await self.connect()
        writer.write(b"Content-")
        self.assertIn("error", await self.answer(reader))
        link = writer.get_extra_info("socket")
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        async with asyncio.timeout(20):
            while self.front.clients:
                await asyncio.sleep(0.005)
        await asyncio.sleep(0)
        self.assertEqual(faults, [])

    async def test_streams_of_a_connection_and_open_ids_are_bounded(self) -> None:
        reader, writer = await self.connect()
        call = json.loads(message(limit=9_000))
        for id_ in (1, 1, 2, 3):  # the second 1 is open already, the 3 is one too many
            writer.write(framed(json.dumps(call | {"id": id_}).encode()))
        errors = [await self.answer(reader) for _ in range(2)]
        self.assertEqual([error["id"] for error in errors], [None, 3])
        self.assertEqual(len(self.rig.core.open), 2)

    async def test_ids_belong_to_their_connection_and_a_lost_client_gives_up_its_calls(self) -> None:
        pairs = [await self.connect() for _ in range(2)]
        for _, writer in pairs:
            writer.write(framed(message(limit=9_000)))
        async with asyncio.timeout(20):
            while len(self.rig.core.open) < 2:
                await asyncio.sleep(0.005)
            third, _ = await self.connect()  # the descriptors are budgeted
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await third.readexactly(1)
            pairs[0][1].transport.abort()
            self.front.answers.write(next(iter(self.front.clients)), b"")
            while len(self.rig.core.open) > 1 and not self.rig.core.counters["requests.withdrawn"]:
                for client in list(self.front.clients):
                    # A dead peer shows at a write at the latest.
                    self.front.answers.write(client, framed(b"{}"))
                await asyncio.sleep(0.005)
        self.assertEqual(self.counters["clients.rejected"], 1)

    async def test_at_the_cap_the_one_silent_longest_makes_room_and_none_that_is_owed_an_answer(self) -> None:
        first, first_writer = await self.connect()
        first_writer.write(framed(b'{"id":1,"method":"check"}'))
        await self.answer(first)
        second, second_writer = await self.connect()
        second_writer.write(framed(b'{"id":1,"method":"check"}'))
        await self.answer(second)
        first_writer.write(framed(message(limit=9_000)))
        async with asyncio.timeout(20):
            while not self.rig.core.open:
                await asyncio.sleep(0.005)
        third, third_writer = await self.connect()
        third_writer.write(framed(b'{"id":1,"method":"check"}'))
        await self.answer(third)
        self.assertTrue(await self.closed(second))  # idle, and older than the third
        self.assertEqual((len(self.rig.core.open), self.counters["clients.idle_evicted"]), (1, 1))

    async def test_newcomer_is_not_the_one_to_make_room_for_the_next(self) -> None:
        """Where all others sent requests and stay, the newcomer is the only one that has not yet."""
        stayed, stayed_writer = await self.connect()
        stayed_writer.write(framed(b'{"id":1,"method":"check"}'))
        await self.answer(stayed)
        new, new_writer = await self.connect()
        async with asyncio.timeout(20):
            while len(self.front.clients) < 2:
                await asyncio.sleep(0.005)
        await self.connect()
        self.assertTrue(await self.closed(stayed))
        new_writer.write(framed(b'{"id":1,"method":"check"}'))
        self.assertEqual((await self.answer(new))["id"], 1)

    async def test_request_that_crosses_the_close_of_its_connection_is_not_taken(self) -> None:
        await self.connect()
        async with asyncio.timeout(20):
            while not self.front.clients:
                await asyncio.sleep(0.005)
        client = next(iter(self.front.clients))
        self.assertTrue(self.front.evict_idle())
        client.reader = ClientReader(1 << 16, Timestamps())
        client.reader.feed_data(framed(message(limit=9_000)))  # read before the close, handled after it
        await self.front._read_all(client)
        self.assertEqual(self.rig.core.counters["requests.taken"], 0)

    async def test_connection_without_a_whole_message_in_time_is_closed_and_a_quiet_one_is_not(self) -> None:
        quiet, quiet_writer = await self.connect()
        quiet_writer.write(framed(b'{"id":1,"method":"check"}'))
        await self.answer(quiet)
        for part in (b"", framed(message())[:-1]):
            half, half_writer = await self.connect()
            half_writer.write(part)
            self.assertIn("error", await self.answer(half))
            self.assertTrue(await self.closed(half))
        quiet_writer.write(framed(b'{"id":2,"method":"check"}'))
        self.assertEqual((await self.answer(quiet))["id"], 2)
        quiet_writer.write(b"Content-")  # a later message that does not come whole is bounded, too
        self.assertIn("error", await self.answer(quiet))

    async def test_client_that_reads_nothing_is_let_go(self) -> None:
        _, writer = await self.connect()
        writer.write(framed(message(limit=9_000)))
        async with asyncio.timeout(20):
            while not self.rig.core.open:
                await asyncio.sleep(0.005)
            self.front.answers.write(next(iter(self.front.clients)), b"x" * 50_000_000)
            while self.front.clients:
                await asyncio.sleep(0.005)
        self.assertEqual((self.counters["clients.too_slow"], self.rig.core.open), (1, {}))

    async def test_nothing_begins_for_a_client_whose_close_stands_behind_a_flood(self) -> None:
        """All of it, and the close, are in the system before the first byte is read."""
        self.front.limits = changed_limits(streams=10_000, unread_bytes=1 << 20)
        flood = socket.create_connection(self.server.address)
        call = json.loads(message(limit=9_000))
        many = [framed(json.dumps(call | {"id": id_, "method": "review"}).encode()) for id_ in range(1, 181)]
        flood.sendall(b"".join(many))
        flood.shutdown(socket.SHUT_WR)
        self.assertGreater(sum(map(len, many)), 2 * CLIENT_LIMITS.read_bytes)
        reader, writer = await asyncio.open_connection(sock=flood)
        self.addCleanup(writer.close)
        answers = [await self.answer(reader) for _ in many]
        self.assertEqual({answer["id"] for answer in answers}, set(range(1, 181)))
        self.assertEqual(self.rig.sent, [])
        self.assertTrue(await self.closed(reader))

    async def test_closed_client_leaves_nothing_behind_in_any_table(self) -> None:
        """It waits for a connection, then for an answer, and nobody waits for it."""
        for unwritten in (True, False):
            reader, writer = await self.connect()
            call = json.loads(message(limit=9_000))
            writer.write(framed(json.dumps(call | {"id": 1, "method": "review"}).encode()))
            async with asyncio.timeout(20):
                while not self.rig.core.open:
                    await asyncio.sleep(0.005)
                (attempt,) = list(self.rig.core.flights)
                self.rig.unwritten = {attempt} if unwritten else set()
                writer.close()
                while (
                    not self.rig.core.counters["requests.client_disconnected"] and not self.rig.core.answers
                ):
                    await asyncio.sleep(0.005)
                if not unwritten:
                    self.rig.core.attempt_ended(attempt, Result.MISS)
                while self.front.clients:
                    await asyncio.sleep(0.005)
            core, dispatcher = self.rig.core, self.rig.core.dispatcher
            self.assertEqual((core.open, core.flights, core.open_bytes), ({}, {}, 0))
            self.assertEqual((dispatcher.calls, dispatcher.attempts), ({}, {}))
            self.assertEqual([w.busy for w in dispatcher.workers.values()], [0, 0])
            self.assertFalse(any(function.waiting for function in dispatcher.tiers.functions.values()))
        self.assertEqual(len(self.rig.sent), 2)

    async def test_answers_are_not_lost_to_a_reset_over_what_nobody_reads(self) -> None:
        """Behind a message that cannot be followed more comes; the answer given before is read only then."""
        reader, writer = await self.connect()
        call = json.loads(message(limit=9_000))
        writer.write(framed(json.dumps(call | {"id": 1, "method": "review"}).encode()))
        writer.write(b"Content-Length: none\r\n\r\n" + bytes(400_000))
        async with asyncio.timeout(20):
            while not self.counters["clients.malformed"]:
                await asyncio.sleep(0.005)
            self.rig.core.attempt_ended(self.rig.sent[0], Result.OK, b"abc")
            while self.front.clients:
                await asyncio.sleep(0.005)
        self.assertIn("error", await self.answer(reader))
        self.assertEqual((await self.answer(reader))["id"], 1)
        self.assertTrue(await self.closed(reader))

    async def test_connection_ends_with_its_last_answer_and_not_in_the_midst_of_what_was_read(self) -> None:
        """The process begins to part between two messages of one read, and a call stands behind them."""

        def ready() -> bool:
            self.front.close_gracefully(0)
            return True

        self.front.requests.ready = ready
        reader, writer = await self.connect()
        call = json.loads(message(limit=9_000))
        checks = [framed(b'{"id":%d,"method":"check"}' % id_) for id_ in range(10, 50)]
        writer.write(b"".join(checks) + framed(json.dumps(call | {"id": 1, "method": "review"}).encode()))
        for id_ in range(10, 50):
            self.assertEqual((await self.answer(reader))["id"], id_)
        async with asyncio.timeout(20):
            while not self.rig.core.open:
                await asyncio.sleep(0.005)
        self.rig.core.attempt_ended(self.rig.sent[0], Result.OK, b"abc")
        self.assertEqual((await self.answer(reader))["id"], 1)
        self.assertTrue(await self.closed(reader))  # without another look at it

    async def test_process_that_ends_closes_behind_the_last_answer_whatever_is_unread(self) -> None:
        reader, writer = await self.connect()
        call = json.loads(message(limit=9_000))
        writer.write(framed(json.dumps(call | {"id": 1, "method": "review"}).encode()) + b"Content-Length: 9")
        async with asyncio.timeout(20):
            while not self.rig.core.open:
                await asyncio.sleep(0.005)
            self.front.close_gracefully(0)
            self.rig.core.attempt_ended(self.rig.sent[0], Result.OK, b"abc")
            self.assertEqual((await self.answer(reader))["id"], 1)
            self.assertTrue(self.front.has_open_connections())  # a message has started
            self.front.close_all()
        self.assertTrue(await self.closed(reader))
        writer.write(b"9\r\n\r\n")  # crosses the end, and is read away
        async with asyncio.timeout(20):
            while not self.counters["clients.crossed_close"]:
                await asyncio.sleep(0.005)

    async def test_clients_that_close_and_never_read_their_answers_are_counted_and_let_go(self) -> None:
        self.front.limits = changed_limits(unread_bytes=64 << 20, close_us=1_000_000)
        deaf = list[socket.socket]()
        async with asyncio.timeout(30):
            for _ in range(2):
                one = socket.create_connection(self.server.address)
                deaf.append(one)
                self.addCleanup(one.close)
                while not (fresh := [c for c in self.front.clients if not c.write_closed]):
                    await asyncio.sleep(0.005)
                self.front.answers.write(fresh[-1], bytes(16 << 20))
                one.shutdown(socket.SHUT_WR)
                while self.front.clients:
                    await asyncio.sleep(0.005)
            self.assertEqual(len(self.front.table.flushing), 2)
            early, early_writer = await self.connect()  # they may read yet, so a newcomer is refused
            early_writer.write(framed(message(limit=9_000)))
            self.assertEqual(wire_code(await self.answer(early)), REFUSED)
            self.assertTrue(await self.closed(early))
            self.assertEqual((len(self.front.table.flushing), self.counters["clients.idle_evicted"]), (2, 0))
            self.rig.now += CLIENT_LIMITS.unread_us + 1
            reader, writer = await self.connect()  # at the cap: the first of them makes room
            writer.write(framed(b'{"id":1,"method":"check"}'))
            await self.answer(reader)
            self.assertEqual((len(self.front.table.flushing), self.counters["clients.idle_evicted"]), (1, 1))
            while self.front.has_unread_answers():
                await asyncio.sleep(0.01)

    async def test_request_that_came_in_time_to_a_busy_loop_is_not_lost_to_the_end_of_that_time(self) -> None:
        """One turn of the loop finds the bytes, and the end of the time in which they were to come."""
        for first in (b"", framed(message())[:-1]):
            raw = socket.create_connection(self.server.address)
            raw.sendall(first)
            async with asyncio.timeout(20):
                while not self.front.clients or (first and not next(iter(self.front.clients)).framer.rest):
                    await asyncio.sleep(0.005)
            raw.sendall(framed(message())[len(first) :])
            time.sleep(1.2 * CLIENT_LIMITS.message_us / 1e6)  # the loop is busy
            async with asyncio.timeout(20):
                while not self.rig.core.open:
                    await asyncio.sleep(0.005)
            self.assertEqual(self.counters["clients.malformed"], 0)
            (call,) = self.rig.core.open
            self.rig.core.attempt_ended(self.rig.sent[-1], Result.OK, b"abc")
            raw.close()
            async with asyncio.timeout(20):
                while self.front.clients:
                    await asyncio.sleep(0.005)

    async def test_connection_that_is_owed_an_answer_is_read_on_past_the_time_for_a_message(self) -> None:
        """What its client sends while the answer is on its way was written to a connection that stands."""
        reader, writer = await self.connect()
        call = json.loads(message(limit=9_000))
        half = framed(json.dumps(call | {"id": 2, "method": "review"}).encode())
        writer.write(framed(json.dumps(call | {"id": 1, "method": "review"}).encode()) + half[:-1])
        await asyncio.sleep(2.5 * CLIENT_LIMITS.message_us / 1e6)
        writer.write(half[-1:])
        async with asyncio.timeout(20):
            while len(self.rig.core.open) < 2:
                await asyncio.sleep(0.005)
        for attempt in self.rig.sent[:]:
            self.rig.core.attempt_ended(attempt, Result.OK, b"abc")
        self.assertEqual({(await self.answer(reader))["id"] for _ in range(2)}, {1, 2})

    async def test_bytes_behind_a_flood_are_as_old_as_it_until_the_loop_has_rested(self) -> None:
        timestamps = Timestamps(100, 7)
        reader = ClientReader(4, timestamps)
        for since_us, last_idle_us, data, received_us in (
            (100, 7, b"xxxx", 100),
            (200, 7, b"xxxx", 100),
            (300, 8, b"xxxx", 300),
            (400, 8, b"x", 300),
            (500, 8, b"x", 500),
        ):
            timestamps.since_us, timestamps.last_idle_us = since_us, last_idle_us
            reader.feed_data(data)
            self.assertEqual(reader.received_us, received_us)
