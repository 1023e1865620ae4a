"""Assignment of periodic checks to the live members by rendezvous hashing (Thaler and Ravishankar, 1998).

All members that see the same set of live members compute the same assignee for a check, so the check runs
about once in the whole group instead of once in each member. When a member ends, only its own checks are
reassigned. Members whose views differ (a partition, a slow member) may both be the assignee of a check: both
run it, which is harmless, and `CheckAssignment.overlap` counts it.
"""

import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8  # length of the digest that is read as the weight


def compute_rendezvous_weight(check: str, member: str) -> int:
    """Return the rendezvous hash of a check and a member; the member with the highest one is the assignee."""
    digest = hashlib.blake2b(f"{check}\x00{member}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")


def choose_assignee(check: str, live: Iterable[str]) -> str:
    """Return the live member with the highest weight for `check`. Raises ValueError if `live` is empty."""
    return max(live, key=lambda member: (compute_rendezvous_weight(check, member), member))


class CheckAssignment:
    """The checks that are assigned to one member, recomputed when its view changes."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.assigned: frozenset[str] = frozenset()
        self.taken_over = 0  # checks newly assigned to this member while it already had others
        self.given_up = 0  # checks no longer assigned here, as when a slow member comes back
        self.overlap = 0  # checks assigned here that the agreed view assigns to another member

    def assign(self, checks: Iterable[str], live: Iterable[str], agreed: Iterable[str]) -> frozenset[str]:
        """Assign the checks to the members in `live`, update the counts, and return this member's checks.

        `agreed` is the last view without suspicions; it is only used to count the overlap.
        """
        live_members = sorted({*live, self.own_name})
        agreed_members = sorted({*agreed, self.own_name})
        assigned = frozenset(
            check for check in checks if choose_assignee(check, live_members) == self.own_name
        )
        if self.assigned:
            self.taken_over += len(assigned - self.assigned)
        self.given_up += len(self.assigned - assigned)
        self.overlap += sum(
            1 for check in assigned if choose_assignee(check, agreed_members) != self.own_name
        )
        self.assigned = assigned
        return assigned
