"""Schedules the garbage collector off the hot path: each of its passes stops the event loop.

Closed connections are cycles (asyncio's streams, transports and tasks refer to each other). Those that stayed
open for a while are in the oldest generation, which the collector by itself would hardly ever reach.
"""

import gc
import time
from collections import Counter

YOUNG_ALLOCATIONS = 20_000  # allocations between two passes of the youngest generation
# Passes of a generation to each of the next one: so high that full passes are the program's own.
OLDER_THRESHOLDS = (20, 50)
FULL_PASS_INTERVAL_S = 15.0  # at least: one takes 100 ms in a process at its full load
# A full pass comes only after so many connections, which keep some KB each until then.
CONNECTIONS_PER_FULL_PASS = 100
CONNECTION_COUNTERS = (
    "clients.connections",
    "runners.connections",
    "invoke.connections",
    "operator.connections",
)


class GcScheduler:
    """Runs full passes when they are worth their pause, and counts the longest in `gc.longest_us`."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters
        self._pass_started_s = 0.0
        self._last_full_s = 0.0
        self._opened_at_last_full = 0

    def start(self) -> None:
        """Set the thresholds, and exempt all objects that exist now, which live as long as the process."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNG_ALLOCATIONS, *OLDER_THRESHOLDS)
        gc.callbacks.append(self._on_pass)

    def stop(self) -> None:
        """Stop measuring passes; the thresholds stay."""
        gc.callbacks.remove(self._on_pass)

    def collect_if_due(self, now_s: float) -> None:
        """Run a full pass if one is due; to be called about once a second.

        With nothing to be found, passes by the clock alone made answers miss their deadlines.
        """
        opened = sum(self.counters[name] for name in CONNECTION_COUNTERS)  # about as many have been closed
        enough_time = now_s - self._last_full_s >= FULL_PASS_INTERVAL_S
        if enough_time and opened - self._opened_at_last_full >= CONNECTIONS_PER_FULL_PASS:
            self._last_full_s = now_s
            self._opened_at_last_full = opened
            gc.collect()

    def _on_pass(self, phase: str, _info: dict[str, int]) -> None:
        """Keep the longest pause; a callback of the collector's."""
        now_s = time.perf_counter()
        if phase == "stop":
            pause_us = int((now_s - self._pass_started_s) * 1e6)
            self.counters["gc.longest_us"] = max(self.counters["gc.longest_us"], pause_us)
        self._pass_started_s = now_s
