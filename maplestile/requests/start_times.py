"""Estimates by the router's own clock when workers started.

The endpoint list gives start times by the wall clocks of other machines. The router's wall clock may have
been wrong when the process started, by seconds or by an hour. What the router has seen itself limits the
error: a worker cannot have started after its entry came, nor long before a list that did not have the entry.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from maplestile.dispatch.api import WorkerEntry

MAX_LIST_DELAY_US = 7_000_000  # the name server counts a change as told after this time at the latest
MAX_REMOVED = 1024  # removed workers that are remembered, since a stale list may leave out some for a while


@dataclass(slots=True, frozen=True)
class StartTime:
    """The start of one process of a worker."""

    listed_us: int  # as the endpoint list gives it
    estimate_us: int  # by the router's clock


@dataclass(slots=True)
class StartTimes:
    """The estimated start times of the listed workers; 0 stands for a long time ago."""

    _by_uid: dict[str, StartTime] = field(default_factory=dict)  # removed workers first, oldest first
    _current_us: int = 0  # when the list was last known to be current; 0 if never

    def __len__(self) -> int:
        return len(self._by_uid)

    def mark_current(self, now_us: int) -> None:
        """Record that the name server has given the whole list as it is now."""
        self._current_us = now_us

    def update(self, entries: Mapping[str, WorkerEntry], now_us: int) -> None:
        """Estimate the start times of new entries; of removed ones, remember the latest `MAX_REMOVED`."""
        listed = {uid: self._start_time(entry, now_us) for uid, entry in entries.items()}
        removed = [(uid, start) for uid, start in self._by_uid.items() if uid not in listed]
        self._by_uid = dict(removed[-MAX_REMOVED:]) | listed

    def estimate(self, entry: WorkerEntry) -> int:
        """Return when the worker of an entry started; as listed if `update` has not seen the entry."""
        known = self._by_uid.get(entry.worker)
        if known is None or known.listed_us != entry.started_us:
            return entry.started_us
        return known.estimate_us

    def _start_time(self, entry: WorkerEntry, now_us: int) -> StartTime:
        known = self._by_uid.get(entry.worker)
        listed_us = entry.started_us
        if known is not None and known.listed_us == listed_us:
            return known
        if not listed_us:
            return StartTime(0, 0)
        earliest_us = self._current_us - MAX_LIST_DELAY_US if self._current_us else 0
        # A time outside these limits tells nothing, and a worker that has just started bears least.
        estimate_us = listed_us if earliest_us <= listed_us <= now_us else now_us
        if known is not None and listed_us > known.listed_us:  # a restart, which must be recognized as one
            estimate_us = max(estimate_us, known.estimate_us + 1)
        return StartTime(listed_us, estimate_us)
