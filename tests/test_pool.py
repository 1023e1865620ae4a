"""Tests of the runner pool over real sockets, between a core that only records and a fake worker."""

import errno
import socket
import time
import unittest
import unittest.mock
from collections import Counter
from dataclasses import replace
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.net.runners import RunnerPool
from maplestile.requests.core import AttemptId, Presence
from maplestile.requests.endpoint_list import EndpointList
from maplestile.wire.limits import RunnerLimits
from maplestile.wire.messages import Request
from tests.standins import Worker, reset_on_close, wait_until

BUDGET_US = 5_000_000
SETTLE_S = 0.1  # in which a reset arrives
OVER_ALL_BUFFERS = 30_000_000  # bytes; more than the socket buffers hold while the peer reads nothing


class CoreRecorder:
    """Records the results of attempts and health checks."""

    def __init__(self) -> None:
        self.ended: dict[AttemptId, Result] = {}
        self.bodies: dict[AttemptId, bytes] = {}
        self.client_presence = Presence.WAITING
        self.health_checks_ended: dict[int, Result] = {}

    def run_due_timers(self) -> None: ...

    def attempt_ended(self, attempt: AttemptId, result: Result, body: bytes = b"", *_: Any) -> None:
        self.ended[attempt] = result
        self.bodies[attempt] = body

    def presence(self, attempt: AttemptId) -> Presence:
        return self.client_presence

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None: ...

    def health_check_ended(self, tag: int, result: Result, *_: Any) -> None:
        self.health_checks_ended[tag] = result


class PoolTestCase(unittest.IsolatedAsyncioTestCase):
    """A pool with one worker, `s-0`, and a clock that the test advances."""

    def setUp(self) -> None:
        self.now = 1_000_000
        self.core = CoreRecorder()
        self.worker = Worker()
        self.endpoints = EndpointList()
        self.counters = Counter[str]()
        limits = RunnerLimits(streams=2, idle_timeout_us=5_000_000, line_pause_us=20_000)
        self.pool = RunnerPool(limits, lambda: self.now, self.counters)
        self.pool.core = self.core
        self.list_worker()

    def list_worker(
        self, state: api.WorkerState = api.WorkerState.RUNNING, started_us: int = 0, port: int = 0
    ) -> None:
        """Give the pool a new list that holds the worker in this state."""
        entry = api.WorkerEntry("s-0", "east", "std", 2, state, 4.0, started_us)
        self.endpoints.apply_list(
            self.endpoints.version + 1, [(entry, ("127.0.0.1", port or self.worker.port))]
        )
        self.pool.update(self.endpoints)

    def send(self, number: int, body: bytes, worker: str = "s-0", attempt: int = 0) -> None:
        """Send an attempt of the call `number`."""
        request = Request(f"t{number}", "f", "review", BUDGET_US, body=body)
        self.pool.send((number, attempt), worker, request, BUDGET_US)

    async def wait_until_ended(self, *numbers: int) -> None:
        """Wait for the results of the first attempts of these calls."""
        await wait_until(lambda: all((number, 0) in self.core.ended for number in numbers))

    async def wait_until_run(self, count: int = 1) -> None:
        """Wait until the worker has run `count` calls."""
        await wait_until(lambda: len(self.worker.ran) >= count)


class WithheldAttemptsTest(PoolTestCase):
    """Attempts that are dropped before they are written."""

    async def test_withheld_attempt_is_never_sent_and_written_one_continues(self) -> None:
        self.send(1, b"x")
        self.send(2, b"y")
        self.assertTrue(self.pool.drop_unwritten((1, 0)))
        self.assertFalse(self.pool.drop_unwritten((1, 0)))  # it is dropped already
        await self.wait_until_ended(2)
        self.assertEqual([line["call"] for line in self.worker.lines], ["t2"])
        self.send(3, b"hang:")
        await self.wait_until_run(2)
        self.assertFalse(self.pool.drop_unwritten((3, 0)))
        self.worker.die()
        await self.wait_until_ended(3)
        self.assertEqual((self.core.ended[3, 0], set(self.core.ended)), (Result.RESET, {(2, 0), (3, 0)}))
        self.assertNotIn("states.invalid_transitions", self.counters)

    async def test_control_request_that_timed_out_is_not_sent_when_its_connection_opens(self) -> None:
        """Guards against a connection that counts as busy for ever, for a request that nobody waits for."""
        self.pool.check_health(7, "s-0")
        self.pool.load(8, "s-0", "f", 1)
        for tag in (7, 8):
            self.pool.forget_control_request(tag)
        self.send(1, b"x")
        await self.wait_until_ended(1)
        self.assertEqual([line["kind"] for line in self.worker.lines], ["CALL"])
        (connection,) = self.pool.runners["s-0"].connections
        self.assertEqual(connection.stream_count(), 0)
        self.assertNotIn("states.invalid_transitions", self.counters)

    async def test_lines_behind_a_reset_that_is_not_read_yet_go_by_another_connection(self) -> None:
        """Guards against attempts that count as written, and as run perhaps, on a connection that is lost."""
        self.pool.limits = replace(self.pool.limits, streams=32)
        self.send(1, b"x")
        await self.wait_until_ended(1)
        (peer,) = self.worker.open
        reset_on_close(peer)
        peer.shutdown(socket.SHUT_RD)  # ends the worker's thread for it
        peer.close()
        time.sleep(SETTLE_S)  # blocks the event loop, which does not learn of the reset
        for number in range(2, 10):
            self.send(number, b"x")
        await self.wait_until_ended(*range(2, 10))
        results = [self.core.ended[number, 0] for number in range(2, 10)]
        self.assertEqual(results[1:], 7 * [Result.OK])  # the first one may have begun

    async def test_incomplete_answers_of_all_connections_are_limited(self) -> None:
        """Guards against answers that stop half way, which are limited for each connection alone."""
        part = b"raw:" + b'{"kind":"200","call":"TAG","bytes":"' + b"A" * 6_000
        self.pool.limits = replace(
            self.pool.limits, streams=1, incomplete_bytes=10_000, line_pause_us=60_000_000
        )
        self.send(1, part)
        await wait_until(lambda: self.pool.incomplete_bytes > 6_000)
        self.send(2, part)
        await self.wait_until_ended(2)
        self.assertEqual((self.core.ended, self.counters["runners.malformed"]), ({(2, 0): Result.RESET}, 1))
        self.send(3, b"x")
        await self.wait_until_ended(3)
        self.assertEqual(self.core.ended[3, 0], Result.OK)
        self.worker.die()
        await self.wait_until_ended(1)
        self.assertEqual(self.pool.incomplete_bytes, 0)

    async def test_attempt_without_a_free_descriptor_ends_as_superseded(self) -> None:
        """Client connections hold all descriptors: one must be closed, and the runner is not to blame."""
        no_descriptor_reports = list[int]()
        self.pool.on_no_descriptor = lambda: no_descriptor_reports.append(1)
        none_left = OSError(errno.EMFILE, "Too many open files")
        with unittest.mock.patch("asyncio.open_connection", side_effect=none_left):
            self.send(1, b"x")
            await self.wait_until_ended(1)
        self.assertEqual((self.core.ended[1, 0], no_descriptor_reports), (Result.SUPERSEDED, [1]))

    async def test_messages_that_wait_for_a_connection_are_dropped_when_the_runner_is_suspended(self) -> None:
        self.send(1, b"x")
        self.pool.check_health(7, "s-0")
        self.endpoints.suspended = frozenset({"s-0"})
        self.pool.update(self.endpoints)
        await self.wait_until_ended(1)
        self.assertEqual((self.core.ended[1, 0], self.worker.lines), (Result.SUPERSEDED, []))
        self.assertEqual(self.core.health_checks_ended, {7: Result.SUPERSEDED})

    async def test_attempt_that_waits_for_a_connection_is_dropped_when_the_runner_drains(self) -> None:
        self.send(1, b"x")  # the connection cannot be established before the event loop runs
        self.list_worker(api.WorkerState.DRAINING)
        await self.wait_until_ended(1)
        self.assertEqual((self.core.ended[1, 0], self.worker.ran), (Result.SUPERSEDED, []))


class IdleConnectionsTest(PoolTestCase):
    """How long connections are kept, and which one is closed at the limit."""

    async def test_second_connection_is_opened_when_the_streams_of_the_first_are_used(self) -> None:
        for n in range(3):
            self.send(n, b"hang:")
        self.assertEqual(self.pool.connections, 2)
        self.pool.cancel((0, 0))
        self.send(3, b"abc")
        await self.wait_until_ended(3)
        self.assertEqual((self.core.ended[3, 0], self.pool.connections), (Result.OK, 2))

    async def test_idle_timeout_shrinks_after_a_break_and_recovers(self) -> None:
        self.send(1, b"abc")
        await self.wait_until_ended(1)
        self.now += 1_000_000
        # The first request after the idle time meets the reset of a connection that was dropped meanwhile.
        self.send(2, b"die")
        await self.wait_until_ended(2)
        self.assertEqual(self.pool.idle_timeout.timeout_us, 800_000)
        self.worker = Worker()
        self.list_worker(port=self.worker.port)
        self.send(3, b"abc")
        await self.wait_until_ended(3)
        self.now += 900_000
        self.send(4, b"abc")  # not over the connection that has been idle for so long
        await self.wait_until_ended(4)
        self.assertEqual(len(self.worker.open), 2)
        for _ in range(3):
            self.now += 5_100_000
            self.pool.sweep()
        self.assertEqual(self.pool.idle_timeout.timeout_us, 5_000_000)

    async def test_break_is_not_blamed_on_an_idle_time_that_connections_recently_survived(self) -> None:
        """The failure of one of many runners made a router close all idle connections and open new ones."""
        for n in range(5):
            self.send(n, b"abc")
            await self.wait_until_ended(n)
            self.now += 1_000_000
        self.send(9, b"die")
        await self.wait_until_ended(9)
        self.assertEqual(self.pool.idle_timeout.timeout_us, 5_000_000)
        self.assertEqual(self.counters["runners.broke_after_idle"], 1)

    async def test_idle_connections_are_closed_for_another_runner_at_the_limit(self) -> None:
        """With more runners than descriptors, calls to further runners failed as if refused by them."""
        self.pool.limits = replace(self.pool.limits, connections=2)
        workers = [Worker() for _ in range(4)]
        entries = [
            (
                api.WorkerEntry(f"m-{n}", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0),
                ("127.0.0.1", worker.port),
            )
            for n, worker in enumerate(workers)
        ]
        self.endpoints.apply_list(self.endpoints.version + 1, entries)
        self.pool.update(self.endpoints)
        for number in range(4):
            self.now += 1_000
            self.send(number, b"abc", f"m-{number}")
            await self.wait_until_ended(number)
        self.assertEqual(set(self.core.ended.values()), {Result.OK})
        self.assertEqual((self.pool.connections, self.counters["runners.idle_evicted"]), (2, 2))
        self.assertEqual([len(self.pool.runners[f"m-{n}"].connections) for n in range(4)], [0, 0, 1, 1])

    async def test_restarted_runner_gets_nothing_over_an_old_connection(self) -> None:
        self.send(1, b"hang:")
        self.send(2, b"abc")
        await self.wait_until_ended(2)
        self.list_worker(started_us=2_000_000)
        self.assertEqual(self.core.ended[1, 0], Result.RESET)
        self.now = 3_000_000
        self.send(3, b"abc")
        await self.wait_until_ended(3)
        self.assertEqual(self.core.ended[3, 0], Result.OK)

    # Guards against calls that pass a cold runner's budget by, as they waited for its previous process.
    async def test_restarted_runner_does_not_get_what_waited_for_its_previous_process(self) -> None:
        self.pool.limits = replace(self.pool.limits, streams=8, stall_us=60_000_000)
        self.send(1, b"hang:")
        await self.wait_until_run()
        self.worker.pause()
        self.send(2, bytes(OVER_ALL_BUFFERS))
        self.send(3, b"abc")  # queued behind it
        self.list_worker(started_us=2_000_000)
        self.worker.resume()
        failed = Result.CONNECT_FAILED
        self.assertEqual(self.core.ended, {(1, 0): Result.RESET, (2, 0): failed, (3, 0): failed})
        self.now = 3_000_000
        self.send(4, b"abc")
        await self.wait_until_ended(4)
        self.assertEqual(len(self.worker.ran), 2)

    async def test_idle_connection_is_closed_before_the_runner_closes_it(self) -> None:
        self.send(1, b"abc")
        await self.wait_until_ended(1)
        self.now += 4_000_000
        self.pool.sweep()
        self.assertEqual(self.pool.connections, 1)
        self.now += 1_000_000
        self.pool.sweep()
        self.assertEqual(self.pool.connections, 0)


class BrokenConnectionsTest(PoolTestCase):
    """Attempts on a connection that breaks, stalls or carries malformed answers."""

    async def test_attempt_ends_as_connect_failed_if_the_connection_is_refused(self) -> None:
        self.worker.die()
        self.send(1, b"abc")
        await self.wait_until_ended(1)
        self.assertEqual(self.core.ended[1, 0], Result.CONNECT_FAILED)
        self.pool.send((2, 0), "s-unknown", Request("t", "f", "review", 1), 1)
        self.assertEqual(self.core.ended[2, 0], Result.CONNECT_FAILED)

    async def test_written_attempt_ends_as_reset_if_the_worker_dies(self) -> None:
        self.send(1, b"die")
        await self.wait_until_ended(1)
        self.assertEqual(self.core.ended[1, 0], Result.RESET)

    async def test_malformed_line_closes_its_connection_and_resets_the_attempts_on_it(self) -> None:
        too_long = b"x" * 70_000
        malformed = (b"\x99\xce\n", b'{"call":"TAG"}\n', b"5\n", b'{"kind":"200', too_long)
        for n, line in enumerate(malformed):
            self.send(2 * n, b"hang:")
            self.send(2 * n + 1, b"raw:" + line)  # on the same connection; the last two lines have no end
            await self.wait_until_ended(2 * n, 2 * n + 1)
            results = self.core.ended[2 * n, 0], self.core.ended[2 * n + 1, 0]
            self.assertEqual(results, (Result.RESET, Result.RESET))
            self.assertEqual(self.pool.connections, 0)
        self.assertEqual(self.counters["runners.malformed"], 5)

    async def test_duplicate_answers_and_unknown_tags_are_ignored(self) -> None:
        good = b'{"kind":"200","call":"TAG"}\n'
        self.send(1, b"raw:" + good.replace(b"TAG", b"nobody") + 2 * good)
        await self.wait_until_ended(1)
        self.send(2, b"abc")
        await self.wait_until_ended(2)
        self.assertEqual((self.core.ended[1, 0], self.core.ended[2, 0]), (Result.OK, Result.OK))
        self.assertEqual((self.counters["runners.late"], self.pool.connections), (2, 1))

    async def test_retry_after_a_rejection_does_not_reuse_the_connection(self) -> None:
        """A duplicate of the rejection would be taken for the answer to the retry, which has the same tag."""
        self.send(1, b"full:")
        await self.wait_until_ended(1)
        self.send(1, b"abc", attempt=1)
        await wait_until(lambda: (1, 1) in self.core.ended)
        self.assertEqual(self.pool.connections, 2)

    async def test_partially_written_attempt_is_resent_over_another_connection_after_a_break(self) -> None:
        self.send(1, b"hang:")
        await self.wait_until_run()
        (connection,) = self.pool.runners["s-0"].connections
        self.pool.limits = replace(self.pool.limits, stall_us=60_000_000)
        self.worker.pause()  # it reads nothing, so the message stays in the buffers
        self.send(2, b"error:" + bytes(OVER_ALL_BUFFERS))
        self.assertIsNotNone(connection.partial)
        self.worker.resume()
        self.pool.close(connection, Result.RESET)
        self.assertEqual(self.core.ended, {(1, 0): Result.RESET})
        await self.wait_until_ended(2)
        self.assertEqual((self.core.ended[2, 0], len(self.worker.ran)), (Result.ERROR, 2))

    async def test_stalled_write_closes_the_connection_and_is_not_resent(self) -> None:
        """The deadline in the message would be out of date, and another connection would fill up, too."""
        self.pool.limits = replace(self.pool.limits, streams=8)
        self.send(1, b"hang:")
        await self.wait_until_run()
        self.worker.pause()
        self.send(2, bytes(OVER_ALL_BUFFERS))
        self.send(3, b"abc")  # queued behind it
        await self.wait_until_ended(1, 2, 3)
        failed = Result.CONNECT_FAILED
        self.assertEqual(self.core.ended, {(1, 0): Result.RESET, (2, 0): failed, (3, 0): failed})
        self.assertEqual((self.counters["runners.stalled"], self.pool.connections), (1, 0))
        self.worker.resume()

    async def test_silent_connection_carries_nothing_new_until_it_answers(self) -> None:
        self.send(1, b"hang:")
        await self.wait_until_run()
        self.now += 600_000
        self.pool.cancel((1, 0))
        self.send(2, b"abc")
        await self.wait_until_ended(2)
        self.assertEqual(self.pool.connections, 2)
        self.pool.sweep()
        self.assertEqual(self.pool.connections, 1)  # the silent one carries no request any more and is closed
