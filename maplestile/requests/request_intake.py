"""Requests as the fronts pass them in: admitted or rejected, given up by their clients, and ended in time."""

from collections.abc import Callable

from maplestile.dispatch import api
from maplestile.requests.attempts import AttemptTable
from maplestile.requests.decision_loop import DecisionLoop
from maplestile.requests.number_sequence import NumberSequence
from maplestile.requests.policy_epochs import EpochCounts
from maplestile.requests.records import PendingRequest, Presence
from maplestile.requests.request_table import RequestTable
from maplestile.requests.runtime import Runtime
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Request


class RequestIntake:
    """Decides which requests are taken, and sees to it that each has its answer by its deadline."""

    def __init__(
        self,
        requests: RequestTable,
        attempts: AttemptTable,
        decisions: DecisionLoop,
        numbers: NumberSequence,
        epochs: EpochCounts,
        limits: Limits,
        runtime: Runtime,
    ) -> None:
        self._requests = requests
        self._attempts = attempts
        self._decisions = decisions
        self._numbers = numbers
        self._epochs = epochs
        self._timers = runtime.timers
        self._clock = runtime.clock
        self._counters = runtime.counters
        self.limits = limits
        # Where a fleet agrees on the policy: whether new calls are taken now.
        self.admits: Callable[[], bool] | None = None
        self.exit_us = 0  # when the process ends; 0 if it stays
        self.closed = False  # nothing more is taken

    def submit(
        self,
        request: Request,
        received_us: int,
        answer: Callable[[Outcome], None],
        presence: Callable[[], Presence],
    ) -> int:
        """Take a request, or reject it, and return its number; see `Core.submit`."""
        call = self._numbers.next()
        now = self._clock()
        self._counters["requests.taken"] += 1
        # The client's time runs from the last byte, not from when a busy loop got to it.
        due_us = received_us + request.budget_us
        leaving = 0 < self.exit_us < due_us
        if leaving:
            due_us = self.exit_us
        self._requests.add(call, PendingRequest(request, due_us, answer, presence, epoch=self._epochs.epoch))
        too_late = leaving and due_us - now < self.limits.handover.min_budget_us
        if self._sheds(now - received_us) or too_late:
            self._shed(call, leaving)
            return call
        self._epochs.current["calls"] += 1
        self._timers.at(due_us, lambda: self._overdue(call))
        self._decisions.give(_arrival(call, request, max(0, due_us - now)))
        return call

    def withdraw(self, call: int) -> None:
        """Drop a request whose client waits no longer: it needs no answer, and its attempts are cancelled."""
        pending = self._requests.withdraw(call)
        if pending is None:
            return
        self._counters["requests.withdrawn"] += 1
        self._decisions.give(api.CallExpired(call))
        self._attempts.withhold(call, pending.attempts)  # where the rules let nothing be cancelled

    def client_disconnected(self, call: int) -> None:
        """Begin nothing more for a call whose client has closed its connection, or only its side of it.

        What is out may still end, and is answered in case somebody reads it.
        """
        pending = self._requests.open.get(call)
        if pending is None:
            return
        self._counters["requests.client_disconnected"] += 1
        self._decisions.give(api.ClientDisconnected(call))
        self._attempts.withhold(call, pending.attempts)

    def prepare_exit(self, exit_us: int) -> None:
        """Answer all that has been taken, and will be, by the time at which the process ends."""
        self.exit_us = exit_us
        self._timers.at(exit_us, self.end_all)

    def end_all(self) -> None:
        """Answer every open request now."""
        for call in list(self._requests.open):
            self._end(call)

    def _sheds(self, lag_us: int) -> bool:
        """Return whether nothing can be taken now, by the load, the policy, or the end of the process."""
        requests, limits = self._requests, self.limits.requests
        full = len(requests.open) > limits.open_requests or requests.open_bytes > limits.open_bytes
        # Guards memory against a flood, and the open requests against a loop that lags ever more.
        lags = lag_us > limits.max_lag_us
        barred = self.admits is not None and not self.admits()  # the policy to decide by is not known
        return barred or full or lags or self.closed

    def _shed(self, call: int, leaving: bool) -> None:
        self._counters["requests.shed"] += 1
        # Another process takes it at once.
        later_us = 0 if leaving or self.closed else self.limits.requests.max_retry_after_us
        self._requests.reject(call, later_us)

    def _overdue(self, call: int) -> None:
        """Guard the rule of one answer in time, should the dispatcher not have answered by the deadline."""
        if call in self._requests.open:
            self._counters["requests.deadline_exceeded"] += 1
            self._end(call)

    def _end(self, call: int) -> None:
        self._requests.fail(call)
        self._decisions.give(api.CallExpired(call))


def _arrival(call: int, request: Request, left_us: int) -> api.CallArrived:
    return api.CallArrived(
        call,
        request.function,
        request.class_name,
        left_us,
        request.memory_mb,
        request.lanes,
        request.cost_us,
        request.tenant,
        request.repeat,
    )
