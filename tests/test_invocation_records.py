"""Tests of the life of invocation records: what a key, a deferred call and a waiting caller are promised."""

import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from maplestile.dispatch.api import Result
from maplestile.invoke.api import InvokeApi
from maplestile.invoke.operator_file import parse_settings
from maplestile.requests.core import AttemptId
from maplestile.wire.http import HttpRequest, Response, do_nothing
from maplestile.wire.messages import Request
from tests.core_harness import CoreHarness
from tests.standins import ROOT

OPERATOR = parse_settings((ROOT / "deploy" / "operator.toml").read_text())
FUNCTION = "keep-result"  # of class `test-submit`, which must never run twice
TENANT = "shapla-tutors"
TICK_US = 100_000  # an answer may come this much after a deadline
US_PER_MS = 1000
INDEXES = st.integers(0, 5)
T = TypeVar("T")


class QueueingHarness(CoreHarness):
    """A core whose attempts wait unwritten until the test writes them."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: dict[AttemptId, Request] = {}

    def send(self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int) -> None:
        """Queue an attempt."""
        super().send(attempt, worker, request, wait_us, until_us)
        self.requests[attempt] = request
        self.unwritten_attempts.add(attempt)

    def drop_unwritten(self, attempt: AttemptId) -> bool:
        """Drop an attempt that is queued."""
        was_queued = super().drop_unwritten(attempt)
        self.unwritten_attempts.discard(attempt)
        return was_queued

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel an attempt; one that is queued is never written."""
        super().cancel(attempt)
        self.unwritten_attempts.discard(attempt)


@dataclass(eq=False)
class Caller:
    """A caller of the invoke front, and the responses that it got."""

    key: str
    deferred: bool
    deadline_us: int
    leave: Callable[[], None] = do_nothing
    has_left: bool = False
    responses: list[Response] = field(default_factory=list)


@dataclass(eq=False)
class AcceptedInvocation:
    """A deferred invocation that was accepted with 202."""

    path: str
    kept_until_us: int
    final: Response | None = None  # the first final answer that was collected


class RecordsHarness:
    """An invoke API on a core whose attempts and clock the test moves."""

    def __init__(self) -> None:
        self.core = QueueingHarness()
        self.api = InvokeApi(self.core.core, OPERATOR, Counter())
        self.written: list[AttemptId] = []  # and without a result
        self.may_have_run_until_us: dict[str, int] = {}  # by key: until when another run is forbidden
        self.key_kept_until_us: dict[str, int] = {}

    def post(self, key: str, deferred: bool, budget_ms: int) -> Caller:
        """Invoke the function under a key."""
        now = self.core.now
        caller = Caller(key, deferred, now + budget_ms * US_PER_MS)
        headers = {
            "maplestile-tenant": TENANT,
            "idempotency-key": key,
            "maplestile-deadline-ms": str(budget_ms),
        }
        if deferred:
            headers["prefer"] = "respond-async"
        path = f"/v1/functions/{FUNCTION}/invocations"
        request = HttpRequest("POST", path, headers, key.encode(), now)
        caller.leave = self.api.handle(request, caller.responses.append)
        return caller

    def get(self, path: str) -> Response:
        """Poll an invocation."""
        return self.request("GET", path)

    def request(self, method: str, path: str) -> Response:
        """Send a request that is answered at once."""
        responses = list[Response]()
        self.api.handle(HttpRequest(method, path), responses.append)
        (response,) = responses
        return response

    def write(self, attempt: AttemptId) -> None:
        """Write a queued attempt, so that it may run; check that no other may have run under its key."""
        self.core.unwritten_attempts.remove(attempt)
        key = self.core.requests[attempt].key
        assert self.core.now >= self.may_have_run_until_us.get(key, 0), f"{key} runs again: {attempt}"
        self.may_have_run_until_us[key] = self.key_kept_until_us[key]
        self.written.append(attempt)

    def answer(self, attempt: AttemptId, result: Result) -> None:
        """Report the result of a written attempt; a rejection proves that it did not run."""
        self.written.remove(attempt)
        request = self.core.requests[attempt]
        if result is Result.FULL:
            self.may_have_run_until_us[request.key] = 0
        self.core.core.attempt_ended(attempt, result, b"result of " + request.body)


def _choose(candidates: Sequence[T], index: int) -> list[T]:
    """Return one of the candidates, or nothing if there are none."""
    return [candidates[index % len(candidates)]] if candidates else []


class RecordMachine(RuleBasedStateMachine):
    """Callers, repeats, leaves, attempts and time in every order."""

    def __init__(self) -> None:
        super().__init__()
        self.records = RecordsHarness()
        self.callers = list[Caller]()
        self.accepted = list[AcceptedInvocation]()

    def waiting(self) -> list[Caller]:
        """Return the callers that wait for their response."""
        return [caller for caller in self.callers if not caller.responses and not caller.has_left]

    @rule(
        key=st.sampled_from(["k1", "k1", "k2"]),
        deferred=st.booleans(),
        budget_ms=st.sampled_from([500, 2_000]),
    )
    def post(self, key: str, deferred: bool, budget_ms: int) -> None:
        """Invoke the function, as the first caller of a key or as a repeat."""
        records = self.records
        is_new = not any(scope.key == key for scope in records.api.store.by_scope)
        if is_new:
            kept_until_us = records.core.now + budget_ms * US_PER_MS + OPERATOR.record_us
            records.key_kept_until_us[key] = kept_until_us
        caller = records.post(key, deferred, budget_ms)
        self.callers.append(caller)
        if deferred:
            (response,) = caller.responses
            assert response.status == 202
            path = dict(response.headers)["Location"]
            self.accepted.append(AcceptedInvocation(path, records.key_kept_until_us[key]))

    @rule(index=INDEXES)
    def leave(self, index: int) -> None:
        """Close the connection of a caller that waits."""
        for caller in _choose(self.waiting(), index):
            caller.has_left = True
            caller.leave()

    @rule(index=INDEXES)
    def write(self, index: int) -> None:
        """Write a queued attempt."""
        for attempt in _choose(sorted(self.records.core.unwritten_attempts), index):
            self.records.write(attempt)

    @rule(index=INDEXES, result=st.sampled_from([Result.OK, Result.FULL, Result.RESET]))
    def answer(self, index: int, result: Result) -> None:
        """Report the result of a written attempt, perhaps after its call has ended."""
        for attempt in _choose(self.records.written, index):
            self.records.answer(attempt, result)

    @rule(step_ms=st.sampled_from([700, 2_100, 70_000]))
    def pass_time(self, step_ms: int) -> None:
        """Let time pass, with deadlines and the end of records."""
        self.records.core.run(step_ms * US_PER_MS)
        self.check_callers()

    @invariant()
    def accepted_invocations_are_known(self) -> None:
        """Poll each accepted invocation: it is known for its time, and its final answer does not change."""
        for invocation in self.accepted:
            self.check_poll(invocation)

    def check_poll(self, invocation: AcceptedInvocation) -> None:
        """Check the response to one poll."""
        response = self.records.get(invocation.path)
        if self.records.core.now < invocation.kept_until_us:
            assert response.status != 404, "an accepted invocation is unknown"
        if response.status in (202, 404):
            assert invocation.final is None or response.status == 404
            return
        assert invocation.final in (None, response), "a final answer has changed"
        invocation.final = response

    @rule(index=INDEXES)
    def cancel(self, index: int) -> None:
        """Cancel an accepted invocation, which may have ended."""
        for invocation in _choose(self.accepted, index):
            response = self.records.request("DELETE", invocation.path)
            assert response.status in (204, 409) or self.records.core.now >= invocation.kept_until_us

    def check_callers(self) -> None:
        """Check that each caller got one response by its deadline, and no other key's result."""
        for caller in self.callers:
            due_us = caller.deadline_us + TICK_US
            if not caller.has_left and self.records.core.now > due_us:
                assert len(caller.responses) == 1, f"{len(caller.responses)} responses to {caller.key}"
            for response in caller.responses:
                if response.status == 200:
                    assert response.body == b"result of " + caller.key.encode()

    def teardown(self) -> None:
        """Let every deadline and every record pass."""
        self.records.core.run(OPERATOR.record_us + 10_000 * US_PER_MS)
        self.check_callers()
        assert not self.records.api.store.records


class OrderOfEvents:
    """Plays the events of a key in one order, each once and after a first call, by a machine's rules."""

    def __init__(self, first_deferred: bool, repeat_deferred: bool, result: Result) -> None:
        self.machine = machine = RecordMachine()
        self.events: dict[str, Callable[[], None]] = {
            "repeat": lambda: machine.post("k1", repeat_deferred, 500),
            "leave": lambda: machine.leave(0),
            "write": lambda: machine.write(0),
            "answer": lambda: machine.answer(0, result),
            "deadline of the repeat": lambda: machine.pass_time(700),
            "deadline": lambda: machine.pass_time(2_100),
            "expiry": lambda: machine.pass_time(70_000),
        }
        machine.post("k1", first_deferred, 2_000)

    def play(self, order: tuple[str, ...]) -> None:
        """Play the events, with all checks after each."""
        for event in order:
            self.events[event]()
            self.machine.accepted_invocations_are_known()
        self.machine.teardown()


@pytest.mark.parametrize("result", [Result.OK, Result.FULL])
@pytest.mark.parametrize("repeat_deferred", [False, True])
@pytest.mark.parametrize("first_deferred", [False, True])
def test_promises_hold_in_every_order_of_events(
    first_deferred: bool, repeat_deferred: bool, result: Result
) -> None:
    events = OrderOfEvents(False, False, result).events
    for order in itertools.permutations(events):
        if order.index("write") > order.index("answer") or order.index("deadline") > order.index("expiry"):
            continue  # without a written attempt there is no answer, and the deadline is over with the record
        try:
            OrderOfEvents(first_deferred, repeat_deferred, result).play(order)
        except AssertionError as error:
            raise AssertionError(f"{error}; order: {', '.join(order)}") from error


TestRecords = RecordMachine.TestCase
TestRecords.settings = settings(max_examples=400, stateful_step_count=30, deadline=None, derandomize=True)


def test_deferred_repeat_of_an_abandoned_call_keeps_its_record() -> None:
    """Guards against a 202 whose Location is unknown once the call has ended without having run."""
    records = RecordsHarness()
    first = records.post("k1", False, 2_000)
    (attempt,) = records.core.sent
    records.key_kept_until_us["k1"] = 0
    records.write(attempt)
    first.leave()
    (response,) = records.post("k1", True, 2_000).responses
    records.answer(attempt, Result.FULL)
    assert records.get(dict(response.headers)["Location"]).status == 503


def test_repeat_under_an_open_key_is_answered_at_its_own_deadline() -> None:
    """Guards against a repeat that waits for the longer deadline of the first call."""
    records = RecordsHarness()
    first = records.post("k1", False, 5_000)
    repeat = records.post("k1", False, 500)
    records.core.run(600 * US_PER_MS)
    assert [response.status for response in repeat.responses] == [504]
    assert not first.responses
    (attempt,) = records.core.sent
    records.core.core.attempt_ended(attempt, Result.OK, b"result")
    assert [response.status for response in first.responses] == [200]
    assert len(repeat.responses) == 1
