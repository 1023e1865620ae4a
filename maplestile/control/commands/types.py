"""The commands of the replicated log.

The numbers and agents that say what a sender believes (`rollout`, `lease`, `after`, `change`, the holder's
`agent`) are only compared with the agreed state.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from maplestile.control.policy.document import Document

ROUTERS = "routers"
RUNNERS = "runners"
NO_LEASE = 0  # the number of no lease: they are counted from 1
WIRE_KEY = "key"  # in a field's metadata: its key on the wire, where that is not its name


@dataclass(slots=True, frozen=True)
class HealthReport:
    """An agent's report on one instance: whether it can serve, and its calls since its start."""

    ready: bool
    served: int = 0
    failed: int = 0


# Commands of the agents about their instances.


@dataclass(slots=True, frozen=True, kw_only=True)
class Register:
    """Replace the list of the instances that an agent manages, and of the runners that its routers list."""

    instances: tuple[str, ...]
    # Each runner, and whether the agent manages its process; None leaves the agent's list as it is.
    runners: Mapping[str, bool] | None = None
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class Heartbeat:
    """Report the health of an agent's instances. It changes nothing of what is agreed."""

    agent: str
    reports: Mapping[str, HealthReport] = field(metadata={WIRE_KEY: "words"})


# Commands of operators about rollouts.


@dataclass(slots=True, frozen=True, kw_only=True)
class StartRollout:
    """Begin a rollout to the targets, or to all instances of the kind where none is named."""

    action: str
    targets: tuple[str, ...]
    budget: int | str  # a count, or a share such as "25%"
    kind: str = ROUTERS
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class HaltRollout:
    """Grant no new step; also by the leader, where the rollout does harm."""

    rollout: int | None = None
    reason: str = ""
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ResumeRollout:
    """Go on with a halted rollout."""

    rollout: int | None = None
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class UndoRollout:
    """Bring back what was taken out, in reverse order."""

    rollout: int | None = None
    reason: str = ""
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ReleaseLease:
    """Drop the lease of an instance; the operator vouches that it serves."""

    instance: str
    lease: int | None = None
    agent: str | None = None


# Commands about the steps of a rollout.


@dataclass(slots=True, frozen=True, kw_only=True)
class GrantLease:
    """Grant the next step of the rollout to the agent that manages the instance; by the leader."""

    rollout: int | None = None
    instance: str
    down: tuple[str, ...]  # instances that are out without a lease: they take up budget as well
    after: int  # the last number given by the state that the leader decided on
    term: int
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class HolderCommand:
    """A command by the holder of a lease, which names the lease that it believes to hold."""

    instance: str
    lease: int
    agent: str  # the holder


@dataclass(slots=True, frozen=True, kw_only=True)
class BeginStep(HolderCommand):
    """Begin the step, before the instance is touched."""


@dataclass(slots=True, frozen=True, kw_only=True)
class FinishStep(HolderCommand):
    """End the step and its lease: the instance serves again."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ConfirmDrained(HolderCommand):
    """End the step of a drain: the instance has nothing in flight and stays out."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ConfirmRenewed(HolderCommand):
    """Report that a runner's process has been replaced, and routers may use it again."""


@dataclass(slots=True, frozen=True, kw_only=True)
class ReportPart:
    """Report what the routers of one agent have done with a leased runner: `begun`, `out` or `in`."""

    part: str = field(metadata={WIRE_KEY: "did"})
    instance: str
    lease: int
    agent: str


# Commands about changes of the policy.


@dataclass(slots=True, frozen=True, kw_only=True)
class ProposePolicy:
    """Propose a document as the policy of the next epoch."""

    document: Document | None  # None: the policy of each router's own file
    base: int  # the epoch that the change was made on
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class RollBackPolicy:
    """Propose the document of an older epoch: the one named, or the one before the current."""

    base: int
    to: int | None = None
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class SubmitVerdict:
    """Report whether a router accepts the change that is being checked."""

    agent: str
    change: int
    instance: str
    reason: str  # why the router refuses it; "" where it accepts


@dataclass(slots=True, frozen=True, kw_only=True)
class CommitPolicy:
    """Commit the change that has been checked; by the leader."""

    change: int
    absent: tuple[str, ...]  # without a verdict, and named by no read since the change was proposed
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class AbortPolicy:
    """Give up the change that is being checked; by the leader."""

    change: int
    reason: str
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ReadPolicy:
    """Learn the committed epoch, and name the routers that are let serve by the answer."""

    agent: str
    instances: tuple[str, ...]
    # By instance, what each router says of its policy. It changes nothing of what is agreed.
    router_status: Mapping[str, Any] | None = field(default=None, metadata={WIRE_KEY: "told"})


RolloutCommand = (
    Register | StartRollout | HaltRollout | ResumeRollout | UndoRollout | ReleaseLease | GrantLease
)
StepCommand = BeginStep | FinishStep | ConfirmDrained | ReportPart | ConfirmRenewed
PolicyCommand = ProposePolicy | RollBackPolicy | SubmitVerdict | CommitPolicy | AbortPolicy | ReadPolicy
StateCommand = RolloutCommand | StepCommand | PolicyCommand
Command = StateCommand | Heartbeat
