"""Suspicion timeouts: when a suspected member that has not refuted the suspicion is declared dead.

Sources: SWIM (2002), section 4.2, for the suspicion; Lifeguard (2017), section 4.2, for its duration,
which becomes shorter as independent members confirm the suspicion.
"""

from collections.abc import Iterator

from maplestile.membership.member_list import Member, MemberList
from maplestile.membership.messages import Status
from maplestile.membership.tuning import Tuning
from maplestile.membership.update_merger import UpdateMerger


class SuspicionTimers:
    """Declares suspected members dead when their suspicion times out."""

    def __init__(self, members: MemberList, merger: UpdateMerger, tuning: Tuning) -> None:
        self._members = members
        self._merger = merger
        self._tuning = tuning

    def deadlines_us(self) -> Iterator[int]:
        """Yield the time at which each suspected member will be declared dead."""
        for name in self._members.suspects:
            yield self._deadline_us(self._members.members[name])

    def tick(self, now_us: int) -> None:
        """Declare dead every member whose suspicion has timed out."""
        for name in list(self._members.suspects):
            member = self._members.members[name]
            if now_us >= self._deadline_us(member):
                self._merger.merge(self._members.update_about(member, Status.DEAD), now_us)

    def _deadline_us(self, member: Member) -> int:
        confirmed = max(0, len(member.suspected_by) - 1)
        if member.reported_dead:
            confirmed = self._tuning.confirmations
        return member.since_us + self._tuning.suspicion_us(len(self._members.live()), confirmed)
