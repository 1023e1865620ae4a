"""Measure what polling the endpoint list over DNS costs a router, and how long changes take to arrive.

The name server here answers the SRV query with the records of as many hosts as fit into 8,000 bytes, as the
operators' protocol page specifies; the router queries the other hosts one by one. The SRV records of
`max_listed_workers()` workers alone fill the answer, and no answer can hold a longer list.
"""

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
SECONDS = 5.0
SECONDS_SMALL = 1.0
CHANGE_S = 1.0  # time between changes of the list
CHANGE_S_SMALL = 0.5
POLL_S = 0.05
UDP_HEADER_BYTES = 28  # IPv4 and UDP

# DNS messages (RFC 1035).
DNS_HEADER_BYTES = 12
DNS_HEADER = struct.Struct("!6H")  # identifier, flags, and the number of records in each section
QUESTION_TAIL_BYTES = 4  # type and class, which follow the name
ANSWER_FLAGS = 0x8400  # authoritative response
NAME_POINTER = b"\xc0\x0c"  # compression pointer to the name in the question
SOA_RECORD_BYTES = 40  # upper bound of the size of the SOA record
PORT = 10_080
WEIGHT = 40


def host_name(number: int) -> str:
    """Return the host name of a worker."""
    return f"s-{number:08x}.zone-{number % 12}.hosts"


def service_record(number: int) -> bytes:
    """Return the SRV record of a worker (RFC 2782)."""
    return record(NAME_POINTER, SRV, struct.pack("!3H", 0, WEIGHT, PORT) + name_bytes(host_name(number)))


def host_record(number: int, record_type: int) -> bytes:
    """Return the A or TXT record of a worker's host."""
    host = name_bytes(host_name(number))
    if record_type == A:
        return record(host, A, bytes([127, number >> 16 & 255, number >> 8 & 255, number & 255]))
    texts = b"kind=std", b"cell=2", b"started=0"
    return record(host, TXT, b"".join(bytes([len(text)]) + text for text in texts))


def max_listed_workers() -> int:
    """Return how many workers' SRV records fit into one answer."""
    question_bytes = len(name_bytes(LIST_NAME)) + QUESTION_TAIL_BYTES
    free_bytes = ANSWER_BYTES - DNS_HEADER_BYTES - question_bytes - SOA_RECORD_BYTES
    return free_bytes // len(service_record(11))


class NameServer(asyncio.DatagramProtocol):
    """A name server that lists workers by number; its serial increases with each change of the list."""

    def __init__(self, workers: int) -> None:
        self.workers = list(range(workers))
        self.serial = 1
        self.traffic: Counter[str] = Counter()
        self._next_worker = workers
        self._transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def change(self) -> None:
        """Replace one worker and increase the serial."""
        self.workers[self.serial % len(self.workers)] = self._next_worker
        self._next_worker += 1
        self.serial += 1

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Answer a query, and count it."""
        reply = self.answer(data)
        self.traffic["queries"] += 1
        self.traffic["bytes"] += len(data) + len(reply) + 2 * UDP_HEADER_BYTES
        self._transport.sendto(reply, addr)

    def answer(self, query: bytes) -> bytes:
        """Return the answer to a query for the list or for a record of one host."""
        question_end = query.index(b"\0", DNS_HEADER_BYTES) + 1 + QUESTION_TAIL_BYTES
        (record_type,) = struct.unpack_from("!H", query, question_end - QUESTION_TAIL_BYTES)
        question = query[DNS_HEADER_BYTES:question_end]
        identifier = int.from_bytes(query[:2])
        if record_type == SRV:
            return self._answer_list(identifier, question)
        return self._answer_host(identifier, question, record_type)

    def _answer_list(self, identifier: int, question: bytes) -> bytes:
        """Return an answer with all SRV records, the serial, and the records of as many hosts as fit."""
        services = b"".join(service_record(number) for number in self.workers)
        soa = record(NAME_POINTER, SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
        free_bytes = ANSWER_BYTES - DNS_HEADER_BYTES - len(question) - len(services) - len(soa)
        hosts = b""
        count = 0
        for number in self.workers:
            records = host_record(number, A) + host_record(number, TXT)
            if len(hosts) + len(records) > free_bytes:
                break
            hosts += records
            count += 2
        header = DNS_HEADER.pack(identifier, ANSWER_FLAGS, 1, len(self.workers), 1, count)
        return header + question + services + soa + hosts

    def _answer_host(self, identifier: int, question: bytes, record_type: int) -> bytes:
        label = question[1 : 1 + question[0]].decode()
        number = int(label.removeprefix("s-"), 16)
        header = DNS_HEADER.pack(identifier, ANSWER_FLAGS, 1, 1, 0, 0)
        return header + question + host_record(number, record_type)


@dataclass(frozen=True)
class Usage:
    """The cost of polling the list."""

    queries: float  # per second
    bytes: float  # per second, in both directions
    processor_ms: float  # processor time per second, of the router and the name server together
    stale_ms: float  # mean time from a change until the router has received all of it


class StalenessMeter:
    """Measures how long it takes until a router's list has all of a change of the name server's list."""

    def __init__(self, server: NameServer, endpoints: EndpointList) -> None:
        self._server = server
        self._endpoints = endpoints
        self._changed_s = 0.0  # time of the last change; 0 before the first
        self._stale_ms = list[float]()  # one for each change that the router has received

    def change(self) -> None:
        """Change the name server's list."""
        self._server.change()
        self._changed_s = time.monotonic()

    def record_update(self) -> None:
        """Record an update of the router's list."""
        if self._changed_s and self._endpoints.version == self._server.serial:
            self._stale_ms.append((time.monotonic() - self._changed_s) * 1e3)

    def mean_ms(self) -> float:
        """Return the mean over all changes that the router has received, or 0 if there are none."""
        return sum(self._stale_ms) / max(1, len(self._stale_ms))


async def measure(workers: int, seconds: float, change_s: float = CHANGE_S) -> Usage:
    """Measure the cost of polling a list of this many workers that changes every `change_s`."""
    server = NameServer(workers)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: server, local_addr=("127.0.0.1", 0))
    address = transport.get_extra_info("sockname")[:2]
    endpoints = EndpointList()
    staleness = StalenessMeter(server, endpoints)
    discovery = DnsDiscovery(address, endpoints, NameServerLimits(), Counter(), staleness.record_update)
    polling = asyncio.create_task(discovery.run())
    try:
        while len(endpoints.entries) < workers:
            await asyncio.sleep(POLL_S)
        return await _measure_changes(server, staleness, seconds, change_s)
    finally:
        polling.cancel()
        await asyncio.gather(polling, return_exceptions=True)
        transport.close()


async def _measure_changes(
    server: NameServer, staleness: StalenessMeter, seconds: float, change_s: float
) -> Usage:
    """Change the list every `change_s` for this many seconds, and measure the cost."""
    server.traffic.clear()
    started_s = time.monotonic()
    processor_before_s = time.process_time()
    while time.monotonic() < started_s + seconds:
        staleness.change()
        await asyncio.sleep(change_s)
    took_s = time.monotonic() - started_s
    processor_s = time.process_time() - processor_before_s
    return Usage(
        queries=server.traffic["queries"] / took_s,
        bytes=server.traffic["bytes"] / took_s,
        processor_ms=1e3 * processor_s / took_s,
        stale_ms=staleness.mean_ms(),
    )


def run(small: bool = False) -> list[Series]:
    """Return the series by number of workers; `small` selects a short run with few sizes."""
    queries = Series("list queries", "workers", "a second")
    size = Series("list bytes", "workers", "B a second")
    processor = Series("list processor time", "workers", "ms a second, with the name server's")
    stale = Series("list staleness", "workers", "ms")
    seconds = SECONDS_SMALL if small else SECONDS
    change_s = CHANGE_S_SMALL if small else CHANGE_S
    for workers in SIZES[:2] if small else SIZES:
        usage = asyncio.run(measure(workers, seconds, change_s))
        queries.add(workers, usage.queries)
        size.add(workers, usage.bytes)
        processor.add(workers, usage.processor_ms)
        stale.add(workers, usage.stale_ms)
    return [queries, size, processor, stale]
