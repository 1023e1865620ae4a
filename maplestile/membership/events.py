"""What the protocol reports to its driver: events to log, and counts of invalid messages."""

from enum import StrEnum
from typing import NamedTuple

from maplestile.membership.member_list import Member


class EventKind(StrEnum):
    """What happened, by the name that it has in the log."""

    JOIN = "join"
    REFUTE = "refute"
    SUSPECT = "suspect"
    CONFIRM = "confirm"  # a member is declared dead
    LEAVE = "leave"
    ISOLATED = "isolated"
    HEALED = "healed"


class MembershipEvent(NamedTuple):
    """An event and the fields of its log line."""

    kind: str
    fields: dict[str, object]


class EventLog:
    """The events and faults since the driver emptied them."""

    def __init__(self) -> None:
        self.events: list[MembershipEvent] = []
        self.faults: dict[str, int] = {}

    def add(self, kind: EventKind, fields: dict[str, object]) -> None:
        """Record an event."""
        self.events.append(MembershipEvent(kind.value, fields))

    def add_about(self, kind: EventKind, member: Member, reported_by: str | None = None) -> None:
        """Record an event about a member, and who reported it where that matters."""
        fields: dict[str, object] = {"member": member.name, "incarnation": member.incarnation}
        if reported_by is not None:
            fields["by"] = reported_by
        self.add(kind, fields)

    def count_fault(self, kind: str) -> None:
        """Count an invalid or unexpected message."""
        self.faults[kind] = self.faults.get(kind, 0) + 1
