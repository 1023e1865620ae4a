"""Cordoned runners: those that operators have taken out of service until they resume them.

The dispatcher and the pool treat a cordoned runner as a draining one (`EndpointList.suspended`). Cordons are
stored in a folder that both processes of a handover read, so that operators may send a change to either
process.
"""

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

from maplestile.wire.limits import OperatorLimits

log = logging.getLogger(__name__)


class CordonStore(Protocol):
    """A store of runner names that outlives the process. Every method may raise OSError."""

    def names(self) -> set[str]:
        """Return the stored names."""
        ...

    def put(self, name: str) -> None:
        """Store a name. Does nothing if it is already stored."""
        ...

    def remove(self, name: str) -> None:
        """Remove a name. Does nothing if it is not stored."""
        ...


class Cordons:
    """The cordons in force in this process; `on_change` is called after each change of `cordoned`."""

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
        self._unsaved = set[str]()  # cordons that could not be stored yet
        # Runners that were listed, as an ordered set: the most recently listed is last.
        self._listed_runners: dict[str, None] = {}

    def remember_listed(self, runners: Iterable[str]) -> None:
        """Remember the listed runners: only runners that were listed can be cordoned."""
        for runner in runners:
            self._listed_runners.pop(runner, None)
            self._listed_runners[runner] = None
        # Limits the memory used, since runners are removed for good and new ones are added.
        while len(self._listed_runners) > self._limits.known_runners:
            oldest = next(iter(self._listed_runners))
            del self._listed_runners[oldest]

    def suspend(self, runner: str) -> bool:
        """Cordon a runner, and return whether it was ever listed; one that never was is not cordoned.

        A cordon that cannot be stored is in force in this process only, until it can be stored.
        """
        if not self._was_listed(runner):
            return False
        self._counters["operation.suspends"] += 1
        log.info("runner %s was suspended by an operator", runner)
        self._save(runner)
        self._set_cordoned(self.cordoned | {runner})
        return True

    def resume(self, runner: str) -> bool:
        """Lift the cordon of a runner, and return whether the runner was ever listed."""
        if not self._was_listed(runner):
            return False
        self._counters["operation.resumes"] += 1
        log.info("runner %s was resumed by an operator", runner)
        self._unsaved.discard(runner)
        self._remove(runner)
        self._set_cordoned(self.cordoned - {runner})
        return True

    def refresh(self) -> None:
        """Apply the changes that the other process stored. If the store cannot be read, all cordons stay."""
        if self._store is None:
            return
        try:
            stored = self._store.names()
        except OSError as error:
            self._report_store_error(error)
            # The store is lost or unavailable for a while, so every cordon in force must be stored again.
            self._unsaved |= self.cordoned
            stored = set()
        for runner in list(self._unsaved):
            self._save(runner)
        self._set_cordoned(frozenset(stored | self._unsaved))

    def _was_listed(self, runner: str) -> bool:
        return runner in self._listed_runners or runner in self.cordoned

    def _save(self, runner: str) -> None:
        self._unsaved.add(runner)
        if self._store is None:
            return
        try:
            self._store.put(runner)
        except OSError as error:
            self._report_store_error(error)
        else:
            self._unsaved.discard(runner)

    def _remove(self, runner: str) -> None:
        if self._store is None:
            return
        try:
            self._store.remove(runner)
        except OSError as error:
            self._report_store_error(error)

    def _set_cordoned(self, cordoned: frozenset[str]) -> None:
        if cordoned != self.cordoned:
            self.cordoned = cordoned
            self._on_change()

    def _report_store_error(self, error: OSError) -> None:
        self._counters["operation.cordon_store_faults"] += 1
        log.warning(
            "cannot access the folder of cordoned runners: %s; cordons known here stay in force",
            error,
        )
