"""Tests of the life of invocation records: what a key, a deferred call and a waiting caller are promised."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

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
US_PER_MS = 1000


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
