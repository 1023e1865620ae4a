"""The codec between the commands of the replicated log, their replies, and the wire form of both.

The wire form of a command is a map whose `"do"` names it; it goes into the journal of every voter, and to a
voter's agent as JSON. The wire form of a reply is `{"ok": true, ...}`, or `{"ok": false, "reason": text}`.
"""

from collections.abc import Callable, Mapping
from dataclasses import MISSING, fields
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import fields as decoders
from maplestile.control.commands import replies, types
from maplestile.control.commands.replies import Acceptance, Rejected, Reply
from maplestile.control.commands.types import WIRE_KEY, Command, HealthReport, ReadPolicy
from maplestile.control.policy.document import Document

EncodedCommand = dict[str, Any]
EncodedReply = dict[str, Any]

_COMMANDS: dict[str, tuple[type[Any], Callable[[Mapping[str, Any]], Command]]] = {
    "register": (types.Register, decoders.register),
    "word": (types.Heartbeat, decoders.heartbeat),
    "start": (types.StartRollout, decoders.start_rollout),
    "halt": (types.HaltRollout, decoders.halt_rollout),
    "resume": (types.ResumeRollout, decoders.resume_rollout),
    "undo": (types.UndoRollout, decoders.undo_rollout),
    "release": (types.ReleaseLease, decoders.release_lease),
    "grant": (types.GrantLease, decoders.grant_lease),
    "begin": (types.BeginStep, decoders.begin_step),
    "back": (types.FinishStep, decoders.finish_step),
    "out": (types.ConfirmDrained, decoders.confirm_drained),
    "part": (types.ReportPart, decoders.report_part),
    "renewed": (types.ConfirmRenewed, decoders.confirm_renewed),
    "policy propose": (types.ProposePolicy, decoders.propose_policy),
    "policy rollback": (types.RollBackPolicy, decoders.roll_back_policy),
    "policy verdict": (types.SubmitVerdict, decoders.submit_verdict),
    "policy commit": (types.CommitPolicy, decoders.commit_policy),
    "policy abort": (types.AbortPolicy, decoders.abort_policy),
    "policy read": (types.ReadPolicy, decoders.read_policy),
}
_NAMES = {command_type: name for name, (command_type, _) in _COMMANDS.items()}
_REPLIES: dict[type[Any], Callable[..., Acceptance]] = {
    types.StartRollout: replies.RolloutStarted,
    types.HaltRollout: replies.RolloutChanged,
    types.ResumeRollout: replies.RolloutChanged,
    types.UndoRollout: replies.RolloutChanged,
    types.ReleaseLease: replies.LeaseChanged,
    types.GrantLease: replies.LeaseChanged,
    types.BeginStep: replies.StepBegun,
    types.ProposePolicy: replies.ChangeProposed,
    types.RollBackPolicy: replies.ChangeProposed,
    types.SubmitVerdict: replies.ChangeUpdated,
    types.CommitPolicy: replies.PolicyCommitted,
    types.AbortPolicy: replies.ChangeUpdated,
    types.ReadPolicy: replies.PolicyRead,
}


def name_of(command: Command) -> str:
    """The command's name on the wire, the value of its `"do"`."""
    return _NAMES[type(command)]


def encode(command: Command) -> EncodedCommand:
    """The wire form of a command. An optional field that has its default is left out."""
    encoded: EncodedCommand = {"do": name_of(command)}
    for one in fields(command):
        value = getattr(command, one.name)
        if one.default is MISSING or value != one.default:
            encoded[one.metadata.get(WIRE_KEY, one.name)] = _encoded_value(value)
    return encoded


def _encoded_value(value: object) -> object:
    match value:
        case tuple():
            return list(value)
        case Document():
            return value.tables()
        case HealthReport():
            return [value.ready, value.served, value.failed]
        case Mapping():
            return {key: _encoded_value(item) for key, item in value.items()}
        case _:
            return value


def decode(encoded: Mapping[str, Any]) -> Command:
    """The command of a wire form; a key that the command does not have is ignored.

    Raises CommandRejected for an unknown command, for one that lacks a field, and for an invalid field.
    """
    name = encoded.get("do")
    if str(name) not in _COMMANDS:
        raise CommandRejected(f"no command '{name}'")
    _, decode_fields = _COMMANDS[str(name)]
    try:
        return decode_fields(encoded)
    except (KeyError, TypeError, ValueError) as fault:
        raise CommandRejected(f"damaged command: {type(fault).__name__}: {fault}") from None


def as_encoded(command: Command | EncodedCommand) -> EncodedCommand:
    """The wire form of a command for the log; one that is encoded already is passed on unchanged.

    The replicas decode it, so that the log rejects a damaged one as any command that does not fit.
    """
    return command if isinstance(command, dict) else encode(command)


def encode_reply(reply: Reply) -> EncodedReply:
    """The wire form of a reply."""
    if isinstance(reply, Rejected):
        return {"ok": False, "reason": reply.reason}
    content = {one.name: _encoded_value(getattr(reply, one.name)) for one in fields(reply)}
    return {"ok": True, **content}


def decode_reply(command: Command, encoded: Mapping[str, Any]) -> Reply:
    """The reply to this command. Raises KeyError where it lacks a field."""
    if not encoded["ok"]:
        return Rejected(str(encoded["reason"]))
    if isinstance(command, ReadPolicy):
        return replies.PolicyRead(int(encoded["epoch"]), tuple(encoded["named"]))
    reply_type = _REPLIES.get(type(command), replies.Accepted)
    return reply_type(**{key: value for key, value in encoded.items() if key != "ok"})
