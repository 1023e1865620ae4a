"""Simulate the workers of a generated trace, which determine how attempts and requests end."""

from dataclasses import dataclass, field, replace
from random import Random

from maplestile.dispatch import api
from tests.trace_clients import ClientCall
from tests.trace_simulation import Simulation
from tests.trace_variants import MS

WORKERS = 30
ZONES = 3
CELLS = 5
WORKER_CAPACITY = 14  # calls that a worker runs at the same time; it rejects more as full


@dataclass(slots=True)
class SimulatedWorker:
    """One simulated worker: its loaded functions, its running calls, and its current faults."""

    entry: api.WorkerEntry
    loaded: set[str] = field(default_factory=set)  # names of the functions with a loaded copy
    running: int = 0  # calls that it is running
    down: bool = False  # whether it has no running process
    hangs_until_us: int = 0  # it is unresponsive until then
    slow_until_us: int = 0
    fails_until_us: int = 0  # it fails the calls of `failing_class` until then
    failing_class: str = ""


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How and when an attempt ends, and the state of the copy that its answer reports."""

    result: api.Result
    elapsed_us: int
    warmth: api.Warmth = api.Warmth.UNKNOWN


def make_worker(number: int) -> SimulatedWorker:
    """Return a worker with nothing loaded; one in four workers is small."""
    small = number % 4 == 3
    entry = api.WorkerEntry(
        worker=f"worker-{number}",
        zone=f"zone-{number % ZONES}",
        kind="small" if small else "large",
        cell=number % CELLS,
        state=api.WorkerState.RUNNING,
        weight=0.5 if small else 1.0,
        started_us=0,
    )
    return SimulatedWorker(entry)


class Workers:
    """All simulated workers, and the worker list."""

    def __init__(self, simulation: Simulation, calls: dict[int, ClientCall]) -> None:
        self.simulation = simulation
        self.calls = calls
        self.by_name = {worker.entry.worker: worker for worker in map(make_worker, range(WORKERS))}
        # The future end of each attempt in flight, by call number and attempt number.
        self.pending: dict[tuple[int, int], api.AttemptEnded] = {}
        self.list_version = 1

    def complete_list(self, kind: api.ListKind) -> api.WorkerListReceived:
        """Return the event that delivers a list of all workers."""
        self.list_version += 1
        entries = [worker.entry for worker in self.by_name.values()]
        listed = tuple(entry for entry in entries if entry.state is not api.WorkerState.GONE)
        return api.WorkerListReceived(kind, self.list_version, listed)

    def serve(self, action: api.SendAttempt) -> None:
        """Schedule the end of an attempt."""
        client_call = self.calls[action.call]
        worker = self.by_name[action.worker]
        number = client_call.attempts
        client_call.attempts += 1
        outcome = self.outcome(client_call.arrival, worker)
        if outcome is None and self.simulation.chance(0.3):
            # The worker never answers: only a cancellation or the end of the budget ends the attempt.
            no_answer = AttemptOutcome(api.Result.TIMEOUT, 0)
            self.pending[action.call, number] = self.attempt_ended(action, number, no_answer)
            return
        if outcome is None or outcome.elapsed_us > action.timeout_us:
            outcome = AttemptOutcome(api.Result.TIMEOUT, action.timeout_us)
        event = self.attempt_ended(action, number, outcome)
        self.pending[action.call, number] = event
        worker.running += 1
        if event.result in (api.Result.OK, api.Result.RESET) and self.simulation.chance(0.08):
            started = api.StreamStarted(action.call, number, action.worker, event.elapsed_us // 2)
            self.simulation.after(event.elapsed_us // 2, lambda: self.stream(started))
        self.simulation.after(event.elapsed_us, lambda: self.answer(event, worker))

    def attempt_ended(
        self, action: api.SendAttempt, number: int, outcome: AttemptOutcome
    ) -> api.AttemptEnded:
        """Return the event of an attempt's end."""
        call_ended = outcome.result is api.Result.OK
        if outcome.result is api.Result.ERROR:
            call_ended = self.simulation.chance(0.1)
        return api.AttemptEnded(
            call=action.call,
            attempt=number,
            worker=action.worker,
            result=outcome.result,
            elapsed_us=outcome.elapsed_us,
            call_ended=call_ended,
            warmth=outcome.warmth,
            queued_ahead=0,
            report=(),
        )

    def outcome(self, arrival: api.CallArrived, worker: SimulatedWorker) -> AttemptOutcome | None:
        """Return a random outcome of an attempt at the worker, or None if it gives no answer."""
        short_us = self.simulation.around(3 * MS)
        if worker.down:
            return AttemptOutcome(api.Result.CONNECT_FAILED, short_us)
        if self.simulation.now_us < worker.hangs_until_us:
            return None
        if worker.running >= WORKER_CAPACITY or self.simulation.chance(0.01):
            return AttemptOutcome(api.Result.FULL, short_us)
        if worker.entry.state is not api.WorkerState.RUNNING or self.simulation.chance(0.003):
            return AttemptOutcome(api.Result.SUPERSEDED, short_us)
        service_us = self.service_us(arrival, worker)
        warmth = api.Warmth.WARM
        load_us = 0
        if arrival.function not in worker.loaded:
            if failure := self.load_failure(short_us):
                return failure
            load_us = self.simulation.around(500 * MS)
            warmth = api.Warmth.WAITED_FOR_LOAD if self.simulation.chance(0.3) else api.Warmth.STARTED_LOAD
            self.load_copy(worker, arrival.function)
        if self.simulation.chance(0.2):
            warmth = api.Warmth.UNKNOWN
        is_failing = (
            self.simulation.now_us < worker.fails_until_us and worker.failing_class == arrival.class_name
        )
        if is_failing or arrival.function.startswith("broken") or self.simulation.chance(0.01):
            return AttemptOutcome(api.Result.ERROR, service_us, warmth)
        if self.simulation.chance(0.01):
            return AttemptOutcome(api.Result.RESET, service_us)
        return AttemptOutcome(api.Result.OK, service_us + load_us, warmth)

    def service_us(self, arrival: api.CallArrived, worker: SimulatedWorker) -> int:
        """Return a random service time of a call at a worker."""
        service_us = self.simulation.around(Random(arrival.function).choice((20, 60, 150, 400)) * MS)
        if self.simulation.now_us < worker.slow_until_us:
            service_us *= 8
        if self.simulation.now_us < self.simulation.overload_until_us:
            service_us *= 3
        return service_us

    def load_failure(self, short_us: int) -> AttemptOutcome | None:
        """Return a random failure of a call that finds no copy, or None if the worker loads one for it."""
        if not self.simulation.settings.loads_on_miss or self.simulation.chance(0.02):
            return AttemptOutcome(api.Result.MISS, short_us)
        if self.simulation.chance(0.05):
            return AttemptOutcome(api.Result.FULL, short_us)
        if self.simulation.chance(0.05):
            return AttemptOutcome(api.Result.ERROR, self.simulation.around(200 * MS), api.Warmth.LOAD_FAILED)
        return None

    def load_copy(self, worker: SimulatedWorker, function: str) -> None:
        """Load a copy at the worker now, and unload it after a while."""
        worker.loaded.add(function)
        self.simulation.after(self.simulation.around(12_000 * MS), lambda: worker.loaded.discard(function))

    def stream(self, event: api.StreamStarted) -> None:
        """Start to stream the answer of an attempt, if it is still in flight."""
        if (event.call, event.attempt) in self.pending:
            self.simulation.give(event)

    def answer(self, event: api.AttemptEnded, worker: SimulatedWorker) -> None:
        """End an attempt, unless something else has already ended it."""
        worker.running -= 1
        if self.pending.pop((event.call, event.attempt), None) is None:
            return
        if event.call_ended:
            self.calls[event.call].ended = True
        self.simulation.give(event)
        if self.simulation.chance(0.01):
            self.simulation.give(event)  # delivers the answer a second time

    def cancel(self, action: api.CancelAttempt) -> None:
        """Cancel an attempt, if it is still in flight."""
        event = self.pending.get((action.call, action.attempt))
        if event is None or self.simulation.chance(0.1):  # the cancellation comes too late
            return
        del self.pending[action.call, action.attempt]
        cancelled = replace(
            event,
            result=api.Result.CANCELLED,
            call_ended=self.calls[action.call].ended,
            warmth=api.Warmth.UNKNOWN,
        )
        self.simulation.give_after(2 * MS, cancelled)

    def load(self, action: api.RequestLoad) -> None:
        """Schedule the end of a load request."""
        worker = self.by_name[action.worker]
        load_us = self.simulation.around(500 * MS)
        result = api.Result.OK
        if worker.down:
            result, load_us = api.Result.CONNECT_FAILED, self.simulation.around(3 * MS)
        elif self.simulation.now_us < worker.hangs_until_us:
            result, load_us = api.Result.TIMEOUT, self.simulation.settings.load_timeout_us
        elif self.simulation.chance(0.1):
            result = self.simulation.random.choice((api.Result.FULL, api.Result.ERROR, api.Result.OK))
        elif action.function in worker.loaded:
            load_us = self.simulation.around(2 * MS)
        copies = int(result is api.Result.OK and not self.simulation.chance(0.03))
        ended = api.LoadRequestEnded(action.worker, action.function, result, load_us, copies)
        self.simulation.after(load_us, lambda: self.end_load_request(worker, ended))

    def end_load_request(self, worker: SimulatedWorker, ended: api.LoadRequestEnded) -> None:
        """End a load request."""
        if ended.copies:
            self.load_copy(worker, ended.function)
        self.simulation.give(ended)
        if self.simulation.chance(0.02):
            self.simulation.give(replace(ended, worker="worker-unlisted"))

    def check_health(self, action: api.SendHealthCheck) -> None:
        """Schedule the end of a health check."""
        worker = self.by_name[action.worker]
        is_answering = not worker.down and self.simulation.now_us >= worker.hangs_until_us
        result = api.Result.OK if is_answering else api.Result.TIMEOUT
        elapsed_us = 3 * MS if is_answering else 400 * MS
        self.simulation.give_after(elapsed_us, api.HealthCheckEnded(action.worker, result, elapsed_us, ()))
