"""Runs the membership protocol over UDP: drives `membership.swim.Swim` with a socket and a timer."""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from maplestile.common import logs
from maplestile.common.address import Address
from maplestile.common.waiting import wait_until_set
from maplestile.dispatch.api import Result
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.member_list import Member
from maplestile.membership.messages import DatagramError, decode, encode
from maplestile.membership.settings import MembershipSettings
from maplestile.membership.swim import Status, Swim
from maplestile.membership.view import (
    HealthCheckMetrics,
    HealthChecksView,
    MembershipMetrics,
    MembershipView,
    MemberView,
)

log = logging.getLogger("maplestile.peers")

MAX_WAIT_S = 1.0  # the longest time between two checks of the protocol's timers


def monotonic_us() -> int:
    """Return the monotonic time in microseconds, which is the protocol's clock."""
    return time.monotonic_ns() // 1000


class GossipDriver(asyncio.DatagramProtocol):
    """One member of the group, on one UDP socket.

    `send_health_check` sends one health check to a runner; `record_health_check` is called with its result.
    """

    def __init__(
        self,
        name: str,
        settings: MembershipSettings,
        seed: int,
        counters: Counter[str],
        send_health_check: Callable[[str], None],
    ) -> None:
        self.name = name
        self.settings = settings
        self.seed = seed
        self.counters = counters
        self.send_health_check = send_health_check
        interval_us = settings.health_check_interval_us
        self.health_checks = SharedHealthChecks(name, interval_us) if interval_us else None
        self.swim = self._new_swim(settings.listen)  # replaced by `run`, when the socket's address is known
        self.events = logs.events("peers")
        self.transport: asyncio.DatagramTransport | None = None
        self.wake = asyncio.Event()  # set when the time of the next timer may have changed

    # The socket and the timer.

    async def run(self) -> None:
        """Take part in the group until cancelled.

        Raises OSError if the address cannot be bound or the socket is lost.
        """
        transport = self.transport = await self._open_socket()
        host, port = transport.get_extra_info("sockname")[:2]
        # If the settings have port 0, the other members need to know the port that the kernel chose.
        self.swim = self._new_swim(self.settings.advertise or (host, port))
        self.swim.join(self.settings.seeds)
        self._flush()
        log.info(
            "%s: group membership on UDP %s:%d, %d seeds", self.name, host, port, len(self.settings.seeds)
        )
        try:
            while True:
                await self._wait_until_due()
                if transport.is_closing():
                    raise ConnectionError("the gossip socket is lost")
                self.swim.tick(monotonic_us())
                self._flush()
                self._send_health_checks()
        finally:
            self.transport = None
            transport.close()

    def leave(self) -> None:
        """Announce that this member leaves the group; gossip spreads this while the process drains."""
        if self.transport is None:
            return
        self.swim.leave()
        self._flush()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handle one datagram; count and drop it if it cannot be decoded."""
        try:
            message = decode(data)
        except DatagramError as error:
            self.counters["peers.bad_datagrams"] += 1
            log.warning("peers: dropped a malformed datagram from %s:%s: %s", addr[0], addr[1], error)
            return
        self.counters[f"peers.in.{message.kind}"] += 1
        self.swim.receive(message, monotonic_us())
        self._flush()
        self.wake.set()  # the message may have changed when the next timer is due

    def error_received(self, exc: Exception) -> None:  # noqa: ARG002 - asyncio calls it with this argument
        """Count a send error, such as a refused port of an ended member; pings detect such failures."""
        self.counters["peers.send_errors"] += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Send nothing on a socket that has failed, and let `run` end so that it is opened again."""
        if exc is None:  # closed by `run`
            return
        self.counters["peers.lost_sockets"] += 1
        self.transport = None
        self.wake.set()

    # Health checks of the runners.

    def set_runners(self, runners: Iterable[str]) -> None:
        """Set the list of runners whose health checks the members share."""
        if self.health_checks is not None:
            self.health_checks.set_runners(runners)
            self.wake.set()

    def may_check_health(self, runner: str) -> bool:
        """Return whether this router sends its own health checks to a runner."""
        return self.health_checks is None or self.health_checks.may_probe(runner)

    def record_health_check(self, runner: str, result: Result) -> None:
        """Record the result of a health check, whether it was sent for the group or for this router alone."""
        # A superseded check was never sent, because the runner drains; the runner may still answer.
        if self.health_checks is None or result is Result.SUPERSEDED:
            return
        finding = self.health_checks.record_result(runner, result is Result.OK)
        if finding is not None:
            self.counters["peers.health_checks.findings"] += 1
            self.events.info(
                "health finding", runner=runner, answers=finding.answers, version=finding.version
            )

    # Views for operators.

    def members(self) -> MembershipView:
        """Return this member's view of the group."""
        swim = self.swim
        checks = self.health_checks
        return MembershipView(
            own_name=swim.name,
            incarnation=swim.incarnation,
            isolated=swim.isolated,
            local_health=swim.local_health,
            agreed=tuple(sorted(swim.agreed)),
            members=tuple(_member_view(member) for member in swim.view()),
            health_checks=None if checks is None else _health_checks_view(checks),
        )

    def metrics(self) -> MembershipMetrics:
        """Return the metrics of this member's view of the group."""
        by_status = Counter(member.status for member in self.swim.members.values())
        checks = self.health_checks
        return MembershipMetrics(
            alive=by_status[Status.ALIVE],
            suspect=by_status[Status.SUSPECT],
            dead=by_status[Status.DEAD],
            left=by_status[Status.LEFT],
            isolated=int(self.swim.isolated),
            local_health=self.swim.local_health,
            health_checks=None if checks is None else _health_check_metrics(checks),
        )

    # Steps of `run`.

    def _new_swim(self, address: Address) -> Swim:
        tuning = self.settings.tuning
        return Swim(self.name, address, tuning, self.seed, monotonic_us(), self.health_checks)

    async def _open_socket(self) -> asyncio.DatagramTransport:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.settings.listen)
        return transport

    async def _wait_until_due(self) -> None:
        wait_s = max(0.0, (self._due_us() - monotonic_us()) / 1e6)
        self.wake.clear()
        await wait_until_set(self.wake, min(wait_s, MAX_WAIT_S))

    def _due_us(self) -> int:
        due_us = self.swim.due_us()
        check_due_us = self.health_checks.due_us() if self.health_checks is not None else None
        return due_us if check_due_us is None else min(due_us, check_due_us)

    def _send_health_checks(self) -> None:
        if self.health_checks is None:
            return
        for runner in self.health_checks.due(monotonic_us()):
            self.counters["peers.health_checks.sent"] += 1
            self.send_health_check(runner)

    def _flush(self) -> None:
        """Send the outgoing messages, log the events and count the faults of the protocol."""
        self._send_outbox()
        for event in self.swim.events:
            self.counters[f"peers.events.{event.kind}"] += 1
            self.events.info(event.kind, **event.fields)
        self.swim.events.clear()
        for kind, count in self.swim.faults.items():
            self.counters[f"peers.faults.{kind}"] += count
        self.swim.faults.clear()

    def _send_outbox(self) -> None:
        for outgoing in self.swim.outbox:
            if self.transport is not None:
                self.transport.sendto(encode(outgoing.message), outgoing.address)
                self.counters[f"peers.out.{outgoing.message.kind}"] += 1
        self.swim.outbox.clear()


def _member_view(member: Member) -> MemberView:
    return MemberView(member.name, member.address, member.status, member.incarnation)


def _health_check_metrics(checks: SharedHealthChecks) -> HealthCheckMetrics:
    return HealthCheckMetrics(len(checks.next_probe_us), checks.assignment.overlap)


def _health_checks_view(checks: SharedHealthChecks) -> HealthChecksView:
    silent = sorted(runner for runner, finding in checks.findings.items() if not finding.answers)
    return HealthChecksView(
        assigned=tuple(sorted(checks.next_probe_us)),
        silent=tuple(silent),
        taken_over=checks.assignment.taken_over,
        given_up=checks.assignment.given_up,
        overlap=checks.assignment.overlap,
        skipped_probes=checks.skipped_probes,
    )
