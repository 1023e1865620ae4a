"""The name server's client: lists of more workers than one answer holds, and lost replies to its queries."""

import asyncio
import struct
import unittest
from collections import Counter
from typing import cast

from maplestile.fleet import Fleet
from maplestile.limits import Limits
from maplestile.net.names import HOST_TRIES, Names
from maplestile.wire import dns
from tests.standins import name_bytes, record

WORKERS = 60


class Server(asyncio.DatagramProtocol):
    """Lists 60 workers without their hosts. It answers about hosts once `together` queries wait, and never
    about those in `mute`."""

    def __init__(self, together: int) -> None:
        self.together, self.mute, self.asked = together, set[bytes](), Counter[bytes]()
        self.waiting: list[tuple[bytes, tuple[str, int]]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        name, kind = data[12:-4], int.from_bytes(data[-4:-2])
        self.asked[name] += 1
        if kind == dns.SRV:
            answer = b"".join(
                record(b"\xc0\x0c", dns.SRV, struct.pack("!3H", 0, 40, 99) + name_bytes(f"s-{n}.east.hosts"))
                for n in range(WORKERS)
            )
            soa = record(b"\xc0\x0c", dns.SOA, b"\0\0" + struct.pack("!5I", 7, 0, 0, 0, 0))
            self.reply(data, addr, WORKERS, 1, answer + soa)
        elif name not in self.mute:
            self.waiting.append((data, addr))
            if len(self.waiting) >= self.together:
                for query, peer in self.waiting:
                    told = bytes([10, 0, 0, 1]), b"\x08kind=std\x06cell=2\x09started=0"
                    kind = int.from_bytes(query[-4:-2])
                    self.reply(query, peer, 1, 0, record(b"\xc0\x0c", kind, told[kind != dns.A]))
                self.waiting.clear()

    def reply(self, query: bytes, peer: tuple[str, int], answers: int, authority: int, data: bytes) -> None:
        head = struct.pack("!6H", int.from_bytes(query[:2]), 0x8400, 1, answers, authority, 0)
        self.transport.sendto(head + query[12:] + data, peer)


class NamesTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, together: int, timeout_us: int) -> tuple[Server, Fleet, Counter[str]]:
        loop, fleet, counters = asyncio.get_running_loop(), Fleet(), Counter[str]()
        transport, server = await loop.create_datagram_endpoint(
            lambda: Server(together), local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        limits = Limits(names_timeout_us=timeout_us)
        names = Names(transport.get_extra_info("sockname")[:2], fleet, limits, counters, lambda: None)
        polling = loop.create_task(names.run())
        self.addAsyncCleanup(asyncio.wait, [polling])
        self.addCleanup(polling.cancel)
        return server, fleet, counters

    async def test_hosts_that_one_answer_does_not_hold_are_asked_for_together(self) -> None:
        _, fleet, _ = await self.start(8, 60_000_000)  # one by one, the first would wait for a minute
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
        self.assertEqual(fleet.version, 7)

    async def test_list_that_cannot_be_completed_replaces_nothing_and_is_asked_for_again(self) -> None:
        server, fleet, counters = await self.start(1, 10_000)
        mute = name_bytes("s-33.east.hosts")
        server.mute = {mute}
        async with asyncio.timeout(30):
            while server.asked[mute] < 4 * HOST_TRIES:  # its two records, in two rounds
                await asyncio.sleep(0.005)
        self.assertEqual((fleet.version, fleet.entries, counters["names.lists"]), (-1, {}, 0))
        server.mute = set()
        async with asyncio.timeout(30):
            while len(fleet.entries) < WORKERS:
                await asyncio.sleep(0.005)
