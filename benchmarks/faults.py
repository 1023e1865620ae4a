"""Faults among hollow routers: what each costs until all of them have one view again.

    python -m benchmarks.faults [--members N] [--cut SECONDS]

A third is cut off for a minute, as a region; a twelfth is killed at once, as a zone; a tenth is restarted one
after the other within 30 s. Printed are the seconds until one view, the most messages and bytes of a member
in a second, and how often a member was declared dead by another, during the fault and after it.
"""

import argparse
import asyncio
import functools
import math
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.hollow import HollowFleet, HollowRouter

MEMBERS = 60
PERIOD_US = 1_000_000
CUT_S = 60.0
RESTARTS_S = 30.0  # for all restarts
SETTLE_S = 30.0  # before a fault
AFTER_S = 2.0  # after one view, in which traffic is still measured
VIEW_TIMEOUT_S = 120.0
POLL_S = 0.1
REGION_DIVISOR = 3
ZONE_DIVISOR = 12
RESTARTED_DIVISOR = 10

Fault = Callable[[HollowFleet], Awaitable[None]]


@dataclass
class TrafficSampler:
    """Each second's messages and bytes of a member, in the mean."""

    fleet: HollowFleet
    messages: list[float] = field(default_factory=list)
    bytes: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            routers = list(self.fleet.routers)
            messages_before = sum(router.sent() for router in routers)
            bytes_before = sum(router.traffic["out"] for router in routers)
            await asyncio.sleep(1.0)
            messages = sum(router.sent() for router in routers) - messages_before
            bytes_out = sum(router.traffic["out"] for router in routers) - bytes_before
            self.messages.append(messages / len(routers))
            self.bytes.append(bytes_out / len(routers))


@dataclass(frozen=True)
class FaultResult:
    """What a fault cost."""

    view_s: float  # until one view; infinite if it did not come in time
    most_messages: float  # of a member in a second
    most_bytes: float
    deaths_during: int  # declared by any member of any other
    deaths_after: int

    def row(self, name: str, members: int) -> str:
        """A line of the Markdown table."""
        traffic = f"{self.most_messages:.1f} | {self.most_bytes:.0f}"
        deaths = f"{self.deaths_during} | {self.deaths_after}"
        return f"| {name} | {members} | {self.view_s:.1f} | {traffic} | {deaths} |"


def has_one_view(fleet: HollowFleet) -> bool:
    """Whether every router sees all routers and no other."""
    names = sorted(router.name for router in fleet.routers)
    return all(router.swim.live() == names for router in fleet.routers)


def count_deaths(fleet: HollowFleet) -> int:
    """How often the routers that run now have declared another dead."""
    return sum(router.counters["peers.events.confirm"] for router in fleet.routers)


async def until_one_view(fleet: HollowFleet) -> float:
    """Wait for one view, and return the seconds until then; infinity after `VIEW_TIMEOUT_S`."""
    started_s = time.monotonic()
    while not has_one_view(fleet):
        if time.monotonic() - started_s > VIEW_TIMEOUT_S:
            return math.inf
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started_s


async def cut_region(fleet: HollowFleet, seconds: float) -> None:
    """Cut the first third, the seeds among them, off from the others for so many seconds."""
    region = {router.address() for router in fleet.routers[: len(fleet.routers) // REGION_DIVISOR]}

    def reaches_own_side(is_inside: bool, address: Any) -> bool:
        return (tuple(address) in region) is is_inside

    for router in fleet.routers:
        router.reaches = functools.partial(reaches_own_side, router.address() in region)
    await asyncio.sleep(seconds)
    for router in fleet.routers:
        router.reaches = lambda address: True


async def kill_zone(fleet: HollowFleet) -> None:
    """Kill the last twelfth at once."""
    for router in fleet.routers[-max(1, len(fleet.routers) // ZONE_DIVISOR) :]:
        await fleet.kill(router)


async def restart_some(fleet: HollowFleet, seconds: float) -> None:
    """Restart the last tenth one after the other, all within so many seconds."""
    chosen: list[HollowRouter] = fleet.routers[-max(1, len(fleet.routers) // RESTARTED_DIVISOR) :]
    for router in chosen:
        number = int(router.name[1:])
        port = await fleet.kill(router)
        await asyncio.sleep(seconds / len(chosen))
        await fleet.add(number, port)


async def play(members: int, fault: Fault) -> FaultResult:
    """Play a fault on a fleet of its own."""
    fleet = HollowFleet(members, PERIOD_US)
    sampler = TrafficSampler(fleet)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        deaths_before = count_deaths(fleet)
        sampling = asyncio.create_task(sampler.run())
        await fault(fleet)
        deaths_during = count_deaths(fleet) - deaths_before
        view_s = await until_one_view(fleet)
        await asyncio.sleep(AFTER_S)
        sampling.cancel()
        deaths_after = count_deaths(fleet) - deaths_before - deaths_during
        return FaultResult(view_s, max(sampler.messages), max(sampler.bytes), deaths_during, deaths_after)
    finally:
        await fleet.stop()


def main() -> None:
    """Play each fault, and print the table."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.faults", description="faults of hollow routers"
    )
    parser.add_argument("--members", type=int, default=MEMBERS)
    parser.add_argument("--cut", type=float, default=CUT_S, help="seconds for which a third is cut off")
    arguments = parser.parse_args()
    faults: dict[str, Fault] = {
        "a zone (a twelfth) killed": kill_zone,
        "a tenth restarted within 30 s": lambda fleet: restart_some(fleet, RESTARTS_S),
        f"a region (a third) cut off for {arguments.cut:.0f} s": lambda fleet: cut_region(
            fleet, arguments.cut
        ),
    }
    print("| fault | members | s to one view | messages, most | bytes, most | deaths during | deaths after |")
    print("| --- | --- | --- | --- | --- | --- | --- |", flush=True)
    for name, fault in faults.items():
        print(f"{name} …", file=sys.stderr, flush=True)
        result = asyncio.run(play(arguments.members, fault))
        print(result.row(name, arguments.members), flush=True)


if __name__ == "__main__":
    main()
