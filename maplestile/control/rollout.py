"""Rollouts, the leases of their steps, and the wire form of both.

The stages of the lease of a router:

    GRANTED --begin, by the holder--> BEGUN --back, once it serves again--> lease removed
       |                                +--out, once drained (drains only)--> OUT --undo--> GRANTED
       +--halt or undo--> lease removed (OUT again, if it was granted to undo a drain)

An operator can release a lease at any stage. An instance counts as out of service from the grant until its
lease is removed. A lease whose holder has died stays.

A runner is taken out of service at all routers, so each agent reports on its own routers, and the lease
reaches its next stage once all agents have reported the same. The stages of the lease of a runner:

    GRANTED --begun, by any agent--> BEGUN --out, by all agents--> AWAY (OUT for a drain)
       +--halt or undo--> lease removed
    AWAY --renewed, by the holder--> RETURNING --in, by all agents--> lease removed
    OUT --undo--> RETURNING
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
ACTIONS = (RESTART, DRAIN, REPLACE)  # the actions that an operator can roll out
START = "start"  # undoes a drain
RESTORE = "restore"  # undoes a replacement
UNDO_ACTIONS = (START, RESTORE)

# The progress that an agent reports on the lease of a runner, for its own routers.
PART_UNTOUCHED = ""  # not reported yet
PART_BEGUN = "begun"  # its routers are being told to stop using the runner
PART_OUT = "out"  # none of its routers uses the runner
PART_IN = "in"  # its routers use the runner again


class Phase(Enum):
    """The phase of a rollout."""

    RUNNING = "running"
    HALTED = "halted"  # no new step is granted; steps in progress finish
    UNDOING = "undoing"
    DONE = "done"
    UNDONE = "undone"


ACTIVE_PHASES = (Phase.RUNNING, Phase.HALTED, Phase.UNDOING)


class Stage(Enum):
    """The stage of a lease."""

    GRANTED = "granted"  # the instance counts as out of service, but is still untouched
    BEGUN = "begun"  # the instance is being taken out of service or changed
    OUT = "out"  # the instance is drained, until an undo brings it back
    AWAY = "away"  # no router uses the runner, so its process may be replaced
    RETURNING = "returning"  # the agents' routers start to use the runner again


@dataclass(slots=True)
class Lease:
    """The permission to take one instance out of service; the instance counts as out while it has a lease."""

    number: int
    instance: str  # the name of the router instance or runner
    holder: str  # the agent that manages the instance; "" for a runner that no agent manages
    action: str  # one of ACTIONS; one of UNDO_ACTIONS for an undo
    stage: Stage
    term: int  # the Raft term of the grant
    parts: dict[str, str] | None = None  # for a runner, by agent: one of PART_...; None for a router

    @property
    def is_for_runner(self) -> bool:
        """Whether the lease is for a runner, on which every agent reports."""
        return self.parts is not None


@dataclass(slots=True)
class Rollout:
    """One action performed on several instances step by step, within a budget."""

    number: int
    action: str  # one of ACTIONS
    targets: tuple[str, ...]  # names of router instances or runners, in the order of the steps
    budget: int  # the most instances of its kind that may be out of service at once, for any cause
    phase: Phase
    reason: str = ""  # of the halt or undo; "" if there is none
    done: list[str] = field(default_factory=list)  # targets whose step is complete, in that order
    undone: list[str] = field(default_factory=list)  # targets whose step has been undone, in that order
    kind: str = ROUTERS  # of the targets: one of KINDS


def decode_lease(encoded: Mapping[str, Any]) -> Lease:
    """Decode a lease. Raises KeyError, TypeError or ValueError; an unknown key raises TypeError."""
    return Lease(**{**encoded, "stage": Stage(encoded["stage"])})


def decode_rollout(encoded: Mapping[str, Any]) -> Rollout:
    """Decode a rollout. Raises KeyError, TypeError or ValueError; an unknown key raises TypeError."""
    return Rollout(**{**encoded, "phase": Phase(encoded["phase"]), "targets": tuple(encoded["targets"])})
