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


class BusyLoopTest(unittest.TestCase):
    """An event loop that never waits, since a client sends all the time."""

    STEP_US = 1_000  # from one select to the next
    PAUSE_US = 1_500_000

    def setUp(self) -> None:
        self.now_us = 1_000_000
        clock = unittest.mock.patch(CLOCK, lambda: self.now_us / 1e6)
        clock.start()
        self.addCleanup(clock.stop)
        self.selector = TimestampingSelector(lambda: self.now_us)
        self.addCleanup(self.selector.close)
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        writer.send(b"x")  # is never read
        self.selector.register(reader, selectors.EVENT_READ)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.selector.register(self.listener, selectors.EVENT_READ)

    def ages_us(self, selects: int) -> list[int]:
        """Return the greatest possible age of the events of each of the next selects."""
        ages = list[int]()
        for _ in range(selects):
            self.now_us += self.STEP_US
            self.selector.select(0.01)
            ages.append(self.now_us - self.selector.earliest_event_us)
        return ages

    def test_input_of_other_clients_is_not_as_old_as_a_pause_for_good(self) -> None:
        """Guards against requests of all clients that are shed as too old while one client sends."""
        self.now_us += self.PAUSE_US
        ages = self.ages_us(10)
        self.assertGreater(min(ages[:3]), self.PAUSE_US)
        self.assertLess(max(ages[5:]), self.PAUSE_US)

    def test_socket_that_does_not_tell_whether_it_listens_is_registered(self) -> None:
        """Guards against a router that cannot start since the system refuses one question about a socket."""
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        with unittest.mock.patch.object(socket.socket, "getsockopt", side_effect=OSError("not supported")):
            key = self.selector.register(reader, selectors.EVENT_READ)
        self.assertIs(self.selector.get_key(reader), key)
        self.selector.unregister(reader)

    def test_connections_that_waited_to_be_accepted_are_as_old_as_a_pause(self) -> None:
        client = socket.create_connection(self.listener.getsockname())  # is never accepted
        self.addCleanup(client.close)
        self.now_us += self.PAUSE_US
        ages = self.ages_us(80)
        self.assertGreater(min(ages[:60]), self.PAUSE_US)
        self.assertLess(max(ages[70:]), self.PAUSE_US)
