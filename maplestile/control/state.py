"""What the fleet has agreed on: its instances, the rollout under way, and the leases of its steps.

Every voter applies the same commands of the Raft log in the same order, so everything here is a function of
the state and the command alone: no clock, no chance, no I/O. A command that does not fit the state changes
nothing and is answered with the reason. Each command therefore carries what its sender believed (the number
of the rollout, of the lease), and a sender whose belief is old, such as a deposed leader or an agent that was
cut off, is refused.

    lease of a step:   GRANTED --begin, by its holder--> BEGUN --back: seen serving--> gone, counted in again
                          |                                |--out: drained, of a drain--> OUT --(undo)--> ...
                          +--halt, undo: never begun--> gone
                          +--release, by an operator--> gone

An instance is counted out from the grant until its lease is gone. A lease whose holder has died stays.

Routers are instances of agents. A runner is out at all routers, so its lease is the matter of every agent:
each has a part in it, and the lease moves on once all have said the same.

    GRANTED --begun by any--> BEGUN --out, by all agents--> AWAY --renewed, by its holder--> RETURNING
       |                        (of a drain: OUT, until an undo)                --in, by all--> gone
       +--halt, undo: never begun--> gone"""

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.policy.agreed import AgreedPolicies

ACTIONS = ("restart", "drain", "replace")
KINDS = ("routers", "runners")
HISTORY_MOST, NAME_BYTES, TARGETS_MOST = 20, 64, 2000
Command = dict[str, Any]
Reply = dict[str, Any]


class Phase(Enum):
    RUNNING = "running"
    HALTED = "halted"  # no new step; what is under way finishes
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"


ACTIVE = (Phase.RUNNING, Phase.HALTED, Phase.UNDOING)


class Stage(Enum):
    GRANTED = "granted"  # counted out, not yet touched
    BEGUN = "begun"  # its holder has it in hand
    OUT = "out"  # drained for good, until an undo brings it back
    AWAY = "away"  # a runner that no router uses any more
    RETURNING = "returning"  # a runner that routers use again one by one


@dataclass(slots=True)
class Lease:
    number: int
    instance: str
    holder: str  # the agent that manages the instance
    action: str  # restart, drain, replace; of an undo: start, or replace with what stood before
    stage: Stage
    term: int  # Raft's, at the grant
    parts: dict[str, str] | None = None  # of a runner: each agent's "", begun, out or in; None of a router


@dataclass(slots=True)
class Rollout:
    number: int
    action: str
    targets: tuple[str, ...]
    budget: int  # the most out at once of its kind, planned or not
    phase: Phase
    reason: str = ""
    done: list[str] = field(default_factory=list)  # in the order in which they ended
    undone: list[str] = field(default_factory=list)
    kind: str = "routers"  # or runners


class ControlState:
    """The agreed state. `apply` is the one way to change it."""

    def __init__(self) -> None:
        self.instances: dict[str, str] = {}  # to the agent that manages each
        self.runners: dict[str, str] = {}  # to the agent that manages its process, "" where none does
        self.listed: dict[str, list[str]] = {}  # the runners that the routers of each agent list
        self.rollout: Rollout | None = None
        self.history: list[Rollout] = []
        self.leases: dict[str, Lease] = {}  # by instance
        self.number = 0  # of the last rollout or lease: one count for both, so that no number comes again
        self.worst_out = dict.fromkeys(KINDS, 0)  # the most that were ever out at once by leases
        self.policy = AgreedPolicies()

    def __setstate__(self, told: dict[str, Any]) -> None:
        """Of a snapshot: one that an earlier release has written lacks what is agreed on only since."""
        self.__init__()  # type: ignore[misc]
        self.__dict__.update(told)

    def apply(self, command: Command) -> Reply:
        """`{"ok": True, ...}`, or `{"ok": False, "reason": text}` with nothing changed."""
        handlers: dict[str, Callable[[Command], Reply]] = {
            "register": self._register,
            "start": self._start,
            "grant": self._grant,
            "begin": self._begin,
            "back": self._back,
            "out": self._out,
            "halt": self._halt,
            "resume": self._resume,
            "undo": self._undo,
            "release": self._release,
            "part": self._part,
            "renewed": self._renewed,
            **self.policy.commands(self.instances),
        }
        handler = handlers.get(str(command.get("do")))
        if handler is None:
            return {"ok": False, "reason": f"no command '{command.get('do')}'"}
        try:
            reply = handler(command)
        except CommandRejected as refusal:
            return {"ok": False, "reason": str(refusal)}
        except (KeyError, TypeError, ValueError) as fault:  # guards the log against a damaged command
            return {"ok": False, "reason": f"damaged command: {type(fault).__name__}: {fault}"}
        for kind in KINDS:
            self.worst_out[kind] = max(self.worst_out[kind], len(self.out(kind)))
        return {"ok": True, **reply}

    def apply_encoded(self, command: Command) -> Reply:
        """Apply the wire form of a command; the wire form of the reply."""
        return self.apply(command)

    # Instances.

    def _register(self, command: Command) -> Reply:
        """An agent tells which instances it manages: all of them, so that one it lost is forgotten."""
        agent, names = _name(command["agent"]), [_name(name) for name in command["instances"]]
        for name in names:
            if self.instances.get(name, agent) != agent:
                raise CommandRejected(f"instance '{name}' is managed by {self.instances[name]}")
        for name in [known for known, owner in self.instances.items() if owner == agent]:
            if name not in names and name not in self.leases:
                del self.instances[name]
        self.instances.update(dict.fromkeys(names, agent))
        if "runners" in command:
            self._list_runners(agent, command["runners"])
        return {}

    def _list_runners(self, agent: str, told: dict[str, bool]) -> None:
        """The runners that the agent's routers list, and whether the agent manages their processes itself."""
        self.listed[agent] = sorted(_name(name) for name in told)
        for name, managed in told.items():
            if managed or name not in self.runners:
                self.runners[name] = agent if managed else ""
        known = {name for names in self.listed.values() for name in names}
        self.runners = {n: a for n, a in sorted(self.runners.items()) if n in known or n in self.leases}

    def agents(self) -> list[str]:
        return sorted(set(self.instances.values()))

    def out(self, kind: str) -> list[str]:
        """Those of a kind that are counted out by a lease."""
        runners = kind == "runners"
        return [name for name, lease in self.leases.items() if (lease.parts is not None) == runners]

    def known(self, kind: str) -> dict[str, str]:
        return self.runners if kind == "runners" else self.instances

    # Rollouts, by operators.

    def _start(self, command: Command) -> Reply:
        action, budget, kind = str(command["action"]), command["budget"], str(command.get("kind", "routers"))
        if kind not in KINDS:
            raise CommandRejected(f"kind: must be one of {', '.join(KINDS)}")
        known = self.known(kind)
        targets = tuple(dict.fromkeys(command["targets"] or sorted(known)))
        if self.rollout is not None and self.rollout.phase in ACTIVE:
            told = f"rollout {self.rollout.number} is {self.rollout.phase.value}"
            raise CommandRejected(f"{told}: it has to end, or be undone, first")
        if action not in ACTIONS:
            raise CommandRejected(f"action: must be one of {', '.join(ACTIONS)}")
        unknown = [name for name in targets if name not in known]
        if unknown:
            raise CommandRejected(
                f"unknown {'runner' if kind == 'runners' else 'instance'}: {', '.join(unknown)}"
            )
        if not 0 < len(targets) <= TARGETS_MOST:
            raise CommandRejected("nothing to roll out to")
        unmanaged = [name for name in targets if not known[name]]
        if unmanaged and action != "drain":
            raise CommandRejected(f"no agent manages {', '.join(unmanaged)}: only a drain is possible")
        most, already = budget_of(budget, len(known)), self.out(kind)
        out = [name for name in targets if name in self.leases]
        if out:
            raise CommandRejected(f"out already: {', '.join(out)}")
        if action == "drain" and len(targets) + len(already) > most:
            raise CommandRejected(f"a drain leaves {len(targets)} out, and the budget is {most}")
        if len(already) >= most:
            raise CommandRejected(f"{len(already)} out already, and the budget is {most}")
        if self.rollout is not None:
            self.history = [*self.history, self.rollout][-HISTORY_MOST:]
        self.number += 1
        self.rollout = Rollout(self.number, action, targets, most, Phase.RUNNING, kind=kind)
        return {"rollout": self.number, "budget": most}

    def _halt(self, command: Command) -> Reply:
        rollout = self._current(command)
        if rollout.phase not in (Phase.RUNNING, Phase.UNDOING):
            raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
        rollout.reason = str(command.get("reason") or "by an operator")
        rollout.phase = Phase.HALTED
        self._drop_unbegun()
        return {"rollout": rollout.number}

    def _resume(self, command: Command) -> Reply:
        rollout = self._current(command)
        if rollout.phase is not Phase.HALTED:
            raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
        rollout.phase, rollout.reason = (Phase.UNDOING if rollout.undone else Phase.RUNNING), ""
        self._end(rollout)
        return {"rollout": rollout.number}

    def _undo(self, command: Command) -> Reply:
        """What was taken out comes back, in reverse order; also after a rollout has ended."""
        rollout = self._current(command)
        if rollout.phase in (Phase.UNDOING, Phase.UNDONE):
            raise CommandRejected(f"rollout {rollout.number} is {rollout.phase.value}")
        rollout.phase, rollout.reason = Phase.UNDOING, str(command.get("reason") or "")
        self._drop_unbegun()
        self._end(rollout)
        return {"rollout": rollout.number}

    def _release(self, command: Command) -> Reply:
        """An operator vouches for an instance whose lease will not end by itself."""
        lease = self.leases.get(str(command["instance"]))
        if lease is None:
            raise CommandRejected(f"'{command['instance']}' is not out")
        if "lease" in command and command["lease"] != lease.number:
            raise CommandRejected(f"'{lease.instance}' is out by lease {lease.number}")
        del self.leases[lease.instance]
        if self.rollout is not None:
            self._end(self.rollout)
        return {"lease": lease.number}

    # Steps, by the leader and by the agents.

    def next_step(self) -> tuple[str, str] | None:
        """The instance whose turn it is, and what is to be done with it."""
        rollout = self.rollout
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.UNDOING):
            return None
        if rollout.phase is Phase.RUNNING:
            for name in rollout.targets:
                if name not in rollout.done and name not in self.leases:
                    return name, rollout.action
            return None
        if rollout.action == "restart":
            return None  # what was restarted serves already; what is under way comes back by itself
        if any(lease.stage is not Stage.OUT for lease in self.leases.values()):
            return None  # one after the other, so that the order is the reverse one also in how they end
        for name in reversed(rollout.done):
            lease = self.leases.get(name)
            if name in rollout.undone or lease is not None and lease.stage is not Stage.OUT:
                continue
            return name, "start" if rollout.action == "drain" else "restore"
        return None

    def _grant(self, command: Command) -> Reply:
        """By the leader. `down` are instances out without a lease, as it sees them: they count as well."""
        rollout, step = self._current(command), self.next_step()
        name = str(command["instance"])
        if command["after"] != self.number:
            raise CommandRejected("something else was granted since")
        if step is None or step[0] != name:
            raise CommandRejected(f"it is not the turn of '{name}'")
        counted = {*self.out(rollout.kind), *map(str, command["down"]), name}
        if len(counted) > rollout.budget:
            raise CommandRejected(f"{len(counted)} would be out, and the budget is {rollout.budget}")
        self.number += 1
        holder, stage, parts = self.known(rollout.kind)[name], Stage.GRANTED, None
        if rollout.kind == "runners":
            parts = dict.fromkeys(self.agents(), "")
            # Nothing is taken out by bringing one back: it has nothing to be halted before.
            stage = Stage.RETURNING if step[1] == "start" else Stage.GRANTED
        self.leases[name] = Lease(self.number, name, holder, step[1], stage, int(command["term"]), parts)
        return {"lease": self.number}

    def _begin(self, command: Command) -> Reply:
        """By the holder, before it touches the instance: what it read of the lease may be old."""
        lease = self._lease(command)
        if lease.stage is not Stage.GRANTED or lease.parts is not None:
            raise CommandRejected(f"lease {lease.number} is {lease.stage.value}")
        lease.stage = Stage.BEGUN
        return {"action": lease.action}

    def _back(self, command: Command) -> Reply:
        """By the holder: it has seen the instance serve again."""
        lease = self._lease(command)
        if lease.stage is Stage.GRANTED or lease.action == "drain" or lease.parts is not None:
            raise CommandRejected(f"lease {lease.number} to {lease.action} is {lease.stage.value}")
        del self.leases[lease.instance]
        self._ended(lease)
        return {}

    def _out(self, command: Command) -> Reply:
        """By the holder: the instance is drained, with nothing in flight, and stays out."""
        lease = self._lease(command)
        if lease.stage is not Stage.BEGUN or lease.action != "drain" or lease.parts is not None:
            raise CommandRejected(f"lease {lease.number} to {lease.action} is {lease.stage.value}")
        lease.stage = Stage.OUT
        self._ended(lease)
        return {}

    def _part(self, command: Command) -> Reply:
        """By every agent, of a runner: it has `begun` to take it from its routers, they have nothing with it
        any more (`out`), or use it again (`in`)."""
        lease, agent, did = self.leases.get(str(command["instance"])), str(command["agent"]), command["did"]
        if lease is None or lease.number != command["lease"] or lease.parts is None:
            raise CommandRejected(f"there is no lease {command['lease']} of a runner '{command['instance']}'")
        if agent not in lease.parts:
            raise CommandRejected(f"{agent} has no part in lease {lease.number}")
        stages = (Stage.RETURNING,) if did == "in" else (Stage.GRANTED, Stage.BEGUN)
        if did not in ("begun", "out", "in") or lease.stage not in stages:
            raise CommandRejected(f"lease {lease.number} is {lease.stage.value}")
        lease.parts[agent] = did
        if did == "in" and set(lease.parts.values()) == {"in"}:
            del self.leases[lease.instance]
            self._ended(lease)
        elif did != "in":
            lease.stage = Stage.BEGUN
            if set(lease.parts.values()) == {"out"}:
                lease.stage = Stage.OUT if lease.action == "drain" else Stage.AWAY
                if lease.action == "drain":
                    self._ended(lease)
        return {}

    def _renewed(self, command: Command) -> Reply:
        """By the holder: the runner's process has been replaced, and routers may use it again."""
        lease = self._lease(command)
        if lease.stage is not Stage.AWAY or lease.parts is None:
            raise CommandRejected(f"lease {lease.number} is {lease.stage.value}")
        lease.stage, lease.parts = Stage.RETURNING, dict.fromkeys(lease.parts, "")
        return {}

    def _ended(self, lease: Lease) -> None:
        rollout = self.rollout
        if rollout is None:
            return
        ended = rollout.undone if lease.action in ("start", "restore") else rollout.done
        if lease.instance in rollout.targets and lease.instance not in ended:
            ended.append(lease.instance)
        self._end(rollout)

    def _end(self, rollout: Rollout) -> None:
        """The rollout is over once every target is, and no step is under way."""
        if any(lease.stage is not Stage.OUT for lease in self.leases.values()):
            return
        if rollout.phase is Phase.RUNNING and set(rollout.done) >= set(rollout.targets):
            rollout.phase = Phase.DONE
        elif rollout.phase is Phase.UNDOING and self.next_step() is None:
            rollout.phase = Phase.UNDONE

    # Small things.

    def _current(self, command: Command) -> Rollout:
        rollout = self.rollout
        if rollout is None:
            raise CommandRejected("there is no rollout")
        if command.get("rollout") not in (None, rollout.number):
            raise CommandRejected(f"the rollout is {rollout.number}")
        return rollout

    def _lease(self, command: Command) -> Lease:
        lease = self.leases.get(str(command["instance"]))
        if lease is None or lease.number != command["lease"] or lease.holder != command["agent"]:
            raise CommandRejected(
                f"{command['agent']} holds no lease {command['lease']} of '{command['instance']}'"
            )
        return lease

    def _drop_unbegun(self) -> None:
        """Steps that nobody has in hand are not taken any more. One granted for an undo goes back to OUT."""
        for name, lease in list(self.leases.items()):
            if lease.stage is Stage.GRANTED and lease.action == "start":
                lease.stage, lease.action = Stage.OUT, "drain"
            elif lease.stage is Stage.GRANTED:
                del self.leases[name]

    @classmethod
    def of(cls, told: dict[str, Any]) -> "ControlState":
        """What `told` tells, read back elsewhere. Raises KeyError, TypeError or ValueError."""

        def rollout(one: dict[str, Any]) -> Rollout:
            return Rollout(**{**one, "phase": Phase(one["phase"]), "targets": tuple(one["targets"])})

        control = cls()
        control.instances, control.number = dict(told["instances"]), int(told["number"])
        control.runners, control.listed = dict(told["runners"]), dict(told["listed"])
        control.worst_out = dict(told["worst_out"])
        control.rollout = None if told["rollout"] is None else rollout(told["rollout"])
        control.history = [rollout(one) for one in told["history"]]
        leases = (Lease(**{**one, "stage": Stage(one["stage"])}) for one in told["leases"])
        control.leases = {lease.instance: lease for lease in leases}
        control.policy = AgreedPolicies.of(told["policy"])
        return control

    def told(self) -> dict[str, Any]:
        """For operators and for the snapshot: everything, in JSON's types."""

        def rollout(one: Rollout) -> dict[str, Any]:
            return asdict(one) | {"phase": one.phase.value, "targets": list(one.targets)}

        return {
            "instances": dict(self.instances),
            "runners": dict(self.runners),
            "listed": {agent: list(names) for agent, names in self.listed.items()},
            "number": self.number,
            "worst_out": dict(self.worst_out),
            "rollout": None if self.rollout is None else rollout(self.rollout),
            "history": [rollout(one) for one in self.history],
            "leases": [asdict(lease) | {"stage": lease.stage.value} for lease in self.leases.values()],
            "policy": self.policy.told(),
        }


def budget_of(told: object, instances: int) -> int:
    """A count (`2`), or a share of the fleet (`"25%"`, rounded down, at least 1). Raises CommandRejected."""
    if isinstance(told, str) and told.endswith("%") and told[:-1].isdigit():
        share = int(told[:-1])
        if not 1 <= share <= 100:
            raise CommandRejected(f"budget: {told} is not from 1% to 100%")
        return max(1, instances * share // 100)
    if isinstance(told, str) and told.isdigit():
        told = int(told)
    if isinstance(told, bool) or not isinstance(told, int) or told < 1:
        raise CommandRejected(f"budget: must be a count from 1 or a share such as 25%, not {told!r}")
    return told


def _name(told: object) -> str:
    if not isinstance(told, str) or not 0 < len(told.encode()) <= NAME_BYTES:
        raise ValueError(f"a name must be a text of 1 to {NAME_BYTES} bytes")
    return told
