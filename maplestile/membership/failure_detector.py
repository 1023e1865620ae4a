"""The failure detector: one direct probe per period, indirect probes through helpers, and relayed pings.

Sources: SWIM (2002), sections 3.1 and 4.3; Lifeguard (2017), section 4.1, for the nacks and the extended
timeouts.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from maplestile.common.address import Address
from maplestile.membership.events import EventLog
from maplestile.membership.local_health import LocalHealth
from maplestile.membership.member_list import Member, MemberList
from maplestile.membership.message_sender import MessageSender
from maplestile.membership.messages import Message, MessageKind, Status
from maplestile.membership.probe_order import ProbeOrder
from maplestile.membership.update_merger import UpdateMerger

# Percentage of the ack timeout after which a helper sends its nack: early enough to reach the requester
# before its probe ends.
NACK_DUE_PERCENT = 80
# Lifetime of a relayed ping, in ack timeouts; after that, the requester no longer waits for its outcome.
RELAYED_PING_ACK_TIMEOUTS = 2


@dataclass(slots=True)
class Probe:
    """The probe of the member named `target` in the current period."""

    sequence: int
    target: str
    ack_due_us: int  # the time at which the indirect probes are sent if no ack has arrived
    is_acked: bool = False
    indirect_probes_sent: bool = False  # also True if there was no helper to send one to
    helpers: list[str] = field(default_factory=list)  # names of the members asked for an indirect probe
    nack_count: int = 0  # nacks received from the helpers

    @property
    def awaits_direct_ack(self) -> bool:
        """Whether the target may still ack the direct ping before the indirect probes are sent."""
        return not self.is_acked and not self.indirect_probes_sent


@dataclass(slots=True)
class RelayedPing:
    """A ping that this member sent as a helper in another member's indirect probe."""

    requester: Address
    requester_sequence: int
    nack_due_us: int  # 0 once the nack has been sent
    expires_us: int


class FailureDetector:
    """Probes one member per period, and answers the probes of other members."""

    def __init__(
        self,
        *,
        members: MemberList,
        sender: MessageSender,
        probe_order: ProbeOrder,
        merger: UpdateMerger,
        health: LocalHealth,
        event_log: EventLog,
        now_us: int,
    ) -> None:
        self._members = members
        self._sender = sender
        self._tuning = sender.tuning
        self._probe_order = probe_order
        self._merger = merger
        self._health = health
        self._event_log = event_log
        self._probe: Probe | None = None
        self._relayed_pings: dict[int, RelayedPing] = {}  # by the sequence number of the relayed ping
        # The first probe has a random delay, so that the members of a group do not all probe at once.
        self.next_probe_us = now_us + sender.rng.randrange(self._tuning.period_us)

    # Timers.

    def deadlines_us(self) -> Iterator[int]:
        """Yield every time at which `tick` has something to do."""
        yield self.next_probe_us
        if self._probe is not None and self._probe.awaits_direct_ack:
            yield self._probe.ack_due_us
        for relayed in self._relayed_pings.values():
            yield relayed.nack_due_us or relayed.expires_us

    def tick(self, now_us: int) -> None:
        """Send the indirect probes, the nacks and the next probe that are due."""
        probe = self._probe
        if probe is not None and probe.awaits_direct_ack and now_us >= probe.ack_due_us:
            self._probe_indirectly(probe)
        self._tick_relayed_pings(now_us)
        if now_us >= self.next_probe_us and not self._merger.is_leaving:
            self._end_probe(now_us)
            self._begin_probe(now_us)

    def _tick_relayed_pings(self, now_us: int) -> None:
        for sequence, relayed in list(self._relayed_pings.items()):
            if relayed.nack_due_us and now_us >= relayed.nack_due_us:
                self._reply_to_requester(relayed, MessageKind.NACK, self._members.own_name)
                relayed.nack_due_us = 0
            if now_us >= relayed.expires_us:
                del self._relayed_pings[sequence]

    # Probes sent by this member.

    def _begin_probe(self, now_us: int) -> None:
        self.next_probe_us = now_us + self._tuning.period_us * self._health.multiplier
        self._probe = None
        target = self._probe_order.next_target()
        if target is None:
            return
        ping = self._sender.new_message(MessageKind.PING, target.name)
        ack_due_us = now_us + self._tuning.ack_us * self._health.multiplier
        self._probe = Probe(ping.sequence, target.name, ack_due_us)
        self._sender.send(target.address, ping, about=target)

    def _probe_indirectly(self, probe: Probe) -> None:
        probe.indirect_probes_sent = True
        target = self._members.get(probe.target)
        if target is None:
            return
        helpers = self._sender.random_members(self._tuning.indirect_probes, target.name)
        probe.helpers = [helper.name for helper in helpers]
        for helper in helpers:
            request = Message(
                MessageKind.PING_REQ, probe.sequence, self._members.own_name, target.name, target.address
            )
            self._sender.send(helper.address, request, about=target)

    def _end_probe(self, now_us: int) -> None:
        probe = self._probe
        if probe is None:
            return
        if probe.is_acked:
            self._health.improve()
            return
        target = self._members.get(probe.target)
        self._worsen_health(probe, target)
        if target is None:
            return
        # Lifeguard: this member's own suspicion independently confirms the ones that others reported.
        if target.status is Status.ALIVE or self._members.own_name not in target.suspected_by:
            self._merger.merge(self._members.update_about(target, Status.SUSPECT), now_us)

    def _worsen_health(self, probe: Probe, target: Member | None) -> None:
        """Worsen this member's local health after a failed probe, unless the target is already suspected.

        After a partition, failed probes of members on the other side would otherwise make each member rate
        itself as slow. It would then probe, and spread the recovery, up to nine times more slowly.
        """
        if target is not None and target.status is Status.SUSPECT:
            return
        self._health.worsen()
        if probe.helpers and probe.nack_count < len(probe.helpers):
            self._health.worsen()  # Lifeguard: a missing nack suggests that this member is slow

    # Messages from other members.

    def handle_ping(self, message: Message) -> None:
        """Answer a ping; a suspicion of its sender is sent along, so that the sender can refute it."""
        if message.target == self._members.own_name:
            ack = Message(MessageKind.ACK, message.sequence, self._members.own_name)
            self._sender.send(message.reply_to, ack, about=self._members.get(message.source))

    def handle_ping_request(self, message: Message, now_us: int) -> None:
        """Ping the target on behalf of the sender of the message."""
        if message.target_address is None:
            self._event_log.count_fault("req_without_address")
            return
        ping = self._sender.new_message(MessageKind.PING, message.target)
        ack_us = self._tuning.ack_us * self._health.multiplier
        nack_due_us = now_us + ack_us * NACK_DUE_PERCENT // 100
        expires_us = now_us + ack_us * RELAYED_PING_ACK_TIMEOUTS
        relayed = RelayedPing(message.reply_to, message.sequence, nack_due_us, expires_us)
        self._relayed_pings[ping.sequence] = relayed
        if len(self._relayed_pings) > self._tuning.members_max:  # limits memory under a flood of requests
            del self._relayed_pings[min(self._relayed_pings)]
        self._sender.send(message.target_address, ping, about=self._members.get(message.target))

    def handle_ack(self, message: Message) -> None:
        """Handle the ack of a relayed ping or of this member's own probe."""
        relayed = self._relayed_pings.pop(message.sequence, None)
        if relayed is not None:
            self._reply_to_requester(relayed, MessageKind.ACK, message.source)
            return
        probe = self._probe
        if probe is not None and message.sequence == probe.sequence and message.source == probe.target:
            probe.is_acked = True

    def handle_nack(self, message: Message) -> None:
        """Count a helper that answered this member but had no ack from the target yet."""
        if self._probe is not None and message.sequence == self._probe.sequence:
            self._probe.nack_count += 1

    def _reply_to_requester(self, relayed: RelayedPing, kind: MessageKind, source: str) -> None:
        """Send the outcome of a relayed ping; the source of an ack is the target's name."""
        self._sender.send(relayed.requester, Message(kind, relayed.requester_sequence, source))
