"""Anti-entropy: full-state exchanges for joins, for views that differ, and after a network partition."""

from collections.abc import Iterable

from maplestile.common.address import Address
from maplestile.membership.events import EventLog
from maplestile.membership.member_list import MemberList
from maplestile.membership.message_sender import MessageSender
from maplestile.membership.messages import Message, MessageKind
from maplestile.membership.update_merger import UpdateMerger

# Messages that only a member sends which takes their receiver for a member as well.
KINDS_BETWEEN_MEMBERS = (MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQ, MessageKind.NACK)


class StateExchange:
    """Sends the full state where piggybacked updates do not suffice, each cause at a limited rate."""

    def __init__(
        self, members: MemberList, sender: MessageSender, merger: UpdateMerger, log: EventLog, now_us: int
    ) -> None:
        self._members = members
        self._sender = sender
        self._merger = merger
        self._log = log
        tuning = sender.tuning
        self._reconnect_us = tuning.period_us * tuning.reconnect_periods
        self._reconcile_us = tuning.period_us * tuning.reconcile_periods
        self._tombstone_us = tuning.period_us * tuning.tombstone_periods
        self._seeds: list[Address] = []  # empty again once a view is known
        self._next_unknown_sender_us = now_us
        self._next_reconcile_us = now_us
        self.next_reconnect_us = now_us + self._reconnect_us

    def join(self, seeds: Iterable[Address]) -> None:
        """Request the seeds' state; repeated until one answers."""
        self._seeds = [seed for seed in seeds if seed != self._members.own.address]
        self._sender.update_queue.add(self._members.own_update())  # also for members that the seeds miss
        self._request_of_seeds()

    def handle_join(self, message: Message) -> None:
        """Answer a request for this member's state."""
        self._sender.send_state(message.reply_to, MessageKind.SYNC)

    def handle_sync(self) -> None:
        """Take note that a view is known: the seeds are of no more use."""
        self._seeds = []

    def reconcile(self, message: Message, now_us: int) -> None:
        """Request the state of a sender that is not known here, or whose view differs from this one.

        An update about a joining member may be sent often enough and yet not come here. The rate is limited,
        so that a stream of messages of unknown senders does not become a stream of full states.
        """
        if message.kind in KINDS_BETWEEN_MEMBERS and self._members.get(message.source) is None:
            self._log.count_fault("unknown_sender")
            if now_us >= self._next_unknown_sender_us:
                self._next_unknown_sender_us = now_us + self._reconnect_us
                self._sender.send_state(message.reply_to, MessageKind.JOIN)
        elif message.digest not in (None, self._members.digest) and now_us >= self._next_reconcile_us:
            self._next_reconcile_us = now_us + self._reconcile_us
            self._sender.send_state(message.reply_to, MessageKind.JOIN)

    def tick(self, now_us: int) -> None:
        """Try the seeds while no other member is known, else one member that is out of view."""
        if now_us < self.next_reconnect_us:
            return
        self.next_reconnect_us = now_us + self._reconnect_us
        self._drop_tombstones(now_us)
        if self._merger.leaving:
            return
        if len(self._members.live()) == 1:
            self._request_of_seeds()
        # One that left is tried as well: it may be back at its address, with no seed of its own in view.
        out_of_view = self._members.out_of_view()
        if out_of_view:
            self._sender.send_state(self._sender.random.choice(out_of_view).address, MessageKind.JOIN)

    def _request_of_seeds(self) -> None:
        for seed in self._seeds:
            self._sender.send_state(seed, MessageKind.JOIN)

    def _drop_tombstones(self, now_us: int) -> None:
        for member in self._members.out_of_view():
            if now_us - member.since_us >= self._tombstone_us:
                self._members.forget(member)
