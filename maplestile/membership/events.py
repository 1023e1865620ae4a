"""What the protocol reports to its driver: events to be logged, and counts of invalid messages."""

from enum import StrEnum
from typing import NamedTuple

from maplestile.membership.member_list import Member


class EventKind(StrEnum):
    """The kinds of membership events; the values are the event names in the log."""

    JOIN = "join"
    REFUTE = "refute"
    SUSPECT = "suspect"
    CONFIRM = "confirm"  # a member was declared dead
    LEAVE = "leave"
    ISOLATED = "isolated"  # this member sees less than a majority of its quorum view
    HEALED = "healed"  # this member is no longer isolated


class MembershipEvent(NamedTuple):
    """An event with the fields of its log line; `kind` is a value of `EventKind`."""

    kind: str
    fields: dict[str, object]


class EventLog:
    """The events, and the counts of faults by kind, since the driver last emptied them."""

    def __init__(self) -> None:
        self.events: list[MembershipEvent] = []
        self.faults: dict[str, int] = {}

    def add(self, kind: EventKind, fields: dict[str, object]) -> None:
        """Record an event."""
        self.events.append(MembershipEvent(kind.value, fields))

    def add_member_event(self, kind: EventKind, member: Member, reported_by: str | None = None) -> None:
        """Record an event about a member; the field `by` is left out if `reported_by` is None."""
        fields: dict[str, object] = {"member": member.name, "incarnation": member.incarnation}
        if reported_by is not None:
            fields["by"] = reported_by
        self.add(kind, fields)

    def count_fault(self, kind: str) -> None:
        """Count an invalid or unexpected message."""
        self.faults[kind] = self.faults.get(kind, 0) + 1
