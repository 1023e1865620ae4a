"""The name server's driver: asks for the whole list over UDP, again and again."""

import asyncio
import itertools
import logging
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from maplestile.common.address import Address
from maplestile.dispatch.api import WorkerState
from maplestile.net import reads
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire import dns
from maplestile.wire.limits import Limits

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


class DnsDiscovery:
    """Asks one name server; `before` asks the one that was told before it, until this one has answered."""

    def __init__(
        self,
        server: Address,
        fleet: EndpointList,
        limits: Limits,
        counters: Counter[str],
        changed: Callable[[], None],
        starved: Callable[[], object] = lambda: None,
        before: asyncio.Task[None] | None = None,
    ) -> None:
        self.server, self.fleet, self.limits, self.counters = server, fleet, limits, counters
        self.changed, self.starved, self.before = changed, starved, before
        self.heard = False  # a usable answer has come
        self.whole = True  # the list at hand is all that the server told under its number
        self.behind_s, self.behinds = 0.0, 0  # since when all that the server tells is older, and how often
        start = secrets.randbelow(1 << 16)  # not to be guessed: a foreign reply must not fit
        self.ids = (n & 0xFFFF for n in itertools.count(start))
        self.socket = Socket(counters)
        self.transport: asyncio.DatagramTransport | None = None

    async def run(self) -> None:
        """Poll until cancelled; the query socket goes with it."""
        try:
            await self._run()
        finally:
            self.end_before()
            if self.transport is not None:
                self.transport.close()

    def end_before(self) -> None:
        if self.before is not None:
            self.before.cancel()
            self.before = None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            began = loop.time()
            try:
                if self.transport is None or self.transport.is_closing():
                    await self._open()
                await self._poll()
                self.heard, failures = True, 0
                self.end_before()
            except (dns.DnsError, TimeoutError, OSError) as fault:
                failures += 1
                self.counters["names.failed"] += 1
                if failures in (4, 40, 400):
                    log.warning("names: no usable list in %d queries: %s", failures, fault or "no reply")
                # Lost or cut replies are asked for again at once: the change counts as told after 1.5 s.
                await asyncio.sleep(0.02 if failures < 4 else 0.1)
                continue
            await asyncio.sleep(max(0.01, began + self.limits.names_poll_us / 1e6 - loop.time()))

    async def _open(self) -> None:
        try:
            self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self.socket, remote_addr=self.server
            )
        except OSError as fault:
            if fault.errno in reads.NO_DESCRIPTOR:  # clients hold them all, and need no list of their own
                self.starved()
            raise
        reads.bound(self.transport, self.limits.names_read_bytes)

    async def _poll(self) -> None:
        reply = await self._ask(LIST_NAME, dns.SRV)
        if reply.serial is None:
            raise dns.DnsError("a list without its serial")
        behind = self.fleet.behind(reply.serial)
        if behind and not self._restarted():
            await self._obey_drains(reply)
            return
        self.behinds = 0
        if behind:
            self.counters["names.restarts"] += 1
            log.warning("names: serials start anew, %d after %d", reply.serial, self.fleet.version)
        elif reply.serial == self.fleet.version and self.whole:
            return
        await self._complete(reply, reply.targets)
        self._take(reply, reply.serial, behind or reply.serial == self.fleet.version)

    def _restarted(self) -> bool:
        """Guards against a server that numbers its lists anew, and would never be heard again; a stale one,
        or a reply that was overtaken, is behind only for some seconds."""
        now_s = asyncio.get_running_loop().time()
        if not self.behinds:
            self.behind_s = now_s
        self.behinds += 1
        self.counters["names.behind"] += 1
        often = self.behinds >= self.limits.names_restart_replies
        return often and now_s - self.behind_s >= self.limits.names_restart_us / 1e6

    async def _obey_drains(self, reply: dns.Reply) -> None:
        """Of a list that is behind only what cannot have been taken back: a process that drains goes on to
        its end. What else it tells may have changed since."""
        serving = {uid for uid, entry in self.fleet.entries.items() if entry.state is WorkerState.RUNNING}
        told_off = [t for t in reply.targets if t.priority and t.name.split(".")[0] in serving]
        await self._complete(reply, told_off)
        drained = list[str]()
        for target in told_off:
            try:
                told, _ = dns.entry(reply, target)
            except dns.DnsError:
                continue
            known = self.fleet.entries.get(told.worker)
            if known is not None and known.started_us == told.started_us:  # else another process
                drained.append(told.worker)
        if drained:
            self.fleet.drain(drained)
            self.whole = False  # the next list that is not behind says how it is
            self.counters["names.drains_behind"] += len(drained)
            self.changed()

    def _take(self, reply: dns.Reply, serial: int, anew: bool) -> None:
        """Take a list over. Of a host that could not be found, or whose records are spoilt, what was told
        before holds, but for its state: one host must not keep back the drains of all others."""
        listed, lacking = [], list[str]()
        for target in reply.targets:
            try:
                listed.append(dns.entry(reply, target))
            except dns.DnsError as fault:
                lacking.append(str(fault))
                uid = target.name.split(".")[0]
                if (known := self.fleet.entries.get(uid)) is not None:
                    state = WorkerState.DRAINING if target.priority else known.state
                    listed.append((replace(known, state=state), self.fleet.addresses[uid]))
        if lacking:
            self.counters["names.incomplete"] += 1
            log.warning("names: list %d lacks %d hosts: %s", serial, len(lacking), lacking[0])
        before = self.fleet.version, dict(self.fleet.entries), dict(self.fleet.addresses)
        if not self.fleet.apply_whole(serial, listed, anew):
            return  # overtaken while its hosts were looked for
        self.whole = not lacking
        if (self.fleet.version, self.fleet.entries, self.fleet.addresses) != before:
            self.counters["names.lists"] += 1
            self.changed()

    async def _complete(self, reply: dns.Reply, targets: list[dns.Target]) -> None:
        """Ask for the hosts that one answer has no room for, some at once: one by one, each lost reply would
        keep back the whole list by a time-out more, and drains are told in it."""
        turns = asyncio.Semaphore(HOSTS_AT_ONCE)

        async def fill(name: str, kind: int) -> None:
            async with turns:
                found = await self._ask_again(name, kind)
            told = found.hosts.get(name.lower(), dns.Host())
            host = reply.hosts.setdefault(name.lower(), dns.Host())
            host.address, host.texts = host.address or told.address, host.texts or told.texts

        asking = [asyncio.ensure_future(fill(*lacking)) for lacking in reply.lacking(targets)]
        if asking:
            try:
                await asyncio.wait(asking, timeout=self.limits.names_complete_us / 1e6)
            finally:
                for one in asking:
                    one.cancel()
                await asyncio.gather(*asking, return_exceptions=True)

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
            if found.question not in (None, (name.lower(), kind)):
                raise dns.DnsError(f"an answer to another question: {found.question}")
            return found
        finally:
            del self.socket.waiting[id_]
