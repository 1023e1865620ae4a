"""A snapshot of one member's view of its group, for operators and metrics."""

from dataclasses import dataclass

from maplestile.common.address import Address
from maplestile.membership.messages import Status


@dataclass(slots=True, frozen=True)
class MemberView:
    """A known member, according to the last update about it."""

    name: str
    address: Address
    status: Status
    incarnation: int


@dataclass(slots=True, frozen=True)
class HealthChecksView:
    """One member's share of the health checks; the counts start at 0 when the process starts."""

    assigned: tuple[str, ...]  # the runners that this member probes for the group, sorted
    silent: tuple[str, ...]  # the runners that their assignees find silent, sorted
    taken_over: int  # checks newly assigned to this member while it already had others
    given_up: int  # checks no longer assigned to this member
    overlap: int  # checks assigned here that the agreed view assigned to another member
    skipped_probes: int  # own probes skipped because the assignee reports the runner as silent


@dataclass(slots=True, frozen=True)
class HealthCheckMetrics:
    """The metrics of one member's share of the health checks."""

    assigned: int  # runners that this member probes for the group
    overlap: int  # checks assigned here that the agreed view assigned to another member


@dataclass(slots=True, frozen=True)
class MembershipMetrics:
    """The metrics of one member's view: the number of known members by status, and its own state."""

    alive: int  # including this member
    suspect: int
    dead: int
    left: int
    isolated: int  # 1 while it sees less than a majority of its quorum view, else 0
    local_health: int  # Lifeguard's local health score: 0 is healthy, and higher means slower
    health_checks: HealthCheckMetrics | None  # None if health checks are not shared


@dataclass(slots=True, frozen=True)
class MembershipView:
    """What a member knows about its group."""

    own_name: str
    incarnation: int  # of this member
    isolated: bool  # whether it sees less than a majority of its quorum view
    local_health: int  # Lifeguard's local health score: 0 is healthy, and higher means slower
    agreed: tuple[str, ...]  # names in the agreed view (the last one without suspicions), sorted
    members: tuple[MemberView, ...]  # every known member, including this one, sorted by name
    health_checks: HealthChecksView | None  # None if health checks are not shared
