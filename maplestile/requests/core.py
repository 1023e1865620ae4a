"""Requests, attempts and outcomes: the one dispatcher, its events and its actions.

The core knows no socket and no wire. It reads the time by `clock`, asks to be woken through `alarm`, acts
through a `Pool`, and gives each request exactly one final answer through the callable that came with it.
Times are Unix microseconds.
"""

import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from maplestile.dispatch import api
from maplestile.dispatch.api import NEVER_RAN, Result
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.requests.control_requests import ControlRequests
from maplestile.requests.policy_epochs import EpochCounts
from maplestile.requests.records import (
    AttemptId,
    ControlRequest,
    InFlightAttempt,
    PendingRequest,
    Pool,
    Presence,
    always_waiting,
)
from maplestile.requests.states import CallState, Transition
from maplestile.requests.timers import Callback, TimerQueue
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Report, Request, Verdict

__all__ = ["AttemptId", "ControlRequest", "Core", "InFlightAttempt", "PendingRequest", "Pool", "Presence"]

log = logging.getLogger(__name__)
EARLY_FAILURE_DIVISOR = 8  # a failure in the last part of a request's time is that its time ran out
EARLY_FAILURE_TICKS = 2


@dataclass(slots=True)
class Core:
    """The requests that are open, the attempts in flight, and the dispatcher that decides on them."""

    settings: api.Settings
    limits: Limits
    seed: int
    pool: Pool
    clock: Callable[[], int]
    alarm: Callable[[int], None]
    counters: Counter[str] = field(default_factory=Counter)
    answers: Counter[tuple[str, Verdict]] = field(default_factory=Counter)  # by class
    dispatcher: Dispatcher = field(init=False)
    move: Transition = field(init=False)
    # Where routers know each other: whether a health check of the dispatcher's goes out from here, and how
    # any ended.
    may_probe: Callable[[str], bool] = lambda _worker: True
    probed: Callable[[str, Result], None] = lambda _worker, _result: None
    # Where a fleet agrees on the policy: whether new calls are taken now, and each attempt with its epoch.
    admits: Callable[[], bool] | None = None
    sent: Callable[[AttemptId, int], None] | None = None
    open: dict[int, PendingRequest] = field(default_factory=dict)
    flights: dict[AttemptId, InFlightAttempt] = field(default_factory=dict)
    control_requests: dict[int, ControlRequest] = field(default_factory=dict)
    events: deque[api.Event] = field(default_factory=deque)
    control: ControlRequests = field(init=False)
    schedule: TimerQueue = field(init=False)
    epoch_counts: EpochCounts = field(init=False)
    # The queue's own methods, for those who set timers and those who drive them.
    at: Callable[[int, Callback], None] = field(init=False)
    tick: Callable[[], None] = field(init=False)
    catch_up: Callable[[], None] = field(init=False)
    number: int = 0  # the last one given to a request or a control request
    open_bytes: int = 0
    acting: bool = False
    leave_us: int = 0  # when the process ends; 0 if it stays
    closed: bool = False  # nothing more is taken

    def __post_init__(self) -> None:
        self.dispatcher = Dispatcher(self.settings, self.seed)
        self.move = Transition(self.counters)
        self.control = ControlRequests(self)
        self.epoch_counts = EpochCounts(self.settings.epoch)
        self.schedule = TimerQueue(self.settings.tick_us, self.clock, self.alarm)
        self.at = self.schedule.at
        self.tick = self.schedule.run_due
        self.catch_up = self.schedule.catch_up

    @property
    def epochs(self) -> dict[int, Counter[str]]:
        """The calls and attempts decided under each policy epoch."""
        return self.epoch_counts.by_epoch

    @property
    def timers(self) -> dict[int, list[Callback]]:
        """What is due, by tick."""
        return self.schedule.callbacks

    @property
    def ticks(self) -> list[int]:
        """The ticks in which something is due; the first is the next."""
        return self.schedule.ticks

    def adopt(self, settings: api.Settings, limits: Limits) -> None:
        """Set another policy, for the calls that come from now on; `tick_us` has to be the same."""
        self.settings = settings
        self.limits = limits
        self.epoch_counts.enter(settings.epoch)
        self.give(api.PolicyChanged(settings))

    # Requests, as the fronts hand them in.

    def submit(
        self,
        request: Request,
        received_us: int,
        answer: Callable[[Outcome], None],
        presence: Callable[[], Presence] = always_waiting,
    ) -> int:
        """Take a request whose last byte came at `received_us`, and return its number.

        Its answer may come before this returns. `presence` looks at the client's connection and is asked
        before an attempt that may be late.
        """
        call = self.next_number()
        now = self.clock()
        self.counters["requests.taken"] += 1
        # The client's time runs from the last byte, not from when a busy loop got to it.
        due_us = received_us + request.budget_us
        leaving = 0 < self.leave_us < due_us
        if leaving:
            due_us = self.leave_us
        self.open[call] = PendingRequest(request, due_us, answer, presence, epoch=self.settings.epoch)
        self.open_bytes += request.bytes()
        if self._sheds(now - received_us) or (leaving and due_us - now < self.limits.handover.min_budget_us):
            self._shed(call, leaving)
            return call
        self.epoch_counts.current["calls"] += 1
        self.at(due_us, lambda: self._overdue(call))
        self.give(_arrival(call, request, max(0, due_us - now)))
        return call

    def withdraw(self, call: int) -> None:
        """Drop a request whose client waits no longer: it needs no answer, and its attempts are cancelled."""
        pending = self.open.pop(call, None)
        if pending is None:
            return
        self.move(pending, CallState.WITHDRAWN)
        self.open_bytes -= pending.request.bytes()
        self.counters["requests.withdrawn"] += 1
        self.give(api.CallExpired(call))
        self._withhold(call, pending.attempts)  # where the rules let nothing be cancelled

    def client_gone(self, call: int) -> None:
        """Begin nothing more for a call whose client has closed its connection, or only its side of it.

        What is out may still end, and is answered in case somebody reads it.
        """
        pending = self.open.get(call)
        if pending is None:
            return
        self.counters["requests.client_disconnected"] += 1
        self.give(api.ClientDisconnected(call))
        self._withhold(call, pending.attempts)

    def presence(self, attempt: AttemptId) -> Presence:
        """Look whether the client of an attempt that is about to begin still waits."""
        pending = self.open.get(attempt[0])
        return Presence.GONE if pending is None else pending.presence()

    def leave(self, by_us: int) -> None:
        """Answer all that has been taken, and will be, by the time at which the process ends."""
        self.leave_us = by_us
        self.at(by_us, self._end_all)

    def close(self) -> None:
        """Refuse what comes from now on; what is open ends in its own time."""
        self.closed = True

    def next_number(self) -> int:
        """Return a number that no request and no control request has had."""
        self.number += 1
        return self.number

    def avoided(self) -> set[str]:
        """Return the workers that the decisions leave out now, by their own choice."""
        known = self.dispatcher.workers
        return {name for name, worker in known.items() if self.dispatcher.avoids(worker)}

    def _sheds(self, lag_us: int) -> bool:
        """Tell whether nothing can be taken now, by the load, the policy, or the end of the process."""
        limits = self.limits
        full = len(self.open) > limits.requests.open_requests or self.open_bytes > limits.requests.open_bytes
        # Guards memory against a flood, and the requests in hand against a loop that lags ever more.
        lags = lag_us > limits.requests.max_lag_us
        barred = self.admits is not None and not self.admits()  # the policy to decide by is not known
        return barred or full or lags or self.closed

    def _shed(self, call: int, leaving: bool) -> None:
        self.counters["requests.shed"] += 1
        # Another process takes it at once.
        later_us = 0 if leaving or self.closed else self.limits.requests.max_retry_after_us
        self._finish(call, Outcome(Verdict.REJECTED, retry_after_us=later_us))

    # The end of a request.

    def _overdue(self, call: int) -> None:
        """Guard the rule of one answer in time, should the dispatcher not have answered by the deadline."""
        if call in self.open:
            self.counters["requests.deadline_exceeded"] += 1
            self._end(call)

    def _end_all(self) -> None:
        for call in list(self.open):
            self._end(call)

    def _end(self, call: int) -> None:
        self._fail(call)
        self.give(api.CallExpired(call))

    def _fail(self, call: int) -> None:
        pending = self.open.get(call)
        if pending is None:
            return
        # The dispatcher answers a little before the deadline; that, too, is time run out.
        early_us = pending.request.budget_us // EARLY_FAILURE_DIVISOR
        early_us += EARLY_FAILURE_TICKS * self.settings.tick_us
        expired = self.clock() >= pending.due_us - early_us
        verdict = Verdict.EXPIRED if expired else Verdict.FAILED
        self._finish(call, Outcome(verdict, ran=pending.ran))

    def _finish(self, call: int, outcome: Outcome) -> None:
        """Give the final answer; this is the one way to it, and a second one for a call goes nowhere."""
        pending = self.open.pop(call, None)
        if pending is None:
            return
        self.move(pending, CallState.ANSWERED)
        self.open_bytes -= pending.request.bytes()
        self.answers[pending.request.class_name, outcome.verdict] += 1
        pending.answer(outcome)

    # What the pool and the driver of the name server report.

    def list_changed(self, event: api.WorkerListReceived) -> None:
        """Decide by another list of workers."""
        self.counters["lists.taken"] += 1
        self.give(event)

    def attempt_ended(
        self,
        attempt: AttemptId,
        result: Result,
        body: bytes = b"",
        queued_ahead: int = 0,
        report: Report = (),
    ) -> None:
        """Take the end of an attempt; a second one, or one after a timeout or a cancel, is only counted."""
        flight = self.flights.pop(attempt, None)
        if flight is None:
            self.counters["attempts.late"] += 1
            return
        self.counters[f"attempts.{result.value}"] += 1
        call = attempt[0]
        pending = self.open.get(call)
        if pending is not None and result not in NEVER_RAN:
            pending.ran = True
        if pending is not None and result is Result.OK:
            self._finish(call, Outcome(Verdict.SERVED, body, ran=True))
        elapsed_us = max(0, self.clock() - flight.sent_us)
        over = call not in self.open
        warmth = api.Warmth.UNKNOWN
        self.give(
            api.AttemptEnded(*attempt, flight.worker, result, elapsed_us, over, warmth, queued_ahead, report)
        )

    def probe(self, worker: str) -> None:
        """Send one health check, whoever wants it; its end goes to the dispatcher and to `probed`."""
        self.control.check_health(worker)

    def order_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Take the end of a load request; `copies` is how many the worker has loaded."""
        self.control.load_ended(tag, result, copies)

    def probe_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Take the end of a health check."""
        self.control.health_check_ended(tag, result, report)

    # Events in, actions out.

    def give(self, event: api.Event) -> None:
        """Hand an event to the dispatcher; one that an action brings about waits for the action's turn."""
        self.events.append(event)
        if self.acting:
            return
        self.acting = True
        try:
            while self.events:
                for action in self.dispatcher.handle(self.clock(), self.events.popleft()):
                    ACTION_HANDLERS[type(action)](self, action)
        finally:
            self.acting = False

    def _send_attempt(self, action: api.SendAttempt) -> None:
        pending = self.open.get(action.call)
        if pending is None:
            # Over since the decision; the dispatcher hears of that next.
            self.counters["attempts.already_over"] += 1
            return
        now = self.clock()
        attempt = (action.call, pending.attempts)
        pending.attempts += 1
        left_us = pending.due_us - now
        wait_us = min(action.timeout_us or left_us, left_us)
        self.flights[attempt] = InFlightAttempt(action.worker, now)
        self.counters["attempts.sent"] += 1
        self.epoch_counts.count_attempt(action.epoch)
        if action.epoch != pending.epoch:  # must never be: a call is decided under one policy throughout
            self.counters["policy.mixed_calls"] += 1
        if self.sent is not None:
            self.sent(attempt, action.epoch)
        self.at(now + max(0, wait_us), lambda: self._timed_out(attempt))
        self.pool.send(attempt, action.worker, pending.request, max(1, wait_us), action.until_us)

    def _timed_out(self, attempt: AttemptId) -> None:
        if attempt in self.flights:
            self.pool.cancel(attempt)
            self.attempt_ended(attempt, Result.TIMEOUT)

    def _withhold(self, call: int, attempts: int) -> None:
        """Guard against an attempt that waits for its connection and begins long after its client left."""
        for number in range(attempts):
            attempt = (call, number)
            if attempt in self.flights and self.pool.withhold(attempt):
                self.attempt_ended(attempt, Result.SUPERSEDED)

    def _reject(self, action: api.RejectCall) -> None:
        self._finish(action.call, Outcome(Verdict.REJECTED, retry_after_us=action.retry_after_us))

    def _cancel_attempt(self, action: api.CancelAttempt) -> None:
        attempt = (action.call, action.attempt)
        if attempt in self.flights:
            self.pool.cancel(attempt)
            self.attempt_ended(attempt, Result.CANCELLED)


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


def _set_timer(core: Core, action: api.SetTimer) -> None:
    token = action.token
    core.at(action.due_us, lambda: core.give(api.TimerFired(token)))


def _write_log(_core: Core, action: api.WriteLog) -> None:
    log.info("module: %s", action.text)


def _count_without_effect(core: Core, _action: api.Action) -> None:
    """Count what needs no act: the list is polled all the time, and there is no way to other routers."""
    core.counters["actions.without_effect"] += 1


# A table, since every call brings several actions about and a chain of comparisons would stand before each.
ACTION_HANDLERS: dict[type, Callable[[Core, Any], None]] = {
    api.SendAttempt: Core._send_attempt,
    api.SetTimer: _set_timer,
    api.RejectCall: Core._reject,
    api.FailCall: lambda core, action: core._fail(action.call),
    api.CancelAttempt: Core._cancel_attempt,
    api.RequestLoad: lambda core, action: core.control.request_load(action),
    api.RequestUnload: lambda core, action: core.control.request_unload(action),
    api.SendHealthCheck: lambda core, action: core.control.check_health_if_ours(action),
    api.CloseIdleConnections: lambda core, action: core.pool.close_idle(action.worker),
    api.WriteLog: _write_log,
    api.WatchEndpoints: _count_without_effect,
    api.FetchEndpoints: _count_without_effect,
    api.SendToPeer: _count_without_effect,
}
