"""What a simulation records: its clients, and the properties that were violated."""

from dataclasses import dataclass, field
from typing import NamedTuple

from maplestile.wire.messages import Outcome


class Violation(NamedTuple):
    """A property that does not hold, and how it was violated."""

    property: str
    detail: str


@dataclass(slots=True)
class Client:
    """A call as its client knows it."""

    number: int  # of the core
    class_name: str
    due_us: int
    epoch: int  # of the policy that it came under
    outcomes: list[tuple[int, Outcome]] = field(default_factory=list)  # when, and which
    withdrawn: bool = False  # the client waits no longer
    half_closed: bool = False  # the client has closed its side

    def is_waiting(self) -> bool:
        """Whether an answer is still due to the client."""
        return not self.withdrawn and not self.outcomes
