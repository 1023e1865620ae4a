"""The platform's front over real sockets: its messages, and calls of clients that close."""

import asyncio
import json
import socket
import struct
from typing import Any

from maplestile.dispatch.api import Result
from maplestile.net.client_reader import ClientReader
from tests.front_fixture import (
    CALL_FRAME,
    CALL_LIMIT_MS,
    CLIENT_LIMITS,
    FakeTimestamps,
    FrontClient,
    FrontTestCase,
    call_frame,
    changed_limits,
)
from tests.standins import PATIENCE_S, wait_until
from tests.test_machines import framed, message

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # a linger of zero seconds


class MessagesTest(FrontTestCase):
    """Answers, ids and the bounds of one connection."""

    async def test_answers_do_not_wait_for_the_client_to_acknowledge_the_one_before(self) -> None:
        client = await self.connect()
        await client.check()
        accepted = next(iter(self.front.clients)).writer.get_extra_info("socket")
        self.assertTrue(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

    async def test_one_read_of_a_socket_is_bounded(self) -> None:
        """What a client can have in memory, and the buffer that each read takes."""
        client = await self.connect()
        await self.until_connected()
        sizes = self.record_read_sizes()
        client.send(b"Content-Length: 30000\r\n\r\n" + bytes(25_000))
        await wait_until(lambda: sum(sizes) >= 25_000)
        self.assertLessEqual(max(sizes), CLIENT_LIMITS.read_bytes)

    def record_read_sizes(self) -> list[int]:
        """Return a list that gets the size of each read of the front's one connection."""
        sizes = list[int]()
        (accepted,) = self.front.clients
        protocol: Any = accepted.writer.transport.get_protocol()
        data_received = protocol.data_received

        def record_and_pass_on(data: bytes) -> None:
            sizes.append(len(data))
            data_received(data)

        protocol.data_received = record_and_pass_on
        return sizes

    async def test_check_is_ready_only_when_the_program_is(self) -> None:
        client = await self.connect()
        for self.ready in (False, True):
            self.assertEqual((await client.check())["result"], {"ready": self.ready})

    async def test_streams_of_a_connection_and_open_ids_are_bounded(self) -> None:
        client = await self.connect()
        call = json.loads(message(limit=CALL_LIMIT_MS))
        for id_ in (1, 1, 2, 3):  # the second 1 is open already, the 3 is one too many
            client.send(framed(json.dumps(call | {"id": id_}).encode()))
        errors = [await client.read_answer() for _ in range(2)]
        self.assertEqual([error["id"] for error in errors], [None, 3])
        self.assertEqual(len(self.harness.core.open), 2)

    async def test_bytes_behind_a_flood_are_as_old_as_it_until_the_loop_has_rested(self) -> None:
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
    """Clients that close or reset their connections while calls are open."""

    async def test_ids_belong_to_their_connection_and_a_lost_client_gives_up_its_calls(self) -> None:
        clients = [await self.connect() for _ in range(2)]
        for client in clients:
            client.send(CALL_FRAME)
        async with asyncio.timeout(PATIENCE_S):
            await self.until_open(2)
            third = await self.connect()  # the descriptors are budgeted
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await third.reader.readexactly(1)
            clients[0].writer.transport.abort()
            self.front.answer_writer.write(next(iter(self.front.clients)), b"")
            await wait_until(self.write_until_a_call_is_withdrawn)
        self.assertEqual(self.counters["clients.rejected"], 1)

    def write_until_a_call_is_withdrawn(self) -> bool:
        """Write to all clients unless a call was withdrawn: a dead peer shows at a write at the latest."""
        if len(self.harness.core.open) <= 1 or self.harness.core.counters["requests.withdrawn"]:
            return True
        for client in list(self.front.clients):
            self.front.answer_writer.write(client, framed(b"{}"))
        return False

    async def test_client_that_resets_its_connection_while_it_is_read_away_is_no_fault(self) -> None:
        """Each left a trace of an exception in the log: 6,672 of them on one day of crowds."""
        faults = list[dict[str, Any]]()
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        self.front.limits = changed_limits(linger_us=5_000_000)
        client = await self.connect()
        client.send(b"Content-")
        self.assertIn("error", await client.read_answer())
        connection = client.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.writer.transport.abort()
        await self.until_disconnected()
        await asyncio.sleep(0)
        self.assertEqual(faults, [])

    async def test_nothing_begins_for_a_client_whose_close_stands_behind_a_flood(self) -> None:
        """All of it, and the close, are in the system before the first byte is read."""
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

    async def test_closed_client_leaves_nothing_behind_in_any_table(self) -> None:
        """It waits for a connection, then for an answer, and nobody waits for it."""
        for unwritten in (True, False):
            client = await self.connect()
            client.send(call_frame(1))
            await self.until_open()
            (attempt,) = list(self.harness.core.in_flight)
            self.harness.unwritten = {attempt} if unwritten else set()
            client.writer.close()
            await wait_until(self.disconnect_is_seen)
            if not unwritten:
                self.harness.core.attempt_ended(attempt, Result.MISS)
            await self.until_disconnected()
            self.assert_nothing_is_left()
        self.assertEqual(len(self.harness.sent), 2)

    def disconnect_is_seen(self) -> bool:
        """Return whether the core knows of the disconnected client."""
        return bool(self.harness.core.counters["requests.client_disconnected"] or self.harness.core.answers)

    def assert_nothing_is_left(self) -> None:
        """Check the tables of the core and of the dispatcher."""
        core = self.harness.core
        dispatcher = core.dispatcher
        self.assertEqual((core.open, core.in_flight, core.open_bytes), ({}, {}, 0))
        self.assertEqual((dispatcher.calls, dispatcher.attempts), ({}, {}))
        self.assertEqual([worker.busy for worker in dispatcher.workers.values()], [0, 0])
        self.assertFalse(any(function.waiting for function in dispatcher.tiers.functions.values()))
