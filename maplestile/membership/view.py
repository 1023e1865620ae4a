"""One member's view of its group as operators see it, at the moment of the call."""

from dataclasses import dataclass

from maplestile.common.address import Address
from maplestile.membership.messages import Status


@dataclass(slots=True, frozen=True)
class MemberView:
    """A known member, by the last update about it."""

    name: str
    address: Address
    status: Status
    incarnation: int


@dataclass(slots=True, frozen=True)
class HealthChecksView:
    """One member's part in the shared health checks; the counts start at 0 with the process."""

    assigned: tuple[str, ...]  # the runners that this member probes for all, sorted
    silent: tuple[str, ...]  # the runners that their owners find silent, sorted
    taken_over: int  # checks that became this member's while it had some already
    given_up: int  # checks that went to another member
    overlap: int  # checks done here while the last agreed view gave them to another member
    skipped_probes: int  # probes of this router's own that were left to a runner's owner


@dataclass(slots=True, frozen=True)
class HealthCheckMetrics:
    """The numbers of one member's part in the shared health checks."""

    assigned: int  # runners that this member probes for all
    overlap: int  # checks done here while the last agreed view gave them to another member


@dataclass(slots=True, frozen=True)
class MembershipMetrics:
    """The numbers of one member's view: how many members it knows by status, and its own state."""

    alive: int  # this member among them
    suspect: int
    dead: int
    left: int
    isolated: int  # 1 while it sees less than a majority of the last view that it agreed with, else 0
    local_health: int
    health_checks: HealthCheckMetrics | None  # None where the members share none


@dataclass(slots=True, frozen=True)
class MembershipView:
    """What a member knows of its group."""

    own_name: str
    incarnation: int  # of this member
    isolated: bool  # whether it sees less than a majority of the last view that it agreed with
    local_health: int  # Lifeguard's local health score: 0 is well, more is slow
    agreed: tuple[str, ...]  # the members of the last view without a suspicion, sorted
    members: tuple[MemberView, ...]  # every known member, this one among them, sorted by name
    health_checks: HealthChecksView | None  # None where the members share none
