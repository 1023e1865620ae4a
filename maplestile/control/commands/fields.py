"""Decoding the fields of a command's wire form.

Each public function is named for the type that it decodes to, and raises KeyError, TypeError or ValueError
for a field that is missing or invalid, and CommandRejected for a document that is no policy.

The numbers and agents that say what a sender believes are decoded as they are: a value of another type equals
none of the agreed state's, so it is refused with the same text as an outdated one.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import types
from maplestile.control.policy.document import PolicyError, document_of

NAME_BYTES_MAX = 64


def _name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value.encode()) <= NAME_BYTES_MAX:
        raise ValueError(f"a name must be a text of 1 to {NAME_BYTES_MAX} bytes")
    return value


def _texts(values: Iterable[object], place: str) -> tuple[str, ...]:
    texts = []
    for value in values:
        if not isinstance(value, str):
            raise TypeError(f"{place}: must be texts, not {value!r}")
        texts.append(value)
    return tuple(texts)


def _hashable(values: Iterable[object]) -> tuple[object, ...]:
    hashable = tuple(values)
    for value in hashable:
        hash(value)
    return hashable


def _table(value: object, place: str) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise TypeError(f"{place}: must be a table")
    return value


def register(encoded: Mapping[str, Any]) -> types.Register:
    """Decode the fields of a `register` command."""
    runners = None
    agent = _name(encoded["agent"])
    instances = tuple(_name(name) for name in encoded["instances"])
    if "runners" in encoded:
        listed = _table(encoded["runners"], "runners")
        runners = {_name(name): bool(managed) for name, managed in listed.items()}
    return types.Register(instances=instances, runners=runners, agent=agent)


def heartbeat(encoded: Mapping[str, Any]) -> types.Heartbeat:
    """Decode the fields of a `word` command."""
    encoded_reports = _table(encoded["words"], "words")
    reports = {name: types.HealthReport(*report) for name, report in encoded_reports.items()}
    return types.Heartbeat(agent=_name(encoded["agent"]), reports=reports)


def start_rollout(encoded: Mapping[str, Any]) -> types.StartRollout:
    """Decode the fields of a `start` command."""
    return types.StartRollout(
        action=str(encoded["action"]),
        budget=encoded["budget"],
        targets=_texts(encoded["targets"] or (), "targets"),
        kind=str(encoded.get("kind", types.ROUTERS)),
        agent=encoded.get("agent"),
    )


def halt_rollout(encoded: Mapping[str, Any]) -> types.HaltRollout:
    """Decode the fields of a `halt` command."""
    reason = str(encoded.get("reason") or "")
    return types.HaltRollout(rollout=encoded.get("rollout"), reason=reason, agent=encoded.get("agent"))


def resume_rollout(encoded: Mapping[str, Any]) -> types.ResumeRollout:
    """Decode the fields of a `resume` command."""
    return types.ResumeRollout(rollout=encoded.get("rollout"), agent=encoded.get("agent"))


def undo_rollout(encoded: Mapping[str, Any]) -> types.UndoRollout:
    """Decode the fields of an `undo` command."""
    reason = str(encoded.get("reason") or "")
    return types.UndoRollout(rollout=encoded.get("rollout"), reason=reason, agent=encoded.get("agent"))


def release_lease(encoded: Mapping[str, Any]) -> types.ReleaseLease:
    """Decode the fields of a `release` command."""
    lease = encoded.get("lease")
    if lease is None and "lease" in encoded:
        lease = types.NO_LEASE  # it names a lease, but none that exists
    return types.ReleaseLease(instance=str(encoded["instance"]), lease=lease, agent=encoded.get("agent"))


def grant_lease(encoded: Mapping[str, Any]) -> types.GrantLease:
    """Decode the fields of a `grant` command."""
    return types.GrantLease(
        rollout=encoded.get("rollout"),
        instance=str(encoded["instance"]),
        after=encoded["after"],
        down=tuple(str(name) for name in encoded["down"]),
        term=int(encoded["term"]),
        agent=encoded.get("agent"),
    )


def _holder(encoded: Mapping[str, Any]) -> dict[str, Any]:
    """The fields by which the holder of a lease names it."""
    return {"instance": str(encoded["instance"]), "agent": encoded["agent"], "lease": encoded["lease"]}


def begin_step(encoded: Mapping[str, Any]) -> types.BeginStep:
    """Decode the fields of a `begin` command."""
    return types.BeginStep(**_holder(encoded))


def finish_step(encoded: Mapping[str, Any]) -> types.FinishStep:
    """Decode the fields of a `back` command."""
    return types.FinishStep(**_holder(encoded))


def confirm_drained(encoded: Mapping[str, Any]) -> types.ConfirmDrained:
    """Decode the fields of an `out` command."""
    return types.ConfirmDrained(**_holder(encoded))


def report_part(encoded: Mapping[str, Any]) -> types.ReportPart:
    """Decode the fields of a `part` command."""
    return types.ReportPart(
        instance=str(encoded["instance"]),
        agent=str(encoded["agent"]),
        part=encoded["did"],
        lease=encoded["lease"],
    )


def confirm_renewed(encoded: Mapping[str, Any]) -> types.ConfirmRenewed:
    """Decode the fields of a `renewed` command."""
    return types.ConfirmRenewed(**_holder(encoded))


def propose_policy(encoded: Mapping[str, Any]) -> types.ProposePolicy:
    """Decode the fields of a `policy propose` command."""
    try:
        document = document_of(encoded["document"])
    except PolicyError as error:
        raise CommandRejected(str(error)) from None
    return types.ProposePolicy(document=document, base=int(encoded["base"]), agent=str(encoded["agent"]))


def roll_back_policy(encoded: Mapping[str, Any]) -> types.RollBackPolicy:
    """Decode the fields of a `policy rollback` command."""
    base = int(encoded["base"])
    to = encoded.get("to")
    return types.RollBackPolicy(base=base, to=None if to is None else int(to), agent=str(encoded["agent"]))


def submit_verdict(encoded: Mapping[str, Any]) -> types.SubmitVerdict:
    """Decode the fields of a `policy verdict` command."""
    return types.SubmitVerdict(
        change=encoded["change"],
        instance=str(encoded["instance"]),
        reason=str(encoded["reason"]),
        agent=encoded["agent"],
    )


def commit_policy(encoded: Mapping[str, Any]) -> types.CommitPolicy:
    """Decode the fields of a `policy commit` command."""
    return types.CommitPolicy(
        change=encoded["change"],
        absent=tuple(str(name) for name in encoded["absent"]),
        agent=encoded.get("agent"),
    )


def abort_policy(encoded: Mapping[str, Any]) -> types.AbortPolicy:
    """Decode the fields of a `policy abort` command."""
    return types.AbortPolicy(
        change=encoded["change"], reason=str(encoded["reason"]), agent=encoded.get("agent")
    )


def read_policy(encoded: Mapping[str, Any]) -> types.ReadPolicy:
    """Decode the fields of a `policy read` command.

    Every release counts a read even where a name or the status in it is invalid. Voters of all releases must
    count alike, so the invalid parts are left out and the rest is taken.
    """
    instances = _hashable(encoded["instances"])
    agent = encoded["agent"]
    hash(agent)
    status = encoded.get("told")
    return types.ReadPolicy(
        instances=tuple(name for name in instances if isinstance(name, str)),
        agent=agent,
        router_status=status if isinstance(status, Mapping) else None,
    )
