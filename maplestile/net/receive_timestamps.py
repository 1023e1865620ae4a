"""When the bytes at hand can have come at the earliest: a busy loop reads them later than that."""

import selectors
import time
from collections.abc import Callable

WAITED_S = 0.00005  # a select that took longer than this did wait, so what it found had just come
AWAY_S = 0.05  # so long between two selects: what has come meanwhile is not read yet
STOOD_S = 0.1  # so long between two selects, or after the end of one: the process was busy, or stood still


class TimestampingSelector(selectors.DefaultSelector):
    """Keeps the time from which on the events of the last select can have happened."""

    def __init__(self, clock: Callable[[], int]) -> None:
        super().__init__()
        self.clock, self.since_us, self.returned_us = clock, clock(), clock()
        self.read_us = self.since_us
        self.rested_us = 0  # when it last waited: then nothing that had come was left to be read
        self.stood_us = 0  # since when it may have stood still, until it has caught up
        self.busiest_s, self.returned_s = 0.0, time.perf_counter()
        self.away = False  # it has not rested since it was away from its selects for long

    def input_is_old(self) -> bool:
        """Bytes may have come over `AWAY_S` ago that have not been read yet."""
        return self.away or time.perf_counter() - self.returned_s > AWAY_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        began = time.perf_counter()
        busy_s = began - self.returned_s
        self.read_us = self.since_us  # a stream's reader runs one turn after the select that found its bytes
        self.busiest_s = max(self.busiest_s, busy_s)
        # After a long time the first look is one without a wait: what it finds was there before.
        found = super().select(0) if busy_s > STOOD_S else []
        rested = not found and timeout != 0
        if not found:
            found = super().select(timeout)
        self.returned_s = time.perf_counter()
        now, took = self.clock(), self.returned_s - began
        overslept = timeout is not None and took > max(0.0, timeout) + AWAY_S
        if busy_s > AWAY_S or overslept:
            self.away = True
        elif rested and took > WAITED_S:  # all input was read before it
            self.away = False
        if (timeout is not None and took > max(0.0, timeout) + STOOD_S) or (busy_s > STOOD_S and not rested):
            self.stood_us = self.returned_us
        elif rested and took > WAITED_S:
            self.stood_us, self.rested_us = 0, now
        # Without a wait the event may be as old as the select before, whose work has kept the loop busy; and
        # until the loop has caught up, as old as a standstill: so may be what a new connection brings.
        self.since_us = self.stood_us or (now if rested and took > WAITED_S else self.returned_us)
        self.returned_us = now
        return found
