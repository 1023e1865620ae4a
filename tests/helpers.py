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
    told: dict[str, object] = {
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
    return api.Settings(**(told | changes))  # type: ignore[arg-type]


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

    def __init__(self, told: api.Settings, workers: list[api.WorkerEntry], seed: int = 1) -> None:
        self.dispatcher, self.now = Dispatcher(told, seed), 1_000_000 * MS
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
        end, done = self.now + duration_us, list[api.Action]()
        while due := [t for t in self.timers if t[0] <= end]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            done += self.give(api.TimerFired(timer[1]))
        self.now = end
        return done

    def answer_asks(self, holders: tuple[str, ...] = ()) -> list[api.Action]:
        """Answer every ask that has been given so far and not been answered yet."""
        asks = [a for _, a in self.log if isinstance(a, api.RequestLoad) and a.copies == 0]
        self.log = [(t, a) for t, a in self.log if not (isinstance(a, api.RequestLoad) and a.copies == 0)]
        done = list[api.Action]()
        for ask in asks:
            copies = int(ask.worker in holders)
            done += self.give(api.LoadRequestEnded(ask.worker, ask.function, api.Result.OK, MS, copies))
        return done


def sends(actions: list[api.Action]) -> list[api.SendAttempt]:
    return [a for a in actions if isinstance(a, api.SendAttempt)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.RejectCall | api.FailCall)]


def served(d: Driver, call: int, function: str, holders: tuple[str, ...] = ()) -> str:
    """One call from arrival to its good answer; returns the worker."""
    done = d.give(arrival(call, function)) + d.answer_asks(holders)
    worker = sends(done)[0].worker
    d.run(100 * MS)
    d.give(ended(call, 0, worker, api.Result.OK))
    return worker
