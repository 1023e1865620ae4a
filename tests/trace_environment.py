"""A small discrete-event environment of clients, workers and zones round one dispatcher.

It reacts to each action, so that its events follow from the seed and from the decisions alone: no clock, no
hash order, no library whose results differ between machines.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from maplestile.dispatch import api
from tests.trace_variants import CLASSES, MS

START_US = 1_000_000 * MS
UNLISTED_US = 40 * MS  # before the first worker is listed
WORKERS = 30
ZONES = 3
CELLS = 5
FUNCTIONS = 700
BROKEN_FUNCTIONS = 12
TENANTS = ("", "north", "south")
CLASS_WEIGHTS = (40, 10, 15, 10, 10, 15)
MEAN_GAP_US = 30 * MS  # between two calls
EPISODE_GAP_US = 1_500 * MS
WORKER_CAPACITY = 14  # calls that a worker runs at a time before it answers that it is full

Handle = Callable[[int, api.Event], list[api.Action]]  # has the dispatcher decide about an event at a time


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


@dataclass(slots=True)
class ClientCall:
    """What its client knows of a call."""

    arrival: api.CallArrived
    ended: bool = False
    attempts: int = 0


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How an attempt ends, after how long, and what its answer says of the copy."""

    result: api.Result
    elapsed_us: int
    warmth: api.Warmth = api.Warmth.UNKNOWN


def machine_of(number: int) -> Machine:
    """A fresh worker; one in four is small."""
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


class Environment:
    """Clients, workers and the worker list round one dispatcher, in simulated time."""

    def __init__(self, settings: api.Settings, seed: int, handle: Handle) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.handle = handle
        self.now_us = START_US
        self.events = 0  # given so far
        self.scheduled = 0  # steps so far, by which those of one time keep their order
        self.queue: list[tuple[int, int, Callable[[], None]]] = []  # time, number, step
        self.calls: dict[int, ClientCall] = {}
        self.pending: dict[tuple[int, int], api.AttemptEnded] = {}  # by call and attempt: how they will end
        self.list_version = 1
        self.overload_until_us = 0
        self.popularity = [1 / (rank + 1) ** 2 + 1 / 1_500 for rank in range(FUNCTIONS)]
        self.machines = {machine.entry.worker: machine for machine in map(machine_of, range(WORKERS))}

    def run(self, events: int, start_episode: Callable[[], None]) -> None:
        """Play so many events; the first episode starts after `EPISODE_GAP_US`."""
        self.give(api.WorkerListReceived(api.ListKind.FAILED, 0, ()))
        self.give(api.WorkerListReceived(api.ListKind.FULL, 1, ()))
        self.after(MS, self.arrive)
        self.after(UNLISTED_US, lambda: self.give(self.whole_list(api.ListKind.FULL)))
        self.after(EPISODE_GAP_US, start_episode)
        while self.events < events:
            self.now_us, _, step = heapq.heappop(self.queue)
            step()

    def after(self, delay_us: int, step: Callable[[], None]) -> None:
        self.scheduled += 1
        heapq.heappush(self.queue, (self.now_us + max(0, delay_us), self.scheduled, step))

    def give_after(self, delay_us: int, event: api.Event) -> None:
        self.after(delay_us, lambda: self.give(event))

    def around(self, mean_us: int) -> int:
        return 1 + self.random.randrange(2 * mean_us)

    def chance(self, share: float) -> bool:
        return self.random.random() < share

    def give(self, event: api.Event) -> None:
        actions = self.handle(self.now_us, event)
        self.events += 1
        for action in list(actions):
            self.react(action)

    def react(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                self.give_after(action.due_us - self.now_us, api.TimerFired(action.token))
                if self.chance(0.002):  # a timer that fires twice
                    self.give_after(action.due_us - self.now_us, api.TimerFired(action.token))
            case api.SendAttempt():
                self.serve(action)
            case api.CancelAttempt():
                self.withdraw(action)
            case api.RequestLoad():
                self.load(action)
            case api.SendHealthCheck():
                self.probe(action)
            case api.WatchEndpoints():
                self.after(20 * MS, lambda: self.give(self.whole_list(api.ListKind.FULL)))
            case api.RejectCall():
                self.reject(action)
            case api.FailCall():
                self.calls[action.call].ended = True

    # Clients.

    def function(self) -> str:
        if self.chance(0.02):
            return f"broken-{self.random.randrange(BROKEN_FUNCTIONS)}"
        rank = self.random.choices(range(FUNCTIONS), self.popularity)[0]
        phase = (self.now_us - START_US) // (15_000 * MS)  # what is popular changes with time
        return f"function-{(rank + 7 * phase) % FUNCTIONS}"

    def arrive(self) -> None:
        rate_factor = 5 if self.now_us < self.overload_until_us else 1
        self.after(self.around(MEAN_GAP_US // rate_factor), self.arrive)
        call_class = self.random.choices(CLASSES, CLASS_WEIGHTS)[0]
        name = self.function()
        shape = Random(name)  # the same for all calls of the function
        listed = self.now_us >= START_US + UNLISTED_US
        self.start(
            api.CallArrived(
                call=len(self.calls),
                function=name,
                class_name=call_class.name,
                budget_us=self.random.choice((400, 1_500, 3_000, 4_000)) * MS,
                memory_mb=float(shape.choice((100, 200, 400))) if listed else 0.0,
                lanes=shape.choice((0, 1, 2, 4)),
                cost_us=self.random.choice((0, 0, 0, 60 * MS, 500 * MS)),
                tenant=self.random.choice(TENANTS),
            )
        )

    def start(self, arrival: api.CallArrived) -> None:
        self.calls[arrival.call] = ClientCall(arrival)
        self.give(arrival)
        self.after(arrival.budget_us, lambda: self.expire(arrival.call))
        if self.chance(0.03):
            self.after(self.around(300 * MS), lambda: self.leave(arrival.call))

    def expire(self, call: int) -> None:
        if not self.calls[call].ended:
            self.calls[call].ended = True
            self.give(api.CallExpired(call))

    def leave(self, call: int) -> None:
        if not self.calls[call].ended or self.chance(0.1):
            self.give(api.ClientDisconnected(call))

    def reject(self, action: api.RejectCall) -> None:
        client_call = self.calls[action.call]
        client_call.ended = True
        if self.chance(0.4):
            self.after(action.retry_after_us, lambda: self.repeat(client_call.arrival))

    def repeat(self, arrival: api.CallArrived) -> None:
        self.start(replace(arrival, call=len(self.calls), repeat=True))

    # Workers.

    def serve(self, action: api.SendAttempt) -> None:
        client_call = self.calls[action.call]
        machine = self.machines[action.worker]
        number = client_call.attempts
        client_call.attempts += 1
        outcome = self.outcome(client_call.arrival, machine)
        if outcome is None and self.chance(0.3):
            # It never answers, and nothing but a cancellation or the end of the budget ends the attempt.
            silence = AttemptOutcome(api.Result.TIMEOUT, 0)
            self.pending[action.call, number] = self.ending(action, number, silence)
            return
        if outcome is None or outcome.elapsed_us > action.timeout_us:
            outcome = AttemptOutcome(api.Result.TIMEOUT, action.timeout_us)
        event = self.ending(action, number, outcome)
        self.pending[action.call, number] = event
        machine.running += 1
        if event.result in (api.Result.OK, api.Result.RESET) and self.chance(0.08):
            started = api.StreamStarted(action.call, number, action.worker, event.elapsed_us // 2)
            self.after(event.elapsed_us // 2, lambda: self.stream(started))
        self.after(event.elapsed_us, lambda: self.answer(event, machine))

    def ending(self, action: api.SendAttempt, number: int, outcome: AttemptOutcome) -> api.AttemptEnded:
        call_ended = outcome.result is api.Result.OK
        if outcome.result is api.Result.ERROR:
            call_ended = self.chance(0.1)
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
        """How an attempt there will end; None for no answer."""
        short_us = self.around(3 * MS)
        if machine.down:
            return AttemptOutcome(api.Result.CONNECT_FAILED, short_us)
        if self.now_us < machine.hangs_until_us:
            return None
        if machine.running >= WORKER_CAPACITY or self.chance(0.01):
            return AttemptOutcome(api.Result.FULL, short_us)
        if machine.entry.state is not api.WorkerState.RUNNING or self.chance(0.003):
            return AttemptOutcome(api.Result.SUPERSEDED, short_us)
        service_us = self.service_us(arrival, machine)
        warmth = api.Warmth.WARM
        load_us = 0
        if arrival.function not in machine.loaded:
            if failure := self.load_failure(short_us):
                return failure
            load_us = self.around(500 * MS)
            warmth = api.Warmth.WAITED_FOR_LOAD if self.chance(0.3) else api.Warmth.STARTED_LOAD
            self.load_copy(machine, arrival.function)
        if self.chance(0.2):
            warmth = api.Warmth.UNKNOWN
        failing = self.now_us < machine.fails_until_us and machine.failing_class == arrival.class_name
        if failing or arrival.function.startswith("broken") or self.chance(0.01):
            return AttemptOutcome(api.Result.ERROR, service_us, warmth)
        if self.chance(0.01):
            return AttemptOutcome(api.Result.RESET, service_us)
        return AttemptOutcome(api.Result.OK, service_us + load_us, warmth)

    def service_us(self, arrival: api.CallArrived, machine: Machine) -> int:
        service_us = self.around(Random(arrival.function).choice((20, 60, 150, 400)) * MS)
        if self.now_us < machine.slow_until_us:
            service_us *= 8
        if self.now_us < self.overload_until_us:
            service_us *= 3
        return service_us

    def load_failure(self, short_us: int) -> AttemptOutcome | None:
        """How a call that meets no copy ends, unless the worker loads one for it."""
        if not self.settings.loads_on_miss or self.chance(0.02):
            return AttemptOutcome(api.Result.MISS, short_us)
        if self.chance(0.05):
            return AttemptOutcome(api.Result.FULL, short_us)
        if self.chance(0.05):
            return AttemptOutcome(api.Result.ERROR, self.around(200 * MS), api.Warmth.LOAD_FAILED)
        return None

    def load_copy(self, machine: Machine, function: str) -> None:
        """The worker has a copy from now on, and drops it after a while."""
        machine.loaded.add(function)
        self.after(self.around(12_000 * MS), lambda: machine.loaded.discard(function))

    def stream(self, event: api.StreamStarted) -> None:
        if (event.call, event.attempt) in self.pending:
            self.give(event)

    def answer(self, event: api.AttemptEnded, machine: Machine) -> None:
        machine.running -= 1
        if self.pending.pop((event.call, event.attempt), None) is None:
            return
        if event.call_ended:
            self.calls[event.call].ended = True
        self.give(event)
        if self.chance(0.01):
            self.give(event)  # an answer that is delivered twice

    def withdraw(self, action: api.CancelAttempt) -> None:
        event = self.pending.get((action.call, action.attempt))
        if event is None or self.chance(0.1):  # the cancellation crosses the answer
            return
        del self.pending[action.call, action.attempt]
        cancelled = replace(
            event,
            result=api.Result.CANCELLED,
            call_ended=self.calls[action.call].ended,
            warmth=api.Warmth.UNKNOWN,
        )
        self.give_after(2 * MS, cancelled)

    def load(self, action: api.RequestLoad) -> None:
        machine = self.machines[action.worker]
        load_us = self.around(500 * MS)
        result = api.Result.OK
        if machine.down:
            result, load_us = api.Result.CONNECT_FAILED, self.around(3 * MS)
        elif self.now_us < machine.hangs_until_us:
            result, load_us = api.Result.TIMEOUT, self.settings.load_timeout_us
        elif self.chance(0.1):
            result = self.random.choice((api.Result.FULL, api.Result.ERROR, api.Result.OK))
        elif action.function in machine.loaded:
            load_us = self.around(2 * MS)
        copies = int(result is api.Result.OK and not self.chance(0.03))
        ended = api.LoadRequestEnded(action.worker, action.function, result, load_us, copies)
        self.after(load_us, lambda: self.end_load_request(machine, ended))

    def end_load_request(self, machine: Machine, ended: api.LoadRequestEnded) -> None:
        if ended.copies:
            self.load_copy(machine, ended.function)
        self.give(ended)
        if self.chance(0.02):
            self.give(replace(ended, worker="worker-unlisted"))

    def probe(self, action: api.SendHealthCheck) -> None:
        machine = self.machines[action.worker]
        answers = not machine.down and self.now_us >= machine.hangs_until_us
        result = api.Result.OK if answers else api.Result.TIMEOUT
        elapsed_us = 3 * MS if answers else 400 * MS
        self.give_after(elapsed_us, api.HealthCheckEnded(action.worker, result, elapsed_us, ()))

    # The worker list.

    def whole_list(self, kind: api.ListKind) -> api.WorkerListReceived:
        self.list_version += 1
        entries = [machine.entry for machine in self.machines.values()]
        listed = tuple(entry for entry in entries if entry.state is not api.WorkerState.GONE)
        return api.WorkerListReceived(kind, self.list_version, listed)
