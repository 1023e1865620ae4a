"""A router's part in the fleet's policy, as the operators' front sees it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:  # a router whose file decides on the policy loads none of it: start time and memory
    from maplestile.control.policy.document import Document
    from maplestile.control.policy.follower import PolicyAnnouncement, PolicyStatus


@dataclass(slots=True, frozen=True)
class PolicyCheck:
    """A change that the router is to check; without a document it goes back to the policy of its own file."""

    change: int
    document: "Document | None"


@dataclass(slots=True, frozen=True)
class PolicyReport:
    """What a router reports of its policy."""

    epoch: int
    digest: str  # of the document in force; empty for the file's own policy
    status: "PolicyStatus"
    stale_s: float  # for how long its epoch has not been known to be the committed one
    reason: str  # of a refusal
    build: str
    calls_by_epoch: Mapping[int, Mapping[str, int]]
    lacks_document: bool  # of the announced epoch: a request to the agent to send it


@dataclass(slots=True, frozen=True)
class PolicyMetrics:
    """The values of the metrics of a router's policy; a state is 1 where it holds, else 0."""

    epoch: float  # in force; 0 where none is on record
    stale: float
    stale_s: float  # for how long its epoch has not been known to be the committed one
    refused: float
    reloads_refused: float
    mixed_calls: float


class PolicyOperations(Protocol):
    """The router's policy driver."""

    def check(self, change: PolicyCheck, /) -> None:
        """Check that a proposed policy fits this router. Raises ConfigError."""
        ...

    def take_announcement(
        self, announcement: "PolicyAnnouncement", reply: Callable[[PolicyReport], None], /
    ) -> None:
        """Take the agent's announcement of the committed epoch, and reply once, now or later."""
        ...

    def report(self) -> PolicyReport:
        """Return the epoch in force and its status."""
        ...

    def metrics(self) -> PolicyMetrics:
        """Return the metrics at this moment."""
        ...
