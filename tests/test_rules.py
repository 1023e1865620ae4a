"""Arbitrary legal event sequences to one dispatcher: what it does keeps rules 1, 2, 3 and 5."""

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from maplestile.dispatch import api
from tests.helpers import CLASSES, MS, Driver, arrival, ended, entry, fleet, settings

WORKERS = ["w0", "w1", "w2", "w3"]
NEVER_RAN = {api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.SUPERSEDED, api.Result.MISS}
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["call", "end", "load", "wait", "state", "noise"]),
        st.integers(0, 1_000),
        st.integers(0, 1_000),
    ),
    min_size=20,
    max_size=120,
)


class RuleChecker:
    """Plays the fleet and keeps its own account of what the rules allow."""

    def __init__(self, chosen: api.Settings) -> None:
        self.settings = chosen
        self.driver = Driver(chosen, [entry(worker) for worker in WORKERS])
        self.seen = 0
        self.due: dict[int, int] = {}
        self.kind: dict[int, api.CallClass] = {}
        self.answered: dict[int, int] = {}
        self.tries: dict[int, list[tuple[str, int, api.Result | None]]] = {}
        self.barred: set[str] = set()
        self.load_request_times: list[int] = []
        self.taken: list[int] = []
        self.load_requests: list[api.RequestLoad] = []

    def give(self, event: api.Event) -> None:
        self.driver.give(event)
        self.check()

    def check(self) -> None:
        """Rules 2, 3 and 5 at each action, and nothing after a final answer."""
        for now, action in self.driver.log[self.seen :]:
            if isinstance(action, api.SendAttempt):
                assert action.call not in self.answered and now < self.due[action.call]
                assert action.worker not in self.barred
                self.check_repeat(now, action)
                self.tries.setdefault(action.call, []).append((action.worker, now, None))
            elif isinstance(action, api.RejectCall | api.FailCall):
                assert action.call not in self.answered
                self.answered[action.call] = now
                ran = [t for t in self.tries.get(action.call, []) if t[2] not in NEVER_RAN]
                kind = self.kind[action.call]
                if ran and isinstance(action, api.RejectCall):
                    assert kind.idempotency is api.Idempotency.IDEMPOTENT
            elif isinstance(action, api.RequestLoad):
                self.load_requests.append(action)
                if action.copies:
                    assert action.worker not in self.barred
                    self.load_request_times.append(now)
                    begin = now - self.settings.load_request_window_us
                    taken = sum(t >= begin for t in self.taken)
                    allowed = self.settings.load_requests_free + self.settings.load_requests_per_call * taken
                    assert sum(t >= begin for t in self.load_request_times) <= allowed
        self.seen = len(self.driver.log)

    def check_repeat(self, now: int, send: api.SendAttempt) -> None:
        kind = self.kind[send.call]
        ran = [t for t in self.tries.get(send.call, []) if t[2] not in NEVER_RAN]
        if not self.settings.may_hedge:
            assert all(t[2] is not None for t in ran)
        if kind.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            assert not ran
        if kind.idempotency is api.Idempotency.WITH_KEY and ran:
            assert now < ran[0][1] + kind.deduplication_window_us
        assert len(self.tries.get(send.call, [])) < self.settings.max_attempts

    def step(self, what: str, a: int, b: int) -> None:
        if what == "call":
            call = len(self.kind)
            self.kind[call] = CLASSES[a % len(CLASSES)]
            budget = (50 + b * 4) * MS
            self.due[call] = self.driver.now + budget
            self.taken.append(self.driver.now)
            self.give(arrival(call, f"f{a % 4}", self.kind[call].name, budget))
        elif what == "end":
            out = [(c, n) for c, tries in self.tries.items() for n, t in enumerate(tries) if t[2] is None]
            if out:
                call, number = out[a % len(out)]
                result = list(api.Result)[b % len(api.Result)]
                worker, sent, _ = self.tries[call][number]
                self.tries[call][number] = (worker, sent, result)
                if result is api.Result.OK:
                    self.answered.setdefault(call, self.driver.now)
                self.give(ended(call, number, worker, result, over=call in self.answered))
        elif what == "load" and self.load_requests:
            request = self.load_requests.pop(a % len(self.load_requests))
            result = [api.Result.OK, api.Result.ERROR, api.Result.TIMEOUT, api.Result.FULL][b % 4]
            copies = b % 3 if result is api.Result.OK else 0
            self.give(api.LoadRequestEnded(request.worker, request.function, result, MS, copies))
        elif what == "wait":
            end = self.driver.now + b * MS
            while due := [t for t in self.driver.timers if t[0] <= end]:
                timer = min(due)
                self.driver.timers.remove(timer)
                self.driver.now = max(self.driver.now, timer[0])
                self.give(api.TimerFired(timer[1]))
            self.driver.now = end
        elif what == "state":
            worker, state = WORKERS[a % 4], list(api.WorkerState)[b % 3]
            running = state is api.WorkerState.RUNNING
            (self.barred.discard if running else self.barred.add)(worker)
            self.give(fleet(entry(worker, state, self.driver.now), kind=api.ListKind.DELTA))
        elif what == "noise":
            self.give(api.TimerFired(10_000_000 + a))
            self.give(ended(900_000 + a, b % 4, "unlisted", api.Result.ERROR))
            self.give(fleet(kind=api.ListKind.FAILED))


@profile(derandomize=True, deadline=None, max_examples=120)
@given(STEPS, st.booleans(), st.booleans(), st.booleans())
def test_rules_hold_for_any_legal_sequence(
    steps: list[tuple[str, int, int]], loads: bool, twice: bool, cancel: bool
) -> None:
    chosen = settings(loads_on_miss=loads, may_hedge=twice, may_cancel=cancel)
    checker = RuleChecker(chosen)
    for step in steps:
        checker.step(*step)
    for _ in range(6):
        checker.step("wait", 0, 1_000)
    for call, due in checker.due.items():  # rule 1: exactly one answer, in time
        assert checker.answered[call] <= due
