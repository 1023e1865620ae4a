"""The list of workers by DNS: what polling it costs a router, and how long a change takes to be whole.

The name server here answers the SRV query with as many hosts' records as 8,000 bytes have room for, as the
operators' protocol page has it; the others are asked for one by one. Its SRV records alone fill the answer at
`most_listed()` workers, and beyond that no answer holds the list."""

import asyncio
import struct
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from benchmarks.fit import Series
from maplestile.net.dns_discovery import LIST_NAME, DnsDiscovery
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire.dns import SOA, SRV, TXT, A
from maplestile.wire.limits import NameServerLimits
from tests.standins import name_bytes, record

ANSWER_BYTES = 8_000
SIZES = (20, 40, 80, 140)
SECONDS, CHANGE_S = 5.0, 1.0
HEADER_BYTES = 28  # IPv4 and UDP
POINTER = b"\xc0\x0c"  # to the question's name


def host_of(number: int) -> str:
    return f"s-{number:08x}.zone-{number % 12}.hosts"


def service(number: int) -> bytes:
    return record(POINTER, SRV, struct.pack("!3H", 0, 40, 10_080) + name_bytes(host_of(number)))


def most_listed() -> int:
    """Workers whose SRV records fit into one answer."""
    return (ANSWER_BYTES - 12 - len(name_bytes(LIST_NAME)) - 4 - 40) // len(service(11))


class NameServer(asyncio.DatagramProtocol):
    """Lists `workers`; `serial` counts its changes."""

    def __init__(self, workers: int) -> None:
        self.workers, self.serial, self.next = list(range(workers)), 1, workers
        self.traffic: Counter[str] = Counter()
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def change(self) -> None:
        self.workers[self.serial % len(self.workers)] = self.next
        self.serial, self.next = self.serial + 1, self.next + 1

    def datagram_received(self, data: bytes, addr: Any) -> None:
        end = data.index(b"\0", 12) + 5
        kind = struct.unpack_from("!H", data, end - 4)[0]
        reply = self._list(data, end) if kind == SRV else self._host(data, end, kind)
        self.traffic["queries"] += 1
        self.traffic["bytes"] += len(data) + len(reply) + 2 * HEADER_BYTES
        self.transport.sendto(reply, addr)

    def _list(self, data: bytes, end: int) -> bytes:
        answers = b"".join(service(number) for number in self.workers)
        soa = record(POINTER, SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
        more, count = b"", 0
        for number in self.workers:
            two = self._records(number, A) + self._records(number, TXT)
            if end + len(answers) + len(soa) + len(more) + len(two) > ANSWER_BYTES:
                break
            more, count = more + two, count + 2
        head = struct.pack("!6H", int.from_bytes(data[:2]), 0x8400, 1, len(self.workers), 1, count)
        return head + data[12:end] + answers + soa + more

    def _records(self, number: int, kind: int) -> bytes:
        host = name_bytes(host_of(number))
        if kind == A:
            return record(host, A, bytes([127, number >> 16 & 255, number >> 8 & 255, number & 255]))
        texts = b"kind=std", b"cell=2", b"started=0"
        return record(host, TXT, b"".join(bytes([len(text)]) + text for text in texts))

    def _host(self, data: bytes, end: int, kind: int) -> bytes:
        number = int(data[13 : 13 + data[12]].decode().removeprefix("s-"), 16)
        head = struct.pack("!6H", int.from_bytes(data[:2]), 0x8400, 1, 1, 0, 0)
        return head + data[12:end] + self._records(number, kind)


@dataclass(frozen=True)
class Use:
    queries: float  # a second
    bytes: float  # a second, both ways
    processor_ms: float  # a second, of router and name server together
    stale_ms: float  # from a change until the router has it whole, in the mean


async def measure(workers: int, seconds: float, change_s: float = CHANGE_S) -> Use:
    loop, fleet = asyncio.get_running_loop(), EndpointList()
    server = NameServer(workers)
    transport, _ = await loop.create_datagram_endpoint(lambda: server, local_addr=("127.0.0.1", 0))
    address = transport.get_extra_info("sockname")[:2]
    changed_s, stale = 0.0, list[float]()

    def taken() -> None:
        if changed_s and fleet.version == server.serial:
            stale.append((time.monotonic() - changed_s) * 1e3)

    names = DnsDiscovery(address, fleet, NameServerLimits(), Counter(), taken)
    polling = asyncio.create_task(names.run())
    try:
        while len(fleet.entries) < workers:
            await asyncio.sleep(0.05)
        server.traffic.clear()
        began, spent = time.monotonic(), time.process_time()
        while time.monotonic() < began + seconds:
            server.change()
            changed_s = time.monotonic()
            await asyncio.sleep(change_s)
        took_s, spent_s = time.monotonic() - began, time.process_time() - spent
    finally:
        polling.cancel()
        await asyncio.gather(polling, return_exceptions=True)
        transport.close()
    queries, size = server.traffic["queries"] / took_s, server.traffic["bytes"] / took_s
    return Use(queries, size, 1e3 * spent_s / took_s, sum(stale) / max(1, len(stale)))


def run(small: bool = False) -> list[Series]:
    queries = Series("list queries", "workers", "a second")
    size = Series("list bytes", "workers", "B a second")
    spent = Series("list processor time", "workers", "ms a second, with the name server's")
    stale = Series("list staleness", "workers", "ms")
    for workers in SIZES[:2] if small else SIZES:
        use = asyncio.run(measure(workers, 1.0 if small else SECONDS, 0.5 if small else CHANGE_S))
        queries.add(workers, use.queries)
        size.add(workers, use.bytes)
        spent.add(workers, use.processor_ms)
        stale.add(workers, use.stale_ms)
    return [queries, size, spent, stale]
