"""Attempts in flight: sends them to workers as the dispatcher decides, and reports their results to it."""

from collections.abc import Callable
from dataclasses import dataclass

from maplestile.dispatch import api
from maplestile.dispatch.api import NEVER_RAN, Result
from maplestile.requests.decision_loop import DecisionLoop
from maplestile.requests.policy_epochs import EpochCounts
from maplestile.requests.records import AttemptId, InFlightAttempt, PendingRequest, Pool
from maplestile.requests.request_table import RequestTable
from maplestile.requests.runtime import Runtime
from maplestile.wire.messages import Outcome, Report, Request, Verdict

HEDGE = "hedge"  # in place of a result: no attempt of the call had ended


@dataclass(slots=True, frozen=True)
class RepeatedAttempt:
    """An attempt after the first of its call."""

    request: Request
    number: int  # from 1
    worker: str
    after: str  # result of the attempt that ended last, or `HEDGE`
    since_first_us: int  # time since the first attempt was sent


class AttemptTable:
    """The attempts whose result has not been reported."""

    def __init__(
        self,
        requests: RequestTable,
        decisions: DecisionLoop,
        pool: Pool,
        epochs: EpochCounts,
        runtime: Runtime,
    ) -> None:
        self._requests = requests
        self._decisions = decisions
        self._pool = pool
        self._epochs = epochs
        self._timers = runtime.timers
        self._clock = runtime.clock
        self._counters = runtime.counters
        self.in_flight: dict[AttemptId, InFlightAttempt] = {}
        # Called with each attempt, the policy epoch that it was decided under, and the microseconds since its
        # call was accepted; None for no callback.
        self.on_sent: Callable[[AttemptId, int, int], None] | None = None
        # Called with each attempt after the first of its call.
        self.on_repeated: Callable[[RepeatedAttempt], None] = _ignore_repeat

    def send(self, action: api.SendAttempt) -> None:
        """Send an attempt to a worker; it ends as TIMEOUT if it has no result in time."""
        pending = self._requests.open.get(action.call)
        if pending is None:
            # The call was answered or withdrawn after this decision; the dispatcher is notified next.
            self._counters["attempts.already_over"] += 1
            return
        now = self._clock()
        attempt = (action.call, pending.attempts)
        self._record_repeat(pending, action.worker, now)
        pending.attempts += 1
        remaining_us = pending.due_us - now
        wait_us = min(action.timeout_us or remaining_us, remaining_us)
        flight = self.in_flight[attempt] = InFlightAttempt(action.worker, now)
        self._counters["attempts.sent"] += 1
        self._epochs.count_attempt(action.epoch)
        if action.epoch != pending.epoch:  # a bug: all attempts of a call must be decided under one policy
            self._counters["policy.mixed_calls"] += 1
        if self.on_sent is not None:
            self.on_sent(attempt, action.epoch, now - pending.accepted_us)
        flight.timeout_timer = self._timers.call_at(now + max(0, wait_us), lambda: self._time_out(attempt))
        self._pool.send(attempt, action.worker, pending.request, max(1, wait_us), action.until_us)

    def cancel(self, action: api.CancelAttempt) -> None:
        """Cancel an attempt at its worker."""
        self._cancel((action.call, action.attempt), Result.CANCELLED)

    def drop_unwritten(self, call: int, attempts: int) -> None:
        """End the attempts of a call that still wait for their connections, since its client has left."""
        for number in range(attempts):
            attempt = (call, number)
            if attempt in self.in_flight and self._pool.drop_unwritten(attempt):
                self.end(attempt, Result.SUPERSEDED)

    def fail_call(self, call: int) -> None:
        """Answer that a call failed, and write none of its attempts any more.

        The call may have run if an attempt that has no result yet was written, completely or in part.
        """
        pending = self._requests.open.get(call)
        if pending is None:
            return
        for attempt in [(call, number) for number in range(pending.attempts)]:
            if attempt not in self.in_flight:
                continue
            if self._pool.drop_unwritten(attempt):
                self._end_unwritten_soon(attempt)
            else:
                pending.may_have_run = True
        self._requests.fail(call)

    def end(
        self,
        attempt: AttemptId,
        result: Result,
        body: bytes = b"",
        queued_ahead: int = 0,
        report: Report = (),
    ) -> None:
        """Handle the result of an attempt; one for an attempt that has ended already is only counted."""
        flight = self.in_flight.pop(attempt, None)
        if flight is None:
            self._counters["attempts.late"] += 1
            return
        self._timers.cancel(flight.timeout_timer)
        self._counters[f"attempts.{result.value}"] += 1
        call = attempt[0]
        pending = self._requests.open.get(call)
        if pending is not None:
            pending.last_result = result
        if pending is not None and result not in NEVER_RAN:
            pending.may_have_run = True
        if pending is not None and result is Result.OK:
            self._requests.finish(call, Outcome(Verdict.SERVED, body, may_have_run=True))
        elapsed_us = max(0, self._clock() - flight.sent_us)
        over = call not in self._requests.open
        warmth = api.Warmth.UNKNOWN
        self._decisions.handle(
            api.AttemptEnded(*attempt, flight.worker, result, elapsed_us, over, warmth, queued_ahead, report)
        )

    def _record_repeat(self, pending: PendingRequest, worker: str, now_us: int) -> None:
        """Count and report an attempt after the first of its call."""
        if not pending.attempts:
            pending.first_attempt_us = now_us
            return
        after = HEDGE if pending.last_result is None else pending.last_result.value
        self._counters[f"attempts.repeated.{after}"] += 1
        since_first_us = now_us - pending.first_attempt_us
        self.on_repeated(RepeatedAttempt(pending.request, pending.attempts, worker, after, since_first_us))

    def _end_unwritten_soon(self, attempt: AttemptId) -> None:
        """End a dropped attempt at the next tick, unless the dispatcher cancels it before."""

        def end_unless_cancelled() -> None:
            if attempt in self.in_flight:
                self.end(attempt, Result.SUPERSEDED)

        self._timers.call_at(self._clock(), end_unless_cancelled)

    def _time_out(self, attempt: AttemptId) -> None:
        self._cancel(attempt, Result.TIMEOUT)

    def _cancel(self, attempt: AttemptId, result: Result) -> None:
        if attempt in self.in_flight:
            self._pool.cancel(attempt)
            self.end(attempt, result)


def _ignore_repeat(_attempt: RepeatedAttempt) -> None:
    """Ignore a repeated attempt."""
