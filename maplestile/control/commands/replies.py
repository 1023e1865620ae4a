"""Replies of the replicated state to commands."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Rejected:
    """The reply to a command that does not fit the replicated state and has not changed it."""

    reason: str  # shown to operators and in the log


@dataclass(slots=True, frozen=True)
class Accepted:
    """The reply to an applied command that has no result."""


@dataclass(slots=True, frozen=True)
class RolloutStarted:
    """The reply to the start of a rollout."""

    rollout: int  # its number
    budget: int  # the most instances that may be out of service at once


@dataclass(slots=True, frozen=True)
class RolloutChanged:
    """The reply to the halt, resume or undo of a rollout."""

    rollout: int  # its number


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The reply to the grant or release of a lease."""

    lease: int  # its number


@dataclass(slots=True, frozen=True)
class StepBegun:
    """The reply to the begin of a router's step."""

    action: str  # what the holder must do with the instance


@dataclass(slots=True, frozen=True)
class ChangeProposed:
    """The reply to the proposal of a policy change or rollback."""

    change: int  # its number
    base: int  # the number of the epoch that it is based on


@dataclass(slots=True, frozen=True)
class ChangeUpdated:
    """The reply to a verdict on a policy change or to its abort."""

    change: int  # its number


@dataclass(slots=True, frozen=True)
class PolicyCommitted:
    """The reply to the commit of a policy change."""

    epoch: int  # the number of the new epoch
    change: int  # the number of the change


@dataclass(slots=True, frozen=True)
class PolicyRead:
    """The reply to a policy read."""

    epoch: int  # the number of the committed epoch
    named: tuple[str, ...]  # those instances of the read that the agent manages


Acceptance = (
    Accepted
    | RolloutStarted
    | RolloutChanged
    | LeaseChanged
    | StepBegun
    | ChangeProposed
    | ChangeUpdated
    | PolicyCommitted
    | PolicyRead
)
Reply = Acceptance | Rejected
