"""Plays one trial: starts routers, workers and clients, and carries out the schedule."""

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from collections.abc import Coroutine, Mapping
from pathlib import Path
from typing import Any

from tests.shims import failing_calls
from tests.shims.stepped_clock import SteppedClock
from tests.soak import schedule, settings
from tests.soak.bad_clients import be_a_bad_client
from tests.soak.clients import SoakConnection, come_in_a_crowd, send_all_the_time
from tests.soak.records import Drain, ProcessEnd, TrialRecord
from tests.soak.workers import SoakWorker
from tests.standins import NameServer, Program, start_router

USUAL_CLIENTS = 2  # of each router
STALL_POLL_S = 0.01
SIGNAL_GAP_S = 0.01
ENDING_S = settings.LONGEST_DEADLINE_S + settings.LATE_S + 0.3  # after the last request


class RouterSlot:
    """The place of one router: its current process, which is replaced after SIGTERM, and its clock."""

    def __init__(
        self, number: int, workers: list[SoakWorker], names: NameServer, shims: Mapping[str, str]
    ) -> None:
        self.number = number
        self.shims = shims
        self.workers = workers
        self.names = names
        self.clock = SteppedClock(Path(tempfile.mkdtemp()) / "clock")
        self.starts = 0
        self.is_stopping = False
        self.program: Program | None = None
        self.port = 0

    @property
    def name(self) -> str:
        """The name of the current process."""
        return f"r{self.number}.{self.starts}"

    async def start(self) -> None:
        """Start a process, and wait until it listens."""
        self.program = start_router(
            self.workers, self.names, clock=self.clock, shims=self.shims, **settings.router_settings()
        )
        self.port = await asyncio.to_thread(self.program.port, "platform")
        self.starts += 1
        self.is_stopping = False

    async def stop(self, told_s: float) -> ProcessEnd:
        """Wait until the process has ended after SIGTERM, and kill it when the platform would."""
        program = self.program
        assert program is not None
        while program.process.poll() is None and time.monotonic() < told_s + settings.KILL_AFTER_S:
            await asyncio.sleep(STALL_POLL_S)
        exit_code = program.process.poll()
        ended_s = time.monotonic()
        program.process.kill()
        program.process.wait()
        await asyncio.to_thread(program.reader.join)
        log = list(program.log)
        program.kill()
        return ProcessEnd(self.name, told_s, ended_s, exit_code, log)


class Trial:
    """One trial; the schedule and the stand-ins' random sources depend on the seed alone."""

    def __init__(self, seed: int, seconds: float, calls_fail: bool) -> None:
        self.seed = seed
        shims = failing_calls.environment(seed) if calls_fail else {}
        self.seconds = seconds
        self.record = TrialRecord()
        self.names = NameServer()
        self.workers = [
            SoakWorker(f"s-{number}", seed * settings.WORKERS + number, self.record)
            for number in range(settings.WORKERS)
        ]
        self.slots = [
            RouterSlot(number, self.workers, self.names, shims) for number in range(settings.ROUTERS)
        ]
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: list[SoakConnection] = []
        self.clients_until_s = 0.0
        self.draining: dict[int, Drain] = {}

    async def play(self) -> TrialRecord:
        """Play the trial to its end, and return its record."""
        for worker in self.workers:
            await worker.start()
        self._publish()
        await asyncio.gather(*(slot.start() for slot in self.slots))
        started_s = time.monotonic()
        self.clients_until_s = started_s + self.seconds
        self._spawn(self._watch_for_stalls())
        for slot in self.slots:
            for number in range(USUAL_CLIENTS):
                self._spawn(self._be_a_client(slot, random.Random(f"{self.seed} {slot.number} {number}")))
        for event in schedule.draw(self.seed, self.seconds, settings.ROUTERS, settings.WORKERS):
            await asyncio.sleep(max(0.0, started_s + event.at_s - time.monotonic()))
            self._disturb(event.disturbance)
        await asyncio.sleep(max(0.0, self.clients_until_s + ENDING_S - time.monotonic()))
        await self._end()
        return self.record

    def _disturb(self, disturbance: schedule.Disturbance) -> None:
        match disturbance:
            case schedule.ClockStep(router, seconds):
                self.slots[router].clock.step(seconds)
            case schedule.Signals(router, numbers):
                self._spawn(self._signal(self.slots[router], numbers))
            case schedule.WorkerFault(worker, silent_s):
                if silent_s:
                    self.workers[worker].fall_silent(silent_s)
                else:
                    self.workers[worker].reset_connections()
            case schedule.WorkerDrain(worker, seconds):
                self._spawn(self._drain(worker, seconds))
            case schedule.BadClients(router, clients):
                slot = self.slots[router]
                for number in range(clients):
                    source = random.Random(f"{self.seed} bad {router} {len(self.connections)} {number}")
                    self._spawn(be_a_bad_client(slot.port, slot.name, source, self.record))
            case schedule.Crowd(router, clients):
                for number in range(clients):
                    source = random.Random(f"{self.seed} {router} {len(self.connections)} {number}")
                    connection = self._connection(self.slots[router], source)
                    self._spawn(come_in_a_crowd(connection, self.slots[router].port))

    async def _signal(self, slot: RouterSlot, numbers: tuple[signal.Signals, ...]) -> None:
        """Send signals in series; after SIGTERM, wait for the end of the process and replace it."""
        program = slot.program
        if slot.is_stopping or program is None:
            return
        slot.is_stopping = signal.SIGTERM in numbers
        told_s = time.monotonic()
        for number in numbers:
            if program.process.poll() is None:
                program.process.send_signal(number)
            await asyncio.sleep(SIGNAL_GAP_S)
        if slot.is_stopping:
            self.record.ends.append(await slot.stop(told_s))
            await slot.start()

    async def _drain(self, worker: int, seconds: float) -> None:
        """List a worker as draining for a while, unless another one drains."""
        if self.draining:
            return
        drain = self.draining[worker] = Drain(self.workers[worker].uid, time.monotonic(), float("inf"))
        self.record.drains.append(drain)
        self._publish()
        await asyncio.sleep(seconds)
        drain.ended_s = time.monotonic()
        del self.draining[worker]
        self._publish()

    def _publish(self) -> None:
        self.names.workers = [
            (worker.uid, worker.port, int(number in self.draining))
            for number, worker in enumerate(self.workers)
        ]
        self.names.serial += 1

    async def _be_a_client(self, slot: RouterSlot, source: random.Random) -> None:
        """Call a router all the time, on a new connection whenever one has ended."""
        while time.monotonic() < self.clients_until_s:
            connection = self._connection(slot, source)
            try:
                await connection.connect(slot.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            await send_all_the_time(connection, self.clients_until_s)

    def _connection(self, slot: RouterSlot, source: random.Random) -> SoakConnection:
        connection = SoakConnection(slot.name, self.record, source)
        self.connections.append(connection)
        return connection

    async def _watch_for_stalls(self) -> None:
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(STALL_POLL_S)
            stall_s = time.monotonic() - before_s - STALL_POLL_S
            self.record.longest_stall_s = max(self.record.longest_stall_s, stall_s)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _end(self) -> None:
        """Stop the routers that still run, and then everything else."""
        while any(slot.is_stopping for slot in self.slots):
            await asyncio.sleep(STALL_POLL_S)
        told_s = time.monotonic()
        for slot in self.slots:
            assert slot.program is not None
            slot.program.process.terminate()
        self.record.ends += await asyncio.gather(*(slot.stop(told_s) for slot in self.slots))
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in self.connections:
            connection.close()
        for worker in self.workers:
            worker.close()
        self.names.socket.close()

    def kill(self) -> None:
        """Kill all routers that still run, after a trial that failed."""
        for slot in self.slots:
            if slot.program is not None and slot.program.process.poll() is None:
                slot.program.kill()


def play(seed: int, seconds: float, calls_fail: bool = False) -> TrialRecord:
    """Play the trial of a seed, and return its record.

    With `calls_fail`, system calls of the routers fail now and then.
    """
    trial: Trial | None = None

    async def play_trial() -> TrialRecord:
        nonlocal trial
        trial = Trial(seed, seconds, calls_fail)
        return await trial.play()

    try:
        return asyncio.run(play_trial())
    finally:
        if trial is not None:
            with contextlib.suppress(OSError):
                trial.kill()
