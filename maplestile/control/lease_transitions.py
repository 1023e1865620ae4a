"""Lease transitions: grants by the leader, reports by agents, and releases by operators."""

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import (
    RUNNERS,
    Accepted,
    BeginStep,
    ConfirmDrained,
    ConfirmRenewed,
    FinishStep,
    GrantLease,
    HolderCommand,
    LeaseChanged,
    ReleaseLease,
    ReportPart,
    StepBegun,
)
from maplestile.control.fleet import FleetState, Step
from maplestile.control.rollout import (
    DRAIN,
    PART_BEGUN,
    PART_IN,
    PART_OUT,
    PART_UNTOUCHED,
    START,
    Lease,
    Stage,
)
from maplestile.control.rollout_transitions import current_rollout


def grant_lease(fleet: FleetState, command: GrantLease) -> LeaseChanged:
    """Grant a lease for the rollout's next step if the budget allows it."""
    rollout = current_rollout(fleet, command.rollout)
    step = fleet.next_step()
    if command.after != fleet.number:
        raise CommandRejected("something else was granted since")
    if step is None or step.instance != command.instance:
        raise CommandRejected(f"it is not the turn of '{command.instance}'")
    would_be_out = {*fleet.leased_instances(rollout.kind), *command.down, step.instance}
    if len(would_be_out) > rollout.budget:
        raise CommandRejected(f"{len(would_be_out)} would be out, and the budget is {rollout.budget}")
    lease = _new_lease(fleet, rollout.kind, step, command.term)
    fleet.leases[lease.instance] = lease
    return LeaseChanged(lease.number)


def _new_lease(fleet: FleetState, kind: str, step: Step, term: int) -> Lease:
    number = fleet.allocate_number()
    holder = fleet.managers(kind).get(step.instance)
    if holder is None:
        # The instance's agent has removed it since the rollout started. The rejected command still uses up a
        # number and gets this reply, as in all earlier releases: voters of different releases must assign the
        # same numbers.
        raise CommandRejected(f"damaged command: KeyError: {step.instance!r}")
    lease = Lease(number, step.instance, holder, step.action, Stage.GRANTED, term)
    if kind == RUNNERS:
        lease.parts = dict.fromkeys(fleet.agents(), PART_UNTOUCHED)
        # Undoing a drain takes nothing out of service, so it skips GRANTED, where a halt withdraws leases.
        if step.action == START:
            lease.stage = Stage.RETURNING
    return lease


def release_lease(fleet: FleetState, command: ReleaseLease) -> LeaseChanged:
    """Drop a lease that does not end by itself; the operator confirms that the instance serves."""
    lease = fleet.leases.get(command.instance)
    if lease is None:
        raise CommandRejected(f"'{command.instance}' is not out")
    if command.lease not in (None, lease.number):
        raise CommandRejected(f"'{lease.instance}' is out by lease {lease.number}")
    del fleet.leases[lease.instance]
    if fleet.rollout is not None:
        fleet.finish_if_complete(fleet.rollout)
    return LeaseChanged(lease.number)


# Steps of routers, reported by the holder of the lease.


def begin_step(fleet: FleetState, command: BeginStep) -> StepBegun:
    """Let the holder start to change the instance.

    The holder may have read the lease from an outdated replica, so it must ask before it acts.
    """
    lease = _held_lease(fleet, command)
    if lease.stage is not Stage.GRANTED or lease.is_for_runner:
        raise CommandRejected(f"lease {lease.number} is {lease.stage.value}")
    lease.stage = Stage.BEGUN
    return StepBegun(lease.action)


def finish_step(fleet: FleetState, command: FinishStep) -> Accepted:
    """End a step and its lease, after the holder has seen the instance serve again."""
    lease = _held_lease(fleet, command)
    if lease.stage is Stage.GRANTED or lease.action == DRAIN or lease.is_for_runner:
        raise CommandRejected(f"lease {lease.number} to {lease.action} is {lease.stage.value}")
    del fleet.leases[lease.instance]
    fleet.complete_step(lease)
    return Accepted()


def confirm_drained(fleet: FleetState, command: ConfirmDrained) -> Accepted:
    """End the step of a drain: the instance has no calls in flight and stays out of service."""
    lease = _held_lease(fleet, command)
    if lease.stage is not Stage.BEGUN or lease.action != DRAIN or lease.is_for_runner:
        raise CommandRejected(f"lease {lease.number} to {lease.action} is {lease.stage.value}")
    lease.stage = Stage.OUT
    fleet.complete_step(lease)
    return Accepted()


def _held_lease(fleet: FleetState, command: HolderCommand) -> Lease:
    lease = fleet.leases.get(command.instance)
    if lease is None or lease.number != command.lease or lease.holder != command.agent:
        raise CommandRejected(f"{command.agent} holds no lease {command.lease} of '{command.instance}'")
    return lease


# Steps of runners, reported by every agent for its own routers.


def report_part(fleet: FleetState, command: ReportPart) -> Accepted:
    """Record one agent's progress; the lease reaches its next stage once all agents report the same."""
    lease = fleet.leases.get(command.instance)
    if lease is None or lease.number != command.lease or lease.parts is None:
        raise CommandRejected(f"there is no lease {command.lease} of a runner '{command.instance}'")
    if command.agent not in lease.parts:
        raise CommandRejected(f"{command.agent} has no part in lease {lease.number}")
    stages = (Stage.RETURNING,) if command.part == PART_IN else (Stage.GRANTED, Stage.BEGUN)
    if command.part not in (PART_BEGUN, PART_OUT, PART_IN) or lease.stage not in stages:
        raise CommandRejected(f"lease {lease.number} is {lease.stage.value}")
    lease.parts[command.agent] = command.part
    if command.part == PART_IN:
        _return_runner(fleet, lease)
    else:
        _take_out_runner(fleet, lease)
    return Accepted()


def _return_runner(fleet: FleetState, lease: Lease) -> None:
    if _all_parts(lease, PART_IN):
        del fleet.leases[lease.instance]
        fleet.complete_step(lease)


def _take_out_runner(fleet: FleetState, lease: Lease) -> None:
    lease.stage = Stage.BEGUN
    if not _all_parts(lease, PART_OUT):
        return
    if lease.action == DRAIN:
        lease.stage = Stage.OUT
        fleet.complete_step(lease)
    else:
        lease.stage = Stage.AWAY


def _all_parts(lease: Lease, part: str) -> bool:
    return lease.parts is not None and set(lease.parts.values()) == {part}


def confirm_renewed(fleet: FleetState, command: ConfirmRenewed) -> Accepted:
    """Let routers use a runner again, after the holder has replaced its process."""
    lease = _held_lease(fleet, command)
    if lease.stage is not Stage.AWAY or lease.parts is None:
        raise CommandRejected(f"lease {lease.number} is {lease.stage.value}")
    lease.stage = Stage.RETURNING
    lease.parts = dict.fromkeys(lease.parts, PART_UNTOUCHED)
    return Accepted()
