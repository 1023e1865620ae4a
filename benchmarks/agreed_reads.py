"""Measure what policy reads through the replicated log cost each of three voters, by their number and size.

Three voters of the shipped `RaftLog` run in this process on loopback, with their journals on disk. An agent
submits one `ReadPolicy` command per second to one of the voters, with the status of the agent's routers.
"""

import asyncio
import pickle
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.fit import Series
from maplestile.control.commands import ReadPolicy, Register, encode
from maplestile.control.raft_log import LogError, RaftLog
from maplestile.control.rollout_planner import RolloutRules
from maplestile.control.settings import ControlSettings, Voter
from tests.fleet import free_ports

VOTERS = 3
SECONDS = 6.0
SECONDS_SMALL = 2.0
READ_INTERVAL_S = 1.0
READY_TIMEOUT_S = 20
POLL_S = 0.05
SMALL_SIZES = 2  # how many of the sizes below a small run uses
AGENTS = (5, 15, 30, 60)  # with one router each
ROUTERS = (1, 4, 12, 30)  # of each of `FEW_AGENTS` agents
FEW_AGENTS = 8


@dataclass(frozen=True)
class Usage:
    """The cost of the reads."""

    reads: float  # committed per second
    late: float  # share of the reads that were not committed within a second
    voter_ms: float  # processor time of a voter, in milliseconds per second
    log_bytes: float  # size of the log entries that each voter stores per second


def router_status() -> dict[str, Any]:
    """Return the policy status that a router reports to its agent, as long as that of a real one."""
    calls = {str(epoch): {"calls": 126_000, "attempts": 127_000} for epoch in range(8)}
    return {
        "epoch": 7,
        "digest": "0123456789abcdef",
        "standing": "current",
        "stale_s": 0.4,
        "reason": "",
        "build": "0.1.0",
        "calls": calls,
    }


class Voters:
    """The voters and the tasks that run them."""

    def __init__(self, folder: Path) -> None:
        ports = free_ports(VOTERS)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        voters = tuple(Voter(f"a{n}", address, address) for n, address in enumerate(addresses))
        self.folder = folder
        self.rafts = [RaftLog(self._settings(voter, voters), Counter()) for voter in voters]
        self.tasks = [asyncio.create_task(raft.run()) for raft in self.rafts]

    def _settings(self, voter: Voter, voters: tuple[Voter, ...]) -> ControlSettings:
        rules = RolloutRules(step_us=60_000_000, settle_us=1_000_000, max_failed_share=0.1, min_calls=20)
        return ControlSettings(voter.name, voter.address, self.folder / voter.name, voters, (), 1, rules)

    async def wait_until_ready(self) -> None:
        """Wait until all voters are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(raft.is_ready() for raft in self.rafts):
                await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """Stop all voters."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def measure(agents: int, routers: int, seconds: float) -> Usage:
    """Measure the cost of the reads of `agents` agents with `routers` routers each."""
    with tempfile.TemporaryDirectory() as folder:
        voters = Voters(Path(folder))
        try:
            await voters.wait_until_ready()
            return await _measure_reads(voters, agents, routers, seconds)
        finally:
            await voters.stop()


async def _measure_reads(voters: Voters, agents: int, routers: int, seconds: float) -> Usage:
    readers = [Reader(number, voters.rafts[number % VOTERS], routers) for number in range(agents)]
    end_s = time.monotonic() + seconds
    processor_before_s = time.process_time()
    started_s = time.monotonic()
    await asyncio.gather(*(reader.run(reader.number / agents, end_s) for reader in readers))
    took_s = time.monotonic() - started_s
    processor_s = time.process_time() - processor_before_s
    reads = sum(reader.reads for reader in readers)
    late = sum(reader.late for reader in readers)
    return Usage(
        reads=reads / took_s,
        late=late / max(1, reads + late),
        voter_ms=1e3 * processor_s / VOTERS / took_s,
        log_bytes=sum(reader.bytes for reader in readers) / took_s,
    )


class Reader:
    """An agent that submits a read each second and counts the reads."""

    def __init__(self, number: int, raft: RaftLog, routers: int) -> None:
        self.number = number
        self.reads = 0  # committed
        self.late = 0  # not committed within a second, or not at all
        self.bytes = 0  # encoded size of the committed reads
        self._raft = raft
        self._name = f"g{number}"
        self._routers = tuple(f"r{number}-{router}" for router in range(routers))

    async def run(self, delay_s: float, end_s: float) -> None:
        """Register the agent's routers, wait for `delay_s`, and read until `end_s` on the monotonic clock."""
        await self._raft.submit(Register(agent=self._name, instances=self._routers))
        await asyncio.sleep(delay_s)
        while time.monotonic() < end_s:
            started_s = time.monotonic()
            await self._read(started_s)
            await asyncio.sleep(max(0.0, started_s + READ_INTERVAL_S - time.monotonic()))

    async def _read(self, started_s: float) -> None:
        status = {name: router_status() for name in self._routers}
        read = ReadPolicy(agent=self._name, instances=self._routers, router_status=status)
        try:
            await self._raft.submit(read)
            self.reads += 1
            self.bytes += len(pickle.dumps(encode(read)))
            self.late += time.monotonic() - started_s > READ_INTERVAL_S
        except LogError:
            self.late += 1


def run(small: bool = False) -> list[Series]:
    """Return the series by agents and by routers; `small` selects a short run with few sizes."""
    by_agents = Series("voter by agents", "agents of a router", "ms of processor time a second")
    late = Series("reads late by agents", "agents of a router", "share")
    each = f"routers of each of {FEW_AGENTS} agents"
    by_routers = Series("voter by routers", each, "ms of processor time a second")
    log = Series("voter log", each, "B a second")
    seconds = SECONDS_SMALL if small else SECONDS
    for agents in AGENTS[:SMALL_SIZES] if small else AGENTS:
        usage = asyncio.run(measure(agents, 1, seconds))
        by_agents.add(agents, usage.voter_ms)
        late.add(agents, usage.late)
    for routers in ROUTERS[:SMALL_SIZES] if small else ROUTERS:
        usage = asyncio.run(measure(FEW_AGENTS, routers, seconds))
        by_routers.add(routers, usage.voter_ms)
        log.add(routers, usage.log_bytes)
    return [by_agents, late, by_routers, log]
