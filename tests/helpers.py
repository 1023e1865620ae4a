"""Settings and events for tests; made up here, nothing comes from a deployment."""

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher

MS = 1000
CLASSES = (
    api.CallClass("safe", 1_000 * MS, 4_000 * MS, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0),
    api.CallClass(
        "keyed", 1_000 * MS, 4_000 * MS, api.Idempotency.WITH_KEY, api.DeduplicationScope.ZONE, 2_000 * MS
    ),
    api.CallClass(
        "unsafe", 1_000 * MS, 4_000 * MS, api.Idempotency.NOT_IDEMPOTENT, api.DeduplicationScope.ALL, 0
    ),
)


def settings(**changes: object) -> api.Settings:
    defaults: dict[str, object] = {
        "classes": CLASSES,
        "router_count": 2,
        "zone": "z0",
        "tick_us": 2 * MS,
        "must_poll_list": False,
        "may_request_loads": True,
        "loads_on_miss": True,
        "keep_alive_us": 10_000 * MS,
        "kind_memory_mb": (("k", 4000.0),),
        "load_timeout_us": 10_000 * MS,
        "load_request_window_us": 10_000 * MS,
        "load_requests_free": 4,
        "load_requests_per_call": 0.25,
        "max_attempts": 4,
        "may_cancel": True,
        "may_hedge": True,
        "may_probe": False,
        "answer_slack_us": 16 * MS,
        "drain_grace_us": 250 * MS,
        "slow_start_share": 0.2,
        "slow_start_us": 15_000 * MS,
        "overload_multiple": 2.0,
        "overload_window_us": 2_000 * MS,
    }
    return api.Settings(**(defaults | changes))  # type: ignore[arg-type]  # the tests give any field


def entry(
    worker: str, state: api.WorkerState = api.WorkerState.RUNNING, started_us: int = 0, zone: str = "z0"
) -> api.WorkerEntry:
    return api.WorkerEntry(worker, zone, "k", 0, state, 1.0, started_us)


WORKERS = [entry(f"w{i}") for i in range(4)]


def fleet(*entries: api.WorkerEntry, kind: api.ListKind = api.ListKind.CACHED) -> api.WorkerListReceived:
    return api.WorkerListReceived(kind, 1, entries)


def arrival(
    call: int, function: str = "f", name: str = "safe", budget_us: int = 3_000 * MS
) -> api.CallArrived:
    return api.CallArrived(call, function, name, budget_us, 400.0, 2, 0)


def ended(
    call: int, attempt: int, worker: str, result: api.Result, elapsed_us: int = 100 * MS, over: bool = False
) -> api.AttemptEnded:
    return api.AttemptEnded(
        call, attempt, worker, result, elapsed_us, over or result is api.Result.OK, api.Warmth.UNKNOWN, 0, ()
    )


class Driver:
    """Feeds one dispatcher and fires its timers when they are due."""

    def __init__(self, chosen: api.Settings, workers: list[api.WorkerEntry], seed: int = 1) -> None:
        self.dispatcher = Dispatcher(chosen, seed)
        self.now = 1_000_000 * MS
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, api.Action]] = []
        self.give(fleet(*workers))

    def give(self, event: api.Event) -> list[api.Action]:
        actions = self.dispatcher.handle(self.now, event)
        self.timers += [(a.due_us, a.token) for a in actions if isinstance(a, api.SetTimer)]
        self.log += [(self.now, a) for a in actions]
        return actions

    def run(self, duration_us: int) -> list[api.Action]:
        """Let time pass; returns what the timers brought about."""
        end_us = self.now + duration_us
        done = list[api.Action]()
        while due := [timer for timer in self.timers if timer[0] <= end_us]:
            timer = min(due)
            self.timers.remove(timer)
            due_us, token = timer
            self.now = max(self.now, due_us)
            done += self.give(api.TimerFired(token))
        self.now = end_us
        return done


def sends(actions: list[api.Action]) -> list[api.SendAttempt]:
    return [a for a in actions if isinstance(a, api.SendAttempt)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.RejectCall | api.FailCall)]


def served(driver: Driver, call: int, function: str) -> str:
    """One call from arrival to its good answer; returns the worker."""
    worker = sends(driver.give(arrival(call, function)))[0].worker
    driver.run(100 * MS)
    driver.give(ended(call, 0, worker, api.Result.OK))
    return worker
