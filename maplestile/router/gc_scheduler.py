"""Schedules garbage collection outside the hot path, since each collection blocks the event loop.

Closed connections are reference cycles, because asyncio's streams, transports and tasks refer to each other.
Those that were open for a while are in the oldest generation, which automatic collection would rarely reach.
"""

import gc
import time
from collections import Counter

YOUNGEST_THRESHOLD = 20_000  # allocations between two collections of the youngest generation
# Collections of a generation before the next older one is collected, for the two older generations. They are
# so high that practically all full collections are those started here.
OLDER_THRESHOLDS = (20, 50)
MIN_FULL_INTERVAL_S = 15.0  # between full collections; one takes 100 ms in a process at full load
# New connections between full collections; a closed connection holds some KB until it is collected.
CONNECTIONS_PER_FULL_COLLECTION = 100
# New connections between collections of the two younger generations, which hold those that were open briefly.
CONNECTIONS_PER_YOUNG_COLLECTION = 100
YOUNG_GENERATION = 1
CONNECTION_COUNTERS = (
    "clients.connections",
    "runners.connections",
    "invoke.connections",
    "operator.connections",
)


class GcScheduler:
    """A scheduler of full collections; it keeps the longest pause of a collection in `gc.longest_us`."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters
        self._collection_started_s = 0.0
        self._last_full_s = 0.0
        self._opened_at_last_full = 0
        self._opened_at_last_young = 0

    def start(self) -> None:
        """Set the thresholds, and exempt all existing objects, which live as long as the process."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNGEST_THRESHOLD, *OLDER_THRESHOLDS)
        gc.callbacks.append(self._on_collection)

    def stop(self) -> None:
        """Stop measuring collections; the thresholds remain set."""
        gc.callbacks.remove(self._on_collection)

    def collect_if_due(self, now_s: float) -> None:
        """Run a collection if one is due; to be called about once a second.

        A full collection also requires enough new connections: when collections ran at fixed intervals,
        without garbage to be found, their pauses made answers miss their deadlines. A crowd of thousands of
        connections leaves too much until then; the younger generations are collected quickly.
        """
        opened = sum(self.counters[name] for name in CONNECTION_COUNTERS)  # about as many were closed
        enough_time = now_s - self._last_full_s >= MIN_FULL_INTERVAL_S
        if enough_time and opened - self._opened_at_last_full >= CONNECTIONS_PER_FULL_COLLECTION:
            self._last_full_s = now_s
            self._opened_at_last_full = self._opened_at_last_young = opened
            gc.collect()
        elif opened - self._opened_at_last_young >= CONNECTIONS_PER_YOUNG_COLLECTION:
            self._opened_at_last_young = opened
            gc.collect(YOUNG_GENERATION)

    def _on_collection(self, phase: str, _info: dict[str, int]) -> None:
        """Measure a collection, and keep the longest pause; called by `gc.callbacks`."""
        now_s = time.perf_counter()
        if phase == "stop":
            pause_us = int((now_s - self._collection_started_s) * 1e6)
            self.counters["gc.longest_us"] = max(self.counters["gc.longest_us"], pause_us)
        self._collection_started_s = now_s
