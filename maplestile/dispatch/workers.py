"""The worker list: its entries, and the events that bring it or its changes."""

from dataclasses import dataclass
from enum import Enum


class WorkerState(Enum):
    """The state of a worker as its list entry gives it."""

    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an event about the worker list brings."""

    DELTA = "delta"  # the changed entries alone
    FULL = "full"  # the whole list
    CACHED = "cached"  # the whole list as it was last seen, perhaps stale
    FAILED = "failed"  # no entries: the list could not be fetched, and the known one remains


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """One worker of the list."""

    worker: str  # its identity
    zone: str
    kind: str  # of machine; gives its memory by the settings
    cell: int
    state: WorkerState
    weight: float  # capacity relative to the other workers
    started_us: int  # when its process started: a later time means that it has restarted


@dataclass(slots=True, frozen=True)
class WorkerListReceived:
    """The worker list or its changes have come."""

    kind: ListKind
    version: int
    entries: tuple[WorkerEntry, ...]
