"""Which process serves while one is replaced: a state machine over two locks, polled at intervals.

    WAITING --next is free--> TAKING --serving is free--> ALONE
       |                                                    ^
       +------------------ serving is free -----------------+

A process that is ALONE holds `serving`; another that holds `next` then is its successor.
"""

from enum import Enum
from typing import Protocol

SERVING = "serving"
NEXT = "next"
READY = b"ready"
NOT_READY = b""


class HandoverStage(Enum):
    """How far a process has got in taking over from its predecessor."""

    WAITING = "waiting"  # another process takes over already
    TAKING = "taking over"  # the predecessor lives
    ALONE = "alone"  # no predecessor


class Locking(Protocol):
    """Locks that end with their process; each call may raise OSError."""

    def acquire(self, name: str) -> bool:
        """Acquire a lock, and return whether it was free."""
        ...

    def release(self, name: str) -> None:
        """Release a lock held by this process."""
        ...

    def is_held(self, name: str) -> bool:
        """Return whether another process holds a lock."""
        ...

    def mark(self, name: str, mark: bytes) -> None:
        """Write something for others to read while this process holds the lock."""
        ...

    def has_mark(self, name: str, mark: bytes) -> bool:
        """Return whether the lock carries this mark."""
        ...


class Handover:
    """One process's part in a replacement."""

    def __init__(self, locks: Locking) -> None:
        self.stage = HandoverStage.WAITING
        self.successor = False
        self.successor_ready = False
        self._locks = locks
        self.poll()

    @property
    def process_count(self) -> int:
        """How many processes there are to share descriptors and memory."""
        return 2 if self.successor or self.stage is not HandoverStage.ALONE else 1

    def poll(self) -> None:
        """Check what the other processes have acquired, released and marked."""
        self._advance()
        if self.stage is HandoverStage.ALONE:
            self.successor = self._locks.is_held(NEXT)
            self.successor_ready = self.successor and self._locks.has_mark(NEXT, READY)

    def announce_ready(self) -> None:
        """Announce that this process can serve: its predecessor may go."""
        if self.stage is HandoverStage.TAKING:
            self._locks.mark(NEXT, READY)

    def announce_stopping(self) -> None:
        """Announce that this process was asked to stop: its predecessor must not hand over to it."""
        if self.stage is HandoverStage.TAKING:
            self._locks.mark(NEXT, NOT_READY)

    def _advance(self) -> None:
        if self.stage is not HandoverStage.ALONE and self._locks.acquire(SERVING):
            if self.stage is HandoverStage.TAKING:
                self._locks.release(NEXT)
            self.stage = HandoverStage.ALONE
        elif self.stage is HandoverStage.WAITING and self._locks.acquire(NEXT):
            self.stage = HandoverStage.TAKING
