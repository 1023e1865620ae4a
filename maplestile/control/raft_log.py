"""The agreed state of the control plane on Raft, by pysyncobj: this voter's replica, and commands to the log.

The library does the consensus (Ongaro and Ousterhout, "In search of an understandable consensus algorithm",
2014): elections, the log, its journal on disk, snapshots. It runs on this process's event loop by ticks, so
`ControlState` is touched by one thread alone.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pysyncobj import (  # type: ignore[import-untyped]  # the library has no types
    FAIL_REASON,
    SyncObj,
    SyncObjConf,
    replicated,
)
from pysyncobj.node import TCPNode  # type: ignore[import-untyped]  # the library has no types

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import (
    Accepted,
    Command,
    EncodedCommand,
    EncodedReply,
    Heartbeat,
    ReadPolicy,
    Rejected,
    as_encoded,
    decode,
    encode_reply,
)
from maplestile.control.errors import CommandNotTaken, LogError, OutcomeUnknown
from maplestile.control.log_storage import check_folder
from maplestile.control.log_view import ReceivedHeartbeat, RouterStatus, VoterStatus
from maplestile.control.settings import ControlSettings, Voter
from maplestile.control.state import ControlState

__all__ = ["LogError", "RaftLog"]

TICK_S = 0.01
# For a command to be agreed on: an election takes up to 1.4 s, a lossy link more than one.
ANSWER_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.1
US_PER_S = 1e6
# The library's reasons for which a command is surely not in the log: its queue was full, no leader was
# known, or another entry took its place.
NOT_TAKEN = (FAIL_REASON.QUEUE_FULL, FAIL_REASON.MISSING_LEADER, FAIL_REASON.DISCARDED)
LEADER_STATE = 2  # the library's number
# Commands are rare, and have to be applied soon: a lost leader is replaced within 0.4 to 1.4 s of its last
# heartbeat.
RAFT_TIMES_S = {
    "raftMinTimeout": 0.5,
    "raftMaxTimeout": 1.4,
    "appendEntriesPeriod": 0.1,
    "connectionTimeout": 3.5,
    "connectionRetryTime": 0.5,
    "leaderFallbackTimeout": 1.5,
}


@dataclass(slots=True, frozen=True)
class StampedStatus:
    """What an agent has reported on its routers' policy, and when it came by this machine's clock."""

    received_s: float  # monotonic
    routers: Mapping[str, Any]  # by instance


class Replica(SyncObj):  # type: ignore[misc]  # the library has no types
    """What the log's entries are applied to, on every voter alike."""

    def __init__(self, own_node: TCPNode, other_nodes: list[TCPNode], conf: SyncObjConf) -> None:
        # See docs/ROADMAP.md: the snapshot lacks these.
        self.control = ControlState()
        self.heartbeats: dict[str, ReceivedHeartbeat] = {}  # by agent
        self.router_status: dict[str, StampedStatus] = {}  # by agent
        super().__init__(own_node, other_nodes, conf)

    @replicated  # type: ignore[untyped-decorator]  # the library has no types
    def apply_command(self, command: EncodedCommand) -> EncodedReply:
        """Apply an entry of the log."""
        try:
            decoded = decode(command)
        except CommandRejected as refusal:
            return encode_reply(Rejected(str(refusal)))
        if isinstance(decoded, Heartbeat):  # no part of what is agreed
            last = self.heartbeats.get(decoded.agent)
            number = 1 if last is None else last.number + 1
            self.heartbeats[decoded.agent] = ReceivedHeartbeat(number, decoded.reports)
            return encode_reply(Accepted())
        if isinstance(decoded, ReadPolicy) and decoded.router_status is not None:  # nor is this
            self.router_status[decoded.agent] = StampedStatus(time.monotonic(), dict(decoded.router_status))
        return encode_reply(self.control.apply(decoded))


class RelayedNode(TCPNode):  # type: ignore[misc]  # the library has no types
    """A voter that is known to all by one address, and is reached from here at another."""

    def __init__(self, address: str, reach: str) -> None:
        super().__init__(address)
        self._reach_host, _, port = reach.rpartition(":")
        self._reach_port = int(port)

    @property
    def ip(self) -> str:
        """The host to connect to."""
        return self._reach_host

    @property
    def port(self) -> int:
        """The port to connect to."""
        return self._reach_port


def node_of(voter: Voter) -> TCPNode:
    """The library's view of another voter."""
    return TCPNode(voter.address) if voter.reach == voter.address else RelayedNode(voter.address, voter.reach)


@dataclass(slots=True, frozen=True)
class SubmitOutcome:
    """What the library answers to a command."""

    reply: EncodedReply | None
    failure: int  # the library's reason where the command failed; 0 for none


class RaftLog:
    """The voter of this process."""

    def __init__(self, settings: ControlSettings, counters: Counter[str]) -> None:
        """Raises CommandRejected or OSError where the voter's folder cannot be used."""
        assert settings.folder is not None
        self.settings = settings
        self.counters = counters
        settings.folder.mkdir(parents=True, exist_ok=True)
        check_folder(settings.folder, settings.name)
        own_node = TCPNode(next(voter.address for voter in settings.voters if voter.name == settings.name))
        others = [voter for voter in settings.voters if voter.name != settings.name]
        other_nodes = [node_of(voter) for voter in others]
        # No command waits here for a leader: one submitted to a voter that is cut off must not take effect
        # once the link is back, long after its operator has seen it fail.
        conf = SyncObjConf(
            autoTick=False,
            bindAddress=settings.listen,
            commandsWaitLeader=False,
            useFork=False,
            journalFile=str(settings.folder / "journal"),
            fullDumpFile=str(settings.folder / "snapshot"),
            **RAFT_TIMES_S,
        )
        self.replica = Replica(own_node, other_nodes, conf)

    @property
    def control(self) -> ControlState:
        """The agreed state, as far as this voter has applied the log."""
        control: ControlState = self.replica.control
        return control

    @property
    def heartbeats(self) -> Mapping[str, ReceivedHeartbeat]:
        """The last heartbeat of each agent."""
        heartbeats: dict[str, ReceivedHeartbeat] = self.replica.heartbeats
        return heartbeats

    @property
    def router_status(self) -> Mapping[str, RouterStatus]:
        """The last report of each agent on its routers' policy."""
        now_s = time.monotonic()
        return {
            agent: RouterStatus(round(max(0.0, now_s - status.received_s), 1), status.routers)
            for agent, status in self.replica.router_status.items()
        }

    def ready(self) -> bool:
        """Whether the replica holds what was agreed up to its start, and a leader is known."""
        return bool(self.replica.isReady())

    def status(self) -> VoterStatus:
        """The voter as operators see it."""
        status = self.replica.getStatus()
        leader_address = str(status["leader"])
        leaders = (voter.name for voter in self.settings.voters if voter.address == leader_address)
        return VoterStatus(
            voter=self.settings.name,
            leading=status["state"] == LEADER_STATE,
            leader=next(leaders, None),
            term=status["raft_term"],
            index=status["commit_idx"],
        )

    async def run(self) -> None:
        """Take part in the consensus until cancelled."""
        try:
            while True:
                self.replica.doTick(0.0)
                await asyncio.sleep(TICK_S)
        finally:
            self.replica.destroy()

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Have a command agreed on and applied; the wire form of the reply.

        Raises CommandNotTaken where no leader took it in time, and OutcomeUnknown where it may yet take
        effect.
        """
        encoded = as_encoded(command)
        start_s = time.monotonic()
        while True:
            remaining_s = start_s + ANSWER_TIMEOUT_S - time.monotonic()
            outcome = await self._submit_once(encoded, remaining_s)
            if outcome.reply is not None and not outcome.failure:
                self._count_command(int((time.monotonic() - start_s) * US_PER_S))
                return outcome.reply
            if outcome.failure not in NOT_TAKEN:
                reason = f"the leader changed meanwhile (reason {outcome.failure}); it may yet take effect"
                raise OutcomeUnknown(reason)
            if time.monotonic() - start_s > ANSWER_TIMEOUT_S - RETRY_INTERVAL_S:
                self.counters["control.no_leader"] += 1
                raise CommandNotTaken(f"no leader within {ANSWER_TIMEOUT_S:.0f} s: it was not taken")
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _submit_once(self, encoded: EncodedCommand, timeout_s: float) -> SubmitOutcome:
        """Give a command to the library. Raises OutcomeUnknown where it gives no answer in time."""
        answer: asyncio.Future[SubmitOutcome] = asyncio.get_running_loop().create_future()

        def on_answer(reply: EncodedReply | None, failure: int) -> None:
            if not answer.done():
                answer.set_result(SubmitOutcome(reply, failure))

        self.replica.apply_command(encoded, callback=on_answer)
        try:
            async with asyncio.timeout(max(timeout_s, RETRY_INTERVAL_S)):
                return await answer
        except TimeoutError:
            self.counters["control.unanswered"] += 1
            reason = f"no majority agreed within {ANSWER_TIMEOUT_S:.0f} s; it may yet take effect"
            raise OutcomeUnknown(reason) from None

    def _count_command(self, took_us: int) -> None:
        self.counters["control.commands"] += 1
        self.counters["control.slowest_us"] = max(self.counters["control.slowest_us"], took_us)
