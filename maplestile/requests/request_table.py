"""The table of open requests; every final answer is given through it."""

from collections import Counter
from collections.abc import Callable

from maplestile.requests.records import PendingRequest, Presence
from maplestile.requests.states import CallState, Transition
from maplestile.requests.timers import TimerQueue
from maplestile.wire.messages import Outcome, Verdict

# A failure counts as an expired deadline if it comes in the last eighth of a request's time, or in the two
# ticks before that.
EARLY_FAILURE_DIVISOR = 8
EARLY_FAILURE_TICKS = 2


class RequestTable:
    """The open requests by number, and the counts of final answers."""

    def __init__(
        self, tick_us: int, clock: Callable[[], int], timers: TimerQueue, counters: Counter[str]
    ) -> None:
        self._tick_us = tick_us
        self._timers = timers
        self._clock = clock
        self._transition = Transition(counters)
        self.open: dict[int, PendingRequest] = {}
        self.open_bytes = 0
        self.answers: Counter[tuple[str, Verdict]] = Counter()  # by class and verdict

    def add(self, call: int, pending: PendingRequest) -> None:
        """Add a request that has no answer yet."""
        self.open[call] = pending
        self.open_bytes += pending.request.bytes()

    def withdraw(self, call: int) -> PendingRequest | None:
        """Remove and return a request that no longer needs an answer; None if it is not open."""
        pending = self.open.pop(call, None)
        if pending is not None:
            self._transition(pending, CallState.WITHDRAWN)
            self._timers.cancel(pending.deadline_timer)
            self.open_bytes -= pending.request.bytes()
        return pending

    def presence(self, call: int) -> Presence:
        """Return the presence of the client of a request."""
        pending = self.open.get(call)
        return Presence.GONE if pending is None else pending.presence()

    def reject(self, call: int, retry_after_us: int) -> None:
        """Reject the request; the client may retry after `retry_after_us`."""
        self.finish(call, Outcome(Verdict.REJECTED, retry_after_us=retry_after_us))

    def fail(self, call: int) -> None:
        """Answer that the request failed or, close to its deadline, that it expired."""
        pending = self.open.get(call)
        if pending is None:
            return
        # The dispatcher fails a call shortly before its deadline, which also counts as expired.
        early_us = pending.request.budget_us // EARLY_FAILURE_DIVISOR + EARLY_FAILURE_TICKS * self._tick_us
        expired = self._clock() >= pending.due_us - early_us
        verdict = Verdict.EXPIRED if expired else Verdict.FAILED
        self.finish(call, Outcome(verdict, may_have_run=pending.may_have_run))

    def finish(self, call: int, outcome: Outcome) -> None:
        """Give the final answer; does nothing if the request is not open. All final answers pass here."""
        pending = self.open.pop(call, None)
        if pending is None:
            return
        self._transition(pending, CallState.ANSWERED)
        self._timers.cancel(pending.deadline_timer)
        self.open_bytes -= pending.request.bytes()
        self.answers[pending.request.class_name, outcome.verdict] += 1
        pending.answer(outcome)
