"""Settings and events for tests of decisions, all made up, and a driver that gives them to a dispatcher."""

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher

MS = 1000
SERVICE_US = 100 * MS
START_US = 1_000_000 * MS  # where the clock of a `Driver` starts
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
    """Return settings of a dispatcher, with these fields changed."""
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
    """Return the entry of a worker in the endpoint list."""
    return api.WorkerEntry(worker, zone, "k", 0, state, 1.0, started_us)


WORKERS = [entry(f"w{i}") for i in range(4)]


def worker_list(
    *entries: api.WorkerEntry, kind: api.ListKind = api.ListKind.CACHED
) -> api.WorkerListReceived:
    """Return the event of a list with these entries."""
    return api.WorkerListReceived(kind, 1, entries)


def arrival(
    call: int, function: str = "f", name: str = "safe", budget_us: int = 3_000 * MS
) -> api.CallArrived:
    """Return the event of a call, of the class with this name."""
    return api.CallArrived(call, function, name, budget_us, 400.0, 2, 0)


def ended(
    call: int, attempt: int, worker: str, result: api.Result, elapsed_us: int = SERVICE_US, over: bool = False
) -> api.AttemptEnded:
    """Return the event of an attempt's end; `over` where its call has ended with it."""
    return api.AttemptEnded(
        call, attempt, worker, result, elapsed_us, over or result is api.Result.OK, api.Warmth.UNKNOWN, 0, ()
    )


class Driver:
    """Gives events to one dispatcher on a clock of its own, and fires its timers when they are due."""

    def __init__(self, chosen: api.Settings, workers: list[api.WorkerEntry], seed: int = 1) -> None:
        self.dispatcher = Dispatcher(chosen, seed)
        self.now = START_US
        self.timers: list[tuple[int, int]] = []  # when each is due, and its token
        self.log: list[tuple[int, api.Action]] = []  # every action, with the time at which it came
        self.give(worker_list(*workers))

    def give(self, event: api.Event) -> list[api.Action]:
        """Have the dispatcher handle an event now, and return its actions."""
        actions = self.dispatcher.handle(self.now, event)
        self.timers += [
            (action.due_us, action.token) for action in actions if isinstance(action, api.SetTimer)
        ]
        self.log += [(self.now, action) for action in actions]
        return actions

    def run(self, duration_us: int) -> list[api.Action]:
        """Let time pass, and return the actions of the timers that were due."""
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

    def actions(self) -> list[api.Action]:
        """Return every action so far."""
        return [action for _, action in self.log]


def sends(actions: list[api.Action]) -> list[api.SendAttempt]:
    """Return the attempts that are sent."""
    return [action for action in actions if isinstance(action, api.SendAttempt)]


def load_requests(actions: list[api.Action]) -> list[api.RequestLoad]:
    """Return the requests to load a function, or to keep it loaded."""
    return [action for action in actions if isinstance(action, api.RequestLoad)]


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    """Return the calls that are rejected or fail."""
    return [action for action in actions if isinstance(action, api.RejectCall | api.FailCall)]


def serve_call(driver: Driver, call: int, function: str) -> str:
    """Have a call arrive and served after `SERVICE_US`, and return its worker."""
    worker = sends(driver.give(arrival(call, function)))[0].worker
    driver.run(SERVICE_US)
    driver.give(ended(call, 0, worker, api.Result.OK))
    return worker
