"""The interface of a router's policy driver to the operators' front, and the data that they exchange."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:  # not loaded by a router whose own file has the policy, to save start time and memory
    from maplestile.control.policy.document import Document
    from maplestile.control.policy.follower import PolicyAnnouncement, PolicyStatus


@dataclass(slots=True, frozen=True)
class PolicyCheck:
    """A proposed change of the policy that the router must check."""

    change: int  # its number
    document: "Document | None"  # None: a return to the policy of the router's own file


@dataclass(slots=True, frozen=True)
class PolicyReport:
    """A router's report on its policy."""

    epoch: int  # in force
    digest: str  # of the document in force; empty for the policy of the router's own file
    status: "PolicyStatus"  # how the epoch relates to the committed one
    stale_s: float  # seconds since the epoch was last confirmed as the committed one; 0 if not stale
    reason: str  # why the router refuses the committed epoch; empty if it does not
    build: str  # version of the program
    calls_by_epoch: Mapping[int, Mapping[str, int]]  # counts by epoch and counter name
    lacks_document: bool  # the agent must send the document of the announced epoch


@dataclass(slots=True, frozen=True)
class PolicyMetrics:
    """The values of a router's policy metrics."""

    epoch: float  # in force; 0 if none is on disk
    stale: float  # 1 if the router is cut off, so that its epoch may not be the committed one; else 0
    stale_s: float  # seconds since the epoch was last confirmed as the committed one; 0 if not stale
    refused: float  # 1 if the router cannot apply the committed epoch; else 0
    reloads_refused: float  # reloads of a file with another policy than at startup; it was not applied
    # Attempts decided under a different epoch from their call; not 0 only if there is a bug.
    mixed_calls: float


class PolicyOperations(Protocol):
    """The router's policy driver, as the operators' front uses it."""

    def check(self, change: PolicyCheck, /) -> None:
        """Check that a proposed policy fits this router. Raises ConfigError."""
        ...

    def process_announcement(
        self, announcement: "PolicyAnnouncement", reply: Callable[[PolicyReport], None], /
    ) -> None:
        """Process the agent's announcement of the committed epoch, and call `reply` once, now or later."""
        ...

    def report(self) -> PolicyReport:
        """Return a report on the policy in force."""
        ...

    def metrics(self) -> PolicyMetrics:
        """Return the current values of the metrics."""
        ...
