"""Plays a release trial: real routers, runners with a capacity, and clients that call at a steady rate."""

import asyncio
import random
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from tests.release.budget import OVERLOAD_MULTIPLE, WINDOW_S, FullestWindow, ReceivedCalls
from tests.release.scenarios import (
    Change,
    Drain,
    Hang,
    LeaveOut,
    LoseLists,
    Ready,
    ResetConnections,
    Restart,
    RestartRouter,
    Scenario,
)
from tests.release.workers import CapacityWorker
from tests.soak import settings as soak_settings
from tests.soak.clients import SoakConnection
from tests.soak.records import Answer, SentRequest, TrialRecord
from tests.standins import NameServer, Program, params, start_router

CONNECTIONS = 12  # of the clients to each router
OPEN_CALLS = 32  # on one connection at most
DRAINING_PRIORITY = 1
WEIGHT_UNIT = 10  # of an SRV record
RETRY_S = 0.5  # after which a client looks whether its call was refused, and sends it again
ENDING_S = 0.2
TOLD_S = 0.3  # after which each router has polled the name server, unless it answers nothing


@dataclass
class ReleaseRecord:
    """What a trial saw."""

    windows: list[FullestWindow] = field(default_factory=list)  # of each process of a runner that started
    requests: TrialRecord = field(default_factory=TrialRecord)
    skipped_calls: int = 0  # for which no connection had room
    logs: list[list[str]] = field(default_factory=list)  # of each router

    @property
    def fullest(self) -> FullestWindow:
        """The window in which a cold runner got most."""
        return max(self.windows, key=lambda window: window.fullness)


class ReleaseTrial:
    """One trial of a scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.record = ReleaseRecord()
        self.names = NameServer()
        self.workers = [
            CapacityWorker(f"s-{number}", capacity, seed * len(scenario.capacities) + number)
            for number, capacity in enumerate(scenario.capacities)
        ]
        self.names.weights = {worker.uid: WEIGHT_UNIT * worker.capacity.cores for worker in self.workers}
        self.draining: set[int] = set()
        self.left_out: set[int] = set()  # of the list
        self.listed_start_s: dict[str, float] = {}  # by uid; 0 or missing for a long time ago
        self.lists_lost_until_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.until_s = 0.0  # when the clients stop to call
        self.routers: list[Program] = []
        self.connections: list[list[SoakConnection]] = []  # by router
        self.all_connections: list[SoakConnection] = []

    async def play(self) -> ReleaseRecord:
        """Play the scenario to its end, and return the record."""
        scenario = self.scenario
        for worker in self.workers:
            await worker.start()
        self._publish()
        for _ in range(scenario.routers):
            self.routers.append(await self._start_router())
        # Only once all have started, since a connection that sends nothing for 1.5 s is closed.
        self.connections = [await self._connect(program) for program in self.routers]
        started_s = time.monotonic()
        self.until_s = started_s + scenario.end_s
        calls = asyncio.get_running_loop().create_task(self._call_all_the_time())
        for at_s, change in scenario.changes:
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
            await self._apply(change)
        await calls
        await asyncio.sleep(ENDING_S)
        await asyncio.gather(*self.tasks)
        self._close()
        await asyncio.sleep(0)  # for the connections' readers to end
        return self.record

    async def _start_router(self) -> Program:
        common = params()
        capacity = self.workers[0].capacity
        guarantees = common["guarantees"] | {
            "coldUs": int(capacity.slow_start_s * 1e6),
            "fallMultiple": OVERLOAD_MULTIPLE,
            "overloadForUs": int(WINDOW_S * 1e6),
            "startCapacity": capacity.start_share,
        }
        changes = soak_settings.router_settings() | {
            "guarantees": guarantees,
            "instances": self.scenario.routers,
        }
        program = start_router(self.workers, self.names, **changes)
        await asyncio.to_thread(program.port, "platform")
        return program

    async def _connect(self, program: Program) -> list[SoakConnection]:
        port = program.port("platform")
        connections = [
            SoakConnection(str(port), self.record.requests, self.random) for _ in range(CONNECTIONS)
        ]
        for connection in connections:
            await connection.connect(port)
        self.all_connections += connections
        return connections

    async def _call_all_the_time(self) -> None:
        """Send calls at random times until the end."""
        next_s = time.monotonic()
        while (next_s := next_s + self.random.expovariate(self.scenario.calls_per_s)) < self.until_s:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            self._call(self.scenario.retries)

    def _call(self, retries: int) -> None:
        """Send a call to a random router; one that is refused comes again after a while."""
        connections = [link for link in self.random.choice(self.connections) if not link.ended]
        connection = min(connections, key=lambda link: len(link.open), default=None)
        if connection is None or len(connection.open) >= OPEN_CALLS:
            self.record.skipped_calls += 1
            return
        request = connection.send()
        if retries:
            asyncio.get_running_loop().call_later(RETRY_S, self._retry, request, retries - 1)

    def _retry(self, request: SentRequest, retries: int) -> None:
        if request.answers and request.answers[0][1] is Answer.REFUSED and time.monotonic() < self.until_s:
            self._call(retries)

    async def _apply(self, change: Change) -> None:
        match change:
            case Drain(workers):
                self.draining.update(workers)
                self._publish()
            case LeaveOut(workers):
                self.left_out.update(workers)
                self._publish()
            case Ready(workers):
                self._list_as_ready(workers)
            case Restart(workers):
                for number in workers:
                    self._record_window(self.workers[number])
                    self.workers[number].restart()
            case Hang(workers, seconds):
                for number in workers:
                    self.workers[number].hang(seconds)
            case ResetConnections(workers):
                for number in workers:
                    self.workers[number].reset_connections()
            case LoseLists(seconds):
                self.names.lose_queries()
                self.lists_lost_until_s = time.monotonic() + seconds
                asyncio.get_running_loop().call_later(seconds, self.names.answer_queries)
            case RestartRouter(router):
                self._spawn(self._replace_router(router))

    def _list_as_ready(self, workers: tuple[int, ...]) -> None:
        self.draining.difference_update(workers)
        self.left_out.difference_update(workers)
        for number in workers:
            worker = self.workers[number]
            self.listed_start_s[worker.uid] = worker.started_s
            told_s = max(time.monotonic(), self.lists_lost_until_s) + TOLD_S
            worker.told_s = min(worker.told_s, told_s)
        self._publish()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _replace_router(self, router: int) -> None:
        if self.routers[router].process.poll() is not None:
            return
        replaced, old = self.routers[router], self.connections[router]
        replaced.process.terminate()
        self.routers[router] = await self._start_router()
        self.connections[router] = await self._connect(self.routers[router])
        for connection in old:
            connection.close()
        self.record.logs.append(list(replaced.log))
        await asyncio.to_thread(replaced.kill)

    def _publish(self) -> None:
        unix_offset_s = time.time() - time.monotonic()
        self.names.workers = [
            (worker.uid, worker.port, DRAINING_PRIORITY * (number in self.draining))
            for number, worker in enumerate(self.workers)
            if number not in self.left_out
        ]
        self.names.started = {
            uid: int((started_s + unix_offset_s) * 1000)
            for uid, started_s in self.listed_start_s.items()
            if started_s
        }
        self.names.serial += 1

    def _close(self) -> None:
        for worker in self.workers:
            self._record_window(worker)
        for connection in self.all_connections:
            connection.close()
        for worker in self.workers:
            worker.close()

    def _record_window(self, worker: CapacityWorker) -> None:
        """Record the fullest window of the runner's current process, if that has started in the trial."""
        if worker.started_s:
            received = ReceivedCalls(
                worker.uid, worker.capacity, worker.started_s, worker.told_s, list(worker.received_s)
            )
            self.record.windows.append(received.fullest_window())

    def kill(self) -> None:
        """End all routers, and then the name server that they ask."""
        for program in self.routers:
            if program.process.poll() is None:
                program.kill()
            self.record.logs.append(list(program.log))
        self.names.socket.close()


def play(scenario: Scenario, seed: int) -> ReleaseRecord:
    """Play a scenario, and return what was seen."""
    trials = list[ReleaseTrial]()

    async def play_trial() -> ReleaseRecord:
        trials.append(ReleaseTrial(scenario, seed))
        return await trials[0].play()

    try:
        return asyncio.run(play_trial())
    finally:
        for trial in trials:
            trial.kill()
