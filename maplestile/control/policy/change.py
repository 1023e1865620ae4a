"""A change of the policy, the epochs that changes lead to, and their wire form.

    propose, by an operator --> CHECKING --commit, by the leader: live routers have checked it--> COMMITTED
                                   +--a verdict refuses it, or abort: one gave none in time--> ABORTED

A committed change is a new epoch, one more than the last; a rollback is a new epoch with an older document. A
change names the epoch that it was made on (`base`), so of two changes at once only one can win.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from maplestile.control.policy.document import Tables


class Phase(Enum):
    """How far a change has come."""

    CHECKING = "checking"
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclass(slots=True)
class Change:
    """A proposed change, and what the routers said of it."""

    number: int
    reads: int  # how many reads had come when it was proposed
    base: int  # the epoch that it was made on
    by: str  # the agent that submitted it
    document: Tables | None  # None: the files' own
    phase: Phase
    rollback: int | None = None  # the epoch whose document it brings back
    reason: str = ""
    verdicts: dict[str, str] = field(default_factory=dict)  # by instance; "" accepts
    absent: list[str] = field(default_factory=list)  # not live at the commit


@dataclass(slots=True)
class Epoch:
    """A committed policy."""

    number: int
    document: Tables | None
    change: int = 0
    rollback: int | None = None


def decode_change(encoded: Mapping[str, Any]) -> Change:
    """The change of a wire form. Raises KeyError, TypeError or ValueError; a foreign key is a TypeError."""
    return Change(**{**encoded, "phase": Phase(encoded["phase"])})


def decode_epoch(encoded: Mapping[str, Any]) -> Epoch:
    """The epoch of a wire form. Raises TypeError, also for a foreign key."""
    return Epoch(**encoded)
