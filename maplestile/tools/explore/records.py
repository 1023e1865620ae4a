"""The records that a simulation keeps: its clients and the violations found."""

from dataclasses import dataclass, field
from typing import NamedTuple

from maplestile.wire.messages import Outcome


class Violation(NamedTuple):
    """The name of a violated property, and how it was violated."""

    property: str
    detail: str


@dataclass(slots=True)
class Client:
    """A client of one call, and what it knows about the call."""

    number: int  # the core's number for the call
    class_name: str
    due_us: int  # simulated time by which the answer is due
    epoch: int  # policy epoch under which the call was submitted
    outcomes: list[tuple[int, Outcome]] = field(default_factory=list)  # each with its simulated time, in µs
    withdrawn: bool = False  # the client has stopped waiting for an answer
    half_closed: bool = False  # the client has closed its side of the connection

    def is_waiting(self) -> bool:
        """Return whether the client is still waiting for an answer."""
        return not self.withdrawn and not self.outcomes
