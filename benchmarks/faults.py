"""Measure what faults among hollow routers cost until all of them have the same membership view again.

    python -m benchmarks.faults [--members N] [--cut SECONDS]

A third of the members is cut off for a minute, like a region; a twelfth is killed at once, like a zone; a
tenth is restarted one after the other within 30 s. The table has the seconds until all views agree, the
highest mean number of messages and bytes that a member sent in one second, and how often a member was
declared dead by another, during the fault and after it.
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
RESTARTS_S = 30.0  # time over which all restarts are spread
SETTLE_S = 30.0  # wait before a fault
AFTER_S = 2.0  # time for which traffic is still measured once all views agree
VIEW_TIMEOUT_S = 120.0
POLL_S = 0.1
REGION_DIVISOR = 3  # a region has a third of the members
ZONE_DIVISOR = 12  # a zone has a twelfth of the members
RESTARTED_DIVISOR = 10  # a tenth of the members is restarted

Fault = Callable[[HollowFleet], Awaitable[None]]


@dataclass
class TrafficSampler:
    """A sampler of the mean number of messages and bytes that a member sends in each second."""

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
    """The cost of a fault."""

    view_s: float  # time until all views agree; infinite after `VIEW_TIMEOUT_S`
    max_messages: float  # highest mean number of messages that a member sent in one second
    max_bytes: float  # highest mean number of bytes that a member sent in one second
    deaths_during: int  # how often a member declared another dead during the fault
    deaths_after: int  # how often a member declared another dead after the fault

    def row(self, name: str, members: int) -> str:
        """Return a row of the Markdown table."""
        traffic = f"{self.max_messages:.1f} | {self.max_bytes:.0f}"
        deaths = f"{self.deaths_during} | {self.deaths_after}"
        return f"| {name} | {members} | {self.view_s:.1f} | {traffic} | {deaths} |"


def has_one_view(fleet: HollowFleet) -> bool:
    """Return whether every router sees all the running routers as live and no other members."""
    names = sorted(router.name for router in fleet.routers)
    return all(router.swim.live() == names for router in fleet.routers)


def count_deaths(fleet: HollowFleet) -> int:
    """Return how often the running routers have declared another member dead."""
    return sum(router.counters["peers.events.confirm"] for router in fleet.routers)


async def wait_for_one_view(fleet: HollowFleet) -> float:
    """Wait until all views agree; return how many seconds it took, or infinity after `VIEW_TIMEOUT_S`."""
    started_s = time.monotonic()
    while not has_one_view(fleet):
        if time.monotonic() - started_s > VIEW_TIMEOUT_S:
            return math.inf
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started_s


async def cut_region(fleet: HollowFleet, seconds: float) -> None:
    """Cut the first third of the members, which includes the seeds, off from the others for `seconds`."""
    region = {router.address() for router in fleet.routers[: len(fleet.routers) // REGION_DIVISOR]}

    def is_on_same_side(is_inside: bool, address: Any) -> bool:
        return (tuple(address) in region) is is_inside

    for router in fleet.routers:
        router.can_reach = functools.partial(is_on_same_side, router.address() in region)
    await asyncio.sleep(seconds)
    for router in fleet.routers:
        router.can_reach = lambda address: True


async def kill_zone(fleet: HollowFleet) -> None:
    """Kill the last twelfth of the members at once."""
    for router in fleet.routers[-max(1, len(fleet.routers) // ZONE_DIVISOR) :]:
        await fleet.kill(router)


async def restart_some(fleet: HollowFleet, seconds: float) -> None:
    """Restart the last tenth of the members one after the other, spread over this many seconds."""
    chosen: list[HollowRouter] = fleet.routers[-max(1, len(fleet.routers) // RESTARTED_DIVISOR) :]
    for router in chosen:
        number = int(router.name[1:])
        port = await fleet.kill(router)
        await asyncio.sleep(seconds / len(chosen))
        await fleet.add(number, port)


async def measure(members: int, fault: Fault) -> FaultResult:
    """Start a fleet, cause a fault, and measure its cost."""
    fleet = HollowFleet(members, PERIOD_US)
    sampler = TrafficSampler(fleet)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        deaths_before = count_deaths(fleet)
        sampling = asyncio.create_task(sampler.run())
        await fault(fleet)
        deaths_during = count_deaths(fleet) - deaths_before
        view_s = await wait_for_one_view(fleet)
        await asyncio.sleep(AFTER_S)
        sampling.cancel()
        deaths_after = count_deaths(fleet) - deaths_before - deaths_during
        return FaultResult(view_s, max(sampler.messages), max(sampler.bytes), deaths_during, deaths_after)
    finally:
        await fleet.stop()


def main() -> None:
    """Measure each fault and print the table."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.faults", description="Measure what faults among hollow routers cost."
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
        result = asyncio.run(measure(arguments.members, fault))
        print(result.row(name, arguments.members), flush=True)


if __name__ == "__main__":
    main()
