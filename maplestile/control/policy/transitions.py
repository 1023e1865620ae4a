"""Transitions of the policy in the replicated state.

An agent learns the committed epoch by a read, a command in the log whose reply is at least as recent as the
moment when the agent submitted it. The read names the routers to which the agent will announce the epoch, and
which may then take calls under it. A change cannot be committed without a verdict of every router that a read
has named since the change was proposed, so no router uses the old policy while others use the new one. A
router that no read has named since the proposal has got no announcement since then, and the next read that
names it returns the new epoch.
"""

from collections.abc import Callable, Mapping
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import (
    AbortPolicy,
    Acceptance,
    ChangeProposed,
    ChangeUpdated,
    CommitPolicy,
    PolicyCommitted,
    PolicyRead,
    ProposePolicy,
    ReadPolicy,
    RollBackPolicy,
    SubmitVerdict,
)
from maplestile.control.policy.agreed import NO_EPOCH, AgreedPolicies
from maplestile.control.policy.change import Change, ChangePhase, Epoch
from maplestile.control.policy.document import Document, decode_document, policy_digest

MAX_REASON_LENGTH = 300

Managers = Mapping[str, str]  # by instance: the agent that manages it


# Commands of operators.


def propose_policy(agreed: AgreedPolicies, command: ProposePolicy, managers: Managers) -> ChangeProposed:
    """Propose a document for the routers to check."""
    del managers  # any agent may submit this command
    return _begin_change(agreed, command, command.document, rollback=None)


def roll_back_policy(agreed: AgreedPolicies, command: RollBackPolicy, managers: Managers) -> ChangeProposed:
    """Propose the document of an older epoch for the routers to check."""
    del managers
    _check_base(agreed, command.base)
    epoch = _rollback_target(agreed, command.to)
    return _begin_change(agreed, command, decode_document(epoch.document), rollback=epoch.number)


def _rollback_target(agreed: AgreedPolicies, number: int | None) -> Epoch:
    wanted = agreed.previous_epoch_number() if number is None else number
    if agreed.epoch.number == 0:
        wanted = NO_EPOCH
    epoch = agreed.kept_epoch(wanted)
    if epoch is None or epoch is agreed.epoch:
        kept = ", ".join(str(older.number) for older in agreed.epochs[:-1]) or "none"
        what = "nothing before" if number is None else f"no epoch {number}"
        raise CommandRejected(f"there is {what} to go back to: {kept} kept")
    return epoch


def _check_base(agreed: AgreedPolicies, base: int) -> None:
    """Reject a change while another one is being checked, or if it is not based on the current epoch."""
    checking = agreed.change_being_checked()
    if checking is not None:
        raise CommandRejected(f"change {checking.number} is being checked: ask again once it is decided")
    if base != agreed.epoch.number:
        reason = f"made on epoch {base}, and the epoch is {agreed.epoch.number}: look at it first"
        raise CommandRejected(reason)


def _begin_change(
    agreed: AgreedPolicies,
    command: ProposePolicy | RollBackPolicy,
    document: Document | None,
    rollback: int | None,
) -> ChangeProposed:
    _check_base(agreed, command.base)
    if policy_digest(document) == policy_digest(decode_document(agreed.epoch.document)):
        raise CommandRejected(f"epoch {command.base} is this policy already")
    change = Change(
        number=agreed.number + 1,
        reads=agreed.reads,
        base=command.base,
        by=command.agent,
        document=None if document is None else document.tables(),
        phase=ChangePhase.CHECKING,
        rollback=rollback,
    )
    agreed.replace_change(change)
    return ChangeProposed(change.number, change.base)


# Commands of agents.


def submit_verdict(agreed: AgreedPolicies, command: SubmitVerdict, managers: Managers) -> ChangeUpdated:
    """Record a router's verdict; a refusal aborts the change for the whole fleet."""
    change = _change_being_checked(agreed, command.change)
    if managers.get(command.instance) != command.agent:
        raise CommandRejected(f"{command.agent} does not manage '{command.instance}'")
    reason = command.reason[:MAX_REASON_LENGTH]
    change.verdicts[command.instance] = reason
    if reason:
        change.phase = ChangePhase.ABORTED
        change.reason = f"{command.instance} refuses it: {reason}"
    return ChangeUpdated(change.number)


def read_policy(agreed: AgreedPolicies, command: ReadPolicy, managers: Managers) -> PolicyRead:
    """Return the committed epoch, and record that the named instances may take calls under it."""
    named = tuple(name for name in command.instances if managers.get(name) == command.agent)
    agreed.reads += 1
    agreed.members.update(dict.fromkeys(named, agreed.reads))
    # `named` omits instances that are not registered for this agent, or not yet.
    return PolicyRead(agreed.epoch.number, named)


# Commands of the leader.


def commit_policy(agreed: AgreedPolicies, command: CommitPolicy, managers: Managers) -> PolicyCommitted:
    """Commit the change if every router has accepted it, except those that are down or cut off.

    The command lists these in `absent`, and no read may have named them since the change was proposed. They
    learn of the new epoch when they return.
    """
    change = _change_being_checked(agreed, command.change)
    serving = [name for name in command.absent if agreed.was_named_since_proposal(name)]
    if serving:
        raise CommandRejected(f"not absent: {', '.join(serving)}")
    missing = [
        name for name in sorted(managers) if name not in command.absent and change.verdicts.get(name) != ""
    ]
    if missing:
        raise CommandRejected(f"not checked by {', '.join(missing)}")
    if not change.verdicts:
        raise CommandRejected("no router has checked it")
    change.phase = ChangePhase.COMMITTED
    change.absent = list(command.absent)
    agreed.remove_unregistered_members(managers)
    epoch = agreed.add_epoch(change)
    return PolicyCommitted(epoch.number, change.number)


def abort_policy(agreed: AgreedPolicies, command: AbortPolicy, managers: Managers) -> ChangeUpdated:
    """Abort the change for the whole fleet."""
    del managers
    change = _change_being_checked(agreed, command.change)
    change.phase = ChangePhase.ABORTED
    change.reason = command.reason[:MAX_REASON_LENGTH]
    return ChangeUpdated(change.number)


def _change_being_checked(agreed: AgreedPolicies, number: int) -> Change:
    change = agreed.change_being_checked()
    if change is None or change.number != number:
        raise CommandRejected(f"change {number} is not being checked")
    return change


# The transition for each type of command about the policy.
POLICY_TRANSITIONS: dict[type[Any], Callable[[AgreedPolicies, Any, Managers], Acceptance]] = {
    ProposePolicy: propose_policy,
    RollBackPolicy: roll_back_policy,
    SubmitVerdict: submit_verdict,
    CommitPolicy: commit_policy,
    AbortPolicy: abort_policy,
    ReadPolicy: read_policy,
}
