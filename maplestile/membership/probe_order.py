"""The order in which members are probed: a shuffled round, redrawn when it is used up (SWIM, section 4.3).

Every member is probed once in a round, so the time until a failure is first detected is bounded.
"""

import random

from maplestile.membership.member_list import Member, MemberList


class ProbeOrder:
    """The members that are still to be probed in this round; the last of the list comes next."""

    def __init__(self, members: MemberList, draws: random.Random) -> None:
        self._members = members
        self._random = draws
        self._names: list[str] = []

    def insert(self, name: str) -> None:
        """Put a member that has come into view at a random place of this round."""
        self._names.insert(self._random.randrange(len(self._names) + 1), name)

    def put_next(self, name: str) -> None:
        """Have a member probed next."""
        self._names.append(name)

    def next_target(self) -> Member | None:
        """Return the next member to probe, or None where no other is in view."""
        target = self._next_of_round()
        if target is None:
            self._names = self._members.other_live()
            self._random.shuffle(self._names)
            target = self._next_of_round()
        return target

    def _next_of_round(self) -> Member | None:
        while self._names:
            member = self._members.get(self._names.pop())
            if member is not None and member.in_view and member is not self._members.own:
                return member
        return None
