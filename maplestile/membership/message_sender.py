"""Outgoing messages: sequence numbers, piggybacked updates and findings, and the outbox."""

import random
from typing import NamedTuple

from maplestile.common.address import Address
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.member_list import Member, MemberList
from maplestile.membership.messages import SEQUENCE_BITS, MemberUpdate, Message, MessageKind, Status
from maplestile.membership.tuning import Tuning
from maplestile.membership.update_queue import UpdateQueue, prepend_update

SEQUENCE_MASK = (1 << SEQUENCE_BITS) - 1


class OutgoingMessage(NamedTuple):
    """A message and the address that it is sent to."""

    address: Address
    message: Message


class MessageSender:
    """Builds messages and appends them to `outbox`, which the driver empties.

    `rng` is the only random number generator of a member and shared by its components, so that one seed
    determines a whole run.
    """

    def __init__(
        self,
        members: MemberList,
        tuning: Tuning,
        rng: random.Random,
        health_checks: SharedHealthChecks | None,
    ) -> None:
        self.members = members
        self.tuning = tuning
        self.rng = rng
        self.health_checks = health_checks
        self.update_queue = UpdateQueue(tuning.queued_updates_max)
        self.outbox: list[OutgoingMessage] = []
        self._sequence = 0

    def next_sequence(self) -> int:
        """Return the next sequence number, which wraps around after `SEQUENCE_BITS` bits."""
        self._sequence = (self._sequence + 1) & SEQUENCE_MASK
        return self._sequence

    def random_members(self, count: int, excluded: str = "") -> list[Member]:
        """Return up to `count` other members in view, chosen at random."""
        names = self.members.other_live(excluded)
        chosen = self.rng.sample(names, min(count, len(names)))
        return [self.members.members[name] for name in chosen]

    def new_message(self, kind: MessageKind, target: str = "") -> Message:
        """Return a message from this member with a new sequence number."""
        return Message(kind, self.next_sequence(), self.members.own_name, target)

    def send(
        self, to: Address, message: Message, about: Member | None = None, first: MemberUpdate | None = None
    ) -> None:
        """Append a message to the outbox, with updates and findings piggybacked.

        `about` is the receiver of the message, or the member that a ping request names as its target: if it
        is suspected, the suspicion is sent along. `first` is an update to be placed before all others.
        """
        transmit_limit = self.tuning.retransmits(len(self.members.live()))
        message.gossip = self._piggyback(about, transmit_limit)
        if message.kind in (MessageKind.PING, MessageKind.ACK):
            message.digest = self.members.digest
        if self.health_checks is not None:
            message.findings = self.health_checks.piggyback(self.tuning.findings_per_message, transmit_limit)
        if first is not None:
            message.gossip = prepend_update(first, message.gossip)
        self._enqueue(to, message)

    def send_state(self, to: Address, kind: MessageKind) -> None:
        """Append the full state to the outbox, split into messages that fit into a datagram.

        With `JOIN` as `kind`, the receiver is asked to send its own state in return. Only the first message
        asks for it, since one answer is enough.
        """
        updates = [self.members.update_about(member) for member in self.members.members.values()]
        chunk_size = self.tuning.state_updates_per_message
        for begin in range(0, len(updates), chunk_size):
            message = Message(kind, 0, self.members.own_name, gossip=updates[begin : begin + chunk_size])
            if self.health_checks is not None and begin == 0:
                message.findings = self.health_checks.all_findings()[:chunk_size]
            self._enqueue(to, message)
            kind = MessageKind.SYNC

    def _piggyback(self, about: Member | None, transmit_limit: int) -> list[MemberUpdate]:
        """Return the updates to piggyback on a message.

        Lifeguard's buddy system: a suspicion of `about` is placed first, even if that update has already been
        sent often enough, since only the suspected member can refute it.
        """
        count = self.tuning.updates_per_message
        if about is None or about.status is not Status.SUSPECT or not self.tuning.lifeguard:
            return self.update_queue.take(count, transmit_limit)
        updates = self.update_queue.take(count - 1, transmit_limit)
        return prepend_update(self.members.update_about(about), updates)

    def _enqueue(self, to: Address, message: Message) -> None:
        message.reply_to = self.members.own.address
        self.outbox.append(OutgoingMessage(to, message))
