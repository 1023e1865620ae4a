"""Encodes and decodes the commands of the replicated log and the replies to them.

The wire form of a command is a dict whose key `"do"` holds the command's name. It is written to the journal
of every voter, and sent as JSON to a voter's agent. The wire form of a reply is `{"ok": true, ...}` or
`{"ok": false, "reason": text}`.
"""

from collections.abc import Callable, Mapping
from dataclasses import MISSING, fields
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import decoders, replies, types
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
    """Return the command's name on the wire, the value of its `"do"`."""
    return _NAMES[type(command)]


def encode(command: Command) -> EncodedCommand:
    """Return the wire form of a command. An optional field that has its default value is omitted."""
    encoded: EncodedCommand = {"do": name_of(command)}
    for item in fields(command):
        value = getattr(command, item.name)
        if item.default is MISSING or value != item.default:
            encoded[item.metadata.get(WIRE_KEY, item.name)] = _encoded_value(value)
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
    """Decode a command from its wire form; unknown keys are ignored.

    Raises CommandRejected for an unknown command and for a missing or invalid field.
    """
    name = encoded.get("do")
    if str(name) not in _COMMANDS:
        raise CommandRejected(f"no command '{name}'")
    _, decode_fields = _COMMANDS[str(name)]
    try:
        return decode_fields(encoded)
    except (KeyError, TypeError, ValueError) as error:
        raise CommandRejected(f"damaged command: {type(error).__name__}: {error}") from None


def as_encoded(command: Command | EncodedCommand) -> EncodedCommand:
    """Return the wire form of a command; one that is already encoded is returned unchanged, without a check.

    The replicas decode it, so a malformed command is rejected in the same way as one that does not fit the
    state.
    """
    return command if isinstance(command, dict) else encode(command)


def encode_reply(reply: Reply) -> EncodedReply:
    """Return the wire form of a reply."""
    if isinstance(reply, Rejected):
        return {"ok": False, "reason": reply.reason}
    content = {item.name: _encoded_value(getattr(reply, item.name)) for item in fields(reply)}
    return {"ok": True, **content}


def decode_reply(command: Command, encoded: Mapping[str, Any]) -> Reply:
    """Decode the reply to this command. Raises KeyError or TypeError if a field is missing."""
    if not encoded["ok"]:
        return Rejected(str(encoded["reason"]))
    if isinstance(command, ReadPolicy):
        return replies.PolicyRead(int(encoded["epoch"]), tuple(encoded["named"]))
    reply_type = _REPLIES.get(type(command), replies.Accepted)
    return reply_type(**{key: value for key, value in encoded.items() if key != "ok"})
