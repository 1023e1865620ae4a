"""Settings and events for tests of the dispatcher, and a driver that passes events to a dispatcher."""

from maplestile.dispatch import api
from maplestile.dispatch.dispatcher import Dispatcher

MS = 1000  # microseconds in a millisecond
SERVICE_US = 100 * MS  # service time of a call unless a test chooses another
START_US = 1_000_000 * MS  # initial time of a `Driver`'s clock
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
    """Return the settings of a dispatcher, with the given fields changed."""
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
    return api.Settings(**(defaults | changes))  # type: ignore[arg-type]  # tests may change any field


def entry(
    worker: str, state: api.WorkerState = api.WorkerState.RUNNING, started_us: int = 0, zone: str = "z0"
) -> api.WorkerEntry:
    """Return a worker's entry in the worker list."""
    return api.WorkerEntry(worker, zone, "k", 0, state, 1.0, started_us)


WORKERS = [entry(f"w{i}") for i in range(4)]


def worker_list(
    *entries: api.WorkerEntry, kind: api.ListKind = api.ListKind.CACHED
) -> api.WorkerListReceived:
    """Return the event that delivers a worker list with these entries."""
    return api.WorkerListReceived(kind, 1, entries)


def arrival(
    call: int, function: str = "f", class_name: str = "safe", budget_us: int = 3_000 * MS
) -> api.CallArrived:
    """Return the event of a call's arrival."""
    return api.CallArrived(call, function, class_name, budget_us, 400.0, 2, 0)


def ended(
    call: int,
    attempt: int,
    worker: str,
    result: api.Result,
    elapsed_us: int = SERVICE_US,
    call_ended: bool = False,
) -> api.AttemptEnded:
    """Return the event of an attempt's end; a successful attempt also ends its call."""
    return api.AttemptEnded(
        call,
        attempt,
        worker,
        result,
        elapsed_us,
        call_ended or result is api.Result.OK,
        api.Warmth.UNKNOWN,
        0,
        (),
    )


class Driver:
    """A dispatcher that gets events from a test in simulated time, with timers that fire when due."""

    def __init__(
        self, dispatcher_settings: api.Settings, workers: list[api.WorkerEntry], seed: int = 1
    ) -> None:
        self.dispatcher = Dispatcher(dispatcher_settings, seed)
        self.now_us = START_US
        self.timers: list[tuple[int, int]] = []  # due time and token of each
        self.log: list[tuple[int, api.Action]] = []  # every action so far, with its time
        self.give(worker_list(*workers))

    def give(self, event: api.Event) -> list[api.Action]:
        """Have the dispatcher handle an event now, and return the resulting actions."""
        actions = self.dispatcher.handle(self.now_us, event)
        self.timers += [
            (action.due_us, action.token) for action in actions if isinstance(action, api.SetTimer)
        ]
        self.log += [(self.now_us, action) for action in actions]
        return actions

    def run(self, duration_us: int) -> list[api.Action]:
        """Advance the time, and return the actions that result from the timers due by then."""
        end_us = self.now_us + duration_us
        done = list[api.Action]()
        while due := [timer for timer in self.timers if timer[0] <= end_us]:
            timer = min(due)
            self.timers.remove(timer)
            due_us, token = timer
            self.now_us = max(self.now_us, due_us)
            done += self.give(api.TimerFired(token))
        self.now_us = end_us
        return done

    def actions(self) -> list[api.Action]:
        """Return all actions so far."""
        return [action for _, action in self.log]


def sends(actions: list[api.Action]) -> list[api.SendAttempt]:
    """Return the actions that send an attempt."""
    return [action for action in actions if isinstance(action, api.SendAttempt)]


def load_requests(actions: list[api.Action]) -> list[api.RequestLoad]:
    """Return the actions that request a load or keep a copy warm."""
    return [action for action in actions if isinstance(action, api.RequestLoad)]


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    """Return the actions that reject or fail a call."""
    return [action for action in actions if isinstance(action, api.RejectCall | api.FailCall)]


def serve_call(driver: Driver, call: int, function: str) -> str:
    """Simulate a call that is answered after `SERVICE_US`; return the name of its worker."""
    worker = sends(driver.give(arrival(call, function)))[0].worker
    driver.run(SERVICE_US)
    driver.give(ended(call, 0, worker, api.Result.OK))
    return worker
