"""Hollow routers, which run the shipped membership driver and nothing else; many share one process.

Each has a UDP socket of its own. Bytes are counted where datagrams enter and leave the socket.
"""

import asyncio
import logging
import os
import resource
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import structlog

from maplestile.common.address import Address
from maplestile.membership.settings import MembershipSettings
from maplestile.membership.tuning import Tuning
from maplestile.net.gossip import GossipDriver

HEADER_BYTES = 28  # IPv4 and UDP
PAGE_KB = resource.getpagesize() // 1024
SEEDS = 3
CONVERGENCE_TIMEOUT_S = 60.0  # time for all members to see each other
POLL_S = 0.1


def messages_sent(counters: Mapping[str, int]) -> int:
    """Return the number of membership messages that a router has sent, by its counters."""
    return sum(count for name, count in counters.items() if name.startswith("peers.out."))


class HollowRouter(GossipDriver):
    """A router that only takes part in the membership protocol and counts its bytes."""

    def __init__(self, name: str, settings: MembershipSettings, seed: int) -> None:
        self.traffic: Counter[str] = Counter()
        self.can_reach: Callable[[Any], bool] = lambda address: True
        super().__init__(name, settings, seed, Counter(), lambda runner: None)

    def connection_made(self, transport: Any) -> None:
        """Wrap the transport to count the sent bytes and to drop datagrams to unreachable addresses."""
        send = transport.sendto

        def count_and_send(data: bytes, address: Any = None) -> None:
            self.traffic["out"] += len(data) + HEADER_BYTES
            if self.can_reach(address):
                send(data, address)

        transport.sendto = count_and_send

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Count a received datagram and process it."""
        self.traffic["in"] += len(data) + HEADER_BYTES
        super().datagram_received(data, addr)

    def sent(self) -> int:
        """Return the number of messages sent."""
        return messages_sent(self.counters)

    def address(self) -> Address:
        """Return the address of the socket, which must be open."""
        assert self.transport is not None
        host, port = self.transport.get_extra_info("sockname")[:2]
        return str(host), int(port)


@dataclass(frozen=True)
class MemberUsage:
    """What a member uses per second, on average: messages, bytes out and in, and processor time in ms."""

    messages: float
    bytes_out: float
    bytes_in: float
    processor_ms: float


@dataclass(frozen=True)
class Traffic:
    """What all members have sent and received so far."""

    messages: int
    bytes_out: int
    bytes_in: int


class HollowFleet:
    """A number of hollow routers on the event loop of this process."""

    def __init__(self, members: int, period_us: int, seed: int = 1) -> None:
        self.members = members
        self.period_us = period_us
        self.seed = seed
        self.routers: list[HollowRouter] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all routers. Raises TimeoutError if they do not all see each other in time."""
        # At the info level, each member would log the join of each other member.
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
        for number in range(self.members):
            await self.add(number)
        deadline = time.monotonic() + CONVERGENCE_TIMEOUT_S
        while any(len(router.swim.live()) < self.members for router in self.routers):
            if time.monotonic() > deadline:
                raise TimeoutError(f"the {self.members} members did not all see each other in time")
            await asyncio.sleep(POLL_S)

    async def add(self, number: int, port: int = 0) -> HollowRouter:
        """Start a router; `port` is the former port of a restarted router, or 0 for any free port."""
        tuning = replace(Tuning(), period_us=self.period_us, ack_us=self.period_us * 2 // 5)
        seeds = tuple(router.address() for router in self.routers[:SEEDS])
        settings = MembershipSettings(("127.0.0.1", port), seeds, tuning)
        router = HollowRouter(f"r{number}", settings, self.seed + len(self.tasks))
        self.tasks.append(asyncio.create_task(router.run()))
        while router.transport is None:
            await asyncio.sleep(0)
        self.routers.append(router)
        return router

    async def kill(self, router: HollowRouter) -> int:
        """Stop a router without a leave message and return its port."""
        index = self.routers.index(router)
        port = router.address()[1]
        del self.routers[index]
        task = self.tasks.pop(index)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return port

    async def measure(self, seconds: float) -> MemberUsage:
        """Measure what a member uses in the next seconds."""
        traffic_before = self._traffic()
        time_before = time.monotonic()
        processor_before = time.process_time()
        await asyncio.sleep(seconds)
        processor_s = time.process_time() - processor_before
        traffic = self._traffic()
        per_member_second = 1 / (self.members * (time.monotonic() - time_before))
        return MemberUsage(
            (traffic.messages - traffic_before.messages) * per_member_second,
            (traffic.bytes_out - traffic_before.bytes_out) * per_member_second,
            (traffic.bytes_in - traffic_before.bytes_in) * per_member_second,
            1e3 * processor_s * per_member_second,
        )

    async def stop(self) -> None:
        """Stop all routers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _traffic(self) -> Traffic:
        total = Counter[str]()
        for router in self.routers:
            total.update(router.traffic)
        return Traffic(sum(router.sent() for router in self.routers), total["out"], total["in"])


def resident_kb() -> int:
    """Return the resident memory of this process in KiB."""
    return int(Path(f"/proc/{os.getpid()}/statm").read_text().split()[1]) * PAGE_KB
