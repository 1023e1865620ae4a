"""Merging of updates into the membership table: precedence, refutation, and deaths declared by other members.

Source: Das, Gupta and Motivala, "SWIM" (2002), section 4.2. Of two updates, the one with the higher
incarnation wins; in the same incarnation, dead overrides suspect, and suspect overrides alive. Only the
member itself raises its incarnation.
"""

from maplestile.membership.events import EventKind, EventLog
from maplestile.membership.local_health import LocalHealth
from maplestile.membership.member_list import STATUSES_IN_VIEW, Member, MemberList
from maplestile.membership.message_sender import MessageSender
from maplestile.membership.messages import MemberUpdate, MessageKind, Status
from maplestile.membership.probe_order import ProbeOrder

STATUS_PRECEDENCE = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 2}


class UpdateMerger:
    """Merges updates from other members and from this member's own failure detector into the table.

    An update that changes the table is queued to be passed on.
    """

    def __init__(
        self,
        *,
        members: MemberList,
        sender: MessageSender,
        probe_order: ProbeOrder,
        health: LocalHealth,
        event_log: EventLog,
    ) -> None:
        self._members = members
        self._sender = sender
        self._tuning = sender.tuning
        self._queue = sender.update_queue
        self._probe_order = probe_order
        self._health = health
        self._event_log = event_log
        self._death_notices_sent = 0  # in the current period
        self.is_leaving = False
        self.refutation_due = False  # whether an update that this member had refuted was received again

    def merge(self, update: MemberUpdate, now_us: int) -> None:
        """Merge one update; an update that is older than the state in the table changes nothing."""
        if update.name == self._members.own_name:
            self._merge_update_about_self(update)
            return
        member = self._members.get(update.name)
        if member is None:
            self._add_member(update, now_us)
            return
        status = update.status
        same_incarnation = update.incarnation == member.incarnation
        if status is Status.SUSPECT and same_incarnation and member.status is Status.SUSPECT:
            self._confirm_suspicion(member, update)
            return
        has_precedence = STATUS_PRECEDENCE[status] > STATUS_PRECEDENCE[member.status]
        if update.incarnation < member.incarnation or (same_incarnation and not has_precedence):
            return
        if status is Status.DEAD and update.by != self._members.own_name:
            self._merge_reported_death(member, update)
            return
        self._replace_state(member, update, status, now_us)

    def take_refutation_due(self, message_source: str) -> bool:
        """Return whether the sender of a message needs a refutation; reset `refutation_due` if so."""
        if not self.refutation_due or message_source == self._members.own_name:
            return False
        self.refutation_due = False
        return True

    def begin_period(self) -> None:
        """Reset the count of death notices for a new period."""
        self._death_notices_sent = 0

    def _add_member(self, update: MemberUpdate, now_us: int) -> None:
        status = update.status
        if status not in STATUSES_IN_VIEW or len(self._members) >= self._tuning.members_max:
            return  # an unknown member is added only while it is alive or suspected
        member = self._members.add(Member(update.name, update.address, update.incarnation, status, now_us))
        if status is Status.SUSPECT:
            member.suspected_by.add(update.by)
        self._probe_order.insert(member.name)
        self._event_log.add_member_event(EventKind.JOIN, member)
        self._queue.add(update)

    def _confirm_suspicion(self, member: Member, update: MemberUpdate) -> None:
        """Record another member's suspicion: each independent one shortens the timeout (Lifeguard)."""
        if update.by not in member.suspected_by:
            member.suspected_by.add(update.by)
            self._queue.add(update)

    def _replace_state(self, member: Member, update: MemberUpdate, status: Status, now_us: int) -> None:
        status_before = member.status
        self._members.set_status(member, status, update.incarnation)
        member.since_us = now_us
        member.address = update.address
        member.reported_dead = False
        member.suspected_by = {update.by} if status is Status.SUSPECT else set()
        self._queue.add(update)
        self._record_change(member, status_before, update.by)
        if status is Status.ALIVE and status_before not in STATUSES_IN_VIEW:
            self._probe_order.insert(member.name)

    def _record_change(self, member: Member, status_before: Status, reported_by: str) -> None:
        match member.status:
            case Status.ALIVE:
                refuted = status_before is Status.SUSPECT
                self._event_log.add_member_event(EventKind.REFUTE if refuted else EventKind.JOIN, member)
            case Status.SUSPECT:
                self._event_log.add_member_event(EventKind.SUSPECT, member, reported_by)
            case Status.DEAD:
                self._event_log.add_member_event(EventKind.CONFIRM, member, reported_by)
            case Status.LEFT:
                self._event_log.add_member_event(EventKind.LEAVE, member, reported_by)

    def _merge_reported_death(self, member: Member, update: MemberUpdate) -> None:
        """Merge another member's declaration that `member` is dead, without accepting it at once.

        If `member` is already suspected here, the suspicion counts as fully confirmed and lasts its minimum
        time. If `member` is alive here, it is sent the declaration, so that it can refute it, and is probed
        next.

        This protects live members after a network partition: the other side has declared all members of this
        side dead, and each of its members keeps spreading that. If such reports were accepted at once, whole
        sides would be declared dead (7458 false deaths in 1000 member-minutes among 100 members).
        """
        if member.status is Status.SUSPECT:
            member.reported_dead = True
            if update.incarnation > member.incarnation:
                self._members.set_status(member, Status.SUSPECT, update.incarnation)
        elif (
            member.status is Status.ALIVE and self._death_notices_sent < self._tuning.death_notices_per_period
        ):
            self._death_notices_sent += 1
            self._probe_order.put_next(member.name)
            self._sender.send(member.address, self._sender.new_message(MessageKind.GOSSIP), first=update)

    def _merge_update_about_self(self, update: MemberUpdate) -> None:
        """Refute a suspicion or death of this member with a higher incarnation (SWIM, section 4.2).

        Only this member changes its own state; reports that it is alive, which come back by gossip, are
        ignored.
        """
        if update.status is Status.ALIVE or self.is_leaving:
            return
        own = self._members.own
        if update.incarnation < own.incarnation:
            self.refutation_due = True
            return
        self._members.set_status(own, Status.ALIVE, update.incarnation + 1)
        if update.status is Status.SUSPECT:
            self._health.worsen()  # Lifeguard: a suspected member may be slow itself
        self._queue.add(self._members.own_update())
        self._event_log.add_member_event(EventKind.REFUTE, own, update.by)
