"""When the bytes at hand can have come at the earliest: a busy loop reads them later than that."""

import selectors
import time
from collections.abc import Callable

WAITED_S = 0.00005  # a select that took longer than this did wait, so what it found had just come
STOOD_S = 0.1  # one that came back so long after its time tells that the process stood still


class StampedSelector(selectors.DefaultSelector):
    """Keeps the time from which on the events of the last select can have happened."""

    def __init__(self, clock: Callable[[], int]) -> None:
        super().__init__()
        self.clock, self.since_us, self.returned_us = clock, clock(), clock()
        self.read_us = self.since_us
        self.rested_us = 0  # when it last waited: then nothing that had come was left to be read
        self.stood_us = 0  # since when it may have stood still, until it has caught up
        self.busiest_s, self.returned_s = 0.0, time.perf_counter()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        began = time.perf_counter()
        self.read_us = self.since_us  # a stream's reader runs one turn after the select that found its bytes
        self.busiest_s = max(self.busiest_s, began - self.returned_s)
        found = super().select(timeout)
        self.returned_s = time.perf_counter()
        now, took = self.clock(), self.returned_s - began
        if timeout is not None and took > max(0.0, timeout) + STOOD_S:
            self.stood_us = self.returned_us
        elif took > WAITED_S:
            self.stood_us, self.rested_us = 0, now
        # Without a wait the event may be as old as the select before, whose work has kept the loop busy; and
        # until the loop has caught up, as old as a standstill: so may be what a new connection brings.
        self.since_us = self.stood_us or (now if took > WAITED_S else self.returned_us)
        self.returned_us = now
        return found
