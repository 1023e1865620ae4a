"""A rollout, the leases of its steps, and their wire form.

    lease of a router's step:

        GRANTED --begin, by its holder--> BEGUN --back: seen serving--> gone, counted in again
           |                                |--out: drained, of a drain--> OUT --(undo)--> ...
           +--halt, undo: never begun--> gone
           +--release, by an operator--> gone

An instance is counted out from the grant until its lease is gone. A lease whose holder has died stays.

Routers are instances of agents. A runner is out at all routers, so its lease concerns every agent: each has a
part in it, and the lease moves on once all have reported the same.

        GRANTED --begun by any--> BEGUN --out, by all agents--> AWAY --renewed, by its holder--> RETURNING
           |                        (of a drain: OUT, until an undo)                --in, by all--> gone
           +--halt, undo: never begun--> gone
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from maplestile.control.commands import ROUTERS, RUNNERS

KINDS = (ROUTERS, RUNNERS)

RESTART = "restart"
DRAIN = "drain"
REPLACE = "replace"
ACTIONS = (RESTART, DRAIN, REPLACE)  # what an operator may roll out
START = "start"  # the undo of a drain
RESTORE = "restore"  # the undo of a replacement
UNDO_ACTIONS = (START, RESTORE)

PART_UNTOUCHED = ""
PART_BEGUN = "begun"
PART_OUT = "out"
PART_IN = "in"


class Phase(Enum):
    """How far a rollout has come."""

    RUNNING = "running"
    HALTED = "halted"  # no new step; what is under way finishes
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"


ACTIVE = (Phase.RUNNING, Phase.HALTED, Phase.UNDOING)


class Stage(Enum):
    """How far the step of a lease has come."""

    GRANTED = "granted"  # counted out, not yet touched
    BEGUN = "begun"  # its holder is at work on it
    OUT = "out"  # drained, until an undo brings it back
    AWAY = "away"  # a runner that no router uses any more
    RETURNING = "returning"  # a runner that routers use again one by one


@dataclass(slots=True)
class Lease:
    """The permission to take one instance out; it is counted out for as long as it has one."""

    number: int
    instance: str
    holder: str  # the agent that manages the instance
    action: str  # one of ACTIONS; of an undo, one of UNDO_ACTIONS
    stage: Stage
    term: int  # Raft's, at the grant
    parts: dict[str, str] | None = None  # of a runner: each agent's PART_...; None of a router

    @property
    def of_runner(self) -> bool:
        """Whether the instance is a runner, in which every agent has a part."""
        return self.parts is not None


@dataclass(slots=True)
class Rollout:
    """A change of instances one after another, under a budget."""

    number: int
    action: str
    targets: tuple[str, ...]
    budget: int  # the most out at once of its kind, planned or not
    phase: Phase
    reason: str = ""
    done: list[str] = field(default_factory=list)  # in the order in which they ended
    undone: list[str] = field(default_factory=list)
    kind: str = ROUTERS


def decode_lease(encoded: Mapping[str, Any]) -> Lease:
    """The lease of a wire form. Raises KeyError, TypeError or ValueError; a foreign key is a TypeError."""
    return Lease(**{**encoded, "stage": Stage(encoded["stage"])})


def decode_rollout(encoded: Mapping[str, Any]) -> Rollout:
    """The rollout of a wire form. Raises KeyError, TypeError or ValueError; a foreign key is a TypeError."""
    return Rollout(**{**encoded, "phase": Phase(encoded["phase"]), "targets": tuple(encoded["targets"])})
