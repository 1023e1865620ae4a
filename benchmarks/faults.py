"""Faults among hollow routers: what each costs until all of them have one view again.

    python -m benchmarks.faults [--members N] [--cut SECONDS]

A third is cut off for a minute, as a region; a twelfth is killed at once, as a zone; a tenth is restarted one
after the other within 30 s. Told are the seconds until one view, the most messages and bytes of a member in a
second, and how often a member was declared dead by another, during the fault and after it."""

import argparse
import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from benchmarks.hollow import HollowFleet, HollowRouter

MEMBERS, PERIOD_US, CUT_S, RESTARTS_S = 60, 1_000_000, 60.0, 30.0
SETTLE_S, VIEW_S = 30.0, 120.0


@dataclass
class Watch:
    """Each second's messages and bytes of a member, in the mean."""

    fleet: HollowFleet
    messages: list[float] = field(default_factory=list)
    bytes: list[float] = field(default_factory=list)

    async def run(self) -> None:
        while True:
            routers = list(self.fleet.routers)
            before = [(router.sent(), router.traffic["out"]) for router in routers]
            await asyncio.sleep(1.0)
            after = [(router.sent(), router.traffic["out"]) for router in routers]
            pairs = list(zip(before, after, strict=True))
            self.messages.append(sum(b[0] - a[0] for a, b in pairs) / len(pairs))
            self.bytes.append(sum(b[1] - a[1] for a, b in pairs) / len(pairs))


def one_view(fleet: HollowFleet) -> bool:
    names = sorted(router.name for router in fleet.routers)
    return all(router.swim.live() == names for router in fleet.routers)


def deaths(fleet: HollowFleet) -> int:
    return sum(router.counters["peers.events.confirm"] for router in fleet.routers)


async def until_one_view(fleet: HollowFleet) -> float:
    began = time.monotonic()
    while not one_view(fleet):
        if time.monotonic() - began > VIEW_S:
            return float("inf")
        await asyncio.sleep(0.1)
    return time.monotonic() - began


async def cut(fleet: HollowFleet, seconds: float) -> None:
    """The first third, the seeds among them, reaches the others no more, and they do not reach it."""
    small = {router.address() for router in fleet.routers[: len(fleet.routers) // 3]}
    for router in fleet.routers:
        inside = router.address() in small
        router.reaches = lambda address, inside=inside: (tuple(address) in small) is inside  # type: ignore[misc]
    await asyncio.sleep(seconds)
    for router in fleet.routers:
        router.reaches = lambda address: True


async def kill_zone(fleet: HollowFleet) -> None:
    for router in fleet.routers[-max(1, len(fleet.routers) // 12) :]:
        await fleet.kill(router)


async def restart_some(fleet: HollowFleet, seconds: float) -> None:
    chosen: list[HollowRouter] = fleet.routers[-max(1, len(fleet.routers) // 10) :]
    for router in chosen:
        number = int(router.name[1:])
        port = await fleet.kill(router)
        await asyncio.sleep(seconds / len(chosen))
        await fleet.add(number, port)


async def played(name: str, members: int, fault: Callable[[HollowFleet], Awaitable[None]]) -> str:
    fleet = HollowFleet(members, PERIOD_US)
    watch = Watch(fleet)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        before = deaths(fleet)
        watching = asyncio.create_task(watch.run())
        await fault(fleet)
        during, view_s = deaths(fleet) - before, await until_one_view(fleet)
        await asyncio.sleep(2.0)
        watching.cancel()
        most, size = max(watch.messages), max(watch.bytes)
        told = f"{view_s:.1f} | {most:.1f} | {size:.0f} | {during} | {deaths(fleet) - before - during}"
        return f"| {name} | {members} | {told} |"
    finally:
        await fleet.stop()


def main() -> None:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.faults", description="faults of hollow routers"
    )
    parser.add_argument("--members", type=int, default=MEMBERS)
    parser.add_argument("--cut", type=float, default=CUT_S, help="seconds for which a third is cut off")
    told = parser.parse_args()
    faults: dict[str, Callable[[HollowFleet], Awaitable[None]]] = {
        "a zone (a twelfth) killed": kill_zone,
        "a tenth restarted within 30 s": lambda fleet: restart_some(fleet, RESTARTS_S),
        f"a region (a third) cut off for {told.cut:.0f} s": lambda fleet: cut(fleet, told.cut),
    }
    print("| fault | members | s to one view | messages, most | bytes, most | deaths during | deaths after |")
    print("| --- | --- | --- | --- | --- | --- | --- |", flush=True)
    for name, fault in faults.items():
        print(f"{name} …", file=sys.stderr, flush=True)
        print(asyncio.run(played(name, told.members, fault)), flush=True)


if __name__ == "__main__":
    main()
