"""Service discovery by DNS: polls a name server for the whole list of endpoints."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from maplestile.common.address import Address
from maplestile.dispatch.api import WorkerEntry, WorkerState
from maplestile.net.dns_client import DnsClient
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire import dns
from maplestile.wire.limits import NameServerLimits

log = logging.getLogger(__name__)
LIST_NAME = "_app._tcp.cluster.lan"
LOGGED_FAILURES = (4, 40, 400)  # failed polls in a row that are logged
# A lost or cut reply is polled for again soon, since a drain counts as announced after 1.5 s.
FAST_RETRIES = 3
FAST_RETRY_S = 0.02
SLOW_RETRY_S = 0.1
MIN_POLL_S = 0.01

ListedEntry = tuple[WorkerEntry, Address]


class DnsDiscovery:
    """Polls one name server, and applies its lists to the endpoints.

    `replaced` is the task that polls the name server before it: it goes on until this one has answered.
    """

    def __init__(
        self,
        server: Address,
        endpoints: EndpointList,
        limits: NameServerLimits,
        counters: Counter[str],
        on_change: Callable[[], None],
        on_no_descriptor: Callable[[], object] = lambda: None,
        replaced: asyncio.Task[None] | None = None,
    ) -> None:
        self.client = DnsClient(server, limits, counters, on_no_descriptor)
        self.endpoints = endpoints
        self.limits = limits
        self.counters = counters
        self.on_change = on_change  # called after each change of the endpoints
        self.replaced = replaced
        self.has_answered = False  # a usable answer has come
        self.is_complete = True  # the endpoints are all that the server lists under their serial
        self.serial_restart = SerialRestart(limits, counters)

    async def run(self) -> None:
        """Poll until cancelled; the query socket is closed with it."""
        try:
            await self._run()
        finally:
            self._end_replaced()
            self.client.close()

    def _end_replaced(self) -> None:
        if self.replaced is not None:
            self.replaced.cancel()
            self.replaced = None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            started_s = loop.time()
            try:
                await self.client.open()
                await self._poll()
            except (dns.DnsError, TimeoutError, OSError) as fault:
                failures += 1
                self._note_failure(failures, fault)
                await asyncio.sleep(FAST_RETRY_S if failures <= FAST_RETRIES else SLOW_RETRY_S)
                continue
            failures = 0
            self.has_answered = True
            self._end_replaced()
            next_s = started_s + self.limits.poll_us / 1e6
            await asyncio.sleep(max(MIN_POLL_S, next_s - loop.time()))

    def _note_failure(self, failures: int, fault: Exception) -> None:
        """Count a failed poll, and log some: `failures` have come in a row."""
        self.counters["names.failed"] += 1
        if failures in LOGGED_FAILURES:
            log.warning("names: no usable list in %d queries: %s", failures, fault or "no reply")

    async def _poll(self) -> None:
        """Query the list once, and apply what is new. Raises DnsError, TimeoutError or OSError."""
        reply = await self.client.query(LIST_NAME, dns.SRV)
        if reply.serial is None:
            raise dns.DnsError("a list without its serial")
        is_behind = self.endpoints.is_newer_than(reply.serial)
        if is_behind and not self.serial_restart.note_older_serial():
            await self._apply_drains(reply)
            return
        self.serial_restart.reset()
        is_unchanged = reply.serial == self.endpoints.version
        if is_unchanged and self.is_complete:
            return
        if is_behind:
            self.counters["names.serial_restarts"] += 1
            version = self.endpoints.version
            log.warning("names: serials start anew, %d after %d", reply.serial, version)
        await self.client.complete(reply, reply.targets)
        # The serial of the endpoints may have changed while the hosts were queried.
        replaces = is_behind or reply.serial == self.endpoints.version
        self._apply(reply, reply.serial, replaces)

    async def _apply_drains(self, reply: dns.Reply) -> None:
        """Apply the drains of a list with an older serial: a process that drains never serves again.

        The rest of such a list may have changed since.
        """
        entries = self.endpoints.entries
        serving = {uid for uid, entry in entries.items() if entry.state is WorkerState.RUNNING}
        draining = [target for target in reply.targets if target.priority and _worker_of(target) in serving]
        await self.client.complete(reply, draining)
        drained = [_worker_of(target) for target in draining if self._is_known_process(reply, target)]
        if drained:
            self.endpoints.drain(drained)
            self.is_complete = False  # the next list that is not behind replaces the endpoints
            self.counters["names.outdated_drains"] += len(drained)
            self.on_change()

    def _is_known_process(self, reply: dns.Reply, target: dns.Target) -> bool:
        """Return whether a target is the process that the endpoints have, and not an earlier or later one."""
        try:
            listed, _ = dns.worker_entry(reply, target)
        except dns.DnsError:
            return False
        known = self.endpoints.entries.get(listed.worker)
        return known is not None and known.started_us == listed.started_us

    def _apply(self, reply: dns.Reply, serial: int, replaces: bool) -> None:
        """Apply a whole list; with `replaces` also one whose serial is not newer."""
        listed, faults = self._listed_entries(reply)
        if faults:
            self.counters["names.incomplete"] += 1
            log.warning("names: list %d lacks %d hosts: %s", serial, len(faults), faults[0])
        endpoints = self.endpoints
        list_before = (endpoints.version, dict(endpoints.entries), dict(endpoints.addresses))
        if not endpoints.apply_whole(serial, listed, replaces):
            return  # overtaken while its hosts were queried
        self.is_complete = not faults
        if (endpoints.version, endpoints.entries, endpoints.addresses) != list_before:
            self.counters["names.lists"] += 1
            self.on_change()

    def _listed_entries(self, reply: dns.Reply) -> tuple[list[ListedEntry], list[str]]:
        """Return the entries of a list with their addresses, and the faults of those without usable records.

        An entry whose host was not found, or has bad records, stays as it was but for its state: one host
        must not delay the drains of all others.
        """
        listed = list[ListedEntry]()
        faults = list[str]()
        for target in reply.targets:
            try:
                listed.append(dns.worker_entry(reply, target))
            except dns.DnsError as fault:
                faults.append(str(fault))
                if (known := self._known_entry(target)) is not None:
                    listed.append(known)
        return listed, faults

    def _known_entry(self, target: dns.Target) -> ListedEntry | None:
        """Return the entry that the endpoints have of a target, draining if the list says so."""
        worker = _worker_of(target)
        known = self.endpoints.entries.get(worker)
        if known is None:
            return None
        state = WorkerState.DRAINING if target.priority else known.state
        return replace(known, state=state), self.endpoints.addresses[worker]


class SerialRestart:
    """Recognizes a name server that numbers its lists anew, whose lists would never be applied again.

    A stale server, or a reply that was overtaken, has older serials only for some seconds.
    """

    def __init__(self, limits: NameServerLimits, counters: Counter[str]) -> None:
        self.limits = limits
        self.counters = counters
        self._replies = 0  # in a row with an older serial
        self._since_s = 0.0  # of the first of them

    def note_older_serial(self) -> bool:
        """Note one more reply with an older serial; return whether they came often and for long enough."""
        now_s = asyncio.get_running_loop().time()
        if not self._replies:
            self._since_s = now_s
        self._replies += 1
        self.counters["names.outdated"] += 1
        often = self._replies >= self.limits.restart_replies
        return often and now_s - self._since_s >= self.limits.restart_us / 1e6

    def reset(self) -> None:
        """Note a reply whose serial is not older, or a restart that was applied."""
        self._replies = 0


def _worker_of(target: dns.Target) -> str:
    return target.name.split(".")[0]
