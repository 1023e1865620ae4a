"""Changes of the policy, the epochs that they create, and the wire form of both.

    proposed by an operator --> CHECKING --commit by the leader: all live routers accept--> COMMITTED
                                   +--a router refuses--> ABORTED
                                   +--abort by the leader: a verdict is missing in time--> ABORTED

A committed change creates a new epoch, numbered one higher than the last; a rollback is a new epoch with an
older document. A change names the epoch that it is based on (`base`), so that only one of two concurrent
changes can be committed.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from maplestile.control.policy.document import Tables


class ChangePhase(Enum):
    """The phase of a change."""

    CHECKING = "checking"
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclass(slots=True)
class Change:
    """A proposed change and the routers' verdicts on it."""

    number: int
    reads: int  # how many policy reads had been applied when the change was proposed
    base: int  # the number of the epoch that the change is based on
    by: str  # the agent that submitted it
    document: Tables | None  # None: the policy of each router's own file
    phase: ChangePhase
    rollback: int | None = None  # the number of the epoch that it brings back; None if it is not a rollback
    reason: str = ""  # of the abort; "" if it is not aborted
    verdicts: dict[str, str] = field(default_factory=dict)  # by instance: the reason to refuse; "" accepts
    absent: list[str] = field(default_factory=list)  # instances that were down or cut off at the commit


@dataclass(slots=True)
class Epoch:
    """A committed policy."""

    number: int
    document: Tables | None  # None: the policy of each router's own file
    change: int = 0  # the number of the change that created it; 0 for the first epoch
    rollback: int | None = None  # the number of the epoch that it brought back; None if it is not a rollback


def decode_change(encoded: Mapping[str, Any]) -> Change:
    """Decode a change. Raises KeyError, TypeError or ValueError; an unknown key raises TypeError."""
    return Change(**{**encoded, "phase": ChangePhase(encoded["phase"])})


def decode_epoch(encoded: Mapping[str, Any]) -> Epoch:
    """Decode an epoch. Raises TypeError for a missing or unknown key."""
    return Epoch(**encoded)
