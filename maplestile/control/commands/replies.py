"""The replies of the agreed state to the commands of the replicated log."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Rejected:
    """The command does not fit the agreed state, which it has left as it was."""

    reason: str


@dataclass(slots=True, frozen=True)
class Accepted:
    """The command has been applied, and there is nothing more to say about it."""


@dataclass(slots=True, frozen=True)
class RolloutStarted:
    """The number of the new rollout, and the most instances that it may have out at once."""

    rollout: int
    budget: int


@dataclass(slots=True, frozen=True)
class RolloutChanged:
    """The number of the rollout that was halted, resumed or undone."""

    rollout: int


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The number of the lease that was granted or released."""

    lease: int


@dataclass(slots=True, frozen=True)
class StepBegun:
    """What the holder has to do with the instance."""

    action: str


@dataclass(slots=True, frozen=True)
class ChangeProposed:
    """The number of the change, and the epoch that it was made on."""

    change: int
    base: int


@dataclass(slots=True, frozen=True)
class ChangeUpdated:
    """The number of the change that was voted on or aborted."""

    change: int


@dataclass(slots=True, frozen=True)
class PolicyCommitted:
    """The new epoch, and the number of the change that it came from."""

    epoch: int
    change: int


@dataclass(slots=True, frozen=True)
class PolicyRead:
    """The committed epoch, and the instances of the read that the agent manages."""

    epoch: int
    named: tuple[str, ...]


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
