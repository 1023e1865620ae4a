"""Handover between an old and a new process: a state machine over two locks, polled at intervals.

    WAITING --next is free--> TAKING_OVER --serving is free--> ALONE
       |                                                         ^
       +-------------------- serving is free --------------------+

A process that is ALONE holds the lock `serving`; a process that holds `next` is its successor.
"""

from enum import Enum
from typing import Protocol

SERVING_LOCK = "serving"  # held by the process that serves without a predecessor
NEXT_LOCK = "next"  # held by its successor
READY_MARKER = b"ready"  # on the lock `next`: the successor can serve
NOT_READY_MARKER = b""  # the successor cannot serve, or was asked to stop


class HandoverStage(Enum):
    """The progress of a process in taking over from its predecessor."""

    WAITING = "waiting"  # another process is already taking over from the predecessor
    TAKING_OVER = "taking over"  # this process is the successor; its predecessor still runs
    ALONE = "alone"  # no predecessor is left


class NamedLocks(Protocol):
    """Locks that are released when their process ends. Every method may raise OSError."""

    def acquire(self, name: str) -> bool:
        """Try to acquire a lock, and return whether it was free."""
        ...

    def release(self, name: str) -> None:
        """Release a lock held by this process."""
        ...

    def is_held(self, name: str) -> bool:
        """Return whether another process holds a lock. This process must not hold it itself."""
        ...

    def write_marker(self, name: str, marker: bytes) -> None:
        """Write a marker, which other processes can read, to a lock held by this process."""
        ...

    def has_marker(self, name: str, marker: bytes) -> bool:
        """Return whether a lock has this marker."""
        ...


class Handover:
    """One process's side of a handover, as the predecessor or the successor."""

    def __init__(self, locks: NamedLocks) -> None:
        self.stage = HandoverStage.WAITING
        self.has_successor = False  # another process is about to replace this one
        self.is_successor_ready = False  # that process can serve
        self._locks = locks
        self.poll()

    @property
    def is_alone(self) -> bool:
        """Whether this process has no predecessor."""
        return self.stage is HandoverStage.ALONE

    @property
    def process_count(self) -> int:
        """The number of processes that share the budgets of descriptors and memory: 1 or 2."""
        return 2 if self.has_successor or self.stage is not HandoverStage.ALONE else 1

    def poll(self) -> None:
        """Update the stage and the successor's state from the locks and their markers."""
        self._advance()
        if self.stage is HandoverStage.ALONE:
            self.has_successor = self._locks.is_held(NEXT_LOCK)
            self.is_successor_ready = self.has_successor and self._locks.has_marker(NEXT_LOCK, READY_MARKER)

    def announce_ready(self) -> None:
        """Announce that this process can serve, so that its predecessor may hand over and exit."""
        if self.stage is HandoverStage.TAKING_OVER:
            self._locks.write_marker(NEXT_LOCK, READY_MARKER)

    def announce_stopping(self) -> None:
        """Announce that this process was asked to stop: its predecessor must not hand over to it."""
        if self.stage is HandoverStage.TAKING_OVER:
            self._locks.write_marker(NEXT_LOCK, NOT_READY_MARKER)

    def _advance(self) -> None:
        if self.stage is not HandoverStage.ALONE and self._locks.acquire(SERVING_LOCK):
            if self.stage is HandoverStage.TAKING_OVER:
                self._locks.release(NEXT_LOCK)
            self.stage = HandoverStage.ALONE
        elif self.stage is HandoverStage.WAITING and self._locks.acquire(NEXT_LOCK):
            self.stage = HandoverStage.TAKING_OVER
