"""Tests of service discovery by DNS: lists too long for one reply, lost replies, and serial numbers."""

import asyncio
import errno
import struct
import unittest
import unittest.mock
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, cast

from maplestile.dispatch.api import WorkerState
from maplestile.net.dns_client import MAX_HOST_QUERY_ATTEMPTS
from maplestile.net.dns_discovery import DnsDiscovery
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire import dns
from maplestile.wire.limits import NameServerLimits
from tests.standins import name_bytes, record, wait_until

Address = tuple[str, int]

WORKERS = 60
FIRST_SERIAL = 7
DISCOVERY_S = 30.0  # how long a test waits for a condition
MAX_DRAIN_DELAY_S = 1.9  # a little less than the two seconds within which a listed drain must be obeyed

# Offsets of the name in a query, which stands between the header and the type and class.
NAME_START = 12
NAME_END = -4
SAME_NAME = b"\xc0\x0c"  # compression pointer to the name in the question


class TruncatingDnsServer(asyncio.DatagramProtocol):
    """Lists workers without the records of their hosts, as a server does if one reply has no room for them.

    Queries for hosts wait until there are `host_batch` of them, and are then answered together.
    """

    def __init__(self, host_batch: int, serial: int) -> None:
        self.host_batch = host_batch
        self.serial = serial
        self.worker_count = WORKERS
        self.draining = set[int]()  # numbers of the draining workers
        self.unanswered_hosts = set[bytes]()
        self.malformed_hosts = set[bytes]()  # hosts whose TXT records have an invalid number
        self.unanswered_kinds = set[int]()  # record types of hosts that are not answered
        self.texts = b"\x08kind=std\x06cell=2\x09started=0"
        self.repeats_question = True  # if false, its lists answer another question
        self.queries = Counter[bytes]()  # by name
        self.list_queries = 0
        self._waiting: list[tuple[bytes, Address]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        name = data[NAME_START:NAME_END]
        self.queries[name] += 1
        if query_kind(data) == dns.SRV:
            self.list_queries += 1
            self._answer_list(data, addr)
        elif name not in self.unanswered_hosts and query_kind(data) not in self.unanswered_kinds:
            self._waiting.append((data, addr))
            if len(self._waiting) >= self.host_batch:
                self._answer_waiting()

    def _answer_list(self, query: bytes, peer: Address) -> None:
        if not self.repeats_question:
            query = query[:NAME_START] + name_bytes("_other._tcp.cluster.lan") + query[NAME_END:]
        targets = [
            struct.pack("!3H", number in self.draining, 40, 99) + host_name(number)
            for number in range(self.worker_count)
        ]
        answer = b"".join(record(SAME_NAME, dns.SRV, target) for target in targets)
        soa = record(SAME_NAME, dns.SOA, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
        self._reply(query, peer, self.worker_count, 1, answer + soa)

    def _answer_waiting(self) -> None:
        for query, peer in self._waiting:
            kind = query_kind(query)
            texts = self.texts
            if query[NAME_START:NAME_END] in self.malformed_hosts:
                texts = texts.replace(b"cell=2", b"cell=x")
            data = bytes([10, 0, 0, 1]) if kind == dns.A else texts
            self._reply(query, peer, 1, 0, record(SAME_NAME, kind, data))
        self._waiting.clear()

    def _reply(self, query: bytes, peer: Address, answers: int, authority: int, data: bytes) -> None:
        head = struct.pack("!6H", int.from_bytes(query[:2]), 0x8400, 1, answers, authority, 0)
        self.transport.sendto(head + query[NAME_START:] + data, peer)


def host_name(number: int) -> bytes:
    """Encode the name of a worker's host."""
    return name_bytes(f"s-{number}.east.hosts")


def query_kind(query: bytes) -> int:
    """Return the type of the record that is queried."""
    return int.from_bytes(query[-4:-2])


class DiscoveryTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs a name server and a discovery that polls it."""

    async def start(
        self,
        host_batch: int = 1,
        timeout_us: int = 100_000,
        serial: int = FIRST_SERIAL,
        restart_us: int = 60_000_000,
        complete_us: int = 600_000,
    ) -> None:
        """Start to poll a server that lists `WORKERS` workers; this goes on until the test ends."""
        loop = asyncio.get_running_loop()
        self.endpoints = EndpointList()
        self.counters = Counter[str]()
        transport, self.server = await loop.create_datagram_endpoint(
            lambda: TruncatingDnsServer(host_batch, serial), local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        limits = NameServerLimits(
            timeout_us=timeout_us, restart_us=restart_us, complete_us=complete_us, poll_us=20_000
        )
        self.discovery = DnsDiscovery(
            transport.get_extra_info("sockname")[:2], self.endpoints, limits, self.counters, lambda: None
        )
        polling = loop.create_task(self.discovery.run())
        self.addAsyncCleanup(asyncio.wait, [polling])
        self.addCleanup(polling.cancel)

    async def wait_for(self, condition: Callable[[], Any]) -> None:
        """Wait until the condition holds."""
        await wait_until(condition, DISCOVERY_S)

    async def wait_until_complete(self) -> None:
        """Wait until every worker is in the endpoint list."""
        await self.wait_for(lambda: len(self.endpoints.entries) >= WORKERS)

    async def wait_until_version(self, version: int) -> None:
        """Wait until the endpoint list has this serial."""
        await self.wait_for(lambda: self.endpoints.version == version)

    async def wait_until_state(self, worker: str, state: WorkerState) -> None:
        """Wait until a worker is in this state in the endpoint list."""
        await self.wait_for(lambda: self.endpoints.entries[worker].state is state)

    async def wait_until_polled(self, count: int) -> None:
        """Wait for `count` further queries of the list."""
        polls_before = self.server.list_queries
        await self.wait_for(lambda: self.server.list_queries >= polls_before + count)

    def publish(self, serial: int, draining: Iterable[int] = (), worker_count: int = WORKERS) -> None:
        """Change the list that the server answers with."""
        self.server.serial = serial
        self.server.draining = set(draining)
        self.server.worker_count = worker_count

    def assert_list_is(self, version: int, worker_count: int) -> None:
        """Check the serial of the endpoint list and its number of workers."""
        self.assertEqual((self.endpoints.version, len(self.endpoints.entries)), (version, worker_count))


class HostsTest(DiscoveryTestCase):
    """Hosts whose records are not in the reply with the list."""

    async def test_missing_hosts_are_queried_concurrently(self) -> None:
        # The server answers eight host queries together: if sent one by one, the first would time out.
        await self.start(host_batch=8, timeout_us=60_000_000)
        await self.wait_until_complete()
        self.assertEqual(self.endpoints.version, FIRST_SERIAL)

    async def test_unresolved_host_does_not_delay_others_and_is_queried_again(self) -> None:
        # Long timeouts, so that slow replies on a busy machine do not delay other hosts as well.
        await self.start(timeout_us=500_000, complete_us=60_000_000)
        unanswered = host_name(33)
        self.server.unanswered_hosts = {unanswered}
        # Two rounds of queries for its two records.
        await self.wait_for(lambda: self.server.queries[unanswered] >= 4 * MAX_HOST_QUERY_ATTEMPTS)
        self.assert_list_is(FIRST_SERIAL, WORKERS - 1)
        self.assertEqual(self.counters["names.lists"], 1)
        self.assertNotIn("s-33", self.endpoints.entries)
        self.server.unanswered_hosts = set()
        await self.wait_until_complete()
        self.server.unanswered_hosts = {unanswered}
        self.publish(FIRST_SERIAL + 1, draining={12, 33})
        await self.wait_for(lambda: self.endpoints.version >= FIRST_SERIAL + 1)
        # Its known records are kept, and the list itself shows that it is draining.
        self.assertEqual(len(self.endpoints.entries), WORKERS)
        entries = self.endpoints.entries.items()
        draining = {uid for uid, entry in entries if entry.state is WorkerState.DRAINING}
        self.assertEqual(draining, {"s-12", "s-33"})
        self.assertEqual(self.endpoints.addresses["s-33"], ("10.0.0.1", 99))

    async def test_unanswered_text_records_keep_what_is_known_and_are_asked_for_again(self) -> None:
        """Guards against keyed calls sent to other racks: hosts without TXT records all shared cell 0."""
        await self.start()
        await self.wait_until_complete()
        self.server.unanswered_kinds = {dns.TXT}
        self.publish(FIRST_SERIAL + 1, draining={12}, worker_count=WORKERS + 1)
        await self.wait_until_version(FIRST_SERIAL + 1)
        entries = self.endpoints.entries
        self.assertEqual({(entry.cell, entry.kind) for entry in entries.values()}, {(2, "std")})
        self.assertEqual((len(entries), entries["s-12"].state), (WORKERS, WorkerState.DRAINING))
        self.server.unanswered_kinds = set()
        await self.wait_for(lambda: len(self.endpoints.entries) == WORKERS + 1)  # under the same serial

    async def test_host_with_some_of_its_texts_is_not_listed(self) -> None:
        """Guards against a default in the place of each text that a TXT record lacks."""
        complete = (b"\x08kind=std", b"\x06cell=2", b"\x09started=0")
        for missing in complete:
            with self.subTest(missing=missing):
                await self.start()
                self.server.texts = b"".join(text for text in complete if text != missing)
                await self.wait_until_version(FIRST_SERIAL)
                await self.wait_until_polled(2)
                self.assertFalse(self.endpoints.entries)
                self.server.texts = b"".join(complete)
                await self.wait_until_complete()

    async def test_drain_of_an_older_list_is_obeyed_although_its_host_does_not_answer(self) -> None:
        """Guards against a drain that is missed because the records that identify the process are missing."""
        await self.start(serial=70)
        await self.wait_until_complete()
        self.server.unanswered_kinds = {dns.TXT, dns.A}
        self.publish(60, draining={3})
        await self.wait_until_state("s-3", WorkerState.DRAINING)

    async def test_drain_is_applied_in_time_although_many_hosts_do_not_resolve(self) -> None:
        """The list shows the drain at once; waiting for missing hosts must not delay it for too long."""
        await self.start(timeout_us=150_000)
        await self.wait_until_complete()
        self.server.unanswered_hosts = {host_name(number) for number in range(WORKERS)}
        self.publish(9, draining={5})
        started_s = asyncio.get_running_loop().time()
        await self.wait_until_state("s-5", WorkerState.DRAINING)
        self.assertLess(asyncio.get_running_loop().time() - started_s, MAX_DRAIN_DELAY_S)

    async def test_reply_to_another_question_and_malformed_records_are_ignored(self) -> None:
        await self.start(timeout_us=500_000)
        await self.wait_until_complete()
        self.server.repeats_question = False
        self.server.serial = FIRST_SERIAL + 1
        await self.wait_until_polled(4)
        self.assert_list_is(FIRST_SERIAL, WORKERS)
        self.server.repeats_question = True
        self.server.malformed_hosts = {host_name(8)}
        await self.wait_until_version(FIRST_SERIAL + 1)
        self.assertEqual((len(self.endpoints.entries), self.endpoints.entries["s-8"].cell), (WORKERS, 2))


class SerialsTest(DiscoveryTestCase):
    """Which lists count as newer than the current one."""

    async def test_wrapped_serial_is_newer_and_late_one_is_not(self) -> None:
        await self.start(serial=2**32 - 2)
        await self.wait_until_complete()
        self.publish(1, draining={3})
        await self.wait_until_version(1)
        self.publish(2**32 - 1)
        await self.wait_until_polled(4)
        state = self.endpoints.entries["s-3"].state
        self.assertEqual((self.endpoints.version, state), (1, WorkerState.DRAINING))

    async def test_server_with_restarted_serials_is_accepted_again_and_its_drains_at_once(self) -> None:
        await self.start(restart_us=2_000_000, serial=70)
        await self.wait_until_complete()
        self.publish(1, draining={3}, worker_count=WORKERS - 1)
        await self.wait_until_state("s-3", WorkerState.DRAINING)
        self.assert_list_is(70, WORKERS)  # only the drain is applied yet
        await self.wait_until_version(1)
        self.assertEqual(
            (len(self.endpoints.entries), self.counters["names.serial_restarts"]), (WORKERS - 1, 1)
        )
        self.assertGreaterEqual(self.counters["names.outdated"], NameServerLimits().restart_replies)
        self.publish(2, draining={3, 4}, worker_count=WORKERS - 1)
        await self.wait_until_version(2)
        self.assertEqual(self.endpoints.entries["s-4"].state, WorkerState.DRAINING)

    async def test_stale_server_changes_nothing_but_drains_until_its_next_current_list(self) -> None:
        """Of a list with an older serial only the drains are applied; the next current list replaces it."""
        await self.start(serial=70)
        await self.wait_until_complete()
        self.publish(60, draining={3}, worker_count=20)
        await self.wait_until_state("s-3", WorkerState.DRAINING)
        self.assert_list_is(70, WORKERS)
        self.publish(70)
        await self.wait_until_state("s-3", WorkerState.RUNNING)
        self.assertEqual((len(self.endpoints.entries), self.counters["names.serial_restarts"]), (WORKERS, 0))


class SocketTest(DiscoveryTestCase):
    """The socket for queries to the name server."""

    async def test_missing_descriptor_for_the_socket_is_reported(self) -> None:
        loop = asyncio.get_running_loop()
        no_descriptor_reports = list[int]()
        no_descriptor = OSError(errno.EMFILE, "Too many open files")
        discovery = DnsDiscovery(
            ("127.0.0.1", 9),
            EndpointList(),
            NameServerLimits(),
            Counter(),
            lambda: None,
            lambda: no_descriptor_reports.append(1),
        )
        with unittest.mock.patch.object(loop, "create_datagram_endpoint", side_effect=no_descriptor):
            polling = loop.create_task(discovery.run())
            await self.wait_for(lambda: no_descriptor_reports)
            polling.cancel()
            await asyncio.wait([polling])

    async def test_lost_socket_is_opened_again(self) -> None:
        await self.start()
        await self.wait_for(lambda: self.endpoints.entries and self.discovery.client.transport is not None)
        assert self.discovery.client.transport is not None
        self.discovery.client.transport.abort()
        queries_before = self.counters["names.queries"]
        self.discovery.has_answered = False
        await self.wait_for(lambda: self.discovery.has_answered)
        self.assertGreater(self.counters["names.queries"], queries_before)
