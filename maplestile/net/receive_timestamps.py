"""The earliest time at which the input at hand can have come: a busy loop reads it later than that."""

import selectors
import time
from collections.abc import Callable

WAITED_S = 0.00005  # a select that took longer did wait, so what it found had just come
AWAY_S = 0.05  # so long between two selects: what has come meanwhile is not read yet
STANDSTILL_S = 0.1  # so long between two selects, or after one was due: the process was busy or stopped


class TimestampingSelector(selectors.DefaultSelector):
    """A selector that keeps the time from which on the events of the last select can have happened.

    Times are Unix microseconds by `clock`; durations are measured by the monotonic clock.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        super().__init__()
        self.clock = clock
        self.since_us = clock()  # from which on the events of the last select can have happened
        self.read_us = self.since_us  # the same of the select before
        self.last_idle_us = 0  # when it last waited: no input was left unread then
        self.busiest_s = 0.0  # the longest time between two selects
        self._returned_us = clock()
        self._returned_s = time.perf_counter()
        self._standstill_us = 0  # since when the process may have stood still, until it has caught up
        self._was_away = False  # it has not waited since there was a long time between two selects

    def input_is_old(self) -> bool:
        """Return whether bytes may have come over `AWAY_S` ago that have not been read yet."""
        return self._was_away or time.perf_counter() - self._returned_s > AWAY_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and note how old they can be."""
        started_s = time.perf_counter()
        busy_s = started_s - self._returned_s
        self.read_us = self.since_us  # a stream's reader runs one turn after the select that found its bytes
        self.busiest_s = max(self.busiest_s, busy_s)
        # After a long time the first select is one without a wait: what it finds was there before.
        found = super().select(0) if busy_s > STANDSTILL_S else []
        may_wait = not found and timeout != 0
        if not found:
            found = super().select(timeout)
        self._returned_s = time.perf_counter()
        took_s = self._returned_s - started_s
        overslept_s = 0.0 if timeout is None else took_s - max(0.0, timeout)
        waited = may_wait and took_s > WAITED_S  # all input was read before it
        self._note(busy_s, overslept_s, may_wait, waited)
        return found

    def _note(self, busy_s: float, overslept_s: float, may_wait: bool, waited: bool) -> None:
        """Note what the select that has just returned shows of the age of its events."""
        now_us = self.clock()
        was_away = busy_s > AWAY_S or overslept_s > AWAY_S
        stood_still = overslept_s > STANDSTILL_S or (busy_s > STANDSTILL_S and not may_wait)
        if was_away:
            self._was_away = True
        elif waited:
            self._was_away = False
        if stood_still:
            self._standstill_us = self._returned_us
        elif waited:
            self._standstill_us = 0
            self.last_idle_us = now_us
        # Without a wait the event may be as old as the select before, whose work has kept the loop busy; and
        # until the loop has caught up, as old as a standstill: so may be what a new connection brings.
        self.since_us = self._standstill_us or (now_us if waited else self._returned_us)
        self._returned_us = now_us
