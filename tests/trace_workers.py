"""The workers of a generated trace: how attempts, load requests and health checks end there."""

from dataclasses import dataclass, field, replace
from random import Random

from maplestile.dispatch import api
from tests.trace_clients import ClientCall
from tests.trace_simulation import Simulation
from tests.trace_variants import MS

WORKERS = 30
ZONES = 3
CELLS = 5
WORKER_CAPACITY = 14  # calls that a worker runs at a time before it answers that it is full


@dataclass(slots=True)
class Machine:
    """One worker of the environment: what it has loaded, what it runs, and until when it misbehaves."""

    entry: api.WorkerEntry
    loaded: set[str] = field(default_factory=set)
    running: int = 0
    down: bool = False
    hangs_until_us: int = 0
    slow_until_us: int = 0
    fails_until_us: int = 0
    failing_class: str = ""


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How an attempt ends, after how long, and what its answer says of the copy."""

    result: api.Result
    elapsed_us: int
    warmth: api.Warmth = api.Warmth.UNKNOWN


def machine_of(number: int) -> Machine:
    """Return a worker that has just started; one in four is small."""
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
    return Machine(entry)


class Workers:
    """All workers, and the list that names them."""

    def __init__(self, simulation: Simulation, calls: dict[int, ClientCall]) -> None:
        self.simulation = simulation
        self.calls = calls
        self.machines = {machine.entry.worker: machine for machine in map(machine_of, range(WORKERS))}
        self.pending: dict[tuple[int, int], api.AttemptEnded] = {}  # by call and attempt: how they will end
        self.list_version = 1

    def whole_list(self, kind: api.ListKind) -> api.WorkerListReceived:
        """Return the event of a list of all workers."""
        self.list_version += 1
        entries = [machine.entry for machine in self.machines.values()]
        listed = tuple(entry for entry in entries if entry.state is not api.WorkerState.GONE)
        return api.WorkerListReceived(kind, self.list_version, listed)

    def serve(self, action: api.SendAttempt) -> None:
        """Schedule the end of an attempt."""
        client_call = self.calls[action.call]
        machine = self.machines[action.worker]
        number = client_call.attempts
        client_call.attempts += 1
        outcome = self.outcome(client_call.arrival, machine)
        if outcome is None and self.simulation.chance(0.3):
            # It never answers, and nothing but a cancellation or the end of the budget ends the attempt.
            silence = AttemptOutcome(api.Result.TIMEOUT, 0)
            self.pending[action.call, number] = self.ending(action, number, silence)
            return
        if outcome is None or outcome.elapsed_us > action.timeout_us:
            outcome = AttemptOutcome(api.Result.TIMEOUT, action.timeout_us)
        event = self.ending(action, number, outcome)
        self.pending[action.call, number] = event
        machine.running += 1
        if event.result in (api.Result.OK, api.Result.RESET) and self.simulation.chance(0.08):
            started = api.StreamStarted(action.call, number, action.worker, event.elapsed_us // 2)
            self.simulation.after(event.elapsed_us // 2, lambda: self.stream(started))
        self.simulation.after(event.elapsed_us, lambda: self.answer(event, machine))

    def ending(self, action: api.SendAttempt, number: int, outcome: AttemptOutcome) -> api.AttemptEnded:
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

    def outcome(self, arrival: api.CallArrived, machine: Machine) -> AttemptOutcome | None:
        """Draw how an attempt there will end; None for no answer."""
        short_us = self.simulation.around(3 * MS)
        if machine.down:
            return AttemptOutcome(api.Result.CONNECT_FAILED, short_us)
        if self.simulation.now_us < machine.hangs_until_us:
            return None
        if machine.running >= WORKER_CAPACITY or self.simulation.chance(0.01):
            return AttemptOutcome(api.Result.FULL, short_us)
        if machine.entry.state is not api.WorkerState.RUNNING or self.simulation.chance(0.003):
            return AttemptOutcome(api.Result.SUPERSEDED, short_us)
        service_us = self.service_us(arrival, machine)
        warmth = api.Warmth.WARM
        load_us = 0
        if arrival.function not in machine.loaded:
            if failure := self.load_failure(short_us):
                return failure
            load_us = self.simulation.around(500 * MS)
            warmth = api.Warmth.WAITED_FOR_LOAD if self.simulation.chance(0.3) else api.Warmth.STARTED_LOAD
            self.load_copy(machine, arrival.function)
        if self.simulation.chance(0.2):
            warmth = api.Warmth.UNKNOWN
        failing = (
            self.simulation.now_us < machine.fails_until_us and machine.failing_class == arrival.class_name
        )
        if failing or arrival.function.startswith("broken") or self.simulation.chance(0.01):
            return AttemptOutcome(api.Result.ERROR, service_us, warmth)
        if self.simulation.chance(0.01):
            return AttemptOutcome(api.Result.RESET, service_us)
        return AttemptOutcome(api.Result.OK, service_us + load_us, warmth)

    def service_us(self, arrival: api.CallArrived, machine: Machine) -> int:
        """Draw how long a worker takes for a call."""
        service_us = self.simulation.around(Random(arrival.function).choice((20, 60, 150, 400)) * MS)
        if self.simulation.now_us < machine.slow_until_us:
            service_us *= 8
        if self.simulation.now_us < self.simulation.overload_until_us:
            service_us *= 3
        return service_us

    def load_failure(self, short_us: int) -> AttemptOutcome | None:
        """Draw how a call that meets no copy ends; None where the worker loads one for it."""
        if not self.simulation.settings.loads_on_miss or self.simulation.chance(0.02):
            return AttemptOutcome(api.Result.MISS, short_us)
        if self.simulation.chance(0.05):
            return AttemptOutcome(api.Result.FULL, short_us)
        if self.simulation.chance(0.05):
            return AttemptOutcome(api.Result.ERROR, self.simulation.around(200 * MS), api.Warmth.LOAD_FAILED)
        return None

    def load_copy(self, machine: Machine, function: str) -> None:
        """Have the worker load a copy now, and drop it after a while."""
        machine.loaded.add(function)
        self.simulation.after(self.simulation.around(12_000 * MS), lambda: machine.loaded.discard(function))

    def stream(self, event: api.StreamStarted) -> None:
        """Start the stream of an attempt that is still out."""
        if (event.call, event.attempt) in self.pending:
            self.simulation.give(event)

    def answer(self, event: api.AttemptEnded, machine: Machine) -> None:
        """End an attempt, unless something else has ended it."""
        machine.running -= 1
        if self.pending.pop((event.call, event.attempt), None) is None:
            return
        if event.call_ended:
            self.calls[event.call].ended = True
        self.simulation.give(event)
        if self.simulation.chance(0.01):
            self.simulation.give(event)  # an answer that is delivered twice

    def withdraw(self, action: api.CancelAttempt) -> None:
        """Cancel an attempt that is still out."""
        event = self.pending.get((action.call, action.attempt))
        if event is None or self.simulation.chance(0.1):  # the cancellation crosses the answer
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
        machine = self.machines[action.worker]
        load_us = self.simulation.around(500 * MS)
        result = api.Result.OK
        if machine.down:
            result, load_us = api.Result.CONNECT_FAILED, self.simulation.around(3 * MS)
        elif self.simulation.now_us < machine.hangs_until_us:
            result, load_us = api.Result.TIMEOUT, self.simulation.settings.load_timeout_us
        elif self.simulation.chance(0.1):
            result = self.simulation.random.choice((api.Result.FULL, api.Result.ERROR, api.Result.OK))
        elif action.function in machine.loaded:
            load_us = self.simulation.around(2 * MS)
        copies = int(result is api.Result.OK and not self.simulation.chance(0.03))
        ended = api.LoadRequestEnded(action.worker, action.function, result, load_us, copies)
        self.simulation.after(load_us, lambda: self.end_load_request(machine, ended))

    def end_load_request(self, machine: Machine, ended: api.LoadRequestEnded) -> None:
        """End a load request."""
        if ended.copies:
            self.load_copy(machine, ended.function)
        self.simulation.give(ended)
        if self.simulation.chance(0.02):
            self.simulation.give(replace(ended, worker="worker-unlisted"))

    def check_health(self, action: api.SendHealthCheck) -> None:
        """Schedule the end of a health check."""
        machine = self.machines[action.worker]
        answers = not machine.down and self.simulation.now_us >= machine.hangs_until_us
        result = api.Result.OK if answers else api.Result.TIMEOUT
        elapsed_us = 3 * MS if answers else 400 * MS
        self.simulation.give_after(elapsed_us, api.HealthCheckEnded(action.worker, result, elapsed_us, ()))
