"""Deadlines and departures, on the real program.

What a worker is sent as the time that its client has left, and what begins for a client that has closed or
cancelled while the program did not read of it.
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
SLACK_MS = 150  # by how much the time sent to a worker may be over what its client has left
SUSPENDED_S = 0.6
BACKOFF_S = 1.0  # after a second rejection by a worker the next attempt is due by then
BUSY_S = 0.2  # how long the loop reads nothing
CALL_ARRIVED_S = 0.3  # a call that is written is at the worker by then
SEED = 7
# Of a router in the process of the test: it sheds nothing for lag, however long the machine keeps it waiting.
LIMITS = Limits(requests=RequestLimits(max_lag_us=60_000_000))
# Of Linux, and not in the module `socket`: the time at which the system received the data of a read.
SO_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("ll")


@dataclass
class Arrival:
    """When a call came whole, and the time that its line says its client waits."""

    at_s: float  # Unix time
    wait_ms: int


class TimingWorker(Worker):
    """Records when each call came whole, answers once it may, and while it is `full` rejects calls.

    A call comes when the system has its last byte: this process may read it much later on a busy machine.
    """

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.full = threading.Event()
        self.may_answer = threading.Event()
        self.may_answer.set()
        self._read = threading.local()  # by the thread of each connection: `at_s`, of the last read
        super().__init__()
        self.listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)  # connections inherit it

    def _receive(self, peer: socket.socket) -> bytes:
        data, ancillary, _, _ = peer.recvmsg(READ_BYTES, socket.CMSG_SPACE(TIMESPEC.size))
        for _, _, timestamp in ancillary:  # none at the end of the connection
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
    """A `TimingWorker` whose connections are held before their handshake."""


class DeadlineTest(RouterTestCase):
    """A worker is sent no more time than its client has left."""

    def call(self) -> None:
        """Send a call, and note when."""
        self.called_s = time.time()
        self.client.call("review", b"abc", LIMIT_MS)

    def call_until_sent(self) -> None:
        """Send calls until one has an attempt, and note when the first was sent."""
        self.called_s = time.time()
        self.client.call_until_sent(self.program, "review", b"abc", limit_ms=LIMIT_MS)

    def assert_time_left(self, *workers: TimingWorker, least: int = 1) -> None:
        """Check that so many calls came, and that each had no more time than its client has left."""
        arrivals = [arrival for worker in workers for arrival in worker.arrivals]
        self.assertGreaterEqual(len(arrivals), least)
        for arrival in arrivals:
            left_ms = LIMIT_MS - (arrival.at_s - self.called_s) * 1e3
            self.assertLessEqual(arrival.wait_ms, left_ms + SLACK_MS)

    def test_after_it_has_waited_between_tries(self) -> None:
        worker = TimingWorker()
        worker.full.set()
        self.start(worker)
        self.call()
        eventually(lambda: len(worker.arrivals) >= 2, "a second attempt")
        worker.full.clear()
        self.assertIn("result", self.client.read() or {})
        self.assert_time_left(worker, least=2)

    def test_after_a_retry_at_another_worker(self) -> None:
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
        self.assert_time_left(*workers, least=2)

    def test_after_its_connection_was_held(self) -> None:
        worker = HoldingTimingWorker()
        self.start(worker)
        self.call_until_sent()
        time.sleep(SUSPENDED_S)
        worker.accept_connections()
        self.assertIn("result", self.client.read() or {})
        self.assert_time_left(worker)

    def test_after_the_process_stood_still(self) -> None:
        worker = HoldingTimingWorker()
        self.start(worker)
        self.call_until_sent()
        self.suspend_process()
        worker.accept_connections()
        time.sleep(SUSPENDED_S)
        self.resume_process()
        self.assertIn("result", self.client.read() or {})
        self.assert_time_left(worker)


class DepartureTest(RouterTestCase):
    """Nothing begins for a client that closed or cancelled while the process read nothing."""

    def test_connection_that_came_up_before_the_close_or_cancel_was_read(self) -> None:
        """The worker's connection is ready first, so it is handled first once the process goes on."""
        for ending in ("close", "interrupt"):
            with self.subTest(ending):
                worker = HoldingTimingWorker()
                self.start(worker)
                id_ = self.client.call_until_sent(self.program, "review", b"abc", limit_ms=LIMIT_MS)
                self.suspend_process()
                worker.accept_connections()
                time.sleep(SUSPENDED_S)  # the worker's handshake is over by now
                self.give_up(ending, id_)
                time.sleep(SUSPENDED_S)
                self.resume_process()
                other = Client(self.program.port("platform"))
                other.call_until_served("review", b"later")
                self.assertEqual({line["bytes"] for line in call_lines(worker)}, {in_base64(b"later")})
                self.program.kill()

    def test_retry_that_was_due_before_the_close_or_cancel_was_read(self) -> None:
        """A timer that is due is handled before what comes is read, once the process goes on."""
        for ending in ("close", "interrupt"):
            with self.subTest(ending):
                worker = TimingWorker()
                worker.full.set()
                self.start(worker)
                id_ = self.client.call("review", b"abc", LIMIT_MS)
                self.wait_for_attempts(worker, 2)
                self.suspend_process()
                self.give_up(ending, id_)
                before = len(worker.arrivals)
                time.sleep(SUSPENDED_S + BACKOFF_S)
                self.resume_process()
                time.sleep(SUSPENDED_S)
                self.assertEqual(len(worker.arrivals), before)
                self.program.kill()

    def wait_for_attempts(self, worker: TimingWorker, count: int) -> None:
        """Wait until a worker has got so many attempts."""
        eventually(lambda: len(worker.arrivals) >= count, "attempts")


class HoldingRunnerPool(RunnerPool):
    """Reports connections that have come up only once the test says so."""

    def __init__(self, limits: RunnerLimits, counters: Counter[str]) -> None:
        super().__init__(limits, clock, counters)
        self.unreported: list[tuple[Connection, Socket]] = []

    def connected(self, connection: Connection, socket: Socket) -> None:
        self.unreported.append((connection, socket))

    def report_connections(self) -> None:
        """Report all connections that have come up."""
        for connection, socket_ in self.unreported:
            super().connected(connection, socket_)


class UnreadDepartureTest(unittest.TestCase):
    """The same, in one process with the loop.

    An attempt is about to begin in the very turn of the loop in which it was busy, before anything that came
    meanwhile can be read.
    """

    def play(self, leave: Callable[[Client, int], None], least: int = 0) -> tuple[list[str], Counter[str]]:
        """Have a client call and leave while the loop is busy; return what began, and the counters.

        At least so many calls are waited for.
        """
        selector = TimestampingSelector(clock)
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            return runner.run(self.leave_while_busy(selector, leave, least))

    async def leave_while_busy(
        self, selector: TimestampingSelector, leave: Callable[[Client, int], None], least: int
    ) -> tuple[list[str], Counter[str]]:
        """Start a front with one worker, and have its client leave before the loop reads on."""
        worker = Worker()
        counters = Counter[str]()
        pool = HoldingRunnerPool(LIMITS.runners, counters)
        pool.writer.input_is_old = selector.input_is_old
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
        await wait_until(lambda: len(call_lines(worker)) >= least)
        listener.close()
        return [line["bytes"] for line in call_lines(worker)], counters

    def start_core(self, pool: HoldingRunnerPool, worker: Worker, counters: Counter[str]) -> Core:
        """Connect a core to the pool, with one worker on its list."""
        loop = asyncio.get_running_loop()

        def set_alarm(due_us: int) -> None:
            loop.call_later(max(0.0, (due_us - clock()) / 1e6), core.tick)

        core = Core(settings_from(params()), LIMITS, SEED, pool, clock, set_alarm, counters)
        pool.core = core
        endpoints = EndpointList()
        entry = api.WorkerEntry("s-0", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0)
        endpoints.apply_whole(1, [(entry, ("127.0.0.1", worker.port))])
        pool.update(endpoints)
        core.list_changed(endpoints.event())
        return core

    def test_cancel_that_is_not_read_yet(self) -> None:
        started, counters = self.play(
            lambda client, id_: discard(client.send("interrupt", {"id": id_}, id_=id_))
        )
        self.assertEqual((started, counters["clients.interrupts"]), ([], 1))
        self.assertGreater(counters["runners.postponed"], 0)

    def test_close_that_is_not_read_yet(self) -> None:
        started, counters = self.play(lambda client, _: client.close())
        self.assertEqual((started, counters["requests.client_disconnected"]), ([], 1))

    def test_end_of_its_side_that_is_not_read_yet(self) -> None:
        started, counters = self.play(lambda client, _: client.socket.shutdown(socket.SHUT_WR))
        self.assertEqual((started, counters["requests.client_disconnected"]), ([], 1))

    def test_client_that_waits_is_served_after_the_loop_was_away(self) -> None:
        started, _ = self.play(lambda client, _: None, least=1)
        self.assertEqual(started, [in_base64(b"abc")])


def discard(_: object) -> None:
    """Take a result that is of no use."""


class SettingsTest(unittest.TestCase):
    """What the other tests of this file rely on."""

    def test_the_settings_let_a_connection_come_up_as_late_as_these_tests_hold_it(self) -> None:
        connect_timeout_s = params()["limits"]["connectTimeoutUs"] / 1e6
        self.assertGreater(connect_timeout_s, 2 * SUSPENDED_S + 0.5)
