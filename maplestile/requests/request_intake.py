"""Intake of requests from the fronts: admission, cancellation by the client, and deadlines."""

from collections.abc import Callable
from enum import Enum

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


class ShedReason(Enum):
    """Why a new request is rejected before the dispatcher sees it."""

    FULL = "full"  # too many open requests, or too many bytes of them
    LAG = "lag"  # the event loop handles it too long after its arrival
    POLICY = "policy"  # the policy in force is not known
    CLOSED = "closed"  # the process stops, and its clients have had time to learn of it
    EXIT = "exit"  # the process ends too soon to serve it


class RequestIntake:
    """Accepts or rejects requests, and ensures that each is answered by its deadline."""

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
        # Returns whether new calls may be accepted now; None if the router does not follow a fleet policy.
        self.accepts_calls: Callable[[], bool] | None = None
        self.exit_us = 0  # when the process exits; 0 if it is not exiting
        self.closed = False  # if true, every new request is rejected

    def submit(
        self,
        request: Request,
        received_us: int,
        answer: Callable[[Outcome], None],
        presence: Callable[[], Presence],
    ) -> int:
        """Accept or reject a request, and return its number; see `Core.submit`."""
        call = self._numbers.next()
        now = self._clock()
        self._counters["requests.taken"] += 1
        # The client's time runs from the last byte, not from when a busy event loop handles the request.
        due_us = received_us + request.budget_us
        exits_first = 0 < self.exit_us < due_us  # the process exits before the deadline
        if exits_first:
            due_us = self.exit_us
        pending = PendingRequest(request, due_us, answer, presence, accepted_us=now, epoch=self._epochs.epoch)
        self._requests.add(call, pending)
        too_late = exits_first and due_us - now < self.limits.handover.min_budget_us
        reason = ShedReason.EXIT if too_late else self._shed_reason(now - received_us)
        if reason is not None:
            self._shed(call, exits_first, reason)
            return call
        self._epochs.current["calls"] += 1
        pending.deadline_timer = self._timers.call_at(due_us, lambda: self._on_deadline(call))
        self._decisions.handle(_call_arrived(call, request, max(0, due_us - now)))
        return call

    def withdraw(self, call: int) -> None:
        """Drop a request that its client has given up: it gets no answer, and its attempts are cancelled."""
        pending = self._requests.withdraw(call)
        if pending is None:
            return
        self._counters["requests.withdrawn"] += 1
        self._decisions.handle(api.CallExpired(call))
        self._attempts.drop_unwritten(call, pending.attempts)  # in case the settings forbid cancelling

    def client_disconnected(self, call: int) -> None:
        """Start no further attempts for a call whose client has closed its connection or its sending side.

        Attempts already written go on, and their answer is sent in case the client still reads.
        """
        pending = self._requests.open.get(call)
        if pending is None:
            return
        self._counters["requests.client_disconnected"] += 1
        self._decisions.handle(api.ClientDisconnected(call))
        self._attempts.drop_unwritten(call, pending.attempts)

    def prepare_exit(self, exit_us: int) -> None:
        """Answer every request, open or yet to come, by the time at which the process exits."""
        self.exit_us = exit_us
        self._timers.call_at(exit_us, self.answer_all)

    def answer_all(self) -> None:
        """Answer every open request now."""
        for call in list(self._requests.open):
            self._fail(call)

    def _shed_reason(self, lag_us: int) -> ShedReason | None:
        """Return the reason why a new request must be rejected, or None if it may be accepted.

        `lag_us` is the time from the arrival of the request to its handling.
        """
        requests, limits = self._requests, self.limits.requests
        full = len(requests.open) > limits.open_requests or requests.open_bytes > limits.open_bytes
        # Without this check a flood of requests would exhaust memory, and a lagging event loop would fall
        # further behind until the open requests miss their deadlines.
        lags = lag_us > limits.max_lag_us
        policy_unknown = self.accepts_calls is not None and not self.accepts_calls()
        if policy_unknown:
            return ShedReason.POLICY
        if full:
            return ShedReason.FULL
        if lags:
            return ShedReason.LAG
        return ShedReason.CLOSED if self.closed else None

    def _shed(self, call: int, exits_first: bool, reason: ShedReason) -> None:
        self._counters["requests.shed"] += 1
        self._counters[f"requests.shed.{reason.value}"] += 1
        # A process that exits is replaced by another one, which accepts the request at once.
        retry_after_us = 0 if exits_first or self.closed else self.limits.requests.max_retry_after_us
        self._requests.reject(call, retry_after_us)

    def _on_deadline(self, call: int) -> None:
        """Answer the call at its deadline if the dispatcher has not done so."""
        if call in self._requests.open:
            self._counters["requests.deadline_exceeded"] += 1
            self._fail(call)

    def _fail(self, call: int) -> None:
        self._attempts.fail_call(call)
        self._decisions.handle(api.CallExpired(call))


def _call_arrived(call: int, request: Request, remaining_us: int) -> api.CallArrived:
    return api.CallArrived(
        call,
        request.function,
        request.class_name,
        remaining_us,
        request.memory_mb,
        request.lanes,
        request.cost_us,
        request.tenant,
        request.repeat,
    )
