"""Cordoned runners: those that operators have taken out of service until further notice.

The decisions and the pool see a cordon as a drain (`EndpointList.suspended`). Cordons are stored where both
processes of an upgrade see them, so that either may be called.
"""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from maplestile.wire.limits import OperatorLimits

log = logging.getLogger(__name__)


class CordonStore(Protocol):
    """Names that outlive the process; each call may raise OSError."""

    def names(self) -> set[str]:
        """Return the names stored."""
        ...

    def put(self, name: str) -> None:
        """Store a name; one that is stored already stays."""
        ...

    def remove(self, name: str) -> None:
        """Remove a name, if it is stored."""
        ...


class Cordons:
    """The cordons in force here; `on_change` is called after each change of `cordoned`."""

    def __init__(
        self,
        store: CordonStore | None,
        limits: OperatorLimits,
        counters: Counter[str],
        on_change: Callable[[], None],
    ) -> None:
        self.cordoned = frozenset[str]()
        self._store = store
        self._limits = limits
        self._counters = counters
        self._on_change = on_change
        self._unsaved = set[str]()  # cordons that the store did not take yet
        self._known: dict[str, None] = {}  # every runner listed so far, the latest last

    def remember_listed(self, runners: Iterable[str]) -> None:
        """Remember the runners listed: only such runners can be cordoned."""
        for runner in runners:
            self._known.pop(runner, None)
            self._known[runner] = None
        # Bounds memory, since runners come and go for good.
        while len(self._known) > self._limits.known_runners:
            oldest = next(iter(self._known))
            del self._known[oldest]

    def suspend(self, runner: str) -> bool:
        """Cordon a runner, and return false for one that was never listed.

        A cordon that cannot be stored holds in this process.
        """
        if not self._was_listed(runner):
            return False
        self._counters["operation.suspends"] += 1
        log.info("runner %s is suspended", runner)
        self._save(runner)
        self._replace(self.cordoned | {runner})
        return True

    def resume(self, runner: str) -> bool:
        """Lift the cordon of a runner, and return false for one that was never listed."""
        if not self._was_listed(runner):
            return False
        self._counters["operation.resumes"] += 1
        log.info("runner %s is put back", runner)
        self._unsaved.discard(runner)
        self._remove(runner)
        self._replace(self.cordoned - {runner})
        return True

    def refresh(self) -> None:
        """Take over the changes of the other process. A store that cannot be read lifts no cordon."""
        if self._store is None:
            return
        try:
            stored = self._store.names()
        except OSError as error:
            self._count_fault(error)
            # The store was lost, or is unavailable for a while: it gets every cordon in force again.
            self._unsaved |= self.cordoned
            stored = set()
        for runner in list(self._unsaved):
            self._save(runner)
        self._replace(frozenset(stored | self._unsaved))

    def _was_listed(self, runner: str) -> bool:
        return runner in self._known or runner in self.cordoned

    def _save(self, runner: str) -> None:
        self._unsaved.add(runner)
        if self._store is None:
            return
        try:
            self._store.put(runner)
        except OSError as error:
            self._count_fault(error)
        else:
            self._unsaved.discard(runner)

    def _remove(self, runner: str) -> None:
        if self._store is None:
            return
        try:
            self._store.remove(runner)
        except OSError as error:
            self._count_fault(error)

    def _replace(self, cordoned: frozenset[str]) -> None:
        if cordoned != self.cordoned:
            self.cordoned = cordoned
            self._on_change()

    def _count_fault(self, error: OSError) -> None:
        self._counters["operation.cordon_store_faults"] += 1
        log.warning("the folder of suspended runners: %s; bans known here hold", error)
