"""The name server's driver: asks for the whole list over UDP, again and again."""

import asyncio
import itertools
import logging
import secrets
from collections import Counter
from collections.abc import Callable

from maplestile.fleet import Address, Fleet
from maplestile.limits import Limits
from maplestile.net import reads
from maplestile.wire import dns

log = logging.getLogger(__name__)
LIST_NAME = "_app._tcp.cluster.lan"
HOST_TRIES, HOSTS_AT_ONCE = 4, 16


class Socket(asyncio.DatagramProtocol):
    """Hands each reply to the query that waits under its id; others are late, and dropped."""

    def __init__(self, counters: Counter[str]) -> None:
        self.waiting: dict[int, asyncio.Future[dns.Reply]] = {}
        self.counters = counters

    def datagram_received(self, data: bytes, addr: object) -> None:
        waiting = self.waiting.get(int.from_bytes(data[:2]))
        if waiting is None or waiting.done():
            self.counters["names.stray"] += 1
            return
        try:
            waiting.set_result(dns.parse(data))
        except dns.DnsError as fault:
            waiting.set_exception(fault)

    def error_received(self, exc: Exception) -> None:
        self.counters["names.socket_errors"] += 1  # nobody listens there; the query's time-out follows


class Names:
    def __init__(
        self, server: Address, fleet: Fleet, limits: Limits, counters: Counter[str],
        changed: Callable[[], None],
    ) -> None:  # fmt: skip
        self.server, self.fleet, self.limits, self.counters = server, fleet, limits, counters
        self.changed = changed
        self.heard = False  # a usable answer has come
        start = secrets.randbelow(1 << 16)  # not to be guessed: a foreign reply must not fit
        self.ids = (n & 0xFFFF for n in itertools.count(start))
        self.socket = Socket(counters)
        self.transport: asyncio.DatagramTransport | None = None

    async def run(self) -> None:
        """Poll until cancelled; the query socket goes with it."""
        try:
            await self._run()
        finally:
            if self.transport is not None:
                self.transport.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            began = loop.time()
            try:
                if self.transport is None:
                    self.transport, _ = await loop.create_datagram_endpoint(
                        lambda: self.socket, remote_addr=self.server
                    )
                    reads.bound(self.transport, self.limits.names_read_bytes)
                await self._poll()
                self.heard, failures = True, 0
            except (dns.DnsError, TimeoutError, OSError) as fault:
                failures += 1
                self.counters["names.failed"] += 1
                if failures in (4, 40, 400):
                    log.warning("names: no usable list in %d queries: %s", failures, fault or "no reply")
                # Lost or cut replies are asked for again at once: the change counts as told after 1.5 s.
                await asyncio.sleep(0.02 if failures < 4 else 0.1)
                continue
            await asyncio.sleep(max(0.01, began + self.limits.names_poll_us / 1e6 - loop.time()))

    async def _poll(self) -> None:
        reply = await self._ask(LIST_NAME, dns.SRV)
        if reply.serial is None:
            raise dns.DnsError("a list without its serial")
        if reply.serial <= self.fleet.version:
            return
        await self._complete(reply)
        if self.fleet.apply_whole(reply.serial, list(dns.entries(reply))):
            self.counters["names.lists"] += 1
            self.changed()

    async def _complete(self, reply: dns.Reply) -> None:
        """Ask for the hosts that one answer has no room for, some at once: one by one, each lost reply would
        keep back the whole list by a time-out more, and drains are told in it."""
        turns = asyncio.Semaphore(HOSTS_AT_ONCE)

        async def fill(name: str, kind: int) -> None:
            async with turns:
                found = await self._ask_again(name, kind)
            told = found.hosts.get(name.lower(), dns.Host())
            host = reply.hosts.setdefault(name.lower(), dns.Host())
            host.address, host.texts = host.address or told.address, host.texts or told.texts

        ends = await asyncio.gather(*(fill(*lacking) for lacking in reply.lacking()), return_exceptions=True)
        for fault in ends:  # an incomplete list never replaces a good one
            if isinstance(fault, BaseException):
                raise fault

    async def _ask_again(self, name: str, kind: int) -> dns.Reply:
        for _ in range(HOST_TRIES - 1):
            try:
                return await self._ask(name, kind)
            except (dns.DnsError, TimeoutError):
                self.counters["names.failed"] += 1
        return await self._ask(name, kind)

    async def _ask(self, name: str, kind: int) -> dns.Reply:
        assert self.transport is not None
        id_ = next(self.ids)
        reply = asyncio.get_running_loop().create_future()
        self.socket.waiting[id_] = reply
        self.counters["names.queries"] += 1
        try:
            self.transport.sendto(dns.query(id_, name, kind))
            async with asyncio.timeout(self.limits.names_timeout_us / 1e6):
                found: dns.Reply = await reply
                return found
        finally:
            del self.socket.waiting[id_]
