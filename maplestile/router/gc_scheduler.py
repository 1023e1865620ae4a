"""The garbage collector, kept off the hot path and yet in use: each of its passes stops the loop.

Closed connections are cycles (asyncio's streams, transports and tasks point at each other). Those that have
stood for a while are in the oldest generation, which the collector by itself would hardly ever look at."""

import gc
import time
from collections import Counter

YOUNGEST = 20_000  # allocations between looks of the youngest generation
OLDEST = (20, 50)  # looks of a younger generation to each of the next; so full passes are the program's own
FULL_S = 15.0  # the least time between full passes: one takes 100 ms in a process at its full load
# What full passes are for, so none comes before: until it does, so many lie about, with some KB each.
CLOSED = 100
CONNECTIONS = ("clients.connections", "runners.connections", "invoke.connections", "operator.connections")


class GcScheduler:
    def __init__(self, counters: Counter[str]) -> None:
        self.counters, self.began_s, self.full_s, self.opened = counters, 0.0, 0.0, 0

    def start(self) -> None:
        """What stands now stands for good, and is not looked at again."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(YOUNGEST, *OLDEST)
        gc.callbacks.append(self._passed)

    def stop(self) -> None:
        gc.callbacks.remove(self._passed)

    def look(self, now_s: float) -> None:
        """Called now and then; makes a full pass when one is due.

        Guards the answers' deadlines: with nothing to be found, passes by the clock alone made calls late."""
        opened = sum(self.counters[name] for name in CONNECTIONS)  # about as many have been closed
        if now_s - self.full_s >= FULL_S and opened - self.opened >= CLOSED:
            self.full_s, self.opened = now_s, opened
            gc.collect()

    def _passed(self, phase: str, info: dict[str, int]) -> None:
        """Keeps the longest pause."""
        now_s = time.perf_counter()
        if phase == "stop":
            pause_us = int((now_s - self.began_s) * 1e6)
            self.counters["gc.longest_us"] = max(self.counters["gc.longest_us"], pause_us)
        self.began_s = now_s
