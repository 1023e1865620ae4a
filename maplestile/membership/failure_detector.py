"""The failure detector: a direct probe a period, indirect probes through helpers, and relayed pings.

Sources: SWIM (2002), sections 3.1 and 4.3; Lifeguard (2017), section 4.1, for the nacks and the stretched
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

# Of the ack timeout, in percent: early enough that the nack reaches the requester before its probe ends.
NACK_DUE_PERCENT = 80
RELAYED_PING_ACK_TIMEOUTS = 2  # after so many the requester no longer waits for the outcome of a relayed ping


@dataclass(slots=True)
class Probe:
    """The probe of `target` in the present period."""

    sequence: int
    target: str
    ack_due_us: int
    acked: bool = False
    indirect: bool = False  # whether the indirect probes were sent, if there are any helpers
    helpers: list[str] = field(default_factory=list)
    nacks: int = 0

    @property
    def awaits_direct_ack(self) -> bool:
        """Whether the indirect probes are still to be sent if no ack comes in time."""
        return not self.acked and not self.indirect


@dataclass(slots=True)
class RelayedPing:
    """A ping sent for another member's indirect probe."""

    requester: Address
    requester_sequence: int
    nack_due_us: int  # 0 once the nack was sent
    expires_us: int


class FailureDetector:
    """Probes one member a period, and answers for this member in the probes of others."""

    def __init__(
        self,
        *,
        members: MemberList,
        sender: MessageSender,
        probe_order: ProbeOrder,
        merger: UpdateMerger,
        health: LocalHealth,
        log: EventLog,
        now_us: int,
    ) -> None:
        self._members = members
        self._sender = sender
        self._tuning = sender.tuning
        self._probe_order = probe_order
        self._merger = merger
        self._health = health
        self._log = log
        self._probe: Probe | None = None
        self._relayed: dict[int, RelayedPing] = {}  # by the sequence number of the ping
        # A random phase, so that the members of a group do not all probe at once.
        self.next_probe_us = now_us + sender.random.randrange(self._tuning.period_us)

    # The timer.

    def deadlines_us(self) -> Iterator[int]:
        """Yield every time at which one of the ticks has something to do."""
        yield self.next_probe_us
        if self._probe is not None and self._probe.awaits_direct_ack:
            yield self._probe.ack_due_us
        for relayed in self._relayed.values():
            yield relayed.nack_due_us or relayed.expires_us

    def tick(self, now_us: int) -> None:
        """Send the indirect probes, the nacks and the next probe that are due."""
        probe = self._probe
        if probe is not None and probe.awaits_direct_ack and now_us >= probe.ack_due_us:
            self._probe_indirectly(probe)
        self._tick_relayed(now_us)
        if now_us >= self.next_probe_us and not self._merger.leaving:
            self._end_probe(now_us)
            self._begin_probe(now_us)

    def _tick_relayed(self, now_us: int) -> None:
        for sequence, relayed in list(self._relayed.items()):
            if relayed.nack_due_us and now_us >= relayed.nack_due_us:
                self._answer_requester(relayed, MessageKind.NACK, self._members.own_name)
                relayed.nack_due_us = 0
            if now_us >= relayed.expires_us:
                del self._relayed[sequence]

    # This member's own probes.

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
        probe.indirect = True
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
        if probe.acked:
            self._health.improve()
            return
        target = self._members.get(probe.target)
        self._worsen_health(probe, target)
        if target is None:
            return
        # Lifeguard: a suspicion of this member's own, beside those reported, is an independent confirmation.
        if target.status is Status.ALIVE or self._members.own_name not in target.suspected_by:
            self._merger.merge(self._members.update_about(target, Status.SUSPECT), now_us)

    def _worsen_health(self, probe: Probe, target: Member | None) -> None:
        """Count a failed probe as a sign of this member's slowness, unless its target is suspected already.

        Otherwise, after a partition, failed probes of the other side's members made each member count itself
        as slow, so that it probed, and spread the recovery, at down to a ninth of the rate.
        """
        if target is not None and target.status is Status.SUSPECT:
            return
        self._health.worsen()
        if probe.helpers and probe.nacks < len(probe.helpers):
            self._health.worsen()  # Lifeguard: helpers that do not even nack point at this member

    # Messages of other members.

    def handle_ping(self, message: Message) -> None:
        """Answer a ping; a suspicion of its sender goes along, so that it can refute."""
        if message.target == self._members.own_name:
            ack = Message(MessageKind.ACK, message.sequence, self._members.own_name)
            self._sender.send(message.reply_to, ack, about=self._members.get(message.source))

    def handle_ping_request(self, message: Message, now_us: int) -> None:
        """Ping another member on behalf of the message's sender."""
        if message.target_address is None:
            self._log.count_fault("req_without_address")
            return
        ping = self._sender.new_message(MessageKind.PING, message.target)
        ack_us = self._tuning.ack_us * self._health.multiplier
        nack_due_us = now_us + ack_us * NACK_DUE_PERCENT // 100
        expires_us = now_us + ack_us * RELAYED_PING_ACK_TIMEOUTS
        relayed = RelayedPing(message.reply_to, message.sequence, nack_due_us, expires_us)
        self._relayed[ping.sequence] = relayed
        if len(self._relayed) > self._tuning.members_max:  # bounds memory under a flood of requests
            del self._relayed[min(self._relayed)]
        self._sender.send(message.target_address, ping, about=self._members.get(message.target))

    def handle_ack(self, message: Message) -> None:
        """Take the ack of a relayed ping, or of this member's own probe."""
        relayed = self._relayed.pop(message.sequence, None)
        if relayed is not None:
            self._answer_requester(relayed, MessageKind.ACK, message.source)
            return
        probe = self._probe
        if probe is not None and message.sequence == probe.sequence and message.source == probe.target:
            probe.acked = True

    def handle_nack(self, message: Message) -> None:
        """Count a helper that reached this member but got no ack of the target."""
        if self._probe is not None and message.sequence == self._probe.sequence:
            self._probe.nacks += 1

    def _answer_requester(self, relayed: RelayedPing, kind: MessageKind, source: str) -> None:
        """Send the outcome of a relayed ping; an ack bears the target's name as its source."""
        self._sender.send(relayed.requester, Message(kind, relayed.requester_sequence, source))
