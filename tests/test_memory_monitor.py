"""Tests of the counters and the warning of a process's memory."""

import logging
from collections import Counter

import pytest

from maplestile.common import process_memory
from maplestile.router.memory_monitor import MemoryMonitor

MB = 1 << 20


def test_resident_memory_of_this_process_is_read() -> None:
    assert process_memory.resident_bytes() > MB


def test_peak_is_kept_and_memory_close_to_the_limit_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    counters = Counter[str]()
    readings = [20 * MB, 31 * MB, 10 * MB]
    monitor = MemoryMonitor(32, counters, lambda: readings.pop(0))
    with caplog.at_level(logging.WARNING):
        monitor.check()
        assert not caplog.records
        monitor.check()
        assert "31.0 MB of its limit of 32 MB" in caplog.text
        monitor.check()
    assert len(caplog.records) == 1
    assert (counters["memory.resident_kb"], counters["memory.peak_kb"]) == (10 * 1024, 31 * 1024)
