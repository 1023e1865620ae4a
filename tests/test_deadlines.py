"""Tests of deadlines and of clients that leave, on the real program.

They check the remaining time that is sent to workers, and that no attempt starts for a client that closed or
cancelled before the program read its input.
"""

import asyncio
import socket
import struct
import threading
import time
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from maplestile.dispatch import api
from maplestile.net.platform import PlatformFront
from maplestile.net.receive_timestamps import TimestampingSelector
from maplestile.net.runners import RunnerPool
from maplestile.requests.core import Core
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.pool import Connection, Socket
from maplestile.router.process import clock
from maplestile.wire.limits import Limits, RequestLimits, RunnerLimits
from maplestile.wire.settings import settings_from
from tests.router_fixture import RouterTestCase
from tests.standins import (
    Client,
    HoldingWorker,
    Worker,
    call_lines,
    eventually,
    in_base64,
    params,
    wait_until,
)
from tests.standins.worker import READ_BYTES

LIMIT_MS = 6_000
SLACK_MS = 150  # by how much the time sent to a worker may exceed the remaining time of its client
SUSPENDED_S = 0.6  # how long the process or a connection is held up
BACKOFF_S = 1.0  # the next attempt is due within this time after a worker's second rejection
BUSY_S = 0.2  # how long the event loop reads nothing
CALL_ARRIVED_S = 0.3  # a call that was written has arrived at the worker within this time
SEED = 7
# For a router in the process of the test: it rejects nothing for lag, however busy the machine is.
LIMITS = Limits(requests=RequestLimits(max_lag_us=60_000_000))
# Linux option that gives the time at which the system received data; missing in the module `socket`.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("ll")


@dataclass
class Arrival:
    """A call that arrived completely at a worker."""

    at_s: float  # Unix time
    wait_ms: int  # remaining time of the client, as sent to the worker


class TimingWorker(Worker):
    """Records when each call arrived completely, and answers once `may_answer` is set; rejects while `full`.

    A call arrives when the system receives its last byte; on a busy machine this process may read it much
    later.
    """

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.full = threading.Event()
        self.may_answer = threading.Event()
        self.may_answer.set()
        self._read = threading.local()  # for the thread of each connection: `at_s` of the last read
        super().__init__()
        self.listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # connections inherit it

    def _receive(self, peer: socket.socket) -> bytes:
        data, ancillary, _, _ = peer.recvmsg(READ_BYTES, socket.CMSG_SPACE(TIMESPEC.size))
        for _, _, timestamp in ancillary:  # there is none at the end of the connection
            seconds, nanoseconds = TIMESPEC.unpack(timestamp)
            self._read.at_s = seconds + nanoseconds / 1e9
        return data

    def _answer(self, message: dict[str, Any]) -> dict[str, Any] | bytes | None:
        if message["kind"] == "CALL":
            self.arrivals.append(Arrival(self._read.at_s, int(message["head"]["wait"])))
            self.may_answer.wait()
            if self.full.is_set():
                return {"kind": "503"}
        return super()._answer(message)


class HoldingTimingWorker(HoldingWorker, TimingWorker):
    """A `TimingWorker` whose connections are held up before their handshake."""


class DeadlineTest(RouterTestCase):
    """The remaining time sent to a worker is no more than its client still waits."""

    def call(self) -> None:
        """Send a call, and record the time."""
        self.called_s = time.time()
        self.client.call("review", b"abc", LIMIT_MS)

    def call_until_sent(self) -> None:
        """Send calls until an attempt of one is made, and record when the first was sent."""
        self.called_s = time.time()
        self.client.call_until_sent(self.program, "review", b"abc", limit_ms=LIMIT_MS)

    def assert_time_left(self, *workers: TimingWorker, min_calls: int = 1) -> None:
        """Check that `min_calls` calls or more arrived, each with no more time than its client waits."""
        arrivals = [arrival for worker in workers for arrival in worker.arrivals]
        self.assertGreaterEqual(len(arrivals), min_calls)
        for arrival in arrivals:
            left_ms = LIMIT_MS - (arrival.at_s - self.called_s) * 1e3
            self.assertLessEqual(arrival.wait_ms, left_ms + SLACK_MS)

    def test_remaining_time_is_reduced_after_a_backoff(self) -> None:
        worker = TimingWorker()
        worker.full.set()
        self.start(worker)
        self.call()
        eventually(lambda: len(worker.arrivals) >= 2, "a second attempt")
        worker.full.clear()
        self.assertIn("result", self.client.read() or {})
        self.assert_time_left(worker, min_calls=2)

    def test_remaining_time_is_reduced_after_a_retry_at_another_worker(self) -> None:
        workers = (TimingWorker(), TimingWorker())
        for worker in workers:
            worker.may_answer.clear()
            worker.full.set()
        self.start(*workers)
        self.call()
        eventually(lambda: any(worker.arrivals for worker in workers), "the first attempt")
        time.sleep(SUSPENDED_S)
        for worker in workers:
            worker.may_answer.set()
        eventually(lambda: all(worker.arrivals for worker in workers), "a retry at the other worker")
        self.assert_time_left(*workers, min_calls=2)

    def test_remaining_time_is_reduced_after_a_wait_for_the_connection(self) -> None:
        worker = HoldingTimingWorker()
        self.start(worker)
        self.call_until_sent()
        time.sleep(SUSPENDED_S)
        worker.accept_connections()
        self.assertIn("result", self.client.read() or {})
        self.assert_time_left(worker)

    def test_remaining_time_is_reduced_after_the_process_was_suspended(self) -> None:
        worker = HoldingTimingWorker()
        self.start(worker)
        self.call_until_sent()
        self.suspend_process()
        worker.accept_connections()
        time.sleep(SUSPENDED_S)
        self.resume_process()
        self.assertIn("result", self.client.read() or {})
        self.assert_time_left(worker)


class DisconnectWhileSuspendedTest(RouterTestCase):
    """No attempt starts for a client that closed or cancelled while the process was suspended."""

    def test_waiting_attempt_is_dropped_if_its_connection_opens_first(self) -> None:
        """The worker's connection is ready before the client closes, so the process handles it first."""
        for ending in ("close", "interrupt"):
            with self.subTest(ending):
                worker = HoldingTimingWorker()
                self.start(worker)
                id_ = self.client.call_until_sent(self.program, "review", b"abc", limit_ms=LIMIT_MS)
                self.suspend_process()
                worker.accept_connections()
                time.sleep(SUSPENDED_S)  # the handshake with the worker is finished by now
                self.cancel_call(ending, id_)
                time.sleep(SUSPENDED_S)
                self.resume_process()
                other = Client(self.program.port("platform"))
                other.call_until_served("review", b"later")
                self.assertEqual({line["bytes"] for line in call_lines(worker)}, {in_base64(b"later")})
                self.program.kill()

    def test_retry_is_dropped_if_it_is_due_first(self) -> None:
        """When the process resumes, it runs the timers that are due before it reads input."""
        for ending in ("close", "interrupt"):
            with self.subTest(ending):
                worker = TimingWorker()
                worker.full.set()
                self.start(worker)
                id_ = self.client.call("review", b"abc", LIMIT_MS)
                self.wait_for_attempts(worker, 2)
                self.suspend_process()
                self.cancel_call(ending, id_)
                before = len(worker.arrivals)
                time.sleep(SUSPENDED_S + BACKOFF_S)
                self.resume_process()
                time.sleep(SUSPENDED_S)
                self.assertEqual(len(worker.arrivals), before)
                self.program.kill()

    def wait_for_attempts(self, worker: TimingWorker, count: int) -> None:
        """Wait until a worker has received `count` attempts."""
        eventually(lambda: len(worker.arrivals) >= count, "attempts")


class HoldingRunnerPool(RunnerPool):
    """Reports established connections only when the test tells it to."""

    def __init__(self, limits: RunnerLimits, counters: Counter[str]) -> None:
        super().__init__(limits, clock, counters)
        self.unreported: list[tuple[Connection, Socket]] = []

    def connected(self, connection: Connection, socket: Socket) -> None:
        self.unreported.append((connection, socket))

    def report_connections(self) -> None:
        """Report all established connections."""
        for connection, socket_ in self.unreported:
            super().connected(connection, socket_)


class UnreadDisconnectTest(unittest.TestCase):
    """A router in the process of the test whose client leaves while the event loop is busy.

    An attempt is due in the same iteration of the loop, before it can read the input that came meanwhile.
    """

    def run_scenario(
        self, leave: Callable[[Client, int], None], min_calls: int = 0
    ) -> tuple[list[str], Counter[str]]:
        """Have a client call, and leave while the loop is busy; wait for `min_calls` calls at the worker.

        Return the bodies of the calls that the worker received, and the counters.
        """
        selector = TimestampingSelector(clock)
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            return runner.run(self.leave_while_busy(selector, leave, min_calls))

    async def leave_while_busy(
        self, selector: TimestampingSelector, leave: Callable[[Client, int], None], min_calls: int
    ) -> tuple[list[str], Counter[str]]:
        """Run the scenario in the event loop; see `run_scenario`."""
        worker = Worker()
        counters = Counter[str]()
        pool = HoldingRunnerPool(LIMITS.runners, counters)
        pool.writer.may_have_stale_input = selector.may_have_stale_input
        core = self.start_core(pool, worker, counters)
        front = PlatformFront(core, LIMITS, counters, selector, lambda: True)
        listener = await front.start("127.0.0.1", 0, False)
        client = Client(listener.address[1])
        id_ = client.call("review", b"abc", LIMIT_MS)
        await wait_until(lambda: pool.unreported)
        leave(client, id_)
        time.sleep(BUSY_S)
        pool.report_connections()
        await asyncio.sleep(CALL_ARRIVED_S)
        await wait_until(lambda: len(call_lines(worker)) >= min_calls)
        listener.close()
        return [line["bytes"] for line in call_lines(worker)], counters

    def start_core(self, pool: HoldingRunnerPool, worker: Worker, counters: Counter[str]) -> Core:
        """Create a core for the pool, with one worker on its list."""
        loop = asyncio.get_running_loop()

        def set_alarm(due_us: int) -> None:
            loop.call_later(max(0.0, (due_us - clock()) / 1e6), core.tick)

        core = Core(settings_from(params()), LIMITS, SEED, pool, clock, set_alarm, counters)
        pool.core = core
        endpoints = EndpointList()
        entry = api.WorkerEntry("s-0", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0)
        endpoints.apply_list(1, [(entry, ("127.0.0.1", worker.port))])
        pool.update(endpoints)
        core.list_changed(endpoints.event())
        return core

    def test_no_attempt_starts_after_an_unread_cancel(self) -> None:
        started, counters = self.run_scenario(
            lambda client, id_: discard(client.send("interrupt", {"id": id_}, id_=id_))
        )
        self.assertEqual((started, counters["clients.interrupts"]), ([], 1))
        self.assertGreater(counters["runners.postponed"], 0)

    def test_no_attempt_starts_after_an_unread_close(self) -> None:
        started, counters = self.run_scenario(lambda client, _: client.close())
        self.assertEqual((started, counters["requests.client_disconnected"]), ([], 1))

    def test_no_attempt_starts_after_an_unread_half_close(self) -> None:
        started, counters = self.run_scenario(lambda client, _: client.socket.shutdown(socket.SHUT_WR))
        self.assertEqual((started, counters["requests.client_disconnected"]), ([], 1))

    def test_waiting_client_is_served_after_the_loop_was_busy(self) -> None:
        started, _ = self.run_scenario(lambda client, _: None, min_calls=1)
        self.assertEqual(started, [in_base64(b"abc")])


def discard(_: object) -> None:
    """Ignore a result."""


class SettingsTest(unittest.TestCase):
    """Settings that the other tests of this file rely on."""

    def test_connect_timeout_is_longer_than_these_tests_hold_a_connection(self) -> None:
        connect_timeout_s = params()["limits"]["connectTimeoutUs"] / 1e6
        self.assertGreater(connect_timeout_s, 2 * SUSPENDED_S + 0.5)
