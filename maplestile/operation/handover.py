"""Who serves while a process is replaced: a state machine over two locks, fed by a look now and then.

    WAITING --next is free--> TAKING --serving is free--> ALONE
       |                                                    ^
       +------------------ serving is free -----------------+

One that is ALONE has `serving`; another that holds `next` then is its successor."""

from enum import Enum
from typing import Protocol

SERVING, NEXT, READY = "serving", "next", b"ready"


class Stage(Enum):
    WAITING = "waiting"  # another process takes over already
    TAKING = "taking over"  # the predecessor lives
    ALONE = "alone"  # no predecessor


class Locking(Protocol):
    """ProcessLocks that end with their process; each call may raise OSError."""

    def take(self, name: str) -> bool: ...
    def give(self, name: str) -> None: ...
    def held(self, name: str) -> bool: ...
    def mark(self, name: str, mark: bytes) -> None: ...
    def marked(self, name: str, mark: bytes) -> bool: ...


class Handover:
    def __init__(self, locks: Locking) -> None:
        self.locks, self.stage = locks, Stage.WAITING
        self.successor, self.successor_ready = False, False
        self.look()

    @property
    def live(self) -> int:
        """How many processes there are to share what one may have."""
        return 2 if self.successor or self.stage is not Stage.ALONE else 1

    def look(self) -> None:
        locks = self.locks
        if self.stage is not Stage.ALONE and locks.take(SERVING):
            if self.stage is Stage.TAKING:
                locks.give(NEXT)
            self.stage = Stage.ALONE
        elif self.stage is Stage.WAITING and locks.take(NEXT):
            self.stage = Stage.TAKING
        if self.stage is Stage.ALONE:
            self.successor = locks.held(NEXT)
            self.successor_ready = self.successor and locks.marked(NEXT, READY)

    def ready(self) -> None:
        """This process can serve: its predecessor may go."""
        if self.stage is Stage.TAKING:
            self.locks.mark(NEXT, READY)

    def leaving(self) -> None:
        """This process was asked to stop: nobody may hand over to it any more."""
        if self.stage is Stage.TAKING:
            self.locks.mark(NEXT, b"")
