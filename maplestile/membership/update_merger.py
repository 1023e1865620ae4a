"""How a reported update changes the membership table: precedence, refutation, and reports of deaths.

Source: Das, Gupta and Motivala, "SWIM" (2002), section 4.2. Of two updates the one with the higher
incarnation wins; in the same incarnation dead wins over suspect, and suspect over alive. Only a member itself
raises its incarnation.
"""

from maplestile.membership.events import EventKind, EventLog
from maplestile.membership.local_health import LocalHealth
from maplestile.membership.member_list import STATUSES_IN_VIEW, Member, MemberList
from maplestile.membership.message_sender import MessageSender
from maplestile.membership.messages import MemberUpdate, MessageKind, Status
from maplestile.membership.probe_order import ProbeOrder

STATUS_PRECEDENCE = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 2}


class UpdateMerger:
    """Takes updates, of others or of this member's own failure detector, into the table.

    An update that changes the table is queued to be passed on.
    """

    def __init__(
        self,
        *,
        members: MemberList,
        sender: MessageSender,
        probe_order: ProbeOrder,
        health: LocalHealth,
        log: EventLog,
    ) -> None:
        self._members = members
        self._sender = sender
        self._tuning = sender.tuning
        self._queue = sender.update_queue
        self._probe_order = probe_order
        self._health = health
        self._log = log
        self._death_notices = 0  # sent in this period
        self.leaving = False
        self.refuted_update_repeated = False  # whether an update that this member refuted before came again

    def merge(self, update: MemberUpdate, now_us: int) -> None:
        """Take one update; one that the table supersedes changes nothing."""
        if update.name == self._members.own_name:
            self._merge_own(update)
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
        precedes = STATUS_PRECEDENCE[status] > STATUS_PRECEDENCE[member.status]
        if update.incarnation < member.incarnation or (same_incarnation and not precedes):
            return
        if status is Status.DEAD and update.by != self._members.own_name:
            self._merge_reported_death(member, update)
            return
        self._replace_state(member, update, status, now_us)

    def refute_to(self, message_source: str) -> bool:
        """Return, once, whether the sender of a message needs the refutation of what it passed on."""
        if not self.refuted_update_repeated or message_source == self._members.own_name:
            return False
        self.refuted_update_repeated = False
        return True

    def begin_period(self) -> None:
        """Allow the death notices of a new period."""
        self._death_notices = 0

    def _add_member(self, update: MemberUpdate, now_us: int) -> None:
        status = update.status
        if status not in STATUSES_IN_VIEW or len(self._members) >= self._tuning.members_max:
            return  # a member that was never known matters only while it is in view
        member = self._members.add(Member(update.name, update.address, update.incarnation, status, now_us))
        if status is Status.SUSPECT:
            member.suspected_by.add(update.by)
        self._probe_order.insert(member.name)
        self._log.add_about(EventKind.JOIN, member)
        self._queue.add(update)

    def _confirm_suspicion(self, member: Member, update: MemberUpdate) -> None:
        """Lifeguard: each member that suspects independently shortens the suspicion."""
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
                self._log.add_about(EventKind.REFUTE if refuted else EventKind.JOIN, member)
            case Status.SUSPECT:
                self._log.add_about(EventKind.SUSPECT, member, reported_by)
            case Status.DEAD:
                self._log.add_about(EventKind.CONFIRM, member, reported_by)
            case Status.LEFT:
                self._log.add_about(EventKind.LEAVE, member, reported_by)

    def _merge_reported_death(self, member: Member, update: MemberUpdate) -> None:
        """Take another member's declaration that `member` is dead; it is not believed at once.

        A suspicion held here counts as fully confirmed, and lasts its minimum. A member that is alive
        here is sent the declaration, so that it can refute, and is probed next.

        This protects live members after a network partition: the other side has declared all of this side
        dead, and each of its members goes on spreading that. When such reports were believed at once, whole
        sides were declared dead (7458 false deaths in 1000 member-minutes among 100 members).
        """
        if member.status is Status.SUSPECT:
            member.reported_dead = True
            if update.incarnation > member.incarnation:
                self._members.set_status(member, Status.SUSPECT, update.incarnation)
        elif member.status is Status.ALIVE and self._death_notices < self._tuning.death_notices_per_period:
            self._death_notices += 1
            self._probe_order.put_next(member.name)
            self._sender.send(member.address, self._sender.new_message(MessageKind.GOSSIP), first=update)

    def _merge_own(self, update: MemberUpdate) -> None:
        """Refute a suspicion or a death of this member by a higher incarnation (SWIM, section 4.2).

        Only this member changes its own state; its old updates that come back by gossip are ignored.
        """
        if update.status is Status.ALIVE or self.leaving:
            return
        own = self._members.own
        if update.incarnation < own.incarnation:
            self.refuted_update_repeated = True
            return
        self._members.set_status(own, Status.ALIVE, update.incarnation + 1)
        if update.status is Status.SUSPECT:
            self._health.worsen()  # Lifeguard: being suspected is a sign of being slow
        self._queue.add(self._members.own_update())
        self._log.add_about(EventKind.REFUTE, own, update.by)
