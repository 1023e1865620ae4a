"""A DNS client over one UDP socket: queries with time-outs and retries."""

import asyncio
import itertools
import secrets
from collections import Counter
from collections.abc import Callable

from maplestile.common.address import Address
from maplestile.net import reads
from maplestile.wire import dns
from maplestile.wire.limits import NameServerLimits

HOST_TRIES = 4
MAX_HOST_QUERIES = 16  # at once
ID_VALUES = 1 << 16


class QuerySocket(asyncio.DatagramProtocol):
    """Passes each reply to the query that waits under its id; late ones are dropped."""

    def __init__(self, counters: Counter[str]) -> None:
        self.waiting: dict[int, asyncio.Future[dns.Reply]] = {}
        self.counters = counters

    def datagram_received(self, data: bytes, _address: object) -> None:
        """Decode one reply."""
        waiting = self.waiting.get(int.from_bytes(data[:2]))
        if waiting is None or waiting.done():
            self.counters["names.stray"] += 1
            return
        try:
            waiting.set_result(dns.parse(data))
        except dns.DnsError as fault:
            waiting.set_exception(fault)

    def error_received(self, _error: Exception) -> None:
        """Count that nobody listens at the server's address; the query's time-out follows."""
        self.counters["names.socket_errors"] += 1


class DnsClient:
    """Sends queries to one name server."""

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
        self.on_no_descriptor = on_no_descriptor  # called where there is no file descriptor for the socket
        self.transport: asyncio.DatagramTransport | None = None
        self._socket = QuerySocket(counters)
        first_id = secrets.randbelow(ID_VALUES)  # not to be guessed: a forged reply must not fit
        self._ids = (number % ID_VALUES for number in itertools.count(first_id))

    async def open(self) -> None:
        """Open the socket, unless it is open. Raises OSError."""
        if self.transport is not None and not self.transport.is_closing():
            return
        try:
            self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self._socket, remote_addr=self.server
            )
        except OSError as fault:
            if fault.errno in reads.NO_DESCRIPTOR:
                self.on_no_descriptor()
            raise
        reads.limit_read_size(self.transport, self.limits.read_bytes)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    async def query(self, name: str, kind: int) -> dns.Reply:
        """Send one query and return its reply. Raises DnsError, TimeoutError or OSError."""
        assert self.transport is not None
        id_ = next(self._ids)
        future: asyncio.Future[dns.Reply] = asyncio.get_running_loop().create_future()
        self._socket.waiting[id_] = future
        self.counters["names.queries"] += 1
        try:
            self.transport.sendto(dns.query(id_, name, kind))
            async with asyncio.timeout(self.limits.timeout_us / 1e6):
                reply = await future
            if reply.question not in (None, (name.lower(), kind)):
                raise dns.DnsError(f"an answer to another question: {reply.question}")
            return reply
        finally:
            del self._socket.waiting[id_]

    async def complete(self, reply: dns.Reply, targets: list[dns.Target]) -> None:
        """Query the hosts of a list that one answer has no room for, and add them to the reply.

        Some are queried at once: one by one, each lost reply would delay the whole list by a time-out more,
        and drains are announced in it. Hosts that are not found in time stay absent.
        """
        slots = asyncio.Semaphore(MAX_HOST_QUERIES)
        queries = [
            asyncio.ensure_future(self._add_host(reply, slots, name, kind))
            for name, kind in reply.missing_records(targets)
        ]
        if not queries:
            return
        try:
            await asyncio.wait(queries, timeout=self.limits.complete_us / 1e6)
        finally:
            for query in queries:
                query.cancel()
            await asyncio.gather(*queries, return_exceptions=True)

    async def _add_host(self, reply: dns.Reply, slots: asyncio.Semaphore, name: str, kind: int) -> None:
        """Query one kind of records of a host, within the slots, and add them to the reply."""
        async with slots:
            found = await self._query_with_retries(name, kind)
        received = found.hosts.get(name.lower(), dns.Host())
        host = reply.hosts.setdefault(name.lower(), dns.Host())
        host.address = host.address or received.address
        host.texts = host.texts or received.texts

    async def _query_with_retries(self, name: str, kind: int) -> dns.Reply:
        for _ in range(HOST_TRIES - 1):
            try:
                return await self.query(name, kind)
            except (dns.DnsError, TimeoutError):
                self.counters["names.failed"] += 1
        return await self.query(name, kind)
