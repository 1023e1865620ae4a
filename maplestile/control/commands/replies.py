"""Replies of the replicated state to commands."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Rejected:
    """The reply to a command that does not fit the replicated state and was not applied."""

    reason: str  # for the sender, which logs it or shows it to an operator


@dataclass(slots=True, frozen=True)
class Accepted:
    """The reply to any other command that has been applied."""


@dataclass(slots=True, frozen=True)
class RolloutStarted:
    """The reply to `StartRollout`."""

    rollout: int  # the number of the new rollout
    budget: int  # the most instances that may be out of service at once


@dataclass(slots=True, frozen=True)
class RolloutChanged:
    """The reply to `HaltRollout`, `ResumeRollout` and `UndoRollout`."""

    rollout: int  # the number of the rollout


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The reply to `GrantLease` and `ReleaseLease`."""

    lease: int  # the number of the lease


@dataclass(slots=True, frozen=True)
class StepBegun:
    """The reply to `BeginStep`."""

    action: str  # what the holder must do with the instance


@dataclass(slots=True, frozen=True)
class ChangeProposed:
    """The reply to `ProposePolicy` and `RollBackPolicy`."""

    change: int  # the number of the new change
    base: int  # the number of the epoch that it is based on


@dataclass(slots=True, frozen=True)
class ChangeUpdated:
    """The reply to `SubmitVerdict` and `AbortPolicy`."""

    change: int  # the number of the change


@dataclass(slots=True, frozen=True)
class PolicyCommitted:
    """The reply to `CommitPolicy`."""

    epoch: int  # the number of the new epoch
    change: int  # the number of the change


@dataclass(slots=True, frozen=True)
class PolicyRead:
    """The reply to `ReadPolicy`."""

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
