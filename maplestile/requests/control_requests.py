"""Load requests, unload requests and health checks: sends them, and reports results and timeouts."""

from collections.abc import Callable

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.requests.decision_loop import DecisionLoop
from maplestile.requests.number_sequence import NumberSequence
from maplestile.requests.records import ControlRequest, Pool
from maplestile.requests.runtime import Runtime
from maplestile.wire.limits import ControlRequestLimits
from maplestile.wire.messages import Report


class ControlRequests:
    """Requests to workers other than attempts. One without an answer in time ends as TIMEOUT."""

    def __init__(
        self,
        decisions: DecisionLoop,
        pool: Pool,
        numbers: NumberSequence,
        limits: ControlRequestLimits,
        runtime: Runtime,
    ) -> None:
        self._decisions = decisions
        self._pool = pool
        self._numbers = numbers
        self._timers = runtime.timers
        self._clock = runtime.clock
        self._counters = runtime.counters
        self.limits = limits
        self.open: dict[int, ControlRequest] = {}  # by tag
        # Set where routers share health checks: whether this router checks a worker itself, and a callback
        # for the result of each check.
        self.may_check_health: Callable[[str], bool] = _always_check
        self.on_health_check_result: Callable[[str, Result], None] = _ignore_result

    def request_load(self, action: api.RequestLoad) -> None:
        """Send a load request for copies of a function to a worker."""
        tag = self._register(action.worker, action.function, self.limits.load_timeout_us, self.load_ended)
        self._counters["load_requests.sent"] += 1
        self._pool.load(tag, action.worker, action.function, action.copies)

    def request_unload(self, action: api.RequestUnload) -> None:
        """Send an unload request for a function to a worker; it has no answer."""
        self._counters["unload_requests.sent"] += 1
        self._pool.unload(action.worker, action.function)

    def check_health_if_assigned(self, action: api.SendHealthCheck) -> None:
        """Send a health check for the dispatcher, unless another router is assigned to check that worker."""
        if self.may_check_health(action.worker):
            self.check_health(action.worker)
        else:
            self._counters["health_checks.left_to_assignee"] += 1

    def check_health(self, worker: str) -> None:
        """Send a health check, without regard to the check assignment."""
        tag = self._register(worker, "", self.limits.health_check_timeout_us, self.health_check_ended)
        self._counters["health_checks.sent"] += 1
        self._pool.check_health(tag, worker)

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Report the result of a load request to the dispatcher, unless the request has ended already."""
        request = self.open.pop(tag, None)
        if request is None:
            return
        self._timers.cancel(request.timeout_timer)
        self._counters[f"load_requests.{result.value}"] += 1
        elapsed_us = max(0, self._clock() - request.sent_us)
        self._decisions.handle(
            api.LoadRequestEnded(request.worker, request.function, result, elapsed_us, copies)
        )

    def health_check_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Report the result of a health check to the dispatcher and `on_health_check_result`.

        A health check that has already ended is ignored.
        """
        request = self.open.pop(tag, None)
        if request is None:
            return
        self._timers.cancel(request.timeout_timer)
        self._counters[f"health_checks.{result.value}"] += 1
        self.on_health_check_result(request.worker, result)
        elapsed_us = max(0, self._clock() - request.sent_us)
        self._decisions.handle(api.HealthCheckEnded(request.worker, result, elapsed_us, report))

    def _register(
        self, worker: str, function: str, timeout_us: int, ended: Callable[[int, Result], None]
    ) -> int:
        """Record a control request and set its timeout; return its tag."""
        tag = self._numbers.next()
        now = self._clock()
        timer = self._timers.call_at(now + timeout_us, lambda: self._time_out(tag, ended))
        self.open[tag] = ControlRequest(worker, function, now, timer)
        return tag

    def _time_out(self, tag: int, ended: Callable[[int, Result], None]) -> None:
        if tag in self.open:
            self._pool.forget_control_request(tag)
            ended(tag, Result.TIMEOUT)


def _always_check(_worker: str) -> bool:
    return True


def _ignore_result(_worker: str, _result: Result) -> None:
    """Ignore the result of a health check."""
