"""Requests without a final answer, and the one way to that answer."""

from collections import Counter
from collections.abc import Callable

from maplestile.requests.records import PendingRequest, Presence
from maplestile.requests.states import CallState, Transition
from maplestile.wire.messages import Outcome, Verdict

EARLY_FAILURE_DIVISOR = 8  # a failure in the last part of a request's time is that its time ran out
EARLY_FAILURE_TICKS = 2


class RequestTable:
    """The open requests by their numbers, and how many ended in which way."""

    def __init__(self, tick_us: int, clock: Callable[[], int], counters: Counter[str]) -> None:
        self._tick_us = tick_us
        self._clock = clock
        self._move = Transition(counters)
        self.open: dict[int, PendingRequest] = {}
        self.open_bytes = 0
        self.answers: Counter[tuple[str, Verdict]] = Counter()  # by class

    def add(self, call: int, pending: PendingRequest) -> None:
        """Take in a request that has no answer yet."""
        self.open[call] = pending
        self.open_bytes += pending.request.bytes()

    def withdraw(self, call: int) -> PendingRequest | None:
        """Remove a request that needs no answer any more, and return it; None if it is over already."""
        pending = self.open.pop(call, None)
        if pending is not None:
            self._move(pending, CallState.WITHDRAWN)
            self.open_bytes -= pending.request.bytes()
        return pending

    def presence(self, call: int) -> Presence:
        """Look whether the client of a request still waits."""
        pending = self.open.get(call)
        return Presence.GONE if pending is None else pending.presence()

    def reject(self, call: int, retry_after_us: int) -> None:
        """Answer that the client may try again, after that time."""
        self.finish(call, Outcome(Verdict.REJECTED, retry_after_us=retry_after_us))

    def fail(self, call: int) -> None:
        """Answer that the request failed, or that its time ran out."""
        pending = self.open.get(call)
        if pending is None:
            return
        # The dispatcher answers a little before the deadline; that, too, is time run out.
        early_us = pending.request.budget_us // EARLY_FAILURE_DIVISOR + EARLY_FAILURE_TICKS * self._tick_us
        expired = self._clock() >= pending.due_us - early_us
        verdict = Verdict.EXPIRED if expired else Verdict.FAILED
        self.finish(call, Outcome(verdict, ran=pending.ran))

    def finish(self, call: int, outcome: Outcome) -> None:
        """Give the final answer; this is the one way to it, and a second one for a call goes nowhere."""
        pending = self.open.pop(call, None)
        if pending is None:
            return
        self._move(pending, CallState.ANSWERED)
        self.open_bytes -= pending.request.bytes()
        self.answers[pending.request.class_name, outcome.verdict] += 1
        pending.answer(outcome)
