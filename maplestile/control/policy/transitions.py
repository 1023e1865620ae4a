"""The transitions of the agreed policy, by the type of the command.

A read is how an agent learns what is committed: its answer was agreed on after the read was submitted. It
names the routers that the agent lets serve by that answer, and a change cannot be committed without the
verdict of those that were named since it was proposed: so no router serves by the old policy beside the new
one. One that was not named since got no announcement since, and its next read comes after the commit.
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
from maplestile.control.policy.change import Change, Epoch, Phase
from maplestile.control.policy.document import Document, digest_of, document_of

REASON_CHARACTERS_MAX = 300

Managers = Mapping[str, str]  # by instance: the agent that manages it


# By operators.


def propose_policy(agreed: AgreedPolicies, command: ProposePolicy, managers: Managers) -> ChangeProposed:
    """Have a document checked by the routers."""
    del managers  # any agent may submit it
    return _begin_change(agreed, command, command.document, rollback=None)


def roll_back_policy(agreed: AgreedPolicies, command: RollBackPolicy, managers: Managers) -> ChangeProposed:
    """Have the document of an older epoch checked by the routers."""
    del managers
    _check_base(agreed, command.base)
    epoch = _rollback_target(agreed, command.to)
    return _begin_change(agreed, command, document_of(epoch.document), rollback=epoch.number)


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
    """Refuse a change while another is checked, and one made on another epoch than the current."""
    checking = agreed.checking()
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
    if digest_of(document) == digest_of(document_of(agreed.epoch.document)):
        raise CommandRejected(f"epoch {command.base} is this policy already")
    change = Change(
        number=agreed.number + 1,
        reads=agreed.reads,
        base=command.base,
        by=command.agent,
        document=None if document is None else document.tables(),
        phase=Phase.CHECKING,
        rollback=rollback,
    )
    agreed.replace_change(change)
    return ChangeProposed(change.number, change.base)


# By agents.


def submit_verdict(agreed: AgreedPolicies, command: SubmitVerdict, managers: Managers) -> ChangeUpdated:
    """Take a router's verdict: one that refuses aborts the change for all."""
    change = _checked_change(agreed, command.change)
    if managers.get(command.instance) != command.agent:
        raise CommandRejected(f"{command.agent} does not manage '{command.instance}'")
    reason = command.reason[:REASON_CHARACTERS_MAX]
    change.verdicts[command.instance] = reason
    if reason:
        change.phase = Phase.ABORTED
        change.reason = f"{command.instance} refuses it: {reason}"
    return ChangeUpdated(change.number)


def read_policy(agreed: AgreedPolicies, command: ReadPolicy, managers: Managers) -> PolicyRead:
    """Answer with the committed epoch, and record which instances are let serve by this answer."""
    named = tuple(name for name in command.instances if managers.get(name) == command.agent)
    agreed.reads += 1
    agreed.members.update(dict.fromkeys(named, agreed.reads))
    # The others are not registered as this agent's, or not yet.
    return PolicyRead(agreed.epoch.number, named)


# By the leader.


def commit_policy(agreed: AgreedPolicies, command: CommitPolicy, managers: Managers) -> PolicyCommitted:
    """Commit the change, where each router has checked it but for those that are down or cut off.

    Those learn of it on return; `absent` names them, and none of them has been named by a read since.
    """
    change = _checked_change(agreed, command.change)
    serving = [name for name in command.absent if agreed.serves(name)]
    if serving:
        raise CommandRejected(f"not absent: {', '.join(serving)}")
    missing = [
        name for name in sorted(managers) if name not in command.absent and change.verdicts.get(name) != ""
    ]
    if missing:
        raise CommandRejected(f"not checked by {', '.join(missing)}")
    if not change.verdicts:
        raise CommandRejected("no router has checked it")
    change.phase = Phase.COMMITTED
    change.absent = list(command.absent)
    agreed.forget_members(managers)
    epoch = agreed.add_epoch(change)
    return PolicyCommitted(epoch.number, change.number)


def abort_policy(agreed: AgreedPolicies, command: AbortPolicy, managers: Managers) -> ChangeUpdated:
    """Give the change up, everywhere."""
    del managers
    change = _checked_change(agreed, command.change)
    change.phase = Phase.ABORTED
    change.reason = command.reason[:REASON_CHARACTERS_MAX]
    return ChangeUpdated(change.number)


def _checked_change(agreed: AgreedPolicies, number: int) -> Change:
    change = agreed.checking()
    if change is None or change.number != number:
        raise CommandRejected(f"change {number} is not being checked")
    return change


# The transition of each command about the policy.
POLICY_TRANSITIONS: dict[type[Any], Callable[[AgreedPolicies, Any, Managers], Acceptance]] = {
    ProposePolicy: propose_policy,
    RollBackPolicy: roll_back_policy,
    SubmitVerdict: submit_verdict,
    CommitPolicy: commit_policy,
    AbortPolicy: abort_policy,
    ReadPolicy: read_policy,
}
