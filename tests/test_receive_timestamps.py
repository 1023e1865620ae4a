"""Tests of the earliest possible arrival time of input that a selector finds."""

import selectors
import socket
import unittest
import unittest.mock
from collections.abc import Iterable

from maplestile.net.receive_timestamps import TimestampingSelector

CLOCK = "maplestile.net.receive_timestamps.time.perf_counter"


class TimestampingSelectorTest(unittest.TestCase):
    """A selector with two fake clocks whose every reading is given by the test."""

    def start_selector(self, unix_us: Iterable[int], monotonic_s: Iterable[float]) -> TimestampingSelector:
        """Return a selector that reads these times from its clocks.

        The monotonic clock is read once at the start and twice per select. With the real clock, a pause on a
        busy machine would count as a wait.
        """
        unix_readings = iter(unix_us)
        monotonic_readings = iter(monotonic_s)
        clock = unittest.mock.patch(CLOCK, lambda: next(monotonic_readings))
        clock.start()
        self.addCleanup(clock.stop)
        selector = TimestampingSelector(lambda: next(unix_readings))
        self.addCleanup(selector.close)
        return selector

    def test_events_found_without_wait_may_be_as_old_as_previous_select(self) -> None:
        selector = self.start_selector(
            [100, 100, 200, 900, 1_500], [0.0, 0.0, 0.01, 0.0107, 0.0107, 0.0113, 0.0113]
        )
        selector.select(0.001)  # has waited, by the fake clock
        self.assertEqual(selector.earliest_event_us, 200)
        selector.select(-1)  # after 700 microseconds of work, without waiting
        self.assertEqual(selector.earliest_event_us, 200)
        selector.select(-1)  # what the previous select found is read only after this one
        self.assertEqual((selector.earliest_read_us, selector.earliest_event_us), (200, 900))

    def test_events_are_as_old_as_pause_until_loop_has_waited(self) -> None:
        selector = self.start_selector(
            [100, 100, 1_500_100, 1_500_300, 1_520_000, 1_910_000],
            [0.0, 0.0, 1.5, 1.5, 1.5002, 1.501, 1.52, 1.521, 1.9, 1.91, 1.9101],
        )
        selector.select(0.001)  # returns 1.5 s late
        self.assertEqual(selector.earliest_event_us, 100)
        selector.select(0)  # took longer than `MIN_WAIT_S`, but with timeout 0 that is not a wait
        self.assertEqual(selector.earliest_event_us, 100)
        selector.select(0.02)
        self.assertEqual((selector.earliest_event_us, selector.last_idle_us), (1_520_000, 1_520_000))
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        selector.register(reader, selectors.EVENT_READ)
        writer.send(b"x")
        selector.select(0.02)  # returns 0.36 s late, so its event may be as old as the previous select
        self.assertEqual((selector.earliest_event_us, selector.last_idle_us), (1_520_000, 1_520_000))
