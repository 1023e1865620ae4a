"""Measure what a call costs the dispatch package alone, by the number of workers and functions.

Calls arrive at a rate of `CALLS_PER_S` for equally popular functions, and are answered after 100 ms. The
worker list changes after every `CALLS_PER_CHANGE` calls: one worker is replaced, and the router receives the
complete list.
"""

import heapq
import sys
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from benchmarks.fit import Series
from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.tools.dispatcher_settings import BASE_SETTINGS

CALLS_PER_S = 126  # 72,000 calls per second over 570 routers
CALLS_PER_CHANGE = 126
US_PER_S = 1_000_000
CALL_INTERVAL_US = US_PER_S // CALLS_PER_S
ANSWER_US = 100_000  # time from an attempt or load request to its answer
SIZES = ((36, 500), (375, 1_200), (1_200, 2_500), (3_750, 5_000))  # numbers of workers and functions
MEASURED_CALLS = 6_000
MEASURED_CALLS_SMALL = 500  # in a quick run
ROUTERS = 570
START_US = 1_000_000_000  # initial simulated time
WORST_QUANTILE = 0.99
MAX_MEMORY_FUNCTIONS = 400  # maximum number of functions in each of the two batches that measure memory
MEMORY_CALL_START = 10**9  # first call number of the memory measurement, above those of all other calls


@dataclass(frozen=True)
class Cost:
    """What a router spends on a call, on a worker list and on a known function."""

    call_us: float  # processor time per call, worker lists included
    list_us: float  # processor time per complete worker list
    worst_us: float  # 99th percentile of the time to handle a call's arrival
    function_bytes: float  # memory per known function


def settings() -> api.Settings:
    """Return the settings of a router of a large fleet."""
    call_class = api.CallClass(
        "review", 1_000_000, 4_000_000, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0
    )
    return replace(
        BASE_SETTINGS,
        classes=(call_class,),
        router_count=ROUTERS,
        zone="z0",
        kind_memory_mb=(("k", 8_000.0),),
    )


def entry(number: int) -> api.WorkerEntry:
    """Return the list entry of a worker."""
    zone = f"z{number % 12}"
    return api.WorkerEntry(f"w{number}", zone, "k", 0, api.WorkerState.RUNNING, 4.0, 0)


def arrival(call: int, function: str) -> api.CallArrived:
    """Return the event of a call's arrival."""
    return api.CallArrived(call, function, "review", 4_000_000, 400.0, 2, 0)


class Router:
    """One dispatcher with simulated answers, timers and time."""

    def __init__(self, workers: int, functions: int, seed: int) -> None:
        self.dispatcher = Dispatcher(settings(), seed)
        self.arrivals_us: list[float] = []  # time spent on handling each call's arrival
        self.lists_us: list[float] = []  # processor time spent on each worker list
        self._random = Random(seed)
        self._functions = functions
        self._workers = [entry(number) for number in range(workers)]
        self._next_worker = workers
        self._now_us = START_US
        self._due: list[tuple[int, int, api.Event]] = []  # a heap of time, number and event
        self._scheduled = 0  # events scheduled so far; orders events of the same time
        self._calls = 0
        self._handle(self._list(api.ListKind.CACHED))

    def run(self, calls: int) -> None:
        """Simulate `calls` calls, with the answers and timers between them."""
        for _ in range(calls):
            self._advance(self._now_us + CALL_INTERVAL_US)
            self._calls += 1
            if self._calls % CALLS_PER_CHANGE == 0:
                self._change_list()
            arrived = arrival(self._calls, f"f{self._random.randrange(self._functions)}")
            started_s = time.perf_counter()
            self._handle(arrived)
            self.arrivals_us.append((time.perf_counter() - started_s) * US_PER_S)

    def call_once(self, call: int, function: str) -> None:
        """Advance by one call interval, have a call arrive, and handle the events due by then."""
        self._now_us += CALL_INTERVAL_US
        self._handle(arrival(call, function))
        while self._due and self._due[0][0] <= self._now_us:
            self._handle(heapq.heappop(self._due)[2])

    def _advance(self, until_us: int) -> None:
        """Advance to a time, and have the dispatcher handle the events due by then."""
        while self._due and self._due[0][0] <= until_us:
            self._now_us, _, event = heapq.heappop(self._due)
            self._handle(event)
        self._now_us = until_us

    def _list(self, kind: api.ListKind) -> api.WorkerListReceived:
        return api.WorkerListReceived(kind, self._next_worker, tuple(self._workers))

    def _change_list(self) -> None:
        """Replace one worker, and measure how long the dispatcher takes for the new list."""
        self._workers[self._random.randrange(len(self._workers))] = entry(self._next_worker)
        self._next_worker += 1
        received = self._list(api.ListKind.FULL)
        started_s = time.process_time()
        self._handle(received)
        self.lists_us.append((time.process_time() - started_s) * US_PER_S)

    def _handle(self, event: api.Event) -> None:
        """Have the dispatcher handle an event, and schedule the events that result from its actions."""
        for action in self.dispatcher.handle(self._now_us, event):
            if isinstance(action, api.SetTimer):
                self._schedule(action.due_us, api.TimerFired(action.token))
            elif isinstance(action, api.SendAttempt):
                self._schedule(self._now_us + ANSWER_US, self._answer(action))
            elif isinstance(action, api.RequestLoad):
                loaded = api.LoadRequestEnded(action.worker, action.function, api.Result.OK, ANSWER_US, 1)
                self._schedule(self._now_us + ANSWER_US, loaded)

    def _answer(self, action: api.SendAttempt) -> api.AttemptEnded:
        """Return the event that ends an attempt and its call successfully."""
        attempt = max(number for call, number in self.dispatcher.attempts if call == action.call)
        return api.AttemptEnded(
            action.call, attempt, action.worker, api.Result.OK, ANSWER_US, True, api.Warmth.UNKNOWN, 0, ()
        )

    def _schedule(self, due_us: int, event: api.Event) -> None:
        self._scheduled += 1
        heapq.heappush(self._due, (due_us, self._scheduled, event))


def measure(workers: int, functions: int, calls: int, seed: int = 1) -> Cost:
    """Measure the costs for one fleet size, after a warm-up of half as many calls."""
    router = Router(workers, functions, seed)
    router.run(calls // 2)
    router.arrivals_us.clear()
    router.lists_us.clear()
    started_s = time.process_time()
    router.run(calls)
    spent_us = (time.process_time() - started_s) * US_PER_S
    worst_us = sorted(router.arrivals_us)[int(WORST_QUANTILE * len(router.arrivals_us))]
    list_us = sum(router.lists_us) / max(1, len(router.lists_us))
    return Cost(spent_us / calls, list_us, worst_us, memory_of_a_function(workers, functions))


def memory_of_a_function(workers: int, functions: int) -> float:
    """Measure the bytes per known function, as the growth from a second batch of functions called once."""
    count = min(functions, MAX_MEMORY_FUNCTIONS)
    tracemalloc.start()
    router = Router(workers, functions, 1)
    used_bytes = list[int]()
    for batch in range(2):
        for number in range(batch * count, (batch + 1) * count):
            router.call_once(MEMORY_CALL_START + number, f"memory-{number}")
        used_bytes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    return (used_bytes[1] - used_bytes[0]) / count


def run(small: bool = False, sizes: Sequence[tuple[int, int]] = SIZES) -> list[Series]:
    """Return the measured costs by number of workers; `small` selects fewer calls and fleet sizes."""
    call = Series("call", "workers", "µs of processor time")
    worker_list = Series("whole list", "workers", "µs of processor time")
    worst = Series("arrival p99", "workers", "µs")
    memory = Series("function", "workers", "bytes")
    for workers, functions in sizes[:2] if small else sizes:
        print(f"  {workers} workers, {functions} functions …", file=sys.stderr, flush=True)
        cost = measure(workers, functions, MEASURED_CALLS_SMALL if small else MEASURED_CALLS)
        call.add(workers, cost.call_us)
        worker_list.add(workers, cost.list_us)
        worst.add(workers, cost.worst_us)
        memory.add(workers, cost.function_bytes)
    return [call, worker_list, worst, memory]
