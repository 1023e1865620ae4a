"""Messages on their way out: sequence numbers, piggybacked updates and findings, and the outbox."""

import random
from typing import NamedTuple

from maplestile.common.address import Address
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.member_list import Member, MemberList
from maplestile.membership.messages import SEQUENCE_BITS, MemberUpdate, Message, MessageKind, Status
from maplestile.membership.tuning import Tuning
from maplestile.membership.update_queue import UpdateQueue, with_first

SEQUENCE_MASK = (1 << SEQUENCE_BITS) - 1


class OutgoingMessage(NamedTuple):
    """A message and where it goes."""

    address: Address
    message: Message


class MessageSender:
    """Fills `outbox`, which the driver empties.

    `random` is the one source of random draws of a member, shared by its parts: a seed fixes a whole run.
    """

    def __init__(
        self, members: MemberList, tuning: Tuning, draws: random.Random, checks: SharedHealthChecks | None
    ) -> None:
        self.members = members
        self.tuning = tuning
        self.random = draws
        self.health_checks = checks
        self.update_queue = UpdateQueue(tuning.queued_updates_max)
        self.outbox: list[OutgoingMessage] = []
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return a sequence number for a message that expects an answer."""
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        return self._sequence

    def random_members(self, count: int, excluded: str = "") -> list[Member]:
        """Draw up to `count` other members in view."""
        names = self.members.other_live(excluded)
        chosen = self.random.sample(names, min(count, len(names)))
        return [self.members.members[name] for name in chosen]

    def new_message(self, kind: MessageKind, target: str = "") -> Message:
        """Return a message of this member with a sequence number of its own."""
        return Message(kind, self.next_sequence(), self.members.own_name, target)

    def send(
        self, to: Address, message: Message, about: Member | None = None, first: MemberUpdate | None = None
    ) -> None:
        """Queue a message with updates and findings piggybacked.

        `about` is the member that the message goes to or leads to: a suspicion of it is sent along.
        `first` is an update that goes before all others.
        """
        transmit_limit = self.tuning.retransmits(len(self.members.live()))
        message.gossip = self._piggyback(about, transmit_limit)
        if message.kind in (MessageKind.PING, MessageKind.ACK):
            message.digest = self.members.digest
        if self.health_checks is not None:
            message.findings = self.health_checks.piggyback(self.tuning.findings_per_message, transmit_limit)
        if first is not None:
            message.gossip = with_first(first, message.gossip)
        self._post(to, message)

    def send_state(self, to: Address, kind: MessageKind) -> None:
        """Queue the full state, in messages that a datagram can hold.

        `JOIN` requests the receiver's own state in return. Only the first message does: one answer is enough.
        """
        updates = [self.members.update_about(member) for member in self.members.members.values()]
        chunk = self.tuning.state_updates_per_message
        for begin in range(0, len(updates), chunk):
            message = Message(kind, 0, self.members.own_name, gossip=updates[begin : begin + chunk])
            if self.health_checks is not None and begin == 0:
                message.findings = self.health_checks.all_findings()[:chunk]
            self._post(to, message)
            kind = MessageKind.SYNC

    def _piggyback(self, about: Member | None, transmit_limit: int) -> list[MemberUpdate]:
        """Return the updates to send along.

        Lifeguard's buddy system: a suspicion of the receiver goes first, also once its update has been sent
        often enough, since the receiver is the one that can refute it.
        """
        count = self.tuning.updates_per_message
        if about is None or about.status is not Status.SUSPECT or not self.tuning.lifeguard:
            return self.update_queue.take(count, transmit_limit)
        updates = self.update_queue.take(count - 1, transmit_limit)
        return with_first(self.members.update_about(about), updates)

    def _post(self, to: Address, message: Message) -> None:
        message.reply_to = self.members.own.address
        self.outbox.append(OutgoingMessage(to, message))
