"""Load requests, unloads and health checks: numbered, timed, and reported to the dispatcher when they end."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.requests.records import ControlRequest
from maplestile.wire.messages import Report

if TYPE_CHECKING:
    from maplestile.requests.core import Core


class ControlRequests:
    """What goes to workers beside attempts. One that is not answered in time ends as TIMEOUT."""

    __slots__ = ("_core",)

    def __init__(self, core: "Core") -> None:
        self._core = core

    def request_load(self, action: api.RequestLoad) -> None:
        """Have a worker load copies of a function."""
        core = self._core
        tag = self._start(
            action.worker, action.function, core.limits.control_requests.load_timeout_us, self.load_ended
        )
        core.counters["load_requests.sent"] += 1
        core.pool.order(tag, action.worker, action.function, action.copies)

    def request_unload(self, action: api.RequestUnload) -> None:
        """Have a worker drop a function; nothing reports the end of that."""
        self._core.counters["unload_requests.sent"] += 1
        self._core.pool.unload(action.worker, action.function)

    def check_health_if_ours(self, action: api.SendHealthCheck) -> None:
        """Send a health check that the dispatcher wants, unless another router checks that worker."""
        if self._core.may_probe(action.worker):
            self.check_health(action.worker)
        else:
            self._core.counters["health_checks.left_to_assignee"] += 1

    def check_health(self, worker: str) -> None:
        """Send one health check, whoever wants it."""
        core = self._core
        tag = self._start(
            worker, "", core.limits.control_requests.health_check_timeout_us, self.health_check_ended
        )
        core.counters["health_checks.sent"] += 1
        core.pool.probe(tag, worker)

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Report the end of a load request; a second one, or one after the timeout, goes nowhere."""
        core = self._core
        request = core.control_requests.pop(tag, None)
        if request is None:
            return
        core.counters[f"load_requests.{result.value}"] += 1
        elapsed_us = max(0, core.clock() - request.sent_us)
        core.give(api.LoadRequestEnded(request.worker, request.function, result, elapsed_us, copies))

    def health_check_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Report the end of a health check to the dispatcher and to `probed`."""
        core = self._core
        request = core.control_requests.pop(tag, None)
        if request is None:
            return
        core.counters[f"health_checks.{result.value}"] += 1
        core.probed(request.worker, result)
        elapsed_us = max(0, core.clock() - request.sent_us)
        core.give(api.HealthCheckEnded(request.worker, result, elapsed_us, report))

    def _start(self, worker: str, function: str, wait_us: int, ended: Callable[[int, Result], None]) -> int:
        tag = self._core.next_number()
        now = self._core.clock()
        self._core.control_requests[tag] = ControlRequest(worker, function, now)

        def time_out() -> None:
            if tag in self._core.control_requests:
                self._core.pool.forget(tag)
                ended(tag, Result.TIMEOUT)

        self._core.at(now + wait_us, time_out)
        return tag
