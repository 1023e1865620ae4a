"""The instances of a fleet, its rollout and its leases: what the transitions read and change."""

from dataclasses import dataclass

from maplestile.control.commands import RUNNERS
from maplestile.control.rollout import (
    ACTIVE,
    DRAIN,
    KINDS,
    RESTART,
    RESTORE,
    START,
    Lease,
    Phase,
    Rollout,
    Stage,
)

ROLLOUTS_KEPT = 20


@dataclass(slots=True, frozen=True)
class Step:
    """The next instance of a rollout, and what is to be done with it."""

    instance: str
    action: str


class FleetState:
    """Everything of the agreed state but the policy."""

    def __init__(self) -> None:
        self.instances: dict[str, str] = {}  # to the agent that manages each
        self.runners: dict[str, str] = {}  # to the agent that manages its process, "" where none does
        self.listed: dict[str, list[str]] = {}  # the runners that the routers of each agent list
        self.rollout: Rollout | None = None
        self.history: list[Rollout] = []
        self.leases: dict[str, Lease] = {}  # by instance
        self.number = 0  # of the last rollout or lease: one count for both, so that no number is reused
        self.worst_out = dict.fromkeys(KINDS, 0)  # the most that were ever out at once by leases

    def agents(self) -> list[str]:
        """The agents that manage instances."""
        return sorted(set(self.instances.values()))

    def out(self, kind: str) -> list[str]:
        """The instances of a kind that are counted out by a lease."""
        return [name for name, lease in self.leases.items() if lease.of_runner == (kind == RUNNERS)]

    def managers(self, kind: str) -> dict[str, str]:
        """The instances of a kind, and the agent that manages each."""
        return self.runners if kind == RUNNERS else self.instances

    def active_rollout(self) -> Rollout | None:
        """The rollout, unless it has ended."""
        rollout = self.rollout
        return rollout if rollout is not None and rollout.phase in ACTIVE else None

    def next_number(self) -> int:
        """Give out the number of a rollout or lease."""
        self.number += 1
        return self.number

    def replace_rollout(self, rollout: Rollout) -> None:
        """Make this the current rollout; the one before is kept in the history."""
        if self.rollout is not None:
            self.history = [*self.history, self.rollout][-ROLLOUTS_KEPT:]
        self.rollout = rollout

    def record_worst_out(self) -> None:
        """Record how many are out by leases now, if that is the most so far."""
        for kind in KINDS:
            self.worst_out[kind] = max(self.worst_out[kind], len(self.out(kind)))

    # Progress of the rollout.

    def next_step(self) -> Step | None:
        """The step that may be granted next, as far as the budget allows; None where there is none."""
        if self.rollout is None:
            return None
        if self.rollout.phase is Phase.RUNNING:
            return self._next_forward(self.rollout)
        if self.rollout.phase is Phase.UNDOING:
            return self._next_back(self.rollout)
        return None

    def _next_forward(self, rollout: Rollout) -> Step | None:
        for name in rollout.targets:
            if name not in rollout.done and name not in self.leases:
                return Step(name, rollout.action)
        return None

    def _next_back(self, rollout: Rollout) -> Step | None:
        if rollout.action == RESTART:
            return None  # what was restarted serves already, and what is under way will
        if self._steps_under_way():
            return None  # one after the other, so that they also end in the reverse order
        for name in reversed(rollout.done):
            if name not in rollout.undone:
                return Step(name, START if rollout.action == DRAIN else RESTORE)
        return None

    def _steps_under_way(self) -> bool:
        return any(lease.stage is not Stage.OUT for lease in self.leases.values())

    def complete_step(self, lease: Lease) -> None:
        """Record in the rollout that the step of a lease has ended."""
        rollout = self.rollout
        if rollout is None:
            return
        completed = rollout.undone if lease.action in (START, RESTORE) else rollout.done
        if lease.instance in rollout.targets and lease.instance not in completed:
            completed.append(lease.instance)
        self.finish_if_complete(rollout)

    def finish_if_complete(self, rollout: Rollout) -> None:
        """End the rollout if every target has ended, and no step is under way."""
        if self._steps_under_way():
            return
        if rollout.phase is Phase.RUNNING and set(rollout.done) >= set(rollout.targets):
            rollout.phase = Phase.DONE
        elif rollout.phase is Phase.UNDOING and self.next_step() is None:
            rollout.phase = Phase.UNDONE

    def drop_untouched_leases(self) -> None:
        """Withdraw the leases whose step no agent has begun. One granted for an undo goes back to OUT."""
        for name, lease in list(self.leases.items()):
            if lease.stage is not Stage.GRANTED:
                continue
            if lease.action == START:
                lease.stage = Stage.OUT
                lease.action = DRAIN
            else:
                del self.leases[name]
