"""The transitions by which operators start and steer a rollout."""

from maplestile.common.errors import CommandRejected
from maplestile.control.budget import budget_of
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

TARGETS_MAX = 2000
HALT_REASON_DEFAULT = "by an operator"


def start_rollout(fleet: FleetState, command: StartRollout) -> RolloutStarted:
    """Start a rollout, where none is active and the budget leaves room for a step of it."""
    if command.kind not in KINDS:
        raise CommandRejected(f"kind: must be one of {', '.join(KINDS)}")
    known = fleet.managers(command.kind)
    targets = tuple(dict.fromkeys(command.targets or sorted(known)))
    active = fleet.active_rollout()
    if active is not None:
        reason = f"rollout {active.number} is {active.phase.value}: it has to end, or be undone, first"
        raise CommandRejected(reason)
    if command.action not in ACTIONS:
        raise CommandRejected(f"action: must be one of {', '.join(ACTIONS)}")
    _check_targets(command, targets, known)
    budget = budget_of(command.budget, len(known))
    _check_budget(fleet, command, targets, budget)
    rollout = Rollout(fleet.next_number(), command.action, targets, budget, Phase.RUNNING, kind=command.kind)
    fleet.replace_rollout(rollout)
    return RolloutStarted(rollout.number, budget)


def _check_targets(command: StartRollout, targets: tuple[str, ...], known: dict[str, str]) -> None:
    unknown = [name for name in targets if name not in known]
    if unknown:
        kind = "runner" if command.kind == RUNNERS else "instance"
        raise CommandRejected(f"unknown {kind}: {', '.join(unknown)}")
    if not 0 < len(targets) <= TARGETS_MAX:
        raise CommandRejected("nothing to roll out to")
    unmanaged = [name for name in targets if not known[name]]
    if unmanaged and command.action != DRAIN:
        raise CommandRejected(f"no agent manages {', '.join(unmanaged)}: only a drain is possible")


def _check_budget(fleet: FleetState, command: StartRollout, targets: tuple[str, ...], budget: int) -> None:
    leased = [name for name in targets if name in fleet.leases]
    if leased:
        raise CommandRejected(f"out already: {', '.join(leased)}")
    out = len(fleet.out(command.kind))
    if command.action == DRAIN and len(targets) + out > budget:
        raise CommandRejected(f"a drain leaves {len(targets)} out, and the budget is {budget}")
    if out >= budget:
        raise CommandRejected(f"{out} out already, and the budget is {budget}")


def halt_rollout(fleet: FleetState, command: HaltRollout) -> RolloutChanged:
    """Grant no new step; what is under way finishes."""
    rollout = current_rollout(fleet, command.rollout)
    if rollout.phase not in (Phase.RUNNING, Phase.UNDOING):
        raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
    rollout.reason = command.reason or HALT_REASON_DEFAULT
    rollout.phase = Phase.HALTED
    fleet.drop_untouched_leases()
    return RolloutChanged(rollout.number)


def resume_rollout(fleet: FleetState, command: ResumeRollout) -> RolloutChanged:
    """Go on in the direction that the rollout had before its halt."""
    rollout = current_rollout(fleet, command.rollout)
    if rollout.phase is not Phase.HALTED:
        raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
    rollout.phase = Phase.UNDOING if rollout.undone else Phase.RUNNING
    rollout.reason = ""
    fleet.finish_if_complete(rollout)
    return RolloutChanged(rollout.number)


def undo_rollout(fleet: FleetState, command: UndoRollout) -> RolloutChanged:
    """Bring back what was taken out, in reverse order; also after a rollout has ended."""
    rollout = current_rollout(fleet, command.rollout)
    if rollout.phase in (Phase.UNDOING, Phase.UNDONE):
        raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
    rollout.phase = Phase.UNDOING
    rollout.reason = command.reason
    fleet.drop_untouched_leases()
    fleet.finish_if_complete(rollout)
    return RolloutChanged(rollout.number)


def current_rollout(fleet: FleetState, number: int | None) -> Rollout:
    """The rollout that the sender means: the current one, by its number or by none."""
    rollout = fleet.rollout
    if rollout is None:
        raise CommandRejected("there is no rollout")
    if number not in (None, rollout.number):
        raise CommandRejected(f"the rollout is {rollout.number}")
    return rollout
