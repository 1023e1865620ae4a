"""Runners that operators have taken out, by hand and for as long as they say so.

A ban is shown to the decisions and to the pool as a drain (`EndpointList.suspended`). Cordons stand on a
shelf that the process of an upgrade shares with the one before it; either may be called."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from maplestile.wire.limits import Limits

log = logging.getLogger(__name__)


class CordonStore(Protocol):
    """Names that outlive the process; each call may raise OSError."""

    def names(self) -> set[str]: ...
    def put(self, name: str) -> None: ...
    def remove(self, name: str) -> None: ...


class Cordons:
    def __init__(
        self, shelf: CordonStore | None, limits: Limits, counters: Counter[str], changed: Callable[[], None]
    ) -> None:
        self.shelf, self.limits, self.counters, self.changed = shelf, limits, counters, changed
        self.banned = frozenset[str]()
        self.unsaved = set[str]()  # those that the shelf did not take yet
        self.known: dict[str, None] = {}  # every runner listed so far, the latest last

    def listed(self, runners: Iterable[str]) -> None:
        for runner in runners:
            self.known.pop(runner, None)
            self.known[runner] = None
        while len(self.known) > self.limits.runners_known:  # guards memory: runners come and go for good
            del self.known[next(iter(self.known))]

    def suspend(self, runner: str) -> bool:
        """False for one that was never listed. What the shelf does not take holds in this process."""
        if not self._was_listed(runner):
            return False
        self.counters["operation.suspends"] += 1
        log.info("runner %s is suspended", runner)
        self._save(runner)
        self._set(self.banned | {runner})
        return True

    def resume(self, runner: str) -> bool:
        if not self._was_listed(runner):
            return False
        self.counters["operation.resumes"] += 1
        log.info("runner %s is put back", runner)
        self.unsaved.discard(runner)
        if self.shelf is not None:
            try:
                self.shelf.remove(runner)
            except OSError as fault:
                self._fault(fault)
        self._set(self.banned - {runner})
        return True

    def look(self) -> None:
        """Follow what the other process was told. A shelf that cannot be read lifts no ban."""
        if self.shelf is None:
            return
        try:
            found = self.shelf.names()
        except OSError as fault:
            self._fault(fault)
            self.unsaved |= self.banned  # it was lost, or will be there again: then it gets all that holds
            found = set()
        for runner in list(self.unsaved):
            self._save(runner)
        self._set(frozenset(found | self.unsaved))

    def _was_listed(self, runner: str) -> bool:
        return runner in self.known or runner in self.banned

    def _save(self, runner: str) -> None:
        self.unsaved.add(runner)
        if self.shelf is None:
            return
        try:
            self.shelf.put(runner)
        except OSError as fault:
            self._fault(fault)
        else:
            self.unsaved.discard(runner)

    def _set(self, banned: frozenset[str]) -> None:
        if banned != self.banned:
            self.banned = banned
            self.changed()

    def _fault(self, fault: OSError) -> None:
        self.counters["operation.shelf_faults"] += 1
        log.warning("the folder of suspended runners: %s; bans known here hold", fault)
