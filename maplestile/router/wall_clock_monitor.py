"""Detects steps of the wall clock, which make the times of other programs' logs and lists hard to compare."""

import logging
import time
from collections import Counter

MIN_STEP_US = 100_000  # a smaller change is a slew of the clock
MAX_READING_US = 1_000  # a longer reading was interrupted, and its two clocks do not belong together
US_PER_S = 1_000_000

log = logging.getLogger("maplestile")


class WallClockMonitor:
    """Compares the wall clock with the monotonic clock, and counts and logs its steps."""

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._offset_us: int | None = None  # of the wall clock from the monotonic one; None before a reading

    def check(self) -> None:
        """Record a step of the wall clock since the last check."""
        offset_us = _read_offset_us()
        if offset_us is None:
            return
        if self._offset_us is not None:
            self._record_change(offset_us - self._offset_us)
        self._offset_us = offset_us

    def _record_change(self, change_us: int) -> None:
        if abs(change_us) < MIN_STEP_US:
            return
        self._counters["clock.steps"] += 1
        log.warning("the wall clock was stepped by %+.3f s", change_us / US_PER_S)


def _read_offset_us() -> int | None:
    """Return the offset of the wall clock from the monotonic one; None if the reading was interrupted."""
    before_us = time.monotonic_ns() // 1000
    wall_us = time.time_ns() // 1000
    after_us = time.monotonic_ns() // 1000
    return None if after_us - before_us > MAX_READING_US else wall_us - after_us
