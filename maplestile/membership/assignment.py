"""Periodic duties shared among the live members by rendezvous hashing (Thaler and Ravishankar, 1998).

Every member that sees the same live set gives each duty the same owner, so the fleet does a duty about once
instead of once a member; a member that ends moves only its own duties. Members that disagree (a split, a
slow member) may both own one: both do it, which is harmless, and `CheckAssignment.overlap` counts it."""

import hashlib
from collections.abc import Iterable


def weight(duty: str, member: str) -> int:
    digest = hashlib.blake2b(f"{duty}\x00{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def owner(duty: str, live: Iterable[str]) -> str:
    """The member that does `duty`; ties cannot happen but between equal names. Raises ValueError if none."""
    return max(live, key=lambda member: (weight(duty, member), member))


class CheckAssignment:
    """One member's duties, judged anew when its view changes."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.mine: frozenset[str] = frozenset()
        self.taken_over = 0  # duties that became this member's while it served
        self.given_up = 0  # duties that went to another, such as when a slow member comes back
        self.overlap = 0  # duties done here while the last agreed view gives them to another

    def judge(self, duties: Iterable[str], live: Iterable[str], agreed: Iterable[str]) -> frozenset[str]:
        """The duties of this member by the live view; `agreed` is the last view without suspicion."""
        members, settled = sorted(set(live) | {self.me}), sorted(set(agreed) | {self.me})
        chosen = [duty for duty in duties]
        mine = frozenset(duty for duty in chosen if owner(duty, members) == self.me)
        self.taken_over += len(mine - self.mine) if self.mine else 0
        self.given_up += len(self.mine - mine)
        self.overlap += sum(1 for duty in mine if owner(duty, settled) != self.me)
        self.mine = mine
        return mine
