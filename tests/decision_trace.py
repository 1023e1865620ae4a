"""Generated event traces played against a `Dispatcher`, and the digest of the actions that it answers with.

A small discrete-event environment of clients, workers and zones reacts to each action, so that the trace
follows from the seed and from the decisions alone: no clock, no hash order, no library whose results differ
between machines. `python -m tests.decision_trace --write` records the digests of the present decisions.
"""

import argparse
import hashlib
import heapq
import json
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.wire.simulator_codec import action_line

FIXTURE = Path(__file__).parent / "recorded" / "decisions.json"
SEEDS = (1, 2, 3)
EVENTS = 15_000
EVENTS_PER_CHUNK = 1_000
EVENTS_PER_LOOK = 50  # at the workers that the dispatcher avoids
MS = 1_000
START_US = 1_000_000 * MS
UNLISTED_US = 40 * MS  # before the first worker is listed
WORKERS, ZONES, CELLS = 30, 3, 5
FUNCTIONS, BROKEN_FUNCTIONS = 700, 12
TENANTS = ("", "north", "south")
MEAN_GAP_US = 30 * MS
EPISODE_GAP_US = 1_500 * MS
WORKER_CAPACITY = 14  # calls that a worker runs at a time before it answers that it is full

CLASSES = (
    api.CallClass("read", 600 * MS, 4_000 * MS, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0),
    api.CallClass(
        "late", 900 * MS, 4_000 * MS, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0, 0.5
    ),
    api.CallClass(
        "write-all", 1_000 * MS, 4_000 * MS, api.Idempotency.WITH_KEY, api.DeduplicationScope.ALL, 3_000 * MS
    ),
    api.CallClass(
        "write-zone",
        1_000 * MS,
        4_000 * MS,
        api.Idempotency.WITH_KEY,
        api.DeduplicationScope.ZONE,
        2_000 * MS,
    ),
    api.CallClass(
        "write-cell",
        1_000 * MS,
        4_000 * MS,
        api.Idempotency.WITH_KEY,
        api.DeduplicationScope.CELL,
        2_000 * MS,
    ),
    api.CallClass(
        "pay", 1_000 * MS, 4_000 * MS, api.Idempotency.NOT_IDEMPOTENT, api.DeduplicationScope.ALL, 0
    ),
)
CLASS_WEIGHTS = (40, 10, 15, 10, 10, 15)

DUPLICATING = api.Settings(
    classes=CLASSES,
    router_count=8,
    zone="zone-0",
    tick_us=2 * MS,
    must_poll_list=False,
    may_request_loads=True,
    loads_on_miss=True,
    keep_alive_us=6_000 * MS,
    kind_memory_mb=(("large", 3_000.0), ("small", 1_500.0)),
    load_timeout_us=5_000 * MS,
    load_request_window_us=10_000 * MS,
    load_requests_free=10.0,
    load_requests_per_call=0.3,
    max_attempts=4,
    may_cancel=True,
    may_hedge=True,
    may_probe=True,
    answer_slack_us=16 * MS,
    drain_grace_us=250 * MS,
    slow_start_share=0.2,
    slow_start_us=8_000 * MS,
    overload_multiple=2.0,
    overload_window_us=2_000 * MS,
)
VARIANTS = {
    "duplicating": DUPLICATING,
    "ordering": replace(
        DUPLICATING,
        router_count=1,
        must_poll_list=True,
        loads_on_miss=False,
        load_request_window_us=4_000 * MS,
        load_requests_free=10.0,
        load_requests_per_call=0.2,
        may_hedge=False,
    ),
    "plain": replace(
        DUPLICATING,
        router_count=2,
        zone="",
        keep_alive_us=0,
        kind_memory_mb=(("large", 300.0), ("small", 150.0)),
        may_request_loads=False,
        may_cancel=False,
        may_probe=False,
        max_attempts=3,
    ),
}


@dataclass(slots=True)
class Machine:
    """One worker of the environment: what it holds, what it runs, and until when it misbehaves."""

    entry: api.WorkerEntry
    held: set[str] = field(default_factory=set)
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


@dataclass(slots=True)
class Recording:
    """What a trace gave; the counts are by the names that the simulator's wire has for the actions."""

    events: int = 0
    actions: Counter[str] = field(default_factory=Counter)
    chunks: list[str] = field(default_factory=list)
    digest: str = ""

    def as_json(self, variant: str, seed: int) -> dict[str, Any]:
        return {
            "variant": variant,
            "seed": seed,
            "events": self.events,
            "actions": dict(sorted(self.actions.items())),
            "chunks": self.chunks,
            "digest": self.digest,
        }


class ActionDigest:
    """Digests of the actions' wire lines, with the time and the number of the event that brought them."""

    def __init__(self) -> None:
        self.recording = Recording()
        self.whole, self.chunk = hashlib.sha256(), hashlib.sha256()

    def add(self, now_us: int, actions: list[api.Action]) -> None:
        for action in actions:
            line = action_line("d", action)
            self.recording.actions[line.partition(" ")[0]] += 1
            if isinstance(action, api.SendAttempt):  # the simulator's wire leaves these two out
                line += f" epoch={action.epoch} untilUs={action.until_us}"
            self.add_line(f"{self.recording.events} {now_us} {line}")
        self.recording.events += 1
        if self.recording.events % EVENTS_PER_CHUNK == 0:
            self.recording.chunks.append(self.chunk.hexdigest()[:16])
            self.chunk = hashlib.sha256()

    def add_line(self, line: str) -> None:
        self.whole.update(f"{line}\n".encode())
        self.chunk.update(f"{line}\n".encode())

    def finished(self) -> Recording:
        self.recording.digest = self.whole.hexdigest()
        return self.recording


class Environment:
    """Clients, workers and the worker list round one dispatcher, in simulated time."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.dispatcher, self.digest = Dispatcher(settings, seed), ActionDigest()
        self.now_us, self.scheduled, self.queue = START_US, 0, list[tuple[int, int, Callable[[], None]]]()
        self.calls: dict[int, ClientCall] = {}
        self.pending: dict[tuple[int, int], api.AttemptEnded] = {}
        self.version, self.overload_until_us = 1, 0
        self.popularity = [1 / (rank + 1) ** 2 + 1 / 1_500 for rank in range(FUNCTIONS)]
        self.machines: dict[str, Machine] = {}
        for number in range(WORKERS):
            entry = api.WorkerEntry(
                f"worker-{number}",
                f"zone-{number % ZONES}",
                "small" if number % 4 == 3 else "large",
                number % CELLS,
                api.WorkerState.RUNNING,
                0.5 if number % 4 == 3 else 1.0,
                0,
            )
            self.machines[entry.worker] = Machine(entry)

    def run(self, events: int) -> Recording:
        self.give(api.WorkerListReceived(api.ListKind.FAILED, 0, ()))
        self.give(api.WorkerListReceived(api.ListKind.FULL, 1, ()))
        self.after(MS, self.arrive)
        self.after(UNLISTED_US, lambda: self.give(self.whole_list(api.ListKind.FULL)))
        self.after(EPISODE_GAP_US, self.episode)
        while self.digest.recording.events < events:
            self.now_us, _, step = heapq.heappop(self.queue)
            step()
        return self.digest.finished()

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
        actions = self.dispatcher.handle(self.now_us, event)
        if self.digest.recording.events % EVENTS_PER_LOOK == 0:
            avoided = [name for name, w in self.dispatcher.workers.items() if self.dispatcher.avoids(w)]
            self.digest.add_line(f"avoided {' '.join(avoided)}")
        self.digest.add(self.now_us, actions)
        for action in list(actions):
            self.react(action)

    def react(self, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                self.give_after(action.due_us - self.now_us, api.TimerFired(action.token))
                if self.chance(0.002):  # a timer that is told twice
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
                self.refused(action)
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
        hurry = 5 if self.now_us < self.overload_until_us else 1
        self.after(self.around(MEAN_GAP_US // hurry), self.arrive)
        call_class = self.random.choices(CLASSES, CLASS_WEIGHTS)[0]
        name = self.function()
        shape = Random(name)  # the same for all calls of the function
        self.start(
            api.CallArrived(
                call=len(self.calls),
                function=name,
                class_name=call_class.name,
                budget_us=self.random.choice((400, 1_500, 3_000, 4_000)) * MS,
                memory_mb=0.0
                if self.now_us < START_US + UNLISTED_US
                else float(shape.choice((100, 200, 400))),
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

    def refused(self, action: api.RejectCall) -> None:
        known = self.calls[action.call]
        known.ended = True
        if self.chance(0.4):
            self.after(action.retry_after_us, lambda: self.come_again(known.arrival))

    def come_again(self, arrival: api.CallArrived) -> None:
        self.start(replace(arrival, call=len(self.calls), repeat=True))

    # Workers.

    def serve(self, action: api.SendAttempt) -> None:
        known, machine = self.calls[action.call], self.machines[action.worker]
        number, known.attempts = known.attempts, known.attempts + 1
        result, elapsed_us, warmth = self.outcome(known.arrival, machine)
        if result is None and self.chance(0.3):
            self.pending[action.call, number] = self.ending(action, number, api.Result.TIMEOUT, 0, warmth)
            return  # it never answers, and only a cancellation or the budget's end is heard of
        if result is None or elapsed_us > action.timeout_us:
            result, elapsed_us, warmth = api.Result.TIMEOUT, action.timeout_us, api.Warmth.UNKNOWN
        event = self.ending(action, number, result, elapsed_us, warmth)
        self.pending[action.call, number] = event
        machine.running += 1
        if result in (api.Result.OK, api.Result.RESET) and self.chance(0.08):
            started = api.StreamStarted(action.call, number, action.worker, elapsed_us // 2)
            self.after(elapsed_us // 2, lambda: self.stream(started))
        self.after(elapsed_us, lambda: self.answer(event, machine))

    def ending(
        self, action: api.SendAttempt, number: int, result: api.Result, elapsed_us: int, warmth: api.Warmth
    ) -> api.AttemptEnded:
        over = result is api.Result.OK or (result is api.Result.ERROR and self.chance(0.1))
        return api.AttemptEnded(action.call, number, action.worker, result, elapsed_us, over, warmth, 0, ())

    def outcome(
        self, arrival: api.CallArrived, machine: Machine
    ) -> tuple[api.Result | None, int, api.Warmth]:
        """How an attempt there will end, after how long, and what is told of the copy; None for no answer."""
        short_us, untold = self.around(3 * MS), api.Warmth.UNKNOWN
        if machine.down:
            return api.Result.CONNECT_FAILED, short_us, untold
        if self.now_us < machine.hangs_until_us:
            return None, 0, untold
        if machine.running >= WORKER_CAPACITY or self.chance(0.01):
            return api.Result.FULL, short_us, untold
        if machine.entry.state is not api.WorkerState.RUNNING or self.chance(0.003):
            return api.Result.SUPERSEDED, short_us, untold
        service_us = self.around(Random(arrival.function).choice((20, 60, 150, 400)) * MS)
        if self.now_us < machine.slow_until_us:
            service_us *= 8
        if self.now_us < self.overload_until_us:
            service_us *= 3
        warmth, load_us = api.Warmth.WARM, 0
        if arrival.function not in machine.held:
            if not self.settings.loads_on_miss or self.chance(0.02):
                return api.Result.MISS, short_us, untold
            if self.chance(0.05):
                return api.Result.FULL, short_us, untold
            if self.chance(0.05):
                return api.Result.ERROR, self.around(200 * MS), api.Warmth.LOAD_FAILED
            warmth, load_us = api.Warmth.STARTED_LOAD, self.around(500 * MS)
            if self.chance(0.3):
                warmth = api.Warmth.WAITED_FOR_LOAD
            self.hold(machine, arrival.function)
        if self.chance(0.2):
            warmth = untold
        failing = self.now_us < machine.fails_until_us and machine.failing_class == arrival.class_name
        if failing or arrival.function.startswith("broken") or self.chance(0.01):
            return api.Result.ERROR, service_us, warmth
        if self.chance(0.01):
            return api.Result.RESET, service_us, untold
        return api.Result.OK, service_us + load_us, warmth

    def hold(self, machine: Machine, function: str) -> None:
        machine.held.add(function)
        self.after(self.around(12_000 * MS), lambda: machine.held.discard(function))

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
            self.give(event)  # one that is told twice

    def withdraw(self, action: api.CancelAttempt) -> None:
        known = self.pending.get((action.call, action.attempt))
        if known is None or self.chance(0.1):  # the cancellation crosses the answer
            return
        del self.pending[action.call, action.attempt]
        over = self.calls[action.call].ended
        self.give_after(
            2 * MS, replace(known, result=api.Result.CANCELLED, call_ended=over, warmth=api.Warmth.UNKNOWN)
        )

    def load(self, action: api.RequestLoad) -> None:
        machine, load_us, result = self.machines[action.worker], self.around(500 * MS), api.Result.OK
        if machine.down:
            result, load_us = api.Result.CONNECT_FAILED, self.around(3 * MS)
        elif self.now_us < machine.hangs_until_us:
            result, load_us = api.Result.TIMEOUT, self.settings.load_timeout_us
        elif self.chance(0.1):
            result = self.random.choice((api.Result.FULL, api.Result.ERROR, api.Result.OK))
        elif action.function in machine.held:
            load_us = self.around(2 * MS)
        copies = int(result is api.Result.OK and not self.chance(0.03))
        ended = api.LoadRequestEnded(action.worker, action.function, result, load_us, copies)

        def loaded() -> None:
            if copies:
                self.hold(machine, action.function)
            self.give(ended)
            if self.chance(0.02):  # news of a worker that is not listed
                self.give(replace(ended, worker="worker-unlisted"))

        self.after(load_us, loaded)

    def probe(self, action: api.SendHealthCheck) -> None:
        machine = self.machines[action.worker]
        hears = not machine.down and self.now_us >= machine.hangs_until_us
        result, elapsed_us = (api.Result.OK, 3 * MS) if hears else (api.Result.TIMEOUT, 400 * MS)
        self.give_after(elapsed_us, api.HealthCheckEnded(action.worker, result, elapsed_us, ()))

    # What befalls the fleet.

    def whole_list(self, kind: api.ListKind) -> api.WorkerListReceived:
        self.version += 1
        listed = [m.entry for m in self.machines.values() if m.entry.state is not api.WorkerState.GONE]
        return api.WorkerListReceived(kind, self.version, tuple(listed))

    def tell(self, machine: Machine, state: api.WorkerState, started_us: int) -> None:
        machine.entry = replace(machine.entry, state=state, started_us=started_us)
        self.version += 1
        self.give(api.WorkerListReceived(api.ListKind.DELTA, self.version, (machine.entry,)))

    def episode(self) -> None:
        self.after(self.around(EPISODE_GAP_US), self.episode)
        machine = self.random.choice(list(self.machines.values()))
        episodes: tuple[tuple[int, Callable[[], None]], ...] = (
            (20, lambda: self.drain(machine)),
            (20, lambda: self.crash(machine)),
            (15, lambda: self.hang(machine)),
            (15, lambda: self.slow(machine)),
            (15, lambda: self.fail(machine)),
            (6, lambda: self.lose_zones(1)),
            (2, lambda: self.lose_zones(ZONES)),
            (10, self.list_again),
            (6, self.overload),
            (6, self.change_policy),
            (4, lambda: self.give(api.PeerMessage(1, b"hello"))),
            (10, lambda: self.break_connection(machine)),
        )
        weights = [weight for weight, _ in episodes]
        self.random.choices([begin for _, begin in episodes], weights)[0]()

    def drain(self, machine: Machine) -> None:
        if machine.down or machine.entry.state is not api.WorkerState.RUNNING:
            return
        self.tell(machine, api.WorkerState.DRAINING, machine.entry.started_us)
        self.after(self.around(1_500 * MS), lambda: self.go(machine))

    def go(self, machine: Machine) -> None:
        machine.down = True
        machine.held.clear()
        self.tell(machine, api.WorkerState.GONE, machine.entry.started_us)
        self.after(self.around(2_000 * MS), lambda: self.come_up(machine))

    def come_up(self, machine: Machine) -> None:
        machine.down = False
        machine.hangs_until_us = machine.slow_until_us = machine.fails_until_us = 0
        self.tell(machine, api.WorkerState.RUNNING, self.now_us)

    def crash(self, machine: Machine) -> None:
        if machine.down or machine.entry.state is not api.WorkerState.RUNNING:
            return
        machine.down = True
        machine.held.clear()
        self.break_connection(machine)
        if self.chance(0.5):  # else it is back before it is missed
            self.after(self.around(300 * MS), lambda: self.go(machine))
        else:
            self.after(self.around(4_000 * MS), lambda: self.come_up(machine))

    def break_connection(self, machine: Machine) -> None:
        """All that the connection carries ends at once, by a reset."""
        name = machine.entry.worker
        for place, known in [(p, e) for p, e in self.pending.items() if e.worker == name]:
            if self.pending.pop(place, None) is not None:
                self.give(replace(known, result=api.Result.RESET, call_ended=False, elapsed_us=50 * MS))

    def hang(self, machine: Machine) -> None:
        machine.hangs_until_us = self.now_us + self.around(4_000 * MS)

    def slow(self, machine: Machine) -> None:
        machine.slow_until_us = self.now_us + self.around(5_000 * MS)

    def fail(self, machine: Machine) -> None:
        machine.fails_until_us = self.now_us + self.around(5_000 * MS)
        machine.failing_class = self.random.choice(CLASSES).name

    def lose_zones(self, count: int) -> None:
        lost = [f"zone-{number}" for number in self.random.sample(range(ZONES), count)]
        for machine in self.machines.values():
            if machine.entry.zone in lost:
                machine.hangs_until_us = self.now_us + 5_000 * MS

    def list_again(self) -> None:
        kind = self.random.choice((api.ListKind.FULL, api.ListKind.CACHED, api.ListKind.FAILED))
        self.give(
            api.WorkerListReceived(kind, 0, ()) if kind is api.ListKind.FAILED else self.whole_list(kind)
        )

    def overload(self) -> None:
        self.overload_until_us = self.now_us + 3_000 * MS

    def change_policy(self) -> None:
        longer = self.settings.epoch % 2 == 0
        aims = tuple(
            replace(c, latency_objective_us=c.latency_objective_us * (2 if longer else 1)) for c in CLASSES
        )
        self.settings = replace(
            self.settings,
            classes=aims,
            overload_window_us=(1_000 if longer else 2_000) * MS,
            max_attempts=5 if longer else 3,
            epoch=self.settings.epoch + 1,
        )
        self.give(api.PolicyChanged(self.settings))


def replayed(variant: str, seed: int, events: int = EVENTS) -> Recording:
    return Environment(VARIANTS[variant], seed).run(events)


def main() -> None:
    parser = argparse.ArgumentParser(description="Record the decisions that generated traces bring about.")
    parser.add_argument("--write", action="store_true", help=f"write {FIXTURE.name} instead of printing it")
    recorded = [replayed(v, seed).as_json(v, seed) for v in VARIANTS for seed in SEEDS]
    if parser.parse_args().write:
        FIXTURE.parent.mkdir(exist_ok=True)
        FIXTURE.write_text(json.dumps(recorded, indent=1) + "\n")
    else:
        print(json.dumps(recorded, indent=1))


if __name__ == "__main__":
    main()
