"""Decodes the fields of commands from their wire form.

Each public function is named after the type that it decodes. It raises KeyError, TypeError or ValueError for
a missing or invalid field, and CommandRejected for an invalid policy document.

The numbers and agents that a sender last saw are not converted or checked: a value of a wrong type equals
none in the replicated state, so it is rejected with the same text as an outdated one.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import types
from maplestile.control.policy.document import PolicyError, decode_document

MAX_NAME_BYTES = 64


def _decode_name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value.encode()) <= MAX_NAME_BYTES:
        raise ValueError(f"a name must be a text of 1 to {MAX_NAME_BYTES} bytes")
    return value


def _decode_strings(values: Iterable[object], place: str) -> tuple[str, ...]:
    strings = []
    for value in values:
        if not isinstance(value, str):
            raise TypeError(f"{place}: must be texts, not {value!r}")
        strings.append(value)
    return tuple(strings)


def _require_hashable(values: Iterable[object]) -> tuple[object, ...]:
    hashable = tuple(values)
    for value in hashable:
        hash(value)
    return hashable


def _require_table(value: object, place: str) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise TypeError(f"{place}: must be a table")
    return value


def register(encoded: Mapping[str, Any]) -> types.Register:
    """Decode the fields of a `register` command."""
    runners = None
    agent = _decode_name(encoded["agent"])
    instances = tuple(_decode_name(name) for name in encoded["instances"])
    if "runners" in encoded:
        listed = _require_table(encoded["runners"], "runners")
        runners = {_decode_name(name): bool(managed) for name, managed in listed.items()}
    return types.Register(instances=instances, runners=runners, agent=agent)


def heartbeat(encoded: Mapping[str, Any]) -> types.Heartbeat:
    """Decode the fields of a `word` command."""
    encoded_reports = _require_table(encoded["words"], "words")
    reports = {name: types.HealthReport(*report) for name, report in encoded_reports.items()}
    return types.Heartbeat(agent=_decode_name(encoded["agent"]), reports=reports)


def start_rollout(encoded: Mapping[str, Any]) -> types.StartRollout:
    """Decode the fields of a `start` command."""
    return types.StartRollout(
        action=str(encoded["action"]),
        budget=encoded["budget"],
        targets=_decode_strings(encoded["targets"] or (), "targets"),
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
        lease = types.NO_LEASE  # an explicit null matches no lease, while an omitted one matches any
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


def _decode_holder_fields(encoded: Mapping[str, Any]) -> dict[str, Any]:
    """Decode the fields that all commands of a lease's holder have."""
    return {"instance": str(encoded["instance"]), "agent": encoded["agent"], "lease": encoded["lease"]}


def begin_step(encoded: Mapping[str, Any]) -> types.BeginStep:
    """Decode the fields of a `begin` command."""
    return types.BeginStep(**_decode_holder_fields(encoded))


def finish_step(encoded: Mapping[str, Any]) -> types.FinishStep:
    """Decode the fields of a `back` command."""
    return types.FinishStep(**_decode_holder_fields(encoded))


def confirm_drained(encoded: Mapping[str, Any]) -> types.ConfirmDrained:
    """Decode the fields of an `out` command."""
    return types.ConfirmDrained(**_decode_holder_fields(encoded))


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
    return types.ConfirmRenewed(**_decode_holder_fields(encoded))


def propose_policy(encoded: Mapping[str, Any]) -> types.ProposePolicy:
    """Decode the fields of a `policy propose` command."""
    try:
        document = decode_document(encoded["document"])
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

    All releases count a read even if a name or the status in it is invalid, and voters of different releases
    must count the same. Invalid parts are therefore dropped, and the rest is decoded.
    """
    instances = _require_hashable(encoded["instances"])
    agent = encoded["agent"]
    hash(agent)
    status = encoded.get("told")
    return types.ReadPolicy(
        instances=tuple(name for name in instances if isinstance(name, str)),
        agent=agent,
        router_status=status if isinstance(status, Mapping) else None,
    )
