"""The runner pool between doubles of a core and a worker: rules are checked as lines are written."""

import asyncio
import errno
import selectors
import socket
import unittest
import unittest.mock
from collections import Counter
from dataclasses import replace
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.net.receive_timestamps import TimestampingSelector
from maplestile.net.runners import RunnerPool
from maplestile.requests.core import AttemptId, Presence
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire.limits import RunnerLimits
from maplestile.wire.messages import Request
from tests.standins import Worker

CLOCK = "maplestile.net.receive_timestamps.time.perf_counter"


class CoreRecorder:
    """Records how attempts and health checks end."""

    def __init__(self) -> None:
        self.ended: dict[AttemptId, Result] = {}
        self.health_checks_ended: dict[int, Result] = {}

    def catch_up(self) -> None: ...

    def attempt_ended(self, attempt: AttemptId, result: Result, *_: Any) -> None:
        self.ended[attempt] = result

    def presence(self, attempt: AttemptId) -> Presence:
        return Presence.WAITING

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None: ...

    def health_check_ended(self, tag: int, result: Result, *_: Any) -> None:
        self.health_checks_ended[tag] = result


class PoolTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 1_000_000
        self.core = CoreRecorder()
        self.worker = Worker()
        self.endpoints = EndpointList()
        self.counters = Counter[str]()
        limits = RunnerLimits(streams=2, idle_timeout_us=5_000_000, line_pause_us=20_000)
        self.pool = RunnerPool(limits, lambda: self.now, self.counters)
        self.pool.core = self.core
        self.list()

    def list(
        self, state: api.WorkerState = api.WorkerState.RUNNING, started_us: int = 0, port: int = 0
    ) -> None:
        entry = api.WorkerEntry("s-0", "east", "std", 2, state, 4.0, started_us)
        self.endpoints.apply_whole(
            self.endpoints.version + 1, [(entry, ("127.0.0.1", port or self.worker.port))]
        )
        self.pool.update(self.endpoints)

    def send(self, number: int, body: bytes) -> None:
        request = Request(f"t{number}", "f", "review", 5_000_000, body=body)
        self.pool.send((number, 0), "s-0", request, 5_000_000)

    async def until(self, *numbers: int) -> None:
        async with asyncio.timeout(20):
            while not all((n, 0) in self.core.ended for n in numbers):
                await asyncio.sleep(0.005)

    async def test_attempt_that_is_withheld_never_goes_and_one_that_is_out_goes_on(self) -> None:
        self.send(1, b"x")
        self.send(2, b"y")
        self.assertTrue(self.pool.withhold((1, 0)))
        self.assertFalse(self.pool.withhold((1, 0)))  # it is forgotten
        await self.until(2)
        self.assertEqual([line["call"] for line in self.worker.lines], ["t2"])
        self.send(3, b"hang:")
        async with asyncio.timeout(20):
            while len(self.worker.ran) < 2:
                await asyncio.sleep(0.005)
        self.assertFalse(self.pool.withhold((3, 0)))
        self.worker.die()
        await self.until(3)
        self.assertEqual((self.core.ended[3, 0], set(self.core.ended)), (Result.RESET, {(2, 0), (3, 0)}))
        self.assertNotIn("states.invalid_transitions", self.counters)

    async def test_connection_without_a_descriptor_says_nothing_of_the_runner(self) -> None:
        """Clients hold them all: one of those has to make room, and the call goes on elsewhere."""
        starved = list[int]()
        self.pool.starved = lambda: starved.append(1)
        none_left = OSError(errno.EMFILE, "Too many open files")
        with unittest.mock.patch("asyncio.open_connection", side_effect=none_left):
            self.send(1, b"x")
            await self.until(1)
        self.assertEqual((self.core.ended[1, 0], starved), (Result.SUPERSEDED, [1]))

    async def test_send_that_waits_for_its_connection_goes_stale_when_its_runner_is_suspended(self) -> None:
        self.send(1, b"x")
        self.pool.check_health(7, "s-0")
        self.endpoints.suspended = frozenset({"s-0"})
        self.pool.update(self.endpoints)
        await self.until(1)
        self.assertEqual((self.core.ended[1, 0], self.worker.lines), (Result.SUPERSEDED, []))
        self.assertEqual(self.core.health_checks_ended, {7: Result.SUPERSEDED})

    async def test_send_that_waits_for_its_connection_goes_stale_when_a_drain_is_notified(self) -> None:
        self.send(1, b"x")  # the connection is not up before the loop runs
        self.list(api.WorkerState.DRAINING)
        await self.until(1)
        self.assertEqual((self.core.ended[1, 0], self.worker.ran), (Result.SUPERSEDED, []))

    async def test_streams_are_bounded_and_a_second_connection_is_opened(self) -> None:
        for n in range(3):
            self.send(n, b"hang:")
        self.assertEqual(self.pool.connections, 2)
        self.pool.cancel((0, 0))
        self.send(3, b"abc")
        await self.until(3)
        self.assertEqual((self.core.ended[3, 0], self.pool.connections), (Result.OK, 2))

    async def test_idle_time_that_breaks_connections_is_learned_and_forgotten(self) -> None:
        self.send(1, b"abc")
        await self.until(1)
        self.now += 1_000_000
        # The first one after an idle time: it meets the reset of a connection long dropped.
        self.send(2, b"die")
        await self.until(2)
        self.assertEqual(self.pool.idle_timeout.timeout_us, 800_000)
        self.worker = Worker()
        self.list(port=self.worker.port)
        self.send(3, b"abc")
        await self.until(3)
        self.now += 900_000
        self.send(4, b"abc")  # not by the one that has been idle for so long
        await self.until(4)
        self.assertEqual(len(self.worker.open), 2)
        for _ in range(3):
            self.now += 5_100_000
            self.pool.sweep()
        self.assertEqual(self.pool.idle_timeout.timeout_us, 5_000_000)

    async def test_idle_time_that_others_survived_of_late_is_not_blamed_for_a_break(self) -> None:
        """One runner that goes had a router of many close all its idle connections, and shake hands anew."""
        for n in range(5):
            self.send(n, b"abc")
            await self.until(n)
            self.now += 1_000_000
        self.send(9, b"die")
        await self.until(9)
        self.assertEqual(self.pool.idle_timeout.timeout_us, 5_000_000)
        self.assertEqual(self.counters["runners.broke_after_idle"], 1)

    async def test_idle_connections_make_room_for_another_runner_at_the_cap(self) -> None:
        """A fleet of more runners than descriptors: each call to a further one counted as refused there."""
        self.pool.limits = replace(self.pool.limits, connections=2)
        workers = [Worker() for _ in range(4)]
        entries = [
            (
                api.WorkerEntry(f"m-{n}", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0),
                ("127.0.0.1", worker.port),
            )
            for n, worker in enumerate(workers)
        ]
        self.endpoints.apply_whole(self.endpoints.version + 1, entries)
        self.pool.update(self.endpoints)
        for number in range(4):
            self.now += 1_000
            request = Request(f"t{number}", "f", "review", 5_000_000, body=b"abc")
            self.pool.send((number, 0), f"m-{number}", request, 5_000_000)
            await self.until(number)
        self.assertEqual(set(self.core.ended.values()), {Result.OK})
        self.assertEqual((self.pool.connections, self.counters["runners.idle_evicted"]), (2, 2))
        self.assertEqual([len(self.pool.runners[f"m-{n}"].connections) for n in range(4)], [0, 0, 1, 1])

    async def test_restarted_runner_is_not_spoken_to_on_an_old_connection(self) -> None:
        self.send(1, b"hang:")
        self.send(2, b"abc")
        await self.until(2)
        self.list(started_us=2_000_000)
        self.assertEqual(self.core.ended[1, 0], Result.RESET)
        self.now = 3_000_000
        self.send(3, b"abc")
        await self.until(3)
        self.assertEqual(self.core.ended[3, 0], Result.OK)

    async def test_idle_connection_is_closed_before_the_runner_does(self) -> None:
        self.send(1, b"abc")
        await self.until(1)
        self.now += 4_000_000
        self.pool.sweep()
        self.assertEqual(self.pool.connections, 1)
        self.now += 1_000_000
        self.pool.sweep()
        self.assertEqual(self.pool.connections, 0)

    async def test_refused_connection_proves_that_nothing_ran(self) -> None:
        self.worker.die()
        self.send(1, b"abc")
        await self.until(1)
        self.assertEqual(self.core.ended[1, 0], Result.CONNECT_FAILED)
        self.pool.send((2, 0), "s-unknown", Request("t", "f", "review", 1), 1)
        self.assertEqual(self.core.ended[2, 0], Result.CONNECT_FAILED)

    async def test_death_resets_what_was_written(self) -> None:
        self.send(1, b"die")
        await self.until(1)
        self.assertEqual(self.core.ended[1, 0], Result.RESET)

    async def test_line_that_cannot_be_read_condemns_its_connection_and_all_that_is_open_there(self) -> None:
        long = b"x" * 70_000
        for n, spoilt in enumerate((b"\x99\xce\n", b'{"call":"TAG"}\n', b"5\n", b'{"kind":"200', long)):
            self.send(2 * n, b"hang:")
            self.send(2 * n + 1, b"raw:" + spoilt)  # on the same connection; the last two have no end
            await self.until(2 * n, 2 * n + 1)
            results = self.core.ended[2 * n, 0], self.core.ended[2 * n + 1, 0]
            self.assertEqual(results, (Result.RESET, Result.RESET))
            self.assertEqual(self.pool.connections, 0)
        self.assertEqual(self.counters["runners.malformed"], 5)

    async def test_second_copies_and_unknown_ids_are_dropped_and_the_connection_goes_on(self) -> None:
        good = b'{"kind":"200","call":"TAG"}\n'
        self.send(1, b"raw:" + good.replace(b"TAG", b"nobody") + 2 * good)
        await self.until(1)
        self.send(2, b"abc")
        await self.until(2)
        self.assertEqual((self.core.ended[1, 0], self.core.ended[2, 0]), (Result.OK, Result.OK))
        self.assertEqual((self.counters["runners.late"], self.pool.connections), (2, 1))

    async def test_try_after_a_full_answer_does_not_take_the_second_copy_of_that_for_its_own(self) -> None:
        self.send(1, b"full:")
        await self.until(1)
        self.pool.send((1, 1), "s-0", Request("t1", "f", "review", 5_000_000, body=b"abc"), 5_000_000)
        async with asyncio.timeout(20):
            while (1, 1) not in self.core.ended:
                await asyncio.sleep(0.005)
        self.assertEqual(self.pool.connections, 2)

    async def test_what_was_not_written_whole_goes_by_another_connection_when_one_breaks(self) -> None:
        self.send(1, b"hang:")
        async with asyncio.timeout(20):
            while not self.worker.ran:
                await asyncio.sleep(0.005)
        (connection,) = self.pool.runners["s-0"].connections
        self.pool.limits = replace(self.pool.limits, stall_us=60_000_000)
        self.worker.pause()  # reads nothing, so what comes stays in the buffers
        big = Request("t2", "f", "review", 5_000_000, body=b"error:" + bytes(30_000_000))
        self.pool.send((2, 0), "s-0", big, 5_000_000)
        self.assertIsNotNone(connection.partial)
        self.worker.resume()
        self.pool.close(connection, Result.RESET)
        self.assertEqual(self.core.ended, {(1, 0): Result.RESET})
        await self.until(2)
        self.assertEqual((self.core.ended[2, 0], len(self.worker.ran)), (Result.ERROR, 2))

    async def test_line_that_a_runner_does_not_take_goes_nowhere_else_and_ends_its_connection(self) -> None:
        """It would come too late for the deadline that it tells; another connection would be filled, too."""
        self.pool.limits = replace(self.pool.limits, streams=8)
        self.send(1, b"hang:")
        async with asyncio.timeout(20):
            while not self.worker.ran:
                await asyncio.sleep(0.005)
        self.worker.pause()
        big = Request("t2", "f", "review", 5_000_000, body=bytes(30_000_000))
        self.pool.send((2, 0), "s-0", big, 5_000_000)
        self.send(3, b"abc")  # behind it
        await self.until(1, 2, 3)
        never_ran = Result.CONNECT_FAILED
        self.assertEqual(self.core.ended, {(1, 0): Result.RESET, (2, 0): never_ran, (3, 0): never_ran})
        self.assertEqual((self.counters["runners.stalled"], self.pool.connections), (1, 0))
        self.worker.resume()

    async def test_silent_connection_carries_nothing_new_until_it_is_heard(self) -> None:
        self.send(1, b"hang:")
        async with asyncio.timeout(20):
            while not self.worker.ran:
                await asyncio.sleep(0.005)
        self.now += 600_000
        self.pool.cancel((1, 0))
        self.send(2, b"abc")
        await self.until(2)
        self.assertEqual(self.pool.connections, 2)
        self.pool.sweep()
        self.assertEqual(self.pool.connections, 1)  # the silent one carries nothing any more


class ReceiveTimestampsTest(unittest.TestCase):
    def test_what_a_select_finds_without_waiting_may_be_as_old_as_the_select_before(self) -> None:
        times = iter([100, 100, 200, 900, 1_500])
        looks = iter([0.0, 0.0, 0.01, 0.0107, 0.0107, 0.0113, 0.0113])  # at the start, then two a select
        timer = unittest.mock.patch(CLOCK, lambda: next(looks))
        timer.start()  # a busy machine would take a pause for a wait
        self.addCleanup(timer.stop)
        selector = TimestampingSelector(lambda: next(times))
        self.addCleanup(selector.close)
        selector.select(0.001)  # waits, by that clock
        self.assertEqual(selector.since_us, 200)
        selector.select(-1)  # after 700 microseconds of work, does not wait
        self.assertEqual(selector.since_us, 200)
        selector.select(-1)  # the reader of what the last one found runs only now
        self.assertEqual((selector.read_us, selector.since_us), (200, 900))

    def test_what_came_while_the_process_stood_still_is_old_until_the_loop_has_waited(self) -> None:
        looks = iter([0.0, 0.0, 1.5, 1.5, 1.5002, 1.501, 1.52, 1.521, 1.9, 1.91, 1.9101])
        times = iter([100, 100, 1_500_100, 1_500_300, 1_520_000, 1_910_000])
        timer = unittest.mock.patch(CLOCK, lambda: next(looks))
        timer.start()
        self.addCleanup(timer.stop)
        selector = TimestampingSelector(lambda: next(times))
        self.addCleanup(selector.close)
        selector.select(0.001)  # came back 1.5 s late
        self.assertEqual(selector.since_us, 100)
        selector.select(0)  # that it took longer than a look tells of no wait
        self.assertEqual(selector.since_us, 100)
        selector.select(0.02)
        self.assertEqual((selector.since_us, selector.last_idle_us), (1_520_000, 1_520_000))
        (reader, writer) = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        selector.register(reader, selectors.EVENT_READ)
        writer.send(b"x")
        selector.select(0.02)  # 0.4 s after the last one, and then another 10 ms: it was there before
        self.assertEqual((selector.since_us, selector.last_idle_us), (1_520_000, 1_520_000))
