"""Tests that the actions of one dispatcher keep the rules below for any valid sequence of events.

- Each call gets exactly one final answer, in time.
- No attempt begins after the final answer, after the deadline, or at a worker that is not running.
- A call is repeated or rejected only if that is harmless.
- Load requests go only to running workers and stay within their quota.
"""

from dataclasses import dataclass, replace

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from maplestile.dispatch import api
from tests.helpers import CLASSES, MS, Driver, arrival, ended, entry, settings, worker_list

WORKERS = ["w0", "w1", "w2", "w3"]
NEVER_RAN = {api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.SUPERSEDED, api.Result.MISS}
LOAD_RESULTS = (api.Result.OK, api.Result.ERROR, api.Result.TIMEOUT, api.Result.FULL)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["call", "end", "load", "wait", "state", "noise"]),
        st.integers(0, 1_000),
        st.integers(0, 1_000),
    ),
    min_size=20,
    max_size=120,
)


@dataclass(frozen=True)
class SentAttempt:
    """An attempt that the dispatcher has sent."""

    worker: str
    sent_us: int
    result: api.Result | None = None  # None while the attempt is in flight

    def may_have_run(self) -> bool:
        """Return whether the worker may have run the call."""
        return self.result not in NEVER_RAN


class RuleChecker:
    """Simulated workers and clients that check each action against their own record of the events."""

    def __init__(self, dispatcher_settings: api.Settings) -> None:
        self.settings = dispatcher_settings
        self.driver = Driver(dispatcher_settings, [entry(worker) for worker in WORKERS])
        self.checked = 0  # number of checked actions of the driver's log
        # By call number:
        self.due_us: dict[int, int] = {}
        self.call_class: dict[int, api.CallClass] = {}
        self.answered_us: dict[int, int] = {}
        self.attempts: dict[int, list[SentAttempt]] = {}
        self.unavailable: set[str] = set()  # workers that are draining or gone
        self.arrivals_us: list[int] = []
        self.load_requests_us: list[int] = []  # times of the load requests that ask for copies
        self.open_load_requests: list[api.RequestLoad] = []

    def give(self, event: api.Event) -> None:
        """Pass an event to the dispatcher, and check the resulting actions."""
        self.driver.give(event)
        self.check()

    def check(self) -> None:
        """Check each new action of the dispatcher against the rules."""
        for now_us, action in self.driver.log[self.checked :]:
            if isinstance(action, api.SendAttempt):
                self.check_attempt(now_us, action)
            elif isinstance(action, api.RejectCall | api.FailCall):
                self.check_answer(now_us, action)
            elif isinstance(action, api.RequestLoad):
                self.check_load_request(now_us, action)
        self.checked = len(self.driver.log)

    def check_attempt(self, now_us: int, send: api.SendAttempt) -> None:
        """Check that an attempt may begin at its worker, and may repeat its call."""
        assert send.call not in self.answered_us
        assert now_us < self.due_us[send.call]
        assert send.worker not in self.unavailable
        self.check_repeat(now_us, send)
        self.attempts.setdefault(send.call, []).append(SentAttempt(send.worker, now_us))

    def check_repeat(self, now_us: int, send: api.SendAttempt) -> None:
        """Check that the call may be sent again if it may have run already."""
        call_class = self.call_class[send.call]
        possibly_run = self.attempts_that_may_have_run(send.call)
        if not self.settings.may_hedge:
            assert all(attempt.result is not None for attempt in possibly_run)
        if call_class.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            assert not possibly_run
        if call_class.idempotency is api.Idempotency.WITH_KEY and possibly_run:
            assert now_us < possibly_run[0].sent_us + call_class.deduplication_window_us
        assert len(self.attempts.get(send.call, [])) < self.settings.max_attempts

    def attempts_that_may_have_run(self, call: int) -> list[SentAttempt]:
        """Return the attempts of a call that a worker may have run."""
        return [attempt for attempt in self.attempts.get(call, []) if attempt.may_have_run()]

    def check_answer(self, now_us: int, answer: api.RejectCall | api.FailCall) -> None:
        """Check that the call has no answer yet, and that it is rejected only if a repeat is harmless."""
        assert answer.call not in self.answered_us
        self.answered_us[answer.call] = now_us
        if isinstance(answer, api.RejectCall) and self.attempts_that_may_have_run(answer.call):
            assert self.call_class[answer.call].idempotency is api.Idempotency.IDEMPOTENT

    def check_load_request(self, now_us: int, request: api.RequestLoad) -> None:
        """Check that a load request goes to a running worker and stays within the quota."""
        self.open_load_requests.append(request)
        if not request.copies:
            return
        assert request.worker not in self.unavailable
        self.load_requests_us.append(now_us)
        since_us = now_us - self.settings.load_request_window_us
        calls = sum(at_us >= since_us for at_us in self.arrivals_us)
        allowed = self.settings.load_requests_free + self.settings.load_requests_per_call * calls
        assert sum(at_us >= since_us for at_us in self.load_requests_us) <= allowed

    def step(self, kind: str, first: int, second: int) -> None:
        """Perform one step; the two numbers select its parameters from what is currently possible."""
        if kind == "call":
            self.call(first, second)
        elif kind == "end":
            self.end_attempt(first, second)
        elif kind == "load":
            self.end_load_request(first, second)
        elif kind == "wait":
            self.wait(second)
        elif kind == "state":
            self.change_state(first, second)
        elif kind == "noise":
            self.give_noise(first, second)

    def call(self, first: int, second: int) -> None:
        """Simulate the arrival of a call."""
        call = len(self.call_class)
        self.call_class[call] = CLASSES[first % len(CLASSES)]
        budget_us = (50 + second * 4) * MS
        self.due_us[call] = self.driver.now_us + budget_us
        self.arrivals_us.append(self.driver.now_us)
        self.give(arrival(call, f"f{first % 4}", self.call_class[call].name, budget_us))

    def end_attempt(self, first: int, second: int) -> None:
        """End an attempt in flight."""
        in_flight = [
            (call, number)
            for call, attempts in self.attempts.items()
            for number, attempt in enumerate(attempts)
            if attempt.result is None
        ]
        if not in_flight:
            return
        call, number = in_flight[first % len(in_flight)]
        result = list(api.Result)[second % len(api.Result)]
        attempt = replace(self.attempts[call][number], result=result)
        self.attempts[call][number] = attempt
        if result is api.Result.OK:
            self.answered_us.setdefault(call, self.driver.now_us)
        self.give(ended(call, number, attempt.worker, result, call_ended=call in self.answered_us))

    def end_load_request(self, first: int, second: int) -> None:
        """End an open load request."""
        if not self.open_load_requests:
            return
        request = self.open_load_requests.pop(first % len(self.open_load_requests))
        result = LOAD_RESULTS[second % len(LOAD_RESULTS)]
        copies = second % 3 if result is api.Result.OK else 0
        self.give(api.LoadRequestEnded(request.worker, request.function, result, MS, copies))

    def wait(self, milliseconds: int) -> None:
        """Advance the time and fire every timer due by then, including timers set in the meantime."""
        end_us = self.driver.now_us + milliseconds * MS
        while due := [timer for timer in self.driver.timers if timer[0] <= end_us]:
            timer = min(due)
            self.driver.timers.remove(timer)
            self.driver.now_us = max(self.driver.now_us, timer[0])
            self.give(api.TimerFired(timer[1]))
        self.driver.now_us = end_us

    def change_state(self, first: int, second: int) -> None:
        """Change the state of a worker in the worker list."""
        worker = WORKERS[first % len(WORKERS)]
        state = list(api.WorkerState)[second % 3]
        if state is api.WorkerState.RUNNING:
            self.unavailable.discard(worker)
        else:
            self.unavailable.add(worker)
        self.give(worker_list(entry(worker, state, self.driver.now_us), kind=api.ListKind.DELTA))

    def give_noise(self, first: int, second: int) -> None:
        """Pass events about timers, calls and workers that the dispatcher does not know."""
        self.give(api.TimerFired(10_000_000 + first))
        self.give(ended(900_000 + first, second % 4, "unlisted", api.Result.ERROR))
        self.give(worker_list(kind=api.ListKind.FAILED))


@profile(derandomize=True, deadline=None, max_examples=120)
@given(STEPS, st.booleans(), st.booleans(), st.booleans())
def test_rules_hold_for_any_valid_event_sequence(
    steps: list[tuple[str, int, int]], loads_on_miss: bool, may_hedge: bool, may_cancel: bool
) -> None:
    dispatcher_settings = settings(loads_on_miss=loads_on_miss, may_hedge=may_hedge, may_cancel=may_cancel)
    checker = RuleChecker(dispatcher_settings)
    for step in steps:
        checker.step(*step)
    for _ in range(6):
        checker.step("wait", 0, 1_000)
    for call, due_us in checker.due_us.items():  # each call has its answer in time
        assert checker.answered_us[call] <= due_us
