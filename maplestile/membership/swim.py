"""SWIM membership with the Lifeguard extensions, as a state machine without I/O or a clock of its own.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002); Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing with Situational Awareness" (2017).

The driver passes in messages (`receive`) and the time (`tick`), sends the messages in `outbox` and logs the
events in `events`. Times are microseconds of a monotonic clock; an address is a (host, port) pair.
"""

import random
from collections.abc import Iterable
from dataclasses import replace

from maplestile.common.address import Address
from maplestile.membership.events import EventLog, MembershipEvent
from maplestile.membership.failure_detector import FailureDetector
from maplestile.membership.gossip_timer import GossipTimer
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.isolation import IsolationDetector
from maplestile.membership.local_health import LocalHealth
from maplestile.membership.member_list import Member, MemberList
from maplestile.membership.message_sender import MessageSender, OutgoingMessage
from maplestile.membership.messages import MemberUpdate, Message, MessageKind, Status
from maplestile.membership.probe_order import ProbeOrder
from maplestile.membership.state_exchange import StateExchange
from maplestile.membership.suspicion import SuspicionTimers
from maplestile.membership.tuning import Tuning
from maplestile.membership.update_merger import UpdateMerger
from maplestile.membership.update_queue import UpdateQueue

__all__ = ["Member", "Status", "Swim"]

FULL_STATE_KINDS = (MessageKind.JOIN, MessageKind.SYNC)


class Swim:
    """One member of the group.

    The driver empties `outbox`, `events` and `faults` after each call. No message from another member raises
    an error: an invalid or unexpected message is counted in `faults`.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        tuning: Tuning,
        seed: int,
        now_us: int,
        health_checks: SharedHealthChecks | None = None,
    ) -> None:
        self.name = name
        self.tuning = tuning
        self.member_list = MemberList(name, address, now_us)
        self._health_checks = health_checks
        self._event_log = EventLog()
        self._local_health = LocalHealth(tuning)
        # All components share one generator: replaying a recorded run needs the same order of random draws.
        rng = random.Random(seed)
        self._sender = MessageSender(self.member_list, tuning, rng, health_checks)
        self._probe_order = ProbeOrder(self.member_list, rng)
        self._merger = self._new_merger()
        self._failure_detector = self._new_failure_detector(now_us)
        self._suspicion_timers = SuspicionTimers(self.member_list, self._merger, tuning)
        self._gossip_timer = GossipTimer(self._sender, self._merger, self._local_health, now_us)
        self._state_exchange = StateExchange(
            self.member_list, self._sender, self._merger, self._event_log, now_us
        )
        self._isolation_detector = IsolationDetector(
            self.member_list, self._event_log, health_checks, tuning, self._local_health
        )

    def _new_merger(self) -> UpdateMerger:
        return UpdateMerger(
            members=self.member_list,
            sender=self._sender,
            probe_order=self._probe_order,
            health=self._local_health,
            event_log=self._event_log,
        )

    def _new_failure_detector(self, now_us: int) -> FailureDetector:
        return FailureDetector(
            members=self.member_list,
            sender=self._sender,
            probe_order=self._probe_order,
            merger=self._merger,
            health=self._local_health,
            event_log=self._event_log,
            now_us=now_us,
        )

    # Output that the driver empties.

    @property
    def outbox(self) -> list[OutgoingMessage]:
        """Messages to send, oldest first."""
        return self._sender.outbox

    @property
    def events(self) -> list[MembershipEvent]:
        """Events to log, oldest first."""
        return self._event_log.events

    @property
    def faults(self) -> dict[str, int]:
        """Counts of invalid or unexpected messages, by kind."""
        return self._event_log.faults

    @property
    def update_queue(self) -> UpdateQueue:
        """The updates waiting to be piggybacked."""
        return self._sender.update_queue

    # The view.

    @property
    def members(self) -> dict[str, Member]:
        """Every known member by name, including this one."""
        return self.member_list.members

    @property
    def incarnation(self) -> int:
        """The incarnation of this member."""
        return self.member_list.own.incarnation

    @property
    def local_health(self) -> int:
        """Lifeguard's local health score: 0 is healthy, and higher means slower."""
        return self._local_health.score

    @property
    def isolated(self) -> bool:
        """Whether this member sees less than a majority of its quorum view; see `IsolationDetector`."""
        return self._isolation_detector.isolated

    @property
    def agreed(self) -> frozenset[str]:
        """The names in the agreed view; see `IsolationDetector`."""
        return self._isolation_detector.agreed

    def view(self) -> list[Member]:
        """Return every known member, sorted by name."""
        return self.member_list.sorted_by_name()

    def live(self) -> list[str]:
        """Return the sorted names of the members that are alive or suspected, including this one."""
        return self.member_list.live()

    # Input from the driver.

    def join(self, seeds: Iterable[Address]) -> None:
        """Request the full state of the seeds, repeatedly until one answers."""
        self._state_exchange.join(seeds)

    def add_known(self, members: list[tuple[str, Address]]) -> None:
        """Add members of an existing group as alive in incarnation 0, without spreading updates."""
        for name, address in members:
            if self.member_list.get(name) is None:
                self.member_list.add(Member(name, address, 0, Status.ALIVE, 0))
                self._probe_order.insert(name)
        self._isolation_detector.accept_view()

    def leave(self) -> None:
        """Announce that this member leaves, so that it is not suspected and its checks move at once."""
        self._merger.is_leaving = True
        self.member_list.set_status(self.member_list.own, Status.LEFT, self.incarnation + 1)
        self._sender.update_queue.add(self.member_list.own_update())
        for member in self._sender.random_members(self.tuning.indirect_probes):
            self._sender.send(member.address, self._sender.new_message(MessageKind.PING, member.name))

    def receive(self, message: Message, now_us: int) -> None:
        """Handle one message."""
        self._merge_updates(message, now_us)
        if self._health_checks is not None:
            for finding in message.findings:
                self._health_checks.merge(finding)
        if self._merger.take_refutation_due(message.source):
            self._send_refutation(message)
        self._handle_by_kind(message, now_us)
        self._state_exchange.reconcile(message, now_us)

    def tick(self, now_us: int) -> None:
        """Run all timers that are due at `now_us`."""
        self._failure_detector.tick(now_us)
        self._suspicion_timers.tick(now_us)
        self._gossip_timer.tick(now_us)
        self._state_exchange.tick(now_us)
        self._isolation_detector.evaluate(now_us)

    def due_us(self) -> int:
        """Return the next time at which `tick` has something to do."""
        return min(
            self._gossip_timer.next_gossip_us,
            self._state_exchange.next_reconnect_us,
            *self._failure_detector.deadlines_us(),
            *self._suspicion_timers.deadlines_us(),
        )

    def _merge_updates(self, message: Message, now_us: int) -> None:
        """Merge the updates of a message.

        A full state, or a message from a sender that is not in view, may be stale, for example after a
        network partition. Deaths that it newly reports are merged as suspicions, so that the members can
        refute them.
        """
        sender = self.member_list.get(message.source)
        may_be_stale = message.kind in FULL_STATE_KINDS or sender is None or not sender.is_in_view
        for update in message.gossip:
            if self._is_redundant(update, may_be_stale):
                continue
            self._merger.merge(self._with_death_as_suspicion(update) if may_be_stale else update, now_us)

    def _is_redundant(self, update: MemberUpdate, may_be_stale: bool) -> bool:
        """Return whether an update adds nothing, as most updates in a full state do.

        A possibly stale suspicion of a known incarnation adds nothing either: this member's own probes are
        more recent.
        """
        known = self.member_list.get(update.name)
        if known is None or known.incarnation != update.incarnation:
            return False
        if update.status is Status.SUSPECT:
            return may_be_stale
        return known.status is update.status

    def _with_death_as_suspicion(self, update: MemberUpdate) -> MemberUpdate:
        """Return the update, turned into a suspicion if it reports a death in a newer incarnation."""
        known = self.member_list.get(update.name)
        if update.status is Status.DEAD and (known is None or update.incarnation > known.incarnation):
            return replace(update, status=Status.SUSPECT)
        return update

    def _send_refutation(self, message: Message) -> None:
        """Send this member's own update to a sender that passed on an old suspicion or death of it."""
        ping = self._sender.new_message(MessageKind.PING, message.source)
        self._sender.send(message.reply_to, ping, first=self.member_list.own_update())

    def _handle_by_kind(self, message: Message, now_us: int) -> None:
        match message.kind:
            case MessageKind.PING:
                self._failure_detector.handle_ping(message)
            case MessageKind.PING_REQ:
                self._failure_detector.handle_ping_request(message, now_us)
            case MessageKind.ACK:
                self._failure_detector.handle_ack(message)
            case MessageKind.NACK:
                self._failure_detector.handle_nack(message)
            case MessageKind.JOIN:
                self._state_exchange.handle_join(message)
            case MessageKind.SYNC:
                self._state_exchange.handle_sync()
