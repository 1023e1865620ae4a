"""The membership table: every known member with its incarnation and status, and a digest of the view."""

import hashlib
from dataclasses import dataclass, field

from maplestile.common.address import Address
from maplestile.membership.messages import MemberUpdate, Status

STATUSES_IN_VIEW = (Status.ALIVE, Status.SUSPECT)
DIGEST_BYTES = 8


@dataclass(slots=True)
class Member:
    """One member as this member sees it; `since_us` is when it took its present status."""

    name: str
    address: Address
    incarnation: int
    status: Status
    since_us: int
    suspected_by: set[str] = field(default_factory=set)  # who reported a suspicion of this incarnation
    reported_dead: bool = False  # another declared this incarnation dead while it is only suspected here

    @property
    def in_view(self) -> bool:
        """Whether the member is not known to have ended."""
        return self.status in STATUSES_IN_VIEW


class MemberList:
    """The table of members, this one among them.

    The digest is the exclusive or of a hash of each member's name, incarnation and whether it is in view, so
    that two views can be compared by one number.
    """

    def __init__(self, name: str, address: Address, now_us: int) -> None:
        self.own_name = name
        self.members: dict[str, Member] = {}
        # A dict in order of suspicion: a set's order would differ from one run to the next.
        self.suspects: dict[str, None] = {}
        self.digest = 0
        self._member_digests: dict[str, int] = {}
        self._live_names: list[str] | None = None  # cached result of `live` until the view changes
        self.own = self.add(Member(name, address, 0, Status.ALIVE, now_us))

    def __len__(self) -> int:
        return len(self.members)

    def get(self, name: str) -> Member | None:
        """Return the member of that name, or None."""
        return self.members.get(name)

    def add(self, member: Member) -> Member:
        """Take a member that is not in the table yet, and return it."""
        self.members[member.name] = member
        self.set_status(member, member.status)
        return member

    def set_status(self, member: Member, status: Status, incarnation: int | None = None) -> None:
        """Change a member's status, and its incarnation if one is given.

        Every change goes through here, so that the digest and the cached names follow.
        """
        member.status = status
        if incarnation is not None:
            member.incarnation = incarnation
        self._live_names = None
        self._replace_digest(member.name, _member_digest(member))
        if status is Status.SUSPECT:
            self.suspects[member.name] = None
        else:
            self.suspects.pop(member.name, None)

    def forget(self, member: Member) -> None:
        """Drop a member from the table."""
        del self.members[member.name]
        self._replace_digest(member.name, 0)
        self._live_names = None

    def live(self) -> list[str]:
        """Return the sorted names of the members in view; the same list object until the view changes."""
        if self._live_names is None:
            self._live_names = sorted(name for name, member in self.members.items() if member.in_view)
        return self._live_names

    def other_live(self, excluded: str = "") -> list[str]:
        """Return the sorted names of the members in view but this one and the excluded one."""
        return [name for name in self.live() if name not in (self.own_name, excluded)]

    def out_of_view(self) -> list[Member]:
        """Return the members that are dead or have left, in the order in which they became known."""
        return [member for member in self.members.values() if not member.in_view]

    def sorted_by_name(self) -> list[Member]:
        """Return all members, sorted by name."""
        return sorted(self.members.values(), key=lambda member: member.name)

    def update_about(self, member: Member, status: Status | None = None) -> MemberUpdate:
        """Return this member's report of `member`: its state as seen here, or `status` in its incarnation."""
        return MemberUpdate(
            status or member.status, member.name, member.address, member.incarnation, self.own_name
        )

    def own_update(self) -> MemberUpdate:
        """Return the report of this member itself."""
        return self.update_about(self.own)

    def _replace_digest(self, name: str, digest: int) -> None:
        self.digest ^= self._member_digests.get(name, 0) ^ digest
        self._member_digests[name] = digest


def _member_digest(member: Member) -> int:
    hashed = f"{member.name}\x00{member.incarnation}\x00{member.in_view}".encode()
    return int.from_bytes(hashlib.blake2b(hashed, digest_size=DIGEST_BYTES).digest(), "big")
