"""The name server's client: lists of more workers than one answer holds, and lost replies to its queries."""

import asyncio
import errno
import struct
import unittest
import unittest.mock
from collections import Counter
from typing import cast

from maplestile.dispatch.api import WorkerState
from maplestile.net.dns_client import HOST_TRIES
from maplestile.net.dns_discovery import DnsDiscovery
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire import dns
from maplestile.wire.limits import NameServerLimits
from tests.standins import name_bytes, record

WORKERS = 60


class Server(asyncio.DatagramProtocol):
    """Lists 60 workers without their hosts. It answers about hosts once `together` queries wait, and never
    about those in `mute`."""

    def __init__(self, together: int) -> None:
        self.together, self.mute, self.queries = together, set[bytes](), Counter[bytes]()
        self.waiting: list[tuple[bytes, tuple[str, int]]] = []
        self.serial, self.listed, self.draining, self.polls = 7, WORKERS, set[int](), 0
        self.foreign, self.spoilt = False, set[bytes]()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        name, kind = data[12:-4], int.from_bytes(data[-4:-2])
        self.queries[name] += 1
        if kind == dns.SRV:
            self.polls += 1
            if self.foreign:
                data = data[:12] + name_bytes("_other._tcp.cluster.lan") + data[-4:]
            targets = [
                struct.pack("!3H", n in self.draining, 40, 99) + name_bytes(f"s-{n}.east.hosts")
                for n in range(self.listed)
            ]
            answer = b"".join(record(b"\xc0\x0c", dns.SRV, target) for target in targets)
            soa = record(b"\xc0\x0c", dns.SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
            self.reply(data, addr, self.listed, 1, answer + soa)
        elif name not in self.mute:
            self.waiting.append((data, addr))
            if len(self.waiting) >= self.together:
                for query, peer in self.waiting:
                    texts = b"\x08kind=std\x06cell=2\x09started=0"
                    if query[12:-4] in self.spoilt:
                        texts = texts.replace(b"cell=2", b"cell=x")
                    contents = bytes([10, 0, 0, 1]), texts
                    kind = int.from_bytes(query[-4:-2])
                    self.reply(query, peer, 1, 0, record(b"\xc0\x0c", kind, contents[kind != dns.A]))
                self.waiting.clear()

    def reply(self, query: bytes, peer: tuple[str, int], answers: int, authority: int, data: bytes) -> None:
        head = struct.pack("!6H", int.from_bytes(query[:2]), 0x8400, 1, answers, authority, 0)
        self.transport.sendto(head + query[12:] + data, peer)


class NamesTest(unittest.IsolatedAsyncioTestCase):
    async def start(
        self, together: int, timeout_us: int, serial: int = 7, restart_us: int = 60_000_000
    ) -> tuple[Server, EndpointList, Counter[str]]:
        loop, fleet, counters = asyncio.get_running_loop(), EndpointList(), Counter[str]()
        transport, server = await loop.create_datagram_endpoint(
            lambda: Server(together), local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        server.serial = serial
        limits = NameServerLimits(timeout_us=timeout_us, restart_us=restart_us, poll_us=20_000)
        self.names = DnsDiscovery(
            transport.get_extra_info("sockname")[:2], fleet, limits, counters, lambda: None
        )
        polling = loop.create_task(self.names.run())
        self.addAsyncCleanup(asyncio.wait, [polling])
        self.addCleanup(polling.cancel)
        return server, fleet, counters

    async def test_hosts_that_one_answer_does_not_hold_are_queried_together(self) -> None:
        _, fleet, _ = await self.start(8, 60_000_000)  # one by one, the first would wait for a minute
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
        self.assertEqual(fleet.version, 7)

    async def test_host_that_never_resolves_keeps_back_nothing_else_and_is_queried_again(self) -> None:
        server, fleet, counters = await self.start(1, 100_000)
        mute = name_bytes("s-33.east.hosts")
        server.mute = {mute}
        async with asyncio.timeout(30):
            while server.queries[mute] < 4 * HOST_TRIES:  # its two records, in two rounds
                await asyncio.sleep(0.005)
        self.assertEqual((fleet.version, len(fleet.entries), counters["names.lists"]), (7, WORKERS - 1, 1))
        self.assertNotIn("s-33", fleet.entries)
        server.mute = set()
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
        server.mute, server.draining, server.serial = {mute}, {12, 33}, 8
        async with asyncio.timeout(30):
            while fleet.version < 8:
                await asyncio.sleep(0.005)
        # What was known of it holds, and the list itself shows its drain.
        self.assertEqual(len(fleet.entries), WORKERS)
        drained = {uid for uid, e in fleet.entries.items() if e.state is WorkerState.DRAINING}
        self.assertEqual(drained, {"s-12", "s-33"})
        self.assertEqual(fleet.addresses["s-33"], ("10.0.0.1", 99))

    async def test_drains_are_obeyed_while_many_hosts_do_not_resolve(self) -> None:
        """The list tells the drain at once; the hosts that it lacks may not keep it back until it binds."""
        server, fleet, _ = await self.start(1, 150_000)
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
        server.mute = {name_bytes(f"s-{n}.east.hosts") for n in range(WORKERS)}
        server.draining, server.serial = {5}, 9
        began = asyncio.get_running_loop().time()
        async with asyncio.timeout(30):
            while fleet.entries["s-5"].state is WorkerState.RUNNING:
                await asyncio.sleep(0.005)
        self.assertLess(asyncio.get_running_loop().time() - began, 1.9)

    async def test_serials_that_wrap_are_news_and_late_ones_are_not(self) -> None:
        server, fleet, _ = await self.start(1, 100_000, serial=2**32 - 2)
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
            server.serial, server.draining = 1, {3}
            while fleet.version != 1:
                await asyncio.sleep(0.005)
            server.serial, server.draining = 2**32 - 1, set()
            polls_before = server.polls
            while server.polls < polls_before + 4:
                await asyncio.sleep(0.005)
        self.assertEqual((fleet.version, fleet.entries["s-3"].state), (1, WorkerState.DRAINING))

    async def test_server_that_numbers_anew_is_heard_again_and_its_drains_at_once(self) -> None:
        server, fleet, counters = await self.start(1, 100_000, restart_us=2_000_000, serial=70)
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
            server.serial, server.draining, server.listed = 1, {3}, WORKERS - 1
            while fleet.entries["s-3"].state is WorkerState.RUNNING:
                await asyncio.sleep(0.005)
            self.assertEqual((fleet.version, len(fleet.entries)), (70, WORKERS))  # nothing else of it yet
            while fleet.version != 1:
                await asyncio.sleep(0.005)
            self.assertEqual((len(fleet.entries), counters["names.serial_restarts"]), (WORKERS - 1, 1))
            self.assertGreaterEqual(counters["names.outdated"], NameServerLimits().restart_replies)
            server.serial, server.draining = 2, {3, 4}
            while fleet.version != 2:
                await asyncio.sleep(0.005)
        self.assertEqual(fleet.entries["s-4"].state, WorkerState.DRAINING)

    async def test_stale_server_takes_nothing_back_and_its_next_good_list_counts(self) -> None:
        """Behind for a while: what it tells is old, but for drains; the next list sets all right."""
        server, fleet, counters = await self.start(1, 100_000, serial=70)
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
            server.serial, server.draining, server.listed = 60, {3}, 20
            while fleet.entries["s-3"].state is WorkerState.RUNNING:
                await asyncio.sleep(0.005)
            self.assertEqual((fleet.version, len(fleet.entries)), (70, WORKERS))
            server.serial, server.draining, server.listed = 70, set(), WORKERS
            while fleet.entries["s-3"].state is WorkerState.DRAINING:
                await asyncio.sleep(0.005)
        self.assertEqual((len(fleet.entries), counters["names.serial_restarts"]), (WORKERS, 0))

    async def test_answer_to_another_question_and_spoilt_records_replace_nothing(self) -> None:
        server, fleet, _ = await self.start(1, 500_000)
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
            server.foreign, server.serial = True, 8
            polls = server.polls
            while server.polls < polls + 4:
                await asyncio.sleep(0.005)
            self.assertEqual((fleet.version, len(fleet.entries)), (7, WORKERS))
            server.foreign, server.spoilt = False, {name_bytes("s-8.east.hosts")}
            while fleet.version != 8:
                await asyncio.sleep(0.005)
        self.assertEqual((len(fleet.entries), fleet.entries["s-8"].cell), (WORKERS, 2))

    async def test_socket_for_which_there_is_no_descriptor_asks_for_room(self) -> None:
        loop, room = asyncio.get_running_loop(), list[int]()
        no_descriptor = OSError(errno.EMFILE, "Too many open files")
        names = DnsDiscovery(
            ("127.0.0.1", 9),
            EndpointList(),
            NameServerLimits(),
            Counter(),
            lambda: None,
            lambda: room.append(1),
        )
        with unittest.mock.patch.object(loop, "create_datagram_endpoint", side_effect=no_descriptor):
            polling = loop.create_task(names.run())
            async with asyncio.timeout(30):
                while not room:
                    await asyncio.sleep(0.005)
            polling.cancel()
            await asyncio.wait([polling])

    async def test_socket_that_is_lost_is_opened_again(self) -> None:
        _, fleet, counters = await self.start(1, 100_000)
        async with asyncio.timeout(30):
            while not fleet.entries or self.names.client.transport is None:
                await asyncio.sleep(0.005)
            self.names.client.transport.abort()
            queries_before = counters["names.queries"]
            self.names.has_answered = False
            while not self.names.has_answered:
                await asyncio.sleep(0.005)
        self.assertGreater(counters["names.queries"], queries_before)
