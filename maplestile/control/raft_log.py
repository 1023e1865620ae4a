"""A voter's replica of the control plane's state, and the submission of commands to the Raft log.

The pysyncobj library implements Raft (Ongaro and Ousterhout, "In search of an understandable consensus
algorithm", 2014): elections, the log, its journal on disk and snapshots. It is driven by periodic ticks on
this process's event loop, so only one thread accesses `ControlState`.
"""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pysyncobj import (  # type: ignore[import-untyped]  # the library has no types
    FAIL_REASON,
    SyncObj,
    SyncObjConf,
    replicated,
)
from pysyncobj.node import TCPNode  # type: ignore[import-untyped]  # the library has no types

from maplestile.common.errors import CommandRejected
from maplestile.control import snapshot
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
from maplestile.control.errors import CommandNotLogged, LogError, OutcomeUnknown
from maplestile.control.log_storage import check_folder
from maplestile.control.log_view import ReceivedHeartbeat, RouterStatus, VoterStatus
from maplestile.control.settings import ControlSettings, Voter
from maplestile.control.snapshot import EarlierReleaseSnapshot, LogEntry, Snapshot, SnapshotError
from maplestile.control.state import ControlState

__all__ = ["LogError", "RaftLog"]

log = logging.getLogger("maplestile.control")

TICK_INTERVAL_S = 0.01
# For a command to be replicated: an election takes up to 1.4 s, and a lossy link may need more than one.
ANSWER_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.1
SNAPSHOT_RETRY_S = 5.0  # after a snapshot that could not be written
US_PER_S = 1e6
# The library's failure reasons that mean that a command is certainly not in the log: the queue was full, no
# leader was known, or another entry took its place.
NOT_LOGGED_REASONS = (FAIL_REASON.QUEUE_FULL, FAIL_REASON.MISSING_LEADER, FAIL_REASON.DISCARDED)
LEADER_STATE = 2  # the library's code for a leader
# Commands are rare but must be applied promptly: a lost leader is replaced within 0.4 to 1.4 s of its last
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
class ReceivedRouterStatus:
    """An agent's last report on the policy of its routers, and when it arrived."""

    received_s: float  # by this machine's monotonic clock
    routers: Mapping[str, Any]  # by instance: the router's own report, unchanged


class Replica(SyncObj):  # type: ignore[misc]  # the library has no types
    """The object to which the library applies the entries of the log, in the same order on every voter."""

    def __init__(self, own_node: TCPNode, other_nodes: list[TCPNode], conf: SyncObjConf) -> None:
        self.state = ControlState()  # the library's own snapshots would omit it (see `control/snapshot.py`)
        # What agents report again within seconds is in no snapshot.
        self.heartbeats: dict[str, ReceivedHeartbeat] = {}  # by agent
        self.router_status: dict[str, ReceivedRouterStatus] = {}  # by agent
        super().__init__(own_node, other_nodes, conf)

    @replicated  # type: ignore[untyped-decorator]  # the library has no types
    def apply_command(self, command: EncodedCommand) -> EncodedReply:
        """Apply an entry of the log and return the reply to its command."""
        try:
            decoded = decode(command)
        except CommandRejected as rejection:
            return encode_reply(Rejected(str(rejection)))
        if isinstance(decoded, Heartbeat):  # not part of the replicated state
            last = self.heartbeats.get(decoded.agent)
            number = 1 if last is None else last.number + 1
            self.heartbeats[decoded.agent] = ReceivedHeartbeat(number, decoded.reports)
            return encode_reply(Accepted())
        # The routers' status in a read is not part of the replicated state either.
        if isinstance(decoded, ReadPolicy) and decoded.router_status is not None:
            self.router_status[decoded.agent] = ReceivedRouterStatus(
                time.monotonic(), dict(decoded.router_status)
            )
        return encode_reply(self.state.apply(decoded))


class RelayedNode(TCPNode):  # type: ignore[misc]  # the library has no types
    """A voter that is identified by one address and connected to at another."""

    def __init__(self, address: str, reach: str) -> None:
        super().__init__(address)
        self._reach_host, _, port = reach.rpartition(":")
        self._reach_port = int(port)

    @property
    def ip(self) -> str:
        """The host to connect to, which overrides that of the address."""
        return self._reach_host

    @property
    def port(self) -> int:
        """The port to connect to, which overrides that of the address."""
        return self._reach_port


def create_node(voter: Voter) -> TCPNode:
    """Return the library's node for another voter."""
    return TCPNode(voter.address) if voter.reach == voter.address else RelayedNode(voter.address, voter.reach)


@dataclass(slots=True, frozen=True)
class SubmitOutcome:
    """The library's answer to a submitted command."""

    reply: EncodedReply | None  # None if the command failed
    failure: int  # the library's failure reason; 0 for none


class RaftLog:
    """The replicated log as seen by this process's own voter."""

    def __init__(self, settings: ControlSettings, counters: Counter[str]) -> None:
        """Check the voter's folder and open its journal.

        Raises CommandRejected or OSError if the folder cannot be used.
        """
        assert settings.folder is not None
        self.settings = settings
        self.counters = counters
        self.failure: Exception | None = None  # why this voter can take no further part
        self._failed_write_s = -SNAPSHOT_RETRY_S  # when a snapshot last could not be written
        settings.folder.mkdir(parents=True, exist_ok=True)
        check_folder(settings.folder, settings.name)
        own_node = TCPNode(next(voter.address for voter in settings.voters if voter.name == settings.name))
        others = [voter for voter in settings.voters if voter.name != settings.name]
        other_nodes = [create_node(voter) for voter in others]
        # With `commandsWaitLeader`, a command submitted to a voter that is cut off would wait for a leader
        # and take effect when the link is back, long after its operator has seen it fail.
        conf = SyncObjConf(
            autoTick=False,
            bindAddress=settings.listen,
            commandsWaitLeader=False,
            useFork=False,
            journalFile=str(settings.folder / "journal"),
            fullDumpFile=str(settings.folder / "snapshot"),
            serializer=self._write_snapshot,
            deserializer=self._read_snapshot,
            **RAFT_TIMES_S,
        )
        self.replica = Replica(own_node, other_nodes, conf)

    @property
    def state(self) -> ControlState:
        """The replicated state, as far as this voter has applied the log."""
        state: ControlState = self.replica.state
        return state

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

    def is_ready(self) -> bool:
        """Return whether the replica has caught up with a leader's committed entries since its start."""
        return bool(self.replica.isReady())

    def status(self) -> VoterStatus:
        """Return the Raft status of this voter."""
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
        """Take part in Raft until cancelled. Raises SnapshotError or OSError if a snapshot cannot be used."""
        try:
            while True:
                self.replica.doTick(0.0)
                if self.failure is not None:
                    raise self.failure
                await asyncio.sleep(TICK_INTERVAL_S)
        finally:
            self.replica.destroy()

    # Snapshots. The library calls these within a tick, and only logs what they raise.

    def _write_snapshot(self, file_name: str, data: tuple[LogEntry, LogEntry, object]) -> None:
        """Write the state for the library, which then replaces the old snapshot. Raises OSError.

        Without a snapshot the log goes on growing, and the library tries again in each tick.
        """
        if time.monotonic() - self._failed_write_s < SNAPSHOT_RETRY_S:
            raise OSError("the last snapshot could not be written")
        last_entry, previous_entry, _ = data
        try:
            snapshot.write(Path(file_name), Snapshot(self.replica.state, last_entry, previous_entry))
        except OSError as error:
            self._failed_write_s = time.monotonic()
            self.counters["control.snapshot_faults"] += 1
            log.warning("control: the snapshot cannot be written, trying again: %s", error)
            raise
        self.counters["control.snapshots"] += 1

    def _read_snapshot(self, file_name: str) -> tuple[LogEntry, LogEntry, tuple[()]]:
        """Take over the state of a snapshot, this voter's own or one that the leader has sent.

        If it cannot be used, the voter ends: with a state that lacks what the log no longer has, it would
        agree on an empty fleet.
        """
        try:
            read = snapshot.read(Path(file_name))
        except (EarlierReleaseSnapshot, OSError) as error:
            self.failure = error
            raise
        except SnapshotError as error:  # a transfer that broke off; the leader sends it again
            log.warning("control: a snapshot that the leader sent cannot be used: %s", error)
            raise
        self.replica.state = read.state
        return read.last_entry, read.previous_entry, ()

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Append a command to the log, wait until it is applied, and return the wire form of the reply.

        Raises CommandNotLogged if no leader accepted it in time, and OutcomeUnknown if it may still take
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
            if outcome.failure not in NOT_LOGGED_REASONS:
                reason = f"the leader changed meanwhile (reason {outcome.failure}); it may yet take effect"
                raise OutcomeUnknown(reason)
            if time.monotonic() - start_s > ANSWER_TIMEOUT_S - RETRY_INTERVAL_S:
                self.counters["control.no_leader"] += 1
                raise CommandNotLogged(f"no leader within {ANSWER_TIMEOUT_S:.0f} s: it was not taken")
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _submit_once(self, encoded: EncodedCommand, timeout_s: float) -> SubmitOutcome:
        """Submit a command to the library once. Raises OutcomeUnknown if there is no answer in time."""
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

    def _count_command(self, duration_us: int) -> None:
        self.counters["control.commands"] += 1
        self.counters["control.slowest_us"] = max(self.counters["control.slowest_us"], duration_us)
