"""The commands of the replicated log and their replies, with the one codec between them and their wire form.

The wire form of a command is a map whose `"do"` names it; it goes into the journal of every voter, and to a
voter's agent as JSON. The wire form of a reply is `{"ok": true, ...}`, or `{"ok": false, "reason": text}`.

The numbers and agents that say what a sender believes (`rollout`, `lease`, `after`, `change`, the holder's
`agent`) are only compared with the agreed state. They are decoded as they are: a value of another type equals
none of them, so it is refused with the same text as an outdated one.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import MISSING, dataclass, field, fields
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.policy.document import Document, PolicyError, document_of

NAME_BYTES_MAX = 64
ROUTERS = "routers"
RUNNERS = "runners"
NO_LEASE = 0
"""The number of no lease: they are counted from 1."""

EncodedCommand = dict[str, Any]
EncodedReply = dict[str, Any]

_KEY = "key"  # metadata of a field whose key on the wire is not its name


@dataclass(slots=True, frozen=True)
class HealthReport:
    """An agent's report on one instance: whether it can serve, and its calls since its start."""

    ready: bool
    served: int = 0
    failed: int = 0


# Commands of the agents about their instances.


@dataclass(slots=True, frozen=True, kw_only=True)
class Register:
    """Replace the list of the instances that an agent manages, and of the runners that its routers list."""

    instances: tuple[str, ...]
    runners: Mapping[str, bool] | None = None
    """Each runner, and whether the agent manages its process; None leaves the agent's list as it is."""
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class Heartbeat:
    """Report the health of an agent's instances. It changes nothing of what is agreed."""

    agent: str
    reports: Mapping[str, HealthReport] = field(metadata={_KEY: "words"})


# Commands of operators about rollouts.


@dataclass(slots=True, frozen=True, kw_only=True)
class StartRollout:
    """Begin a rollout to the targets, or to all instances of the kind where none is named."""

    action: str
    targets: tuple[str, ...]
    budget: int | str
    """A count, or a share such as "25%"."""
    kind: str = ROUTERS
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class HaltRollout:
    """Grant no new step; also by the leader, where the rollout does harm."""

    rollout: int | None = None
    reason: str = ""
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ResumeRollout:
    """Go on with a halted rollout."""

    rollout: int | None = None
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class UndoRollout:
    """Bring back what was taken out, in reverse order."""

    rollout: int | None = None
    reason: str = ""
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ReleaseLease:
    """Drop the lease of an instance; the operator vouches that it serves."""

    instance: str
    lease: int | None = None
    agent: str | None = None


# Commands about the steps of a rollout.


@dataclass(slots=True, frozen=True, kw_only=True)
class GrantLease:
    """Grant the next step of the rollout to the agent that manages the instance; by the leader."""

    rollout: int | None = None
    instance: str
    down: tuple[str, ...]
    """Instances that are out without a lease: they take up budget as well."""
    after: int
    """The last number given by the state that the leader decided on."""
    term: int
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class BeginStep:
    """Begin the step, before the instance is touched; by the holder of the lease."""

    instance: str
    lease: int
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class FinishStep:
    """End the step and its lease: the instance serves again; by the holder."""

    instance: str
    lease: int
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class ConfirmDrained:
    """End the step of a drain: the instance has nothing in flight and stays out; by the holder."""

    instance: str
    lease: int
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class ReportPart:
    """Report what the routers of one agent have done with a leased runner: `begun`, `out` or `in`."""

    did: str
    instance: str
    lease: int
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class ConfirmRenewed:
    """Report that a runner's process has been replaced, and routers may use it again; by the holder."""

    instance: str
    lease: int
    agent: str


# Commands about changes of the policy.


@dataclass(slots=True, frozen=True, kw_only=True)
class ProposePolicy:
    """Propose a document as the policy of the next epoch."""

    document: Document | None
    """None: the policy of each router's own file."""
    base: int
    """The epoch that the change was made on."""
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class RollBackPolicy:
    """Propose the document of an older epoch: the one named, or the one before the current."""

    base: int
    to: int | None = None
    agent: str


@dataclass(slots=True, frozen=True, kw_only=True)
class SubmitVerdict:
    """Report whether a router accepts the change that is being checked."""

    agent: str
    change: int
    instance: str
    reason: str
    """Why the router refuses it; "" where it accepts."""


@dataclass(slots=True, frozen=True, kw_only=True)
class CommitPolicy:
    """Commit the change that has been checked; by the leader."""

    change: int
    absent: tuple[str, ...]
    """Instances without a verdict, which no read has named since the change was proposed."""
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class AbortPolicy:
    """Give up the change that is being checked; by the leader."""

    change: int
    reason: str
    agent: str | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class ReadPolicy:
    """Learn the committed epoch, and name the routers that are let serve by the answer."""

    agent: str
    instances: tuple[str, ...]
    router_status: Mapping[str, Any] | None = field(default=None, metadata={_KEY: "told"})
    """By instance, what each router says of its policy. It changes nothing of what is agreed."""


RolloutCommand = (
    Register | StartRollout | HaltRollout | ResumeRollout | UndoRollout | ReleaseLease | GrantLease
)
StepCommand = BeginStep | FinishStep | ConfirmDrained | ReportPart | ConfirmRenewed
PolicyCommand = ProposePolicy | RollBackPolicy | SubmitVerdict | CommitPolicy | AbortPolicy | ReadPolicy
StateCommand = RolloutCommand | StepCommand | PolicyCommand
Command = StateCommand | Heartbeat


# Replies.


@dataclass(slots=True, frozen=True)
class Rejected:
    """The command does not fit the agreed state, which it has left as it was."""

    reason: str


@dataclass(slots=True, frozen=True)
class Accepted:
    """The command has been applied, and there is nothing more to say about it."""


@dataclass(slots=True, frozen=True)
class RolloutStarted:
    """The number of the new rollout, and the most instances that it may have out at once."""

    rollout: int
    budget: int


@dataclass(slots=True, frozen=True)
class RolloutChanged:
    """The number of the rollout that was halted, resumed or undone."""

    rollout: int


@dataclass(slots=True, frozen=True)
class LeaseChanged:
    """The number of the lease that was granted or released."""

    lease: int


@dataclass(slots=True, frozen=True)
class StepBegun:
    """What the holder has to do with the instance."""

    action: str


@dataclass(slots=True, frozen=True)
class ChangeProposed:
    """The number of the change, and the epoch that it was made on."""

    change: int
    base: int


@dataclass(slots=True, frozen=True)
class ChangeUpdated:
    """The number of the change that was voted on or aborted."""

    change: int


@dataclass(slots=True, frozen=True)
class PolicyCommitted:
    """The new epoch, and the number of the change that it came from."""

    epoch: int
    change: int


@dataclass(slots=True, frozen=True)
class PolicyRead:
    """The committed epoch, and the instances of the read that the agent manages."""

    epoch: int
    named: tuple[str, ...]


Acceptance = (
    Accepted
    | RolloutStarted
    | RolloutChanged
    | LeaseChanged
    | StepBegun
    | ChangeProposed
    | ChangeUpdated
    | PolicyCommitted
    | PolicyRead
)
Reply = Acceptance | Rejected


# Decoding of a command's fields. Each raises KeyError, TypeError or ValueError.


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


def _text(value: object, place: str) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{place}: must be a text")
    return value


def _table(value: object, place: str) -> Mapping[str, Any]:
    if not isinstance(value, Mapping):
        raise TypeError(f"{place}: must be a table")
    return value


def _register(encoded: Mapping[str, Any]) -> Register:
    runners = None
    agent = _name(encoded["agent"])
    instances = tuple(_name(name) for name in encoded["instances"])
    if "runners" in encoded:
        listed = _table(encoded["runners"], "runners")
        runners = {_name(name): bool(managed) for name, managed in listed.items()}
    return Register(instances=instances, runners=runners, agent=agent)


def _heartbeat(encoded: Mapping[str, Any]) -> Heartbeat:
    words = _table(encoded["words"], "words")
    reports = {name: HealthReport(*report) for name, report in words.items()}
    return Heartbeat(agent=_name(encoded["agent"]), reports=reports)


def _start_rollout(encoded: Mapping[str, Any]) -> StartRollout:
    return StartRollout(
        action=str(encoded["action"]),
        budget=encoded["budget"],
        targets=_texts(encoded["targets"] or (), "targets"),
        kind=str(encoded.get("kind", ROUTERS)),
        agent=encoded.get("agent"),
    )


def _halt_rollout(encoded: Mapping[str, Any]) -> HaltRollout:
    reason = str(encoded.get("reason") or "")
    return HaltRollout(rollout=encoded.get("rollout"), reason=reason, agent=encoded.get("agent"))


def _resume_rollout(encoded: Mapping[str, Any]) -> ResumeRollout:
    return ResumeRollout(rollout=encoded.get("rollout"), agent=encoded.get("agent"))


def _undo_rollout(encoded: Mapping[str, Any]) -> UndoRollout:
    reason = str(encoded.get("reason") or "")
    return UndoRollout(rollout=encoded.get("rollout"), reason=reason, agent=encoded.get("agent"))


def _release_lease(encoded: Mapping[str, Any]) -> ReleaseLease:
    lease = encoded.get("lease")
    if lease is None and "lease" in encoded:
        lease = NO_LEASE  # it names a lease, though none that there is
    return ReleaseLease(instance=str(encoded["instance"]), lease=lease, agent=encoded.get("agent"))


def _grant_lease(encoded: Mapping[str, Any]) -> GrantLease:
    return GrantLease(
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


def _begin_step(encoded: Mapping[str, Any]) -> BeginStep:
    return BeginStep(**_holder(encoded))


def _finish_step(encoded: Mapping[str, Any]) -> FinishStep:
    return FinishStep(**_holder(encoded))


def _confirm_drained(encoded: Mapping[str, Any]) -> ConfirmDrained:
    return ConfirmDrained(**_holder(encoded))


def _report_part(encoded: Mapping[str, Any]) -> ReportPart:
    return ReportPart(
        instance=str(encoded["instance"]),
        agent=str(encoded["agent"]),
        did=encoded["did"],
        lease=encoded["lease"],
    )


def _confirm_renewed(encoded: Mapping[str, Any]) -> ConfirmRenewed:
    return ConfirmRenewed(**_holder(encoded))


def _propose_policy(encoded: Mapping[str, Any]) -> ProposePolicy:
    try:
        document = document_of(encoded["document"])
    except PolicyError as error:
        raise CommandRejected(str(error)) from None
    return ProposePolicy(document=document, base=int(encoded["base"]), agent=str(encoded["agent"]))


def _roll_back_policy(encoded: Mapping[str, Any]) -> RollBackPolicy:
    base = int(encoded["base"])
    to = encoded.get("to")
    return RollBackPolicy(base=base, to=None if to is None else int(to), agent=str(encoded["agent"]))


def _submit_verdict(encoded: Mapping[str, Any]) -> SubmitVerdict:
    return SubmitVerdict(
        change=encoded["change"],
        instance=str(encoded["instance"]),
        reason=str(encoded["reason"]),
        agent=encoded["agent"],
    )


def _commit_policy(encoded: Mapping[str, Any]) -> CommitPolicy:
    return CommitPolicy(
        change=encoded["change"],
        absent=tuple(str(name) for name in encoded["absent"]),
        agent=encoded.get("agent"),
    )


def _abort_policy(encoded: Mapping[str, Any]) -> AbortPolicy:
    return AbortPolicy(change=encoded["change"], reason=str(encoded["reason"]), agent=encoded.get("agent"))


def _read_policy(encoded: Mapping[str, Any]) -> ReadPolicy:
    return ReadPolicy(
        instances=_texts(encoded["instances"], "instances"),
        agent=_text(encoded["agent"], "agent"),
        router_status=_table(encoded["told"], "told") if "told" in encoded else None,
    )


# The codec.

_COMMANDS: dict[str, tuple[type[Any], Callable[[Mapping[str, Any]], Command]]] = {
    "register": (Register, _register),
    "word": (Heartbeat, _heartbeat),
    "start": (StartRollout, _start_rollout),
    "halt": (HaltRollout, _halt_rollout),
    "resume": (ResumeRollout, _resume_rollout),
    "undo": (UndoRollout, _undo_rollout),
    "release": (ReleaseLease, _release_lease),
    "grant": (GrantLease, _grant_lease),
    "begin": (BeginStep, _begin_step),
    "back": (FinishStep, _finish_step),
    "out": (ConfirmDrained, _confirm_drained),
    "part": (ReportPart, _report_part),
    "renewed": (ConfirmRenewed, _confirm_renewed),
    "policy propose": (ProposePolicy, _propose_policy),
    "policy rollback": (RollBackPolicy, _roll_back_policy),
    "policy verdict": (SubmitVerdict, _submit_verdict),
    "policy commit": (CommitPolicy, _commit_policy),
    "policy abort": (AbortPolicy, _abort_policy),
    "policy read": (ReadPolicy, _read_policy),
}
_NAMES = {command_type: name for name, (command_type, _) in _COMMANDS.items()}
_REPLIES: dict[type[Any], Callable[..., Acceptance]] = {
    StartRollout: RolloutStarted,
    HaltRollout: RolloutChanged,
    ResumeRollout: RolloutChanged,
    UndoRollout: RolloutChanged,
    ReleaseLease: LeaseChanged,
    GrantLease: LeaseChanged,
    BeginStep: StepBegun,
    ProposePolicy: ChangeProposed,
    RollBackPolicy: ChangeProposed,
    SubmitVerdict: ChangeUpdated,
    CommitPolicy: PolicyCommitted,
    AbortPolicy: ChangeUpdated,
    ReadPolicy: PolicyRead,
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
            encoded[one.metadata.get(_KEY, one.name)] = _encoded_value(value)
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
    """The command that a wire form stands for; a key that the command does not have is ignored.

    Raises CommandRejected for an unknown command, for one that lacks a field, and for a field of no use."""
    name = encoded.get("do")
    if str(name) not in _COMMANDS:
        raise CommandRejected(f"no command '{name}'")
    _, decode_fields = _COMMANDS[str(name)]
    try:
        return decode_fields(encoded)
    except (KeyError, TypeError, ValueError) as fault:
        raise CommandRejected(f"damaged command: {type(fault).__name__}: {fault}") from None


def as_encoded(command: Command | EncodedCommand) -> EncodedCommand:
    """The wire form of a command for the log: one that came from the wire goes on as it is.

    The replicas decode it, so a damaged one is answered by the log, as any that does not fit."""
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
        return PolicyRead(int(encoded["epoch"]), tuple(encoded["named"]))
    reply_type = _REPLIES.get(type(command), Accepted)
    return reply_type(**{key: value for key, value in encoded.items() if key != "ok"})
