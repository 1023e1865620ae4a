"""Anti-entropy: full-state exchanges for joins, for views that differ, and after a network partition."""

from collections.abc import Iterable

from maplestile.common.address import Address
from maplestile.membership.events import EventLog
from maplestile.membership.member_list import MemberList
from maplestile.membership.message_sender import MessageSender
from maplestile.membership.messages import Message, MessageKind
from maplestile.membership.update_merger import UpdateMerger

# A member sends messages of these kinds only to receivers that it considers members.
KINDS_BETWEEN_MEMBERS = (MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQ, MessageKind.NACK)


class StateExchange:
    """Sends the full state where piggybacked updates do not suffice, at a limited rate for each reason."""

    def __init__(
        self,
        members: MemberList,
        sender: MessageSender,
        merger: UpdateMerger,
        event_log: EventLog,
        now_us: int,
    ) -> None:
        self._members = members
        self._sender = sender
        self._merger = merger
        self._event_log = event_log
        tuning = sender.tuning
        self._reconnect_us = tuning.period_us * tuning.reconnect_periods
        self._reconcile_us = tuning.period_us * tuning.reconcile_periods
        self._tombstone_us = tuning.period_us * tuning.tombstone_periods
        self._seeds: list[Address] = []  # cleared once a full state has been received
        self._next_unknown_sender_request_us = now_us
        self._next_reconcile_us = now_us
        self.next_reconnect_us = now_us + self._reconnect_us

    def join(self, seeds: Iterable[Address]) -> None:
        """Request the full state of the seeds, repeatedly until one answers."""
        self._seeds = [seed for seed in seeds if seed != self._members.own.address]
        # This update also reaches members that the seeds do not know.
        self._sender.update_queue.add(self._members.own_update())
        self._request_state_from_seeds()

    def handle_join(self, message: Message) -> None:
        """Answer a request for this member's full state."""
        self._sender.send_state(message.reply_to, MessageKind.SYNC)

    def handle_sync(self) -> None:
        """Forget the seeds: a full state has been received, so they are no longer needed."""
        self._seeds = []

    def reconcile(self, message: Message, now_us: int) -> None:
        """Request the full state of a sender that is unknown, or whose view differs from this member's.

        An update about a joining member may have been sent often enough and still not have arrived here. The
        rate is limited, so that many messages from unknown senders do not cause as many full-state exchanges.
        """
        if message.kind in KINDS_BETWEEN_MEMBERS and self._members.get(message.source) is None:
            self._event_log.count_fault("unknown_sender")
            if now_us >= self._next_unknown_sender_request_us:
                self._next_unknown_sender_request_us = now_us + self._reconnect_us
                self._sender.send_state(message.reply_to, MessageKind.JOIN)
        elif message.digest not in (None, self._members.digest) and now_us >= self._next_reconcile_us:
            self._next_reconcile_us = now_us + self._reconcile_us
            self._sender.send_state(message.reply_to, MessageKind.JOIN)

    def tick(self, now_us: int) -> None:
        """Contact the seeds if no other member is in view, and one random member that is dead or has left."""
        if now_us < self.next_reconnect_us:
            return
        self.next_reconnect_us = now_us + self._reconnect_us
        self._drop_tombstones(now_us)
        if self._merger.is_leaving:
            return
        if len(self._members.live()) == 1:
            self._request_state_from_seeds()
        # A member that left is contacted too: it may have restarted at its address without a reachable seed.
        out_of_view = self._members.out_of_view()
        if out_of_view:
            self._sender.send_state(self._sender.rng.choice(out_of_view).address, MessageKind.JOIN)

    def _request_state_from_seeds(self) -> None:
        for seed in self._seeds:
            self._sender.send_state(seed, MessageKind.JOIN)

    def _drop_tombstones(self, now_us: int) -> None:
        for member in self._members.out_of_view():
            if now_us - member.since_us >= self._tombstone_us:
                self._members.forget(member)
