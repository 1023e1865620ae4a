"""Commands of the replicated log.

The fields `rollout`, `lease`, `after`, `change` and the holder's `agent` hold what the sender last saw of the
replicated state. They are only compared with it, to reject a sender with outdated information. `agent` is the
agent that submits the command; it is optional in commands whose transition does not use it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from maplestile.control.policy.document import Document

ROUTERS = "routers"
RUNNERS = "runners"
NO_LEASE = 0  # a number that no lease has: they start at 1
WIRE_KEY = "key"  # the entry of a field's metadata that holds its key on the wire, if not the field's name


@dataclass(slots=True, frozen=True)
class HealthReport:
    """An agent's report on the health of one router instance."""

    ready: bool  # whether it takes calls
    served: int = 0  # calls served since its process started
    failed: int = 0  # calls failed since its process started


# Commands of agents about their instances.


@dataclass(slots=True, frozen=True, kw_only=True)
class Register:
    """Replace the lists of the instances that an agent manages and of the runners that its routers list."""

    instances: tuple[str, ...]
    # By runner: whether the agent manages its process. None leaves the agent's list unchanged.
    runners: Mapping[str, bool] | None = None
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class Heartbeat:
    """Report the health of an agent's instances. It does not change the replicated state."""

    agent: str
    reports: Mapping[str, HealthReport] = field(metadata={WIRE_KEY: "words"})  # by instance


# Commands of operators about rollouts.


@dataclass(slots=True, frozen=True, kw_only=True)
class StartRollout:
    """Start a rollout."""

    action: str  # one of `rollout.ACTIONS`
    targets: tuple[str, ...]  # in the order of the steps; empty for all instances of the kind
    budget: int | str  # a count, or a share such as "25%"
    kind: str = ROUTERS  # of the targets: `ROUTERS` or `RUNNERS`
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class HaltRollout:
    """Halt the rollout; sent by an operator, or by the leader if the rollout does harm."""

    rollout: int | None = None  # its number; None for the current one
    reason: str = ""  # shown to operators
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ResumeRollout:
    """Resume a halted rollout."""

    rollout: int | None = None  # its number; None for the current one
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class UndoRollout:
    """Undo the completed steps of a rollout in reverse order."""

    rollout: int | None = None  # its number; None for the current one
    reason: str = ""  # shown to operators
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ReleaseLease:
    """Drop the lease of an instance; the operator confirms that the instance serves."""

    instance: str
    lease: int | None = None  # its number; None for any
    agent: str | None = None


# Commands about the steps of a rollout.


@dataclass(slots=True, frozen=True, kw_only=True)
class GrantLease:
    """Grant the lease for the next step to the agent that manages the instance; sent by the leader."""

    rollout: int | None = None  # its number; None for the current one
    instance: str
    down: tuple[str, ...]  # instances that are out of service without a lease, which also count
    after: int  # the last number allocated in the state that the leader decided on
    term: int  # the leader's Raft term
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class HolderCommand:
    """A command of a lease's holder."""

    instance: str
    lease: int  # the number of the lease that the sender believes it holds
    agent: str  # the sender


@dataclass(slots=True, frozen=True, kw_only=True)
class BeginStep(HolderCommand):
    """Begin the step, before the instance is changed."""


@dataclass(slots=True, frozen=True, kw_only=True)
class FinishStep(HolderCommand):
    """End the step and its lease, because the instance serves again."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ConfirmDrained(HolderCommand):
    """End the step of a drain: the instance has no calls in flight and stays out of service."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ConfirmRenewed(HolderCommand):
    """Report that a runner's process has been replaced, so that routers may use it again."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ReportPart:
    """Report the progress of one agent's routers with a leased runner."""

    part: str = field(metadata={WIRE_KEY: "did"})  # `PART_BEGUN`, `PART_OUT` or `PART_IN` of `rollout`
    instance: str  # the runner
    lease: int  # the number of its lease
    agent: str


# Commands about the policy.


@dataclass(slots=True, frozen=True, kw_only=True)
class ProposePolicy:
    """Propose a document as the policy of the next epoch."""

    document: Document | None  # None: the policy of each router's own file
    base: int  # the number of the epoch that the change is based on
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class RollBackPolicy:
    """Propose the document of an older epoch."""

    base: int  # the number of the epoch that the change is based on
    to: int | None = None  # the number of the older epoch; None for the one before the current
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class SubmitVerdict:
    """Report whether a router accepts the change that is being checked."""

    agent: str
    change: int  # its number
    instance: str  # the router
    reason: str  # why the router refuses the change; "" if it accepts


@dataclass(slots=True, frozen=True, kw_only=True)
class CommitPolicy:
    """Commit the change that has been checked; sent by the leader."""

    change: int  # its number
    absent: tuple[str, ...]  # instances without a verdict that no read has named since the proposal
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class AbortPolicy:
    """Abort the change that is being checked; sent by the leader."""

    change: int  # its number
    reason: str  # shown to operators
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ReadPolicy:
    """Read the committed epoch, and name the routers to which the agent will announce it."""

    agent: str
    instances: tuple[str, ...]  # the routers, which may then take calls under that epoch
    # By instance: the router's own report on its policy. It is not part of the replicated state.
    router_status: Mapping[str, Any] | None = field(default=None, metadata={WIRE_KEY: "told"})


RolloutCommand = (
    Register | StartRollout | HaltRollout | ResumeRollout | UndoRollout | ReleaseLease | GrantLease
)
StepCommand = BeginStep | FinishStep | ConfirmDrained | ReportPart | ConfirmRenewed
PolicyCommand = ProposePolicy | RollBackPolicy | SubmitVerdict | CommitPolicy | AbortPolicy | ReadPolicy
StateCommand = RolloutCommand | StepCommand | PolicyCommand
Command = StateCommand | Heartbeat
