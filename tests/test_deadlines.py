"""Deadlines and departures, on the real program.

What a worker is sent as the time that its client has left, and what begins for a client that has closed or
cancelled while the program did not read of it.
"""

import asyncio
import socket
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
from maplestile.wire.limits import Limits, RunnerLimits
from maplestile.wire.settings import settings_from
from tests.router_fixture import RouterTestCase
from tests.standins import (
    Client,
    HoldingWorker,
    Worker,
    call_lines,
    eventually,
    params,
)

LIMIT_MS = 6_000
SLACK_MS = 150  # by how much the time sent to a worker may be over what its client has left
SUSPENDED_S = 0.6


@dataclass
class Arrival:
    """A call that came whole: when, and the time that its line says its client waits."""

    at_s: float  # Unix time
    wait_ms: int


class TimingWorker(Worker):
    """Records when each call came whole, answers once it may, and while it is `full` rejects calls."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.full = threading.Event()
        self.may_answer = threading.Event()
        self.may_answer.set()
        super().__init__()

    def _answer(self, message: dict[str, Any]) -> dict[str, Any] | bytes | None:
        if message["kind"] == "CALL":
            self.arrivals.append(Arrival(time.time(), int(message["head"]["wait"])))
            self.may_answer.wait()
            if self.full.is_set():
                return {"kind": "503"}
        return super()._answer(message)


class HoldingTimingWorker(HoldingWorker, TimingWorker):
    """The same, with its connections held before their handshake."""


class DeadlineTest(RouterTestCase):
    """A worker is sent no more time than its client has left."""

    def call(self) -> None:
        self.called_s = time.time()
        self.client.call("review", b"abc", LIMIT_MS)

    def check(self, *workers: TimingWorker, least: int = 1) -> None:
        """At least so many calls came, and each had no more time than its client has left."""
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
        self.check(worker, least=2)

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
        self.check(*workers, least=2)

    def test_after_its_connection_was_held(self) -> None:
        worker = HoldingTimingWorker()
        self.start(worker)
        self.called_s = time.time()
        self.client.call_until_sent(self.program, "review", b"abc", limit_ms=LIMIT_MS)
        time.sleep(SUSPENDED_S)
        worker.accept_connections()
        self.assertIn("result", self.client.read() or {})
        self.check(worker)

    def test_after_the_process_stood_still(self) -> None:
        worker = HoldingTimingWorker()
        self.start(worker)
        self.called_s = time.time()
        self.client.call_until_sent(self.program, "review", b"abc", limit_ms=LIMIT_MS)
        self.suspend_process()
        worker.accept_connections()
        time.sleep(SUSPENDED_S)
        self.resume_process()
        self.assertIn("result", self.client.read() or {})
        self.check(worker)


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
                self.assertEqual({line["bytes"] for line in call_lines(worker)}, {"bGF0ZXI="})
                self.program.kill()

    def test_try_that_was_due_before_the_close_or_cancel_was_read(self) -> None:
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
                time.sleep(SUSPENDED_S + 1.0)  # the next try is due by now
                self.resume_process()
                time.sleep(SUSPENDED_S)
                self.assertEqual(len(worker.arrivals), before)
                self.program.kill()

    def wait_for_attempts(self, worker: TimingWorker, count: int) -> None:
        eventually(lambda: len(worker.arrivals) >= count, "attempts")


class HoldingRunnerPool(RunnerPool):
    """Connections that have come up are reported to the pool when the test says so."""

    def __init__(self, limits: RunnerLimits, counters: Counter[str]) -> None:
        super().__init__(limits, clock, counters)
        self.ready: list[tuple[Connection, Socket]] = []

    def up(self, connection: Connection, socket: Socket) -> None:
        self.ready.append((connection, socket))

    def release(self) -> None:
        for connection, socket_ in self.ready:
            super().up(connection, socket_)


class UnreadDepartureTest(unittest.TestCase):
    """The same, in one process with the loop.

    An attempt is about to begin in the very turn of the loop in which it was away, before anything that came
    meanwhile can be read.
    """

    def play(self, leave: Callable[[Client, int], None]) -> tuple[list[str], Counter[str]]:
        """The bodies of the calls that began, and the counters."""
        selector = TimestampingSelector(clock)
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            return runner.run(self.away(selector, leave))

    async def away(
        self, selector: TimestampingSelector, leave: Callable[[Client, int], None]
    ) -> tuple[list[str], Counter[str]]:
        worker = Worker()
        counters = Counter[str]()
        limits = Limits()
        loop = asyncio.get_running_loop()
        settings = settings_from(params())
        pool = HoldingRunnerPool(limits.runners, counters)

        def alarm(due_us: int) -> None:
            loop.call_later(max(0.0, (due_us - clock()) / 1e6), core.tick)

        core = Core(settings, limits, 7, pool, clock, alarm, counters)
        pool.core = core
        pool.writer.input_is_old = selector.input_is_old
        endpoints = EndpointList()
        entry = api.WorkerEntry("s-0", "east", "std", 2, api.WorkerState.RUNNING, 4.0, 0)
        endpoints.apply_whole(1, [(entry, ("127.0.0.1", worker.port))])
        pool.update(endpoints)
        core.list_changed(endpoints.event())
        front = PlatformFront(core, limits, counters, selector, lambda: True)
        listener = await front.start("127.0.0.1", 0, False)
        client = Client(listener.address[1])
        id_ = client.call("review", b"abc", LIMIT_MS)
        async with asyncio.timeout(20):
            while not pool.ready:
                await asyncio.sleep(0.005)
        leave(client, id_)
        time.sleep(0.2)  # the loop is away
        pool.release()
        await asyncio.sleep(0.3)
        listener.close()
        return [line["bytes"] for line in call_lines(worker)], counters

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
        started, _ = self.play(lambda client, _: None)
        self.assertEqual(started, ["YWJj"])


def discard(_: object) -> None:
    """For a call whose result is of no use."""


class SettingsTest(unittest.TestCase):
    def test_the_settings_let_a_connection_come_up_as_late_as_these_tests_hold_it(self) -> None:
        connect_timeout_s = params()["limits"]["connectTimeoutUs"] / 1e6
        self.assertGreater(connect_timeout_s, 2 * SUSPENDED_S + 0.5)
