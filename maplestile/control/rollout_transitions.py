"""Rollout transitions: operators start, halt, resume and undo a rollout."""

from maplestile.common.errors import CommandRejected
from maplestile.control.budget import parse_budget
from maplestile.control.commands import (
    RUNNERS,
    HaltRollout,
    ResumeRollout,
    RolloutChanged,
    RolloutStarted,
    StartRollout,
    UndoRollout,
)
from maplestile.control.fleet import FleetState
from maplestile.control.rollout import ACTIONS, DRAIN, KINDS, Phase, Rollout

MAX_TARGETS = 2000
DEFAULT_HALT_REASON = "by an operator"


def start_rollout(fleet: FleetState, command: StartRollout) -> RolloutStarted:
    """Start a rollout if no other is active and the budget allows at least one step."""
    if command.kind not in KINDS:
        raise CommandRejected(f"kind: must be one of {', '.join(KINDS)}")
    managers = fleet.managers(command.kind)
    targets = tuple(dict.fromkeys(command.targets or sorted(managers)))
    active = fleet.active_rollout()
    if active is not None:
        reason = f"rollout {active.number} is {active.phase.value}: it has to end, or be undone, first"
        raise CommandRejected(reason)
    if command.action not in ACTIONS:
        raise CommandRejected(f"action: must be one of {', '.join(ACTIONS)}")
    _check_targets(command, targets, managers)
    budget = parse_budget(command.budget, len(managers))
    _check_budget(fleet, command, targets, budget)
    rollout = Rollout(
        fleet.allocate_number(), command.action, targets, budget, Phase.RUNNING, kind=command.kind
    )
    fleet.replace_rollout(rollout)
    return RolloutStarted(rollout.number, budget)


def _check_targets(command: StartRollout, targets: tuple[str, ...], managers: dict[str, str]) -> None:
    unknown = [name for name in targets if name not in managers]
    if unknown:
        kind = "runner" if command.kind == RUNNERS else "instance"
        raise CommandRejected(f"unknown {kind}: {', '.join(unknown)}")
    if not 0 < len(targets) <= MAX_TARGETS:
        raise CommandRejected("nothing to roll out to")
    unmanaged = [name for name in targets if not managers[name]]
    if unmanaged and command.action != DRAIN:
        raise CommandRejected(f"no agent manages {', '.join(unmanaged)}: only a drain is possible")


def _check_budget(fleet: FleetState, command: StartRollout, targets: tuple[str, ...], budget: int) -> None:
    leased = [name for name in targets if name in fleet.leases]
    if leased:
        raise CommandRejected(f"out already: {', '.join(leased)}")
    out_count = len(fleet.leased_instances(command.kind))
    if command.action == DRAIN and len(targets) + out_count > budget:
        raise CommandRejected(f"a drain leaves {len(targets)} out, and the budget is {budget}")
    if out_count >= budget:
        raise CommandRejected(f"{out_count} out already, and the budget is {budget}")


def halt_rollout(fleet: FleetState, command: HaltRollout) -> RolloutChanged:
    """Halt a rollout: no new step is granted, and steps in progress finish."""
    rollout = current_rollout(fleet, command.rollout)
    if rollout.phase not in (Phase.RUNNING, Phase.UNDOING):
        raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
    rollout.reason = command.reason or DEFAULT_HALT_REASON
    rollout.phase = Phase.HALTED
    fleet.withdraw_unstarted_leases()
    return RolloutChanged(rollout.number)


def resume_rollout(fleet: FleetState, command: ResumeRollout) -> RolloutChanged:
    """Resume a halted rollout, or its undo if it was being undone."""
    rollout = current_rollout(fleet, command.rollout)
    if rollout.phase is not Phase.HALTED:
        raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
    rollout.phase = Phase.UNDOING if rollout.undone else Phase.RUNNING
    rollout.reason = ""
    fleet.finish_if_complete(rollout)
    return RolloutChanged(rollout.number)


def undo_rollout(fleet: FleetState, command: UndoRollout) -> RolloutChanged:
    """Undo the completed steps of a rollout in reverse order, even after the rollout has ended."""
    rollout = current_rollout(fleet, command.rollout)
    if rollout.phase in (Phase.UNDOING, Phase.UNDONE):
        raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
    rollout.phase = Phase.UNDOING
    rollout.reason = command.reason
    fleet.withdraw_unstarted_leases()
    fleet.finish_if_complete(rollout)
    return RolloutChanged(rollout.number)


def current_rollout(fleet: FleetState, number: int | None) -> Rollout:
    """Return the current rollout.

    Raises CommandRejected if there is none, or if `number` is given and is not the rollout's.
    """
    rollout = fleet.rollout
    if rollout is None:
        raise CommandRejected("there is no rollout")
    if number not in (None, rollout.number):
        raise CommandRejected(f"the rollout is {rollout.number}")
    return rollout
