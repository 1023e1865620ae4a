"""Load requests, unloads and health checks: numbered, timed, and reported to the dispatcher when they end."""

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
    """What goes to workers beside attempts. One that is not answered in time ends as TIMEOUT."""

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
        # Where routers know each other: whether a health check of the dispatcher's goes out from here, and
        # how any ended.
        self.may_check: Callable[[str], bool] = _always
        self.on_checked: Callable[[str, Result], None] = _ignore

    def request_load(self, action: api.RequestLoad) -> None:
        """Have a worker load copies of a function."""
        tag = self._start(action.worker, action.function, self.limits.load_timeout_us, self.load_ended)
        self._counters["load_requests.sent"] += 1
        self._pool.load(tag, action.worker, action.function, action.copies)

    def request_unload(self, action: api.RequestUnload) -> None:
        """Have a worker drop a function; nothing reports the end of that."""
        self._counters["unload_requests.sent"] += 1
        self._pool.unload(action.worker, action.function)

    def check_health_if_ours(self, action: api.SendHealthCheck) -> None:
        """Send a health check that the dispatcher wants, unless another router checks that worker."""
        if self.may_check(action.worker):
            self.check_health(action.worker)
        else:
            self._counters["health_checks.left_to_assignee"] += 1

    def check_health(self, worker: str) -> None:
        """Send one health check, whoever wants it."""
        tag = self._start(worker, "", self.limits.health_check_timeout_us, self.health_check_ended)
        self._counters["health_checks.sent"] += 1
        self._pool.check_health(tag, worker)

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Report the end of a load request; a second one, or one after the timeout, goes nowhere."""
        request = self.open.pop(tag, None)
        if request is None:
            return
        self._counters[f"load_requests.{result.value}"] += 1
        elapsed_us = max(0, self._clock() - request.sent_us)
        self._decisions.give(
            api.LoadRequestEnded(request.worker, request.function, result, elapsed_us, copies)
        )

    def health_check_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Report the end of a health check to the dispatcher and to `on_checked`."""
        request = self.open.pop(tag, None)
        if request is None:
            return
        self._counters[f"health_checks.{result.value}"] += 1
        self.on_checked(request.worker, result)
        elapsed_us = max(0, self._clock() - request.sent_us)
        self._decisions.give(api.HealthCheckEnded(request.worker, result, elapsed_us, report))

    def _start(self, worker: str, function: str, wait_us: int, ended: Callable[[int, Result], None]) -> int:
        tag = self._numbers.next()
        now = self._clock()
        self.open[tag] = ControlRequest(worker, function, now)
        self._timers.at(now + wait_us, lambda: self._time_out(tag, ended))
        return tag

    def _time_out(self, tag: int, ended: Callable[[int, Result], None]) -> None:
        if tag in self.open:
            self._pool.forget_control_request(tag)
            ended(tag, Result.TIMEOUT)


def _always(_worker: str) -> bool:
    return True


def _ignore(_worker: str, _result: Result) -> None:
    """Take no note of how a health check ended."""
