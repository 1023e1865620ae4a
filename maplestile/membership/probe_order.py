"""The order in which members are probed: one round after another, each shuffled anew (SWIM, section 4.3).

Every member is probed once per round, so the time until a failure is first detected is bounded.
"""

import random

from maplestile.membership.member_list import Member, MemberList


class ProbeOrder:
    """The members still to be probed in the current round; the last one in the list is probed next."""

    def __init__(self, members: MemberList, rng: random.Random) -> None:
        self._members = members
        self._rng = rng
        self._names: list[str] = []

    def insert(self, name: str) -> None:
        """Insert a member that has come into view at a random position in the current round."""
        self._names.insert(self._rng.randrange(len(self._names) + 1), name)

    def put_next(self, name: str) -> None:
        """Make a member the next one to be probed."""
        self._names.append(name)

    def next_target(self) -> Member | None:
        """Return the next member to probe, or None if no other member is in view."""
        target = self._next_of_round()
        if target is None:
            self._names = self._members.other_live()
            self._rng.shuffle(self._names)
            target = self._next_of_round()
        return target

    def _next_of_round(self) -> Member | None:
        while self._names:
            member = self._members.get(self._names.pop())
            if member is not None and member.is_in_view and member is not self._members.own:
                return member
        return None
