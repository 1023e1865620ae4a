"""Defines the entries of the worker list, and the event that delivers the list or its changes."""

from dataclasses import dataclass
from enum import Enum


class WorkerState(Enum):
    """The state of a worker according to its list entry."""

    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a `WorkerListReceived` event contains."""

    DELTA = "delta"  # only the changed entries
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as last seen, which may be stale
    FAILED = "failed"  # no entries: the list could not be fetched, and the previous one stays valid


UNKNOWN_CELL = -1  # the cell of a worker whose entry does not give one


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    """One entry of the worker list."""

    worker: str  # identity of the worker, unique in the list
    zone: str
    kind: str  # kind of machine, which determines the worker's memory by the settings
    cell: int  # deduplication cell of the worker; no worker shares `UNKNOWN_CELL` with another one
    state: WorkerState
    weight: float  # capacity relative to the other workers
    started_us: int  # when the worker's process started: a later time than before means a restart


@dataclass(slots=True, frozen=True)
class WorkerListReceived:
    """The worker list or its changes have been received."""

    kind: ListKind
    version: int
    entries: tuple[WorkerEntry, ...]
