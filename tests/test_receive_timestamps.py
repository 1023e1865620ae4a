"""When the input that a selector finds can have come at the earliest."""

import selectors
import socket
import unittest
import unittest.mock
from collections.abc import Iterable

from maplestile.net.receive_timestamps import TimestampingSelector

CLOCK = "maplestile.net.receive_timestamps.time.perf_counter"


class TimestampingSelectorTest(unittest.TestCase):
    """The selector on two clocks, of which a test gives every reading."""

    def start_selector(self, unix_us: Iterable[int], monotonic_s: Iterable[float]) -> TimestampingSelector:
        """Return a selector that reads these times, of the monotonic clock one at the start and two a select.

        On the real clock a busy machine would take a pause for a wait.
        """
        unix_readings = iter(unix_us)
        monotonic_readings = iter(monotonic_s)
        clock = unittest.mock.patch(CLOCK, lambda: next(monotonic_readings))
        clock.start()
        self.addCleanup(clock.stop)
        selector = TimestampingSelector(lambda: next(unix_readings))
        self.addCleanup(selector.close)
        return selector

    def test_what_a_select_finds_without_waiting_may_be_as_old_as_the_select_before(self) -> None:
        selector = self.start_selector(
            [100, 100, 200, 900, 1_500], [0.0, 0.0, 0.01, 0.0107, 0.0107, 0.0113, 0.0113]
        )
        selector.select(0.001)  # waits, by that clock
        self.assertEqual(selector.earliest_event_us, 200)
        selector.select(-1)  # after 700 microseconds of work, does not wait
        self.assertEqual(selector.earliest_event_us, 200)
        selector.select(-1)  # the reader of what the last one found runs only now
        self.assertEqual((selector.earliest_read_us, selector.earliest_event_us), (200, 900))

    def test_what_came_while_the_process_stood_still_is_old_until_the_loop_has_waited(self) -> None:
        selector = self.start_selector(
            [100, 100, 1_500_100, 1_500_300, 1_520_000, 1_910_000],
            [0.0, 0.0, 1.5, 1.5, 1.5002, 1.501, 1.52, 1.521, 1.9, 1.91, 1.9101],
        )
        selector.select(0.001)  # came back 1.5 s late
        self.assertEqual(selector.earliest_event_us, 100)
        selector.select(0)  # that it took longer than a reading shows no wait
        self.assertEqual(selector.earliest_event_us, 100)
        selector.select(0.02)
        self.assertEqual((selector.earliest_event_us, selector.last_idle_us), (1_520_000, 1_520_000))
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        selector.register(reader, selectors.EVENT_READ)
        writer.send(b"x")
        selector.select(0.02)  # 0.4 s after the last one, and then another 10 ms: it was there before
        self.assertEqual((selector.earliest_event_us, selector.last_idle_us), (1_520_000, 1_520_000))
