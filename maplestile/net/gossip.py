"""The membership protocol on UDP: datagrams in and out of `peers.swim.Swim`, and its timer."""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from maplestile.common import logs
from maplestile.common.waiting import wait_until_set
from maplestile.dispatch.api import Result
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.messages import DatagramError, decode, encode
from maplestile.membership.settings import MembershipSettings
from maplestile.membership.swim import Status, Swim

log = logging.getLogger("maplestile.peers")


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class GossipDriver(asyncio.DatagramProtocol):
    """One member on one UDP socket."""

    def __init__(
        self,
        name: str,
        plan: MembershipSettings,
        seed: int,
        counters: Counter[str],
        probe: Callable[[str], None],
    ) -> None:
        self.probe = probe
        self.watch = SharedHealthChecks(name, plan.watch_us) if plan.watch_us else None
        self.name, self.plan, self.tuning, self.seed = name, plan, plan.tuning, seed
        self.swim = Swim(name, plan.listen, plan.tuning, seed, monotonic_us())  # anew once the socket stands
        self.seeds, self.counters = list(plan.seeds), counters
        self.events = logs.events("peers")
        self.transport: asyncio.DatagramTransport | None = None
        self.wake = asyncio.Event()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.plan.listen)
        host, port = self.transport.get_extra_info("sockname")[:2]
        address = self.plan.advertise or (host, port)  # port 0 in the file: the system's choice is told
        self.swim = Swim(self.name, address, self.tuning, self.seed, monotonic_us(), self.watch)
        self.swim.join(self.seeds, monotonic_us())
        self._flush()
        log.info("%s: members meet on UDP %s:%d, seeds %d", self.name, host, port, len(self.seeds))
        try:
            while True:
                wait_s = max(0.0, (self._due_us() - monotonic_us()) / 1e6)
                self.wake.clear()
                await wait_until_set(self.wake, min(wait_s, 1.0))
                self.swim.tick(monotonic_us())
                self._flush()
                if self.watch is not None:
                    for runner in self.watch.due(monotonic_us()):
                        self.counters["peers.watch.probes"] += 1
                        self.probe(runner)
        finally:
            self.transport.close()

    def _due_us(self) -> int:
        watched = self.watch.due_us() if self.watch is not None else None
        due_us = self.swim.due_us()
        return due_us if watched is None else min(due_us, watched)

    # The runners, as the core and the list tell of them.

    def listed(self, runners: Iterable[str]) -> None:
        if self.watch is not None:
            self.watch.listed(runners)
            self.wake.set()

    def may_probe(self, runner: str) -> bool:
        return self.watch is None or self.watch.may_probe(runner)

    def probed(self, runner: str, result: Result) -> None:
        if self.watch is None or result is Result.SUPERSEDED:  # never sent: the runner drains, and may answer
            return
        finding = self.watch.ended(runner, result is Result.OK)
        if finding is not None:
            self.counters["peers.watch.findings"] += 1
            self.events.info("finding", runner=runner, answers=finding.answers, version=finding.version)

    def leave(self) -> None:
        """Say that this member goes; the word travels while the process drains, before the socket closes."""
        if self.transport is None:
            return
        self.swim.leave(monotonic_us())
        self._flush()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            message = decode(data)
        except DatagramError as fault:
            self.counters["peers.bad_datagrams"] += 1
            log.warning("peers: a bad datagram from %s:%s dropped: %s", addr[0], addr[1], fault)
            return
        self.counters[f"peers.in.{message.kind}"] += 1
        self.swim.receive(message, monotonic_us())
        self._flush()
        self.wake.set()  # what came may have changed what is due

    def error_received(self, exc: Exception) -> None:
        self.counters["peers.send_errors"] += 1  # a port refused by a member that ended: its probe tells

    def _flush(self) -> None:
        for to, message in self.swim.outbox:
            if self.transport is not None:
                self.transport.sendto(encode(message), to)
                self.counters[f"peers.out.{message.kind}"] += 1
        self.swim.outbox.clear()
        for kind, told in self.swim.events:
            self.counters[f"peers.events.{kind}"] += 1
            self.events.info(kind, **told)
        self.swim.events.clear()
        for kind, count in self.swim.faults.items():
            self.counters[f"peers.faults.{kind}"] += count
        self.swim.faults.clear()

    def members(self) -> dict[str, Any]:
        """The view, for operators: `{"member", "isolated", "health", "agreed", "members": [...]}`."""
        swim = self.swim
        return {
            "member": swim.name,
            "incarnation": swim.incarnation,
            "isolated": swim.isolated,
            "health": swim.health,
            "agreed": sorted(swim.agreed),
            "members": [
                {
                    "name": m.name,
                    "address": f"{m.address[0]}:{m.address[1]}",
                    "status": m.status.value,
                    "incarnation": m.incarnation,
                }
                for m in swim.view()
            ],
            "watch": None if self.watch is None else self._watched(self.watch),
        }

    @staticmethod
    def _watched(watch: SharedHealthChecks) -> dict[str, Any]:
        """The runners this member probes for all, those that their owners find silent, and what moved."""
        silent = sorted(name for name, found in watch.findings.items() if not found.answers)
        shares = watch.shares
        return {
            "mine": sorted(watch.next_us),
            "silent": silent,
            "taken_over": shares.taken_over,
            "given_up": shares.given_up,
            "overlap": shares.overlap,
            "left": watch.left,
        }

    def figures(self) -> dict[str, int]:
        """For the operators' figures: members by state, whether this one is cut off, and its duties."""
        swim, watch = self.swim, self.watch
        told = {f"members_{status.value}": 0 for status in Status}
        for member in swim.members.values():
            told[f"members_{member.status.value}"] += 1
        told |= {"isolated": int(swim.isolated), "health": swim.health}
        if watch is not None:
            told |= {"duties": len(watch.next_us), "duties_overlap": watch.shares.overlap}
        return told
