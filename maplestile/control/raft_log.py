"""The agreed state of the control plane on Raft, by pysyncobj: this voter's replica, and commands to the log.

The library does the consensus: elections, the log, its journal on disk, snapshots. It runs on this process's
event loop by ticks, so `ControlState` is touched by one thread alone."""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

from pysyncobj import FAIL_REASON, SyncObj, SyncObjConf, replicated  # type: ignore[import-untyped]
from pysyncobj.node import TCPNode  # type: ignore[import-untyped]

from maplestile.control.commands import Command, EncodedCommand, EncodedReply, as_encoded
from maplestile.control.log_storage import check
from maplestile.control.settings import ControlSettings
from maplestile.control.state import ControlState

log = logging.getLogger("maplestile.control")
TICK_S = 0.01
ANSWER_S = 5.0  # for a command to be agreed on: an election takes up to 1.4 s, a lossy link more than one
AGAIN_S = 0.1
# The library's reasons for which a command is surely not in the log: its queue was full, no leader was known,
# another entry stands in its place.
NOT_TAKEN = (FAIL_REASON.QUEUE_FULL, FAIL_REASON.MISSING_LEADER, FAIL_REASON.DISCARDED)
LEADER = 2  # the library's number for that state
# What is agreed rarely and must be seen soon: a leader lost is replaced within 0.4 to 1.4 s of its last word.
TIMES = {
    "raftMinTimeout": 0.5,
    "raftMaxTimeout": 1.4,
    "appendEntriesPeriod": 0.1,
    "connectionTimeout": 3.5,
    "connectionRetryTime": 0.5,
    "leaderFallbackTimeout": 1.5,
}


class LogError(Exception):
    """A command whose fate is not known, or that no leader could take; the text says which."""


class Replica(SyncObj):  # type: ignore[misc]
    """What the log's entries are applied to, on every voter alike."""

    def __init__(self, me: TCPNode, others: list[TCPNode], conf: SyncObjConf) -> None:
        self.control = ControlState()
        self.words: dict[str, tuple[int, dict[str, Any]]] = {}  # the last word of each agent, and its number
        self.told: dict[str, tuple[float, dict[str, Any]]] = {}  # when, by this machine's clock, and what
        super().__init__(me, others, conf)

    @replicated  # type: ignore[untyped-decorator]
    def apply_command(self, command: EncodedCommand) -> EncodedReply:
        if command.get("do") == "word":  # what an agent tells of its instances; no part of what is agreed
            number, _ = self.words.get(command["agent"], (0, {}))
            self.words[command["agent"]] = number + 1, command["words"]
            return {"ok": True}
        if "told" in command:  # likewise, of their policy
            self.told[command["agent"]] = time.monotonic(), command["told"]
        return self.control.apply(command)


def node_of(address: str, reach: str) -> TCPNode:
    """A voter known to all by `address`, and reached from here at `reach`."""
    host, _, port = reach.rpartition(":")

    class Reached(TCPNode):  # type: ignore[misc]
        ip = property(lambda self: host)
        port = property(lambda self: int(number))

    number = port
    return Reached(address) if reach != address else TCPNode(address)


class RaftLog:
    """This process's voter."""

    def __init__(self, plan: ControlSettings, counters: Counter[str]) -> None:
        """Raises CommandRejected or OSError where its folder is of no use."""
        assert plan.folder is not None
        self.plan, self.counters = plan, counters
        plan.folder.mkdir(parents=True, exist_ok=True)
        check(plan.folder, plan.name)
        mine = next(voter for voter in plan.voters if voter.name == plan.name)
        others = [node_of(voter.address, voter.reach) for voter in plan.voters if voter.name != plan.name]
        # No command waits here for a leader: asked of a voter that is cut off, it must not take effect once
        # that is healed, long after its operator has heard that it failed.
        conf = SyncObjConf(
            autoTick=False,
            bindAddress=plan.listen,
            commandsWaitLeader=False,
            useFork=False,
            journalFile=str(plan.folder / "journal"),
            fullDumpFile=str(plan.folder / "snapshot"),
            **TIMES,
        )
        self.replica = Replica(TCPNode(mine.address), others, conf)

    @property
    def control(self) -> ControlState:
        control: ControlState = self.replica.control
        return control

    @property
    def words(self) -> Mapping[str, tuple[int, dict[str, Any]]]:
        words: dict[str, tuple[int, dict[str, Any]]] = self.replica.words
        return words

    @property
    def told(self) -> Mapping[str, tuple[float, dict[str, Any]]]:
        now, told = time.monotonic(), self.replica.told
        return {agent: (round(max(0.0, now - at), 1), one) for agent, (at, one) in told.items()}

    def ready(self) -> bool:
        """The replica holds what was agreed up to its start, and a leader is known."""
        return bool(self.replica.isReady())

    def status(self) -> dict[str, Any]:
        """The voter as operators see it: its state, the leader's address, and RaftLog's term and index."""
        told = self.replica.getStatus()
        leader = next((v.name for v in self.plan.voters if v.address == str(told["leader"])), None)
        return {
            "voter": self.plan.name,
            "leading": told["state"] == LEADER,
            "leader": leader,
            "term": told["raft_term"],
            "index": told["commit_idx"],
        }

    async def run(self) -> None:
        try:
            while True:
                self.replica.doTick(0.0)
                await asyncio.sleep(TICK_S)
        finally:
            self.replica.destroy()

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Have a command agreed on and applied; its answer. Raises LogError where no leader took it in time,
        or where its fate is not known; the text says which."""
        began = time.monotonic()
        encoded = as_encoded(command)
        while True:
            reply, fault = await self._once(encoded, began + ANSWER_S - time.monotonic())
            if reply is not None and not fault:
                break
            if fault not in NOT_TAKEN:
                raise LogError(f"the leader changed meanwhile (reason {fault}); it may yet take effect")
            if time.monotonic() - began > ANSWER_S - AGAIN_S:
                self.counters["control.no_leader"] += 1
                raise LogError(f"no leader within {ANSWER_S:.0f} s: it was not taken")
            await asyncio.sleep(AGAIN_S)
        self.counters["control.commands"] += 1
        took_us = int((time.monotonic() - began) * 1e6)
        self.counters["control.slowest_us"] = max(self.counters["control.slowest_us"], took_us)
        return reply

    async def _once(self, command: EncodedCommand, wait_s: float) -> tuple[EncodedReply | None, int]:
        answer: asyncio.Future[tuple[EncodedReply | None, int]] = asyncio.get_running_loop().create_future()

        def answered(reply: EncodedReply | None, fault: int) -> None:
            if not answer.done():
                answer.set_result((reply, fault))

        self.replica.apply_command(command, callback=answered)
        try:
            async with asyncio.timeout(max(wait_s, AGAIN_S)):
                return await answer
        except TimeoutError:
            self.counters["control.unanswered"] += 1
            raise LogError(f"no majority agreed within {ANSWER_S:.0f} s; it may yet take effect") from None
