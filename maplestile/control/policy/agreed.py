"""What the fleet has agreed on of its policy: the epochs, and the change that is being checked.

A part of `control.state.ControlState`, which every voter applies alike: it reads no clock and draws nothing.

    propose, by an operator --> CHECKING --commit, by the leader: live routers have checked it--> COMMITTED
                                   +--a verdict refuses it, or abort: one gave none in time--> ABORTED

A committed change is a new epoch, one more than the last; a rollback is a new epoch with an older document. A
change names the epoch that it was made on (`base`), so of two changes at once one alone can win.

`read` is how an agent learns what is committed: its answer was agreed on after it was asked. It names the
routers that the agent lets serve by that answer, and a change cannot be committed without those that were
named since it was proposed: so no router slips in unchecked. One that was not named since has heard nothing
since, and its next `read` comes after the commit."""

from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.policy.document import Document, PolicyError, Tables, digest_of, document_of

Command = dict[str, Any]
Reply = dict[str, Any]
EPOCHS_KEPT, CHANGES_KEPT = 8, 20  # to go back to; to look at, without their documents
REASON_MOST = 300


class Phase(Enum):
    CHECKING = "checking"
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclass(slots=True)
class Change:
    number: int
    reads: int  # how many had come when it was proposed
    base: int  # the epoch that it was made on
    by: str  # the agent that it was asked of
    document: Tables | None  # None: the files' own
    phase: Phase
    rollback: int | None = None  # the epoch whose document it brings back
    reason: str = ""
    verdicts: dict[str, str] = field(default_factory=dict)  # by instance; "" is a yes
    absent: list[str] = field(default_factory=list)  # not live at the commit


@dataclass(slots=True)
class Epoch:
    number: int
    document: Tables | None
    change: int = 0
    rollback: int | None = None


class AgreedPolicies:
    def __init__(self) -> None:
        self.epochs = [Epoch(0, None)]
        self.change: Change | None = None
        self.history: list[Change] = []  # decided, their documents left out
        self.number = 0  # of the last change
        self.reads = 0
        self.members: dict[str, int] = {}  # by instance: the number of the last `read` that let it serve

    @property
    def epoch(self) -> Epoch:
        return self.epochs[-1]

    def serves(self, name: str) -> bool:
        """Whether a `read` has let this instance serve since the change was proposed."""
        return self.change is not None and self.members.get(name, 0) > self.change.reads

    def checking(self) -> Change | None:
        change = self.change
        return change if change is not None and change.phase is Phase.CHECKING else None

    def commands(self, instances: dict[str, str]) -> dict[str, Any]:
        """The handlers by their names; `instances` tells the agent that manages each."""
        return {
            "policy propose": self._propose,
            "policy rollback": self._rollback,
            "policy verdict": lambda command: self._verdict(command, instances),
            "policy commit": lambda command: self._commit(command, instances),
            "policy abort": self._abort,
            "policy read": lambda command: self._read(command, instances),
        }

    # By operators.

    def _propose(self, command: Command) -> Reply:
        return self._begin(command, _document(command["document"]), None)

    def _rollback(self, command: Command) -> Reply:
        """To the epoch before, or to the one named."""
        self._ready(command)
        told = command.get("to")
        wanted = (self._before() if told is None else int(told)) if self.epoch.number else -1
        found = next((one for one in self.epochs if one.number == wanted), None)
        if found is None or found is self.epoch:
            kept = ", ".join(str(one.number) for one in self.epochs[:-1]) or "none"
            what = "nothing before" if told is None else f"no epoch {told}"
            raise CommandRejected(f"there is {what} to go back to: {kept} kept")
        return self._begin(command, document_of(found.document), found.number)

    def _before(self) -> int:
        """What was in force before the epoch that stands; of a rollback, before what it brought back."""
        standing = self.epoch.number if self.epoch.rollback is None else self.epoch.rollback
        return max((one.number for one in self.epochs if one.number < standing), default=-1)

    def _ready(self, command: Command) -> int:
        base, under_way = int(command["base"]), self.checking()
        if under_way is not None:
            raise CommandRejected(f"change {under_way.number} is being checked: ask again once it is decided")
        if base != self.epoch.number:
            raise CommandRejected(
                f"made on epoch {base}, and the epoch is {self.epoch.number}: look at it first"
            )
        return base

    def _begin(self, command: Command, document: Document | None, rollback: int | None) -> Reply:
        base = self._ready(command)
        if digest_of(document) == digest_of(document_of(self.epoch.document)):
            raise CommandRejected(f"epoch {base} is this policy already")
        self._keep()
        self.number += 1
        tables = None if document is None else document.tables()
        by = str(command["agent"])
        self.change = Change(self.number, self.reads, base, by, tables, Phase.CHECKING, rollback)
        return {"change": self.number, "base": base}

    # By agents.

    def _verdict(self, command: Command, instances: dict[str, str]) -> Reply:
        change, name, reason = self._current(command), str(command["instance"]), str(command["reason"])
        if instances.get(name) != command["agent"]:
            raise CommandRejected(f"{command['agent']} does not manage '{name}'")
        change.verdicts[name] = reason[:REASON_MOST]
        if reason:  # nowhere, then
            change.phase, change.reason = Phase.ABORTED, f"{name} refuses it: {reason[:REASON_MOST]}"
        return {"change": change.number}

    def _read(self, command: Command, instances: dict[str, str]) -> Reply:
        named = [name for name in command["instances"] if instances.get(name) == command["agent"]]
        self.reads += 1
        self.members.update(dict.fromkeys(named, self.reads))
        # The others are not registered as this agent's, or not yet.
        return {"epoch": self.epoch.number, "named": named}

    # By the leader.

    def _commit(self, command: Command, instances: dict[str, str]) -> Reply:
        """`absent` are routers that no `read` has named since: down or cut off, they learn it on return."""
        change, absent = self._current(command), [str(name) for name in command["absent"]]
        serving = [name for name in absent if self.serves(name)]
        if serving:
            raise CommandRejected(f"not absent: {', '.join(serving)}")
        missing = [n for n in sorted(instances) if n not in absent and change.verdicts.get(n) != ""]
        if missing:
            raise CommandRejected(f"not checked by {', '.join(missing)}")
        if not change.verdicts:
            raise CommandRejected("no router has checked it")
        change.phase, change.absent = Phase.COMMITTED, absent
        for name in [known for known in self.members if known not in instances]:
            del self.members[name]
        epoch = Epoch(self.epoch.number + 1, change.document, change.number, change.rollback)
        self.epochs = [*self.epochs, epoch][-EPOCHS_KEPT:]
        return {"epoch": epoch.number, "change": change.number}

    def _abort(self, command: Command) -> Reply:
        change = self._current(command)
        change.phase, change.reason = Phase.ABORTED, str(command["reason"])[:REASON_MOST]
        return {"change": change.number}

    # Small things.

    def _current(self, command: Command) -> Change:
        change = self.checking()
        if change is None or change.number != command["change"]:
            raise CommandRejected(f"change {command['change']} is not being checked")
        return change

    def _keep(self) -> None:
        if self.change is not None:
            self.change.document = None
            self.history = [*self.history, self.change][-CHANGES_KEPT:]

    @classmethod
    def of(cls, told: dict[str, Any]) -> "AgreedPolicies":
        """What `told` tells, read back elsewhere. Raises KeyError, TypeError or ValueError."""

        def change(one: dict[str, Any]) -> Change:
            return Change(**{**one, "phase": Phase(one["phase"])})

        agreed = cls()
        agreed.epochs = [Epoch(**one) for one in told["epochs"]]
        agreed.change = None if told["change"] is None else change(told["change"])
        agreed.history = [change(one) for one in told["history"]]
        agreed.number, agreed.reads = int(told["number"]), int(told["reads"])
        agreed.members = dict(told["members"])
        return agreed

    def told(self) -> dict[str, Any]:
        """Everything, in JSON's types."""

        def change(one: Change) -> dict[str, Any]:
            return asdict(one) | {"phase": one.phase.value}

        return {
            "epochs": [asdict(one) for one in self.epochs],
            "change": None if self.change is None else change(self.change),
            "history": [change(one) for one in self.history],
            "number": self.number,
            "reads": self.reads,
            "members": dict(self.members),
        }


def _document(told: object) -> Document | None:
    try:
        return document_of(told)
    except PolicyError as fault:
        raise CommandRejected(str(fault)) from None
