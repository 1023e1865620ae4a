"""Queries a DNS server over one UDP socket, with timeouts and retries."""

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Callable

from maplestile.common.address import Address
from maplestile.net import bounded_reads
from maplestile.wire import dns
from maplestile.wire.limits import NameServerLimits

MAX_HOST_QUERY_ATTEMPTS = 4  # queries for one record type of a host, including the first
MAX_HOST_QUERIES = 16  # concurrent queries
ID_VALUES = 1 << 16  # number of DNS message ids


class QuerySocket(asyncio.DatagramProtocol):
    """The UDP protocol that passes each reply to the pending query with its id, and drops other replies."""

    def __init__(self, counters: Counter[str]) -> None:
        self.pending: dict[int, asyncio.Future[dns.Reply]] = {}
        self.counters = counters

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Decode one reply, and resolve its query."""
        pending = self.pending.get(int.from_bytes(data[:2]))
        if pending is None or pending.done():
            self.counters["names.stray"] += 1
            return
        try:
            pending.set_result(dns.parse(data))
        except dns.DnsError as error:
            pending.set_exception(error)

    def error_received(self, _error: Exception) -> None:
        """Count a socket error, such as a refused port at the server; the query itself times out."""
        self.counters["names.socket_errors"] += 1


class DnsClient:
    """A client of one name server."""

    def __init__(
        self,
        server: Address,
        limits: NameServerLimits,
        counters: Counter[str],
        on_no_descriptor: Callable[[], object],
    ) -> None:
        self.server = server
        self.limits = limits
        self.counters = counters
        self.on_no_descriptor = on_no_descriptor  # called if no file descriptor is free for the socket
        self.transport: asyncio.DatagramTransport | None = None
        self._socket = QuerySocket(counters)
        # Unpredictable, so that replies are harder to forge; `secrets` would load OpenSSL.
        first_id = random.SystemRandom().randrange(ID_VALUES)
        self._ids = (number % ID_VALUES for number in itertools.count(first_id))

    async def open(self) -> None:
        """Open the socket unless it is open already. Raises OSError."""
        if self.transport is not None and not self.transport.is_closing():
            return
        try:
            self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self._socket, remote_addr=self.server
            )
        except OSError as error:
            if error.errno in bounded_reads.NO_DESCRIPTOR:
                self.on_no_descriptor()
            raise
        bounded_reads.limit_read_size(self.transport, self.limits.read_bytes)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    async def query(self, name: str, record_type: int) -> dns.Reply:
        """Send one query and return its reply. Raises DnsError, TimeoutError or OSError."""
        assert self.transport is not None
        id_ = next(self._ids)
        future: asyncio.Future[dns.Reply] = asyncio.get_running_loop().create_future()
        self._socket.pending[id_] = future
        self.counters["names.queries"] += 1
        try:
            self.transport.sendto(dns.query(id_, name, record_type))
            async with asyncio.timeout(self.limits.timeout_us / 1e6):
                reply = await future
            if reply.question not in (None, (name.lower(), record_type)):
                raise dns.DnsError(f"the reply answers another question: {reply.question}")
            return reply
        finally:
            del self._socket.pending[id_]

    async def add_missing_hosts(self, reply: dns.Reply, targets: list[dns.Target]) -> None:
        """Query the host records of the targets that a list reply had no room for, and add them to it.

        Several queries run concurrently. If they ran one by one, each lost reply would delay the whole list,
        and the drains that it announces, by another timeout. Hosts that are not found in time stay absent.
        """
        slots = asyncio.Semaphore(MAX_HOST_QUERIES)
        queries = [
            asyncio.ensure_future(self._add_host(reply, slots, name, record_type))
            for name, record_type in reply.missing_records(targets)
        ]
        if not queries:
            return
        try:
            await asyncio.wait(queries, timeout=self.limits.complete_us / 1e6)
        finally:
            for query in queries:
                query.cancel()
            await asyncio.gather(*queries, return_exceptions=True)

    async def _add_host(
        self, reply: dns.Reply, slots: asyncio.Semaphore, name: str, record_type: int
    ) -> None:
        """Query one record type of a host, at most one query per slot, and add the records to the reply."""
        async with slots:
            found = await self._query_with_retries(name, record_type)
        received = found.hosts.get(name.lower(), dns.Host())
        host = reply.hosts.setdefault(name.lower(), dns.Host())
        host.address = host.address or received.address
        host.texts |= received.texts  # the list's reply may have had room for only some of them

    async def _query_with_retries(self, name: str, record_type: int) -> dns.Reply:
        for _ in range(MAX_HOST_QUERY_ATTEMPTS - 1):
            try:
                return await self.query(name, record_type)
            except (dns.DnsError, TimeoutError):
                self.counters["names.failed"] += 1
        return await self.query(name, record_type)
