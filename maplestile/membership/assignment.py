"""Periodic checks shared among the live members by rendezvous hashing (Thaler and Ravishankar, 1998).

Every member that sees the same live set gives each check the same owner, so the fleet does a check about once
instead of once a member; a member that ends moves only its own checks. Members that disagree (a partition, a
slow member) may both own one: both do it, which is harmless, and `CheckAssignment.overlap` counts it.
"""

import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8


def weight(check: str, member: str) -> int:
    """Return the rendezvous hash of a check and a member."""
    digest = hashlib.blake2b(f"{check}\x00{member}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")


def owner(check: str, live: Iterable[str]) -> str:
    """Return the member of the highest weight for `check`. Raises ValueError if there is no member."""
    return max(live, key=lambda member: (weight(check, member), member))


class CheckAssignment:
    """The checks assigned to one member, recomputed when its view changes."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.assigned: frozenset[str] = frozenset()
        self.taken_over = 0  # checks that became this member's while it had some already
        self.given_up = 0  # checks that went to another, such as when a slow member comes back
        self.overlap = 0  # checks done here while the last agreed view gives them to another

    def assign(self, checks: Iterable[str], live: Iterable[str], agreed: Iterable[str]) -> frozenset[str]:
        """Return the checks of this member by the live view; `agreed` is the last view without suspicion."""
        live_members = sorted({*live, self.own_name})
        agreed_members = sorted({*agreed, self.own_name})
        assigned = frozenset(check for check in checks if owner(check, live_members) == self.own_name)
        if self.assigned:
            self.taken_over += len(assigned - self.assigned)
        self.given_up += len(self.assigned - assigned)
        self.overlap += sum(1 for check in assigned if owner(check, agreed_members) != self.own_name)
        self.assigned = assigned
        return assigned
