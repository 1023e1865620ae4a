"""Compares the memory of a router process with its limit, over which the platform kills the process."""

import logging
from collections import Counter
from collections.abc import Callable

from maplestile.common.process_memory import resident_bytes

log = logging.getLogger("maplestile")
KB = 1024
KB_PER_MB = 1024
WARNING_SHARE = 0.9  # of the limit


class MemoryMonitor:
    """Keeps the present and the highest resident memory as counters, and warns close to the limit."""

    def __init__(
        self, limit_mb: float, counters: Counter[str], read_bytes: Callable[[], int] = resident_bytes
    ) -> None:
        self.limit_mb = limit_mb
        self.counters = counters
        self.read_bytes = read_bytes

    def check(self) -> None:
        """Read the memory; to be called about once a second."""
        resident_kb = self.read_bytes() // KB
        self.counters["memory.resident_kb"] = resident_kb
        self.counters["memory.peak_kb"] = max(self.counters["memory.peak_kb"], resident_kb)
        if resident_kb > WARNING_SHARE * self.limit_mb * KB_PER_MB:
            resident_mb = resident_kb / KB_PER_MB
            log.warning("the process uses %.1f MB of its limit of %.0f MB", resident_mb, self.limit_mb)
