"""The membership table: every known member with its incarnation and status, and a digest of the view."""

import hashlib
from dataclasses import dataclass, field

from maplestile.common.address import Address
from maplestile.membership.messages import MemberUpdate, Status

STATUSES_IN_VIEW = (Status.ALIVE, Status.SUSPECT)
DIGEST_BYTES = 8


@dataclass(slots=True)
class Member:
    """A member of the group, as known to the member that keeps the table."""

    name: str
    address: Address
    incarnation: int
    status: Status
    since_us: int  # when the member took its current status
    suspected_by: set[str] = field(default_factory=set)  # names of the members that suspect it
    reported_dead: bool = False  # another member declared it dead while it is only suspected here

    @property
    def is_in_view(self) -> bool:
        """Whether the member is alive or suspected, so not known to be dead or to have left."""
        return self.status in STATUSES_IN_VIEW


class MemberList:
    """The table of members, including this one.

    The digest is the exclusive or of one hash per member, of its name, its incarnation and whether it is in
    view, so that two views can be compared by a single number.
    """

    def __init__(self, name: str, address: Address, now_us: int) -> None:
        self.own_name = name
        self.members: dict[str, Member] = {}
        # The suspected names in order of suspicion; a dict, since the order of a set differs between runs.
        self.suspects: dict[str, None] = {}
        self.digest = 0
        self._member_digests: dict[str, int] = {}
        self._live_names: list[str] | None = None  # cached result of `live`; None after a change
        self.own = self.add(Member(name, address, 0, Status.ALIVE, now_us))

    def __len__(self) -> int:
        return len(self.members)

    def get(self, name: str) -> Member | None:
        """Return the member with this name, or None if it is unknown."""
        return self.members.get(name)

    def add(self, member: Member) -> Member:
        """Add a member that is not in the table yet, and return it."""
        self.members[member.name] = member
        self.set_status(member, member.status)
        return member

    def set_status(self, member: Member, status: Status, incarnation: int | None = None) -> None:
        """Change a member's status, and its incarnation if one is given.

        Every change must use this method, which keeps the digest, the suspects and the cached names up to
        date.
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
        """Remove a member from the table."""
        del self.members[member.name]
        self._replace_digest(member.name, 0)
        self._live_names = None

    def live(self) -> list[str]:
        """Return the sorted names of the members in view; the same list object until the table changes."""
        if self._live_names is None:
            self._live_names = sorted(name for name, member in self.members.items() if member.is_in_view)
        return self._live_names

    def other_live(self, excluded: str = "") -> list[str]:
        """Return the sorted names of the members in view, without this member and the excluded one."""
        return [name for name in self.live() if name not in (self.own_name, excluded)]

    def out_of_view(self) -> list[Member]:
        """Return the members that are dead or have left, in the order in which they became known."""
        return [member for member in self.members.values() if not member.is_in_view]

    def sorted_by_name(self) -> list[Member]:
        """Return all members, sorted by name."""
        return sorted(self.members.values(), key=lambda member: member.name)

    def update_about(self, member: Member, status: Status | None = None) -> MemberUpdate:
        """Return an update by this member about `member`, with its known status or, if given, `status`."""
        return MemberUpdate(
            status or member.status, member.name, member.address, member.incarnation, self.own_name
        )

    def own_update(self) -> MemberUpdate:
        """Return an update by this member about itself."""
        return self.update_about(self.own)

    def _replace_digest(self, name: str, digest: int) -> None:
        self.digest ^= self._member_digests.get(name, 0) ^ digest
        self._member_digests[name] = digest


def _member_digest(member: Member) -> int:
    hashed = f"{member.name}\x00{member.incarnation}\x00{member.is_in_view}".encode()
    return int.from_bytes(hashlib.blake2b(hashed, digest_size=DIGEST_BYTES).digest(), "big")
