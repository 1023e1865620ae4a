"""Discovers workers over DNS: polls a name server for the complete list of endpoints."""

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
LOGGED_FAILURES = (4, 40, 400)  # numbers of consecutive failed polls at which a warning is logged
# A poll whose reply was lost or truncated is retried soon, since a drain counts as announced after 1.5 s.
FAST_RETRIES = 3
FAST_RETRY_S = 0.02
SLOW_RETRY_S = 0.1
MIN_POLL_S = 0.01

ListedEntry = tuple[WorkerEntry, Address]


class DnsDiscovery:
    """The poller of one name server, which applies the server's lists to the endpoint list.

    `previous_task` polls the name server that this one replaces; it is cancelled once this one has answered.
    """

    def __init__(
        self,
        server: Address,
        endpoints: EndpointList,
        limits: NameServerLimits,
        counters: Counter[str],
        on_change: Callable[[], None],
        on_no_descriptor: Callable[[], object] = lambda: None,
        previous_task: asyncio.Task[None] | None = None,
        on_confirmed: Callable[[], object] = lambda: None,
    ) -> None:
        self.client = DnsClient(server, limits, counters, on_no_descriptor)
        self.endpoints = endpoints
        self.limits = limits
        self.counters = counters
        self.on_change = on_change  # called after each change of the endpoint list
        self.on_confirmed = on_confirmed  # called after each reply that has the current list
        self.previous_task = previous_task
        self.has_answered = False  # the name server has sent a usable reply
        self.is_complete = True  # False if the list with the current serial has to be applied again
        self.serial_restart = SerialRestartDetector(limits, counters)

    async def run(self) -> None:
        """Poll until cancelled, and then close the query socket."""
        try:
            await self._run()
        finally:
            self._cancel_previous()
            self.client.close()

    def _cancel_previous(self) -> None:
        if self.previous_task is not None:
            self.previous_task.cancel()
            self.previous_task = None

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            started_s = loop.time()
            try:
                await self.client.open()
                await self._poll()
            except (dns.DnsError, TimeoutError, OSError) as error:
                failures += 1
                self._record_failure(failures, error)
                await asyncio.sleep(FAST_RETRY_S if failures <= FAST_RETRIES else SLOW_RETRY_S)
                continue
            failures = 0
            self.has_answered = True
            self._cancel_previous()
            next_s = started_s + self.limits.poll_us / 1e6
            await asyncio.sleep(max(MIN_POLL_S, next_s - loop.time()))

    def _record_failure(self, failures: int, error: Exception) -> None:
        """Count a failed poll, and log it if `failures`, the number in a row, is in `LOGGED_FAILURES`."""
        self.counters["names.failed"] += 1
        if failures in LOGGED_FAILURES:
            log.warning(
                "name server: no usable reply to %d queries in a row: %s", failures, error or "no reply"
            )

    async def _poll(self) -> None:
        """Query the list once, and apply it if it is new. Raises DnsError, TimeoutError or OSError."""
        reply = await self.client.query(LIST_NAME, dns.SRV)
        if reply.serial is None:
            raise dns.DnsError("the reply has no serial")
        is_older = self.endpoints.is_newer_than(reply.serial)
        if is_older and not self.serial_restart.record_older_serial():
            await self._apply_drains(reply)
            return
        self.serial_restart.reset()
        is_unchanged = reply.serial == self.endpoints.version
        if is_unchanged and self.is_complete:
            self.on_confirmed()
            return
        if is_older:
            self.counters["names.serial_restarts"] += 1
            version = self.endpoints.version
            log.warning(
                "name server: serials have restarted; applying list %d after list %d", reply.serial, version
            )
        await self.client.add_missing_hosts(reply, reply.targets)
        # The serial of the endpoint list may have changed while the hosts were queried.
        replaces = is_older or reply.serial == self.endpoints.version
        self._apply(reply, reply.serial, replaces)
        if self.is_complete:
            self.on_confirmed()

    async def _apply_drains(self, reply: dns.Reply) -> None:
        """Apply only the drains of a list with an older serial.

        A process that drains never serves again, but the rest of such a list may be out of date.
        """
        entries = self.endpoints.entries
        serving = {uid for uid, entry in entries.items() if entry.state is WorkerState.RUNNING}
        draining = [target for target in reply.targets if target.priority and _worker_uid(target) in serving]
        await self.client.add_missing_hosts(reply, draining)
        drained = [_worker_uid(target) for target in draining if not self._is_other_process(reply, target)]
        if drained:
            self.endpoints.drain(drained)
            self.is_complete = False  # apply the next list that is not older, even if its serial is the same
            self.counters["names.outdated_drains"] += len(drained)
            self.on_change()

    def _is_other_process(self, reply: dns.Reply, target: dns.Target) -> bool:
        """Return whether a target is not the process of its current entry, judged by the start time.

        Without the records of its host it counts as the same, so that its drain is obeyed.
        """
        try:
            listed, _ = dns.worker_entry(reply, target)
        except dns.DnsError:
            return False
        known = self.endpoints.entries.get(listed.worker)
        return known is None or known.started_us != listed.started_us

    def _apply(self, reply: dns.Reply, serial: int, replaces: bool) -> None:
        """Apply a complete list; with `replaces`, even if its serial is not newer."""
        listed, errors = self._listed_entries(reply)
        if errors:
            self.counters["names.incomplete"] += 1
            log.warning(
                "name server: list %d lacks usable records of %d hosts; keeping their old entries: %s",
                serial,
                len(errors),
                errors[0],
            )
        endpoints = self.endpoints
        list_before = (endpoints.version, dict(endpoints.entries), dict(endpoints.addresses))
        if not endpoints.apply_list(serial, listed, replaces):
            return  # a newer list was applied while the hosts were queried
        self.is_complete = not errors
        if (endpoints.version, endpoints.entries, endpoints.addresses) != list_before:
            self.counters["names.lists"] += 1
            self.on_change()

    def _listed_entries(self, reply: dns.Reply) -> tuple[list[ListedEntry], list[str]]:
        """Return the entries of a list with their addresses, and the errors of hosts without usable records.

        The entry of such a host is kept, except that it may change to draining: one host must not delay the
        drains of all others.
        """
        listed = list[ListedEntry]()
        errors = list[str]()
        for target in reply.targets:
            try:
                listed.append(dns.worker_entry(reply, target))
            except dns.DnsError as error:
                errors.append(str(error))
                if (known := self._known_entry(target)) is not None:
                    listed.append(known)
        return listed, errors

    def _known_entry(self, target: dns.Target) -> ListedEntry | None:
        """Return the current entry of a target, or None; it is marked as draining if the list says so."""
        worker = _worker_uid(target)
        known = self.endpoints.entries.get(worker)
        if known is None:
            return None
        state = WorkerState.DRAINING if target.priority else known.state
        return replace(known, state=state), self.endpoints.addresses[worker]


class SerialRestartDetector:
    """A detector of a name server that has restarted its serials.

    Without it, the lists of such a server would never be applied again. A stale server, or a delayed reply,
    has older serials only for a few seconds.
    """

    def __init__(self, limits: NameServerLimits, counters: Counter[str]) -> None:
        self.limits = limits
        self.counters = counters
        self._replies = 0  # consecutive replies with an older serial
        self._since_s = 0.0  # loop time of the first of them

    def record_older_serial(self) -> bool:
        """Record a reply with an older serial; return whether such replies show that the serials restarted.

        That takes both `restart_replies` of them in a row and `restart_us` since the first.
        """
        now_s = asyncio.get_running_loop().time()
        if not self._replies:
            self._since_s = now_s
        self._replies += 1
        self.counters["names.outdated"] += 1
        often = self._replies >= self.limits.restart_replies
        return often and now_s - self._since_s >= self.limits.restart_us / 1e6

    def reset(self) -> None:
        """Reset the count, after a reply whose serial is not older or after an applied restart."""
        self._replies = 0


def _worker_uid(target: dns.Target) -> str:
    return target.name.split(".")[0]
