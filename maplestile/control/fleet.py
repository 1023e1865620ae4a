"""The fleet's part of the replicated state: instances, the rollout and leases."""

from dataclasses import dataclass

from maplestile.control.commands import RUNNERS
from maplestile.control.rollout import (
    ACTIVE_PHASES,
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

MAX_PAST_ROLLOUTS = 20  # past rollouts, shown to operators


@dataclass(slots=True, frozen=True)
class Step:
    """The next instance of a rollout and the action to perform on it."""

    instance: str
    action: str  # one of `rollout.ACTIONS`; one of `UNDO_ACTIONS` for an undo


class FleetState:
    """The replicated state except the policy."""

    def __init__(self) -> None:
        self.instances: dict[str, str] = {}  # by router instance: the agent that manages it
        self.runners: dict[str, str] = {}  # by runner: the agent that manages its process; "" if none does
        self.listed: dict[str, list[str]] = {}  # by agent: the runners that its routers list
        self.rollout: Rollout | None = None  # the latest rollout; None before the first
        self.history: list[Rollout] = []  # earlier rollouts, the oldest first
        self.leases: dict[str, Lease] = {}  # by instance or runner
        self.number = 0  # of the last rollout or lease: one sequence for both, so that no number is reused
        self.worst_out = dict.fromkeys(KINDS, 0)  # by kind: the most instances ever leased at once

    def agents(self) -> list[str]:
        """Return the agents that manage router instances, sorted by name."""
        return sorted(set(self.instances.values()))

    def leased_instances(self, kind: str) -> list[str]:
        """Return the instances of a kind that are out of service under a lease."""
        return [name for name, lease in self.leases.items() if lease.is_for_runner == (kind == RUNNERS)]

    def managers(self, kind: str) -> dict[str, str]:
        """Return the instances of a kind, each with the agent that manages it."""
        return self.runners if kind == RUNNERS else self.instances

    def active_rollout(self) -> Rollout | None:
        """Return the rollout, or None if there is none or it has ended."""
        rollout = self.rollout
        return rollout if rollout is not None and rollout.phase in ACTIVE_PHASES else None

    def allocate_number(self) -> int:
        """Allocate the number of a rollout or lease."""
        self.number += 1
        return self.number

    def replace_rollout(self, rollout: Rollout) -> None:
        """Make this the current rollout and move the previous one to the history."""
        if self.rollout is not None:
            self.history = [*self.history, self.rollout][-MAX_PAST_ROLLOUTS:]
        self.rollout = rollout

    def update_worst_out(self) -> None:
        """Update the largest number of instances of each kind that were ever leased at once."""
        for kind in KINDS:
            self.worst_out[kind] = max(self.worst_out[kind], len(self.leased_instances(kind)))

    # Progress of the rollout.

    def next_step(self) -> Step | None:
        """Return the step to grant next if the budget allows it; None if there is none."""
        if self.rollout is None:
            return None
        if self.rollout.phase is Phase.RUNNING:
            return self._next_rollout_step(self.rollout)
        if self.rollout.phase is Phase.UNDOING:
            return self._next_undo_step(self.rollout)
        return None

    def _next_rollout_step(self, rollout: Rollout) -> Step | None:
        for name in rollout.targets:
            if name not in rollout.done and name not in self.leases:
                return Step(name, rollout.action)
        return None

    def _next_undo_step(self, rollout: Rollout) -> Step | None:
        if rollout.action == RESTART:
            return None  # restarted instances serve again, or will when their step ends: nothing to undo
        if self._has_steps_in_progress():
            return None  # undo one step at a time, so that the steps also end in reverse order
        for name in reversed(rollout.done):
            if name not in rollout.undone:
                return Step(name, START if rollout.action == DRAIN else RESTORE)
        return None

    def _has_steps_in_progress(self) -> bool:
        return any(lease.stage is not Stage.OUT for lease in self.leases.values())

    def complete_step(self, lease: Lease) -> None:
        """Record in the rollout that the step of a lease is complete."""
        rollout = self.rollout
        if rollout is None:
            return
        completed = rollout.undone if lease.action in (START, RESTORE) else rollout.done
        if lease.instance in rollout.targets and lease.instance not in completed:
            completed.append(lease.instance)
        self.finish_if_complete(rollout)

    def finish_if_complete(self, rollout: Rollout) -> None:
        """End the rollout if the steps of all its targets are complete and none is in progress."""
        if self._has_steps_in_progress():
            return
        if rollout.phase is Phase.RUNNING and set(rollout.done) >= set(rollout.targets):
            rollout.phase = Phase.DONE
        elif rollout.phase is Phase.UNDOING and self.next_step() is None:
            rollout.phase = Phase.UNDONE

    def withdraw_unstarted_leases(self) -> None:
        """Withdraw the leases whose step no agent has begun.

        A lease that was granted to undo a drain is not removed, but returns to the stage OUT.
        """
        for name, lease in list(self.leases.items()):
            if lease.stage is not Stage.GRANTED:
                continue
            if lease.action == START:
                lease.stage = Stage.OUT
                lease.action = DRAIN
            else:
                del self.leases[name]
