"""Requests, attempts and outcomes: the one dispatcher, its events, its actions and its timers.

The core knows no socket and no wire. It is told the time by `clock`, asks to be woken through `alarm`, acts
through a `Pool`, and gives each request exactly one final answer through the callable that came with it."""

import heapq
import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from maplestile.dispatch import api
from maplestile.dispatch.api import NEVER_RAN, Result
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.requests.states import CallState, Transition
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Report, Request, Verdict

log = logging.getLogger(__name__)
AttemptId = tuple[int, int]
EPOCHS_MOST = 8  # policies whose calls are counted: the last ones


class Presence(Enum):
    """What is known, just now, of a client that has an open request."""

    WAITING = "waiting"
    UNREAD = "unread"  # its connection holds bytes that are not read yet: one may cancel the request
    GONE = "gone"  # it has closed its connection


def always_waiting() -> Presence:
    """For callers without a connection of their own."""
    return Presence.WAITING


class Pool(Protocol):
    """What the core needs of the workers' side; ends come back through the core's `*_ended` methods."""

    def send(self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int) -> None:
        """Write it soon, but not from `until_us` on (if over 0): then it ends as SUPERSEDED."""
        ...

    def cancel(self, attempt: AttemptId) -> None: ...

    def withhold(self, attempt: AttemptId) -> bool:
        """Have it never begin: true if not a byte of it was out, and it is forgotten. One that has begun goes
        on, but by no other connection."""
        ...

    def order(self, tag: int, worker: str, function: str, copies: int) -> None: ...
    def unload(self, worker: str, function: str) -> None: ...
    def probe(self, tag: int, worker: str) -> None: ...
    def forget(self, tag: int) -> None: ...
    def close_idle(self, worker: str) -> None: ...


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed its final answer."""

    request: Request
    due_us: int
    answer: Callable[[Outcome], None]
    presence: Callable[[], Presence]
    state: CallState = CallState.PENDING
    attempts: int = 0
    ran: bool = False
    epoch: int = 0  # of the policy that it was taken under


@dataclass(slots=True)
class InFlightAttempt:
    worker: str
    sent_us: int


@dataclass(slots=True)
class ControlRequest:
    """An order to load or a probe on its way."""

    worker: str
    function: str
    sent_us: int


@dataclass(slots=True)
class Core:
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
    # Where routers know each other: whether a probe of the module's goes out from here, and how any ended.
    may_probe: Callable[[str], bool] = lambda worker: True
    probed: Callable[[str, Result], None] = lambda worker, result: None
    # Where a fleet agrees on the policy: whether new calls are taken now, and each attempt with its epoch.
    admits: Callable[[], bool] | None = None
    sent: Callable[[AttemptId, int], None] | None = None
    epochs: dict[int, Counter[str]] = field(default_factory=dict)  # calls and attempts decided under each
    open: dict[int, PendingRequest] = field(default_factory=dict)
    flights: dict[AttemptId, InFlightAttempt] = field(default_factory=dict)
    errands: dict[int, ControlRequest] = field(default_factory=dict)
    events: deque[api.Event] = field(default_factory=deque)
    timers: dict[int, list[Callable[[], object]]] = field(default_factory=dict)  # by the tick when due
    ticks: list[int] = field(default_factory=list)
    number: int = 0
    open_bytes: int = 0
    decided: Counter[str] = field(init=False)  # of the epoch in force
    armed: int = 0
    acting: bool = False
    leave_us: int = 0  # when the process ends; 0 if it stays
    closed: bool = False  # nothing more is taken

    def __post_init__(self) -> None:
        self.dispatcher, self.move = Dispatcher(self.settings, self.seed), Transition(self.counters)
        self.decided = self.epochs.setdefault(self.settings.epoch, Counter())

    def adopt(self, settings: api.Settings, limits: Limits) -> None:
        """Another policy, for the calls that come from now on; `tick_us` has to be the same."""
        self.settings, self.limits = settings, limits
        self.decided = self.epochs.setdefault(settings.epoch, Counter())
        for old in sorted(self.epochs)[:-EPOCHS_MOST]:
            del self.epochs[old]
        self.give(api.PolicyChanged(settings))

    # What the fronts call.

    def submit(
        self,
        request: Request,
        received_us: int,
        answer: Callable[[Outcome], None],
        presence: Callable[[], Presence] = always_waiting,
    ) -> int:
        """Take a request whose last byte came at `received_us`; its answer may come before this returns.
        `presence` looks at the client's connection and is asked before an attempt that may be late."""
        self.number += 1
        call, now = self.number, self.clock()
        self.counters["requests.taken"] += 1
        # The client's time runs from the last byte, not from when a busy loop got to it.
        due_us = received_us + request.budget_us
        leaving = 0 < self.leave_us < due_us
        if leaving:
            due_us = self.leave_us
        self.open[call] = PendingRequest(request, due_us, answer, presence, epoch=self.settings.epoch)
        self.open_bytes += request.bytes()
        full = len(self.open) > self.limits.open_requests or self.open_bytes > self.limits.open_bytes
        # Guards memory against a flood, and the requests in hand against a loop that lags ever more.
        lags = now - received_us > self.limits.lag_most_us
        barred = self.admits is not None and not self.admits()  # the policy to decide by is not known
        late = leaving and due_us - now < self.limits.handover_least_us
        if barred or full or lags or late or self.closed:
            self.counters["requests.shed"] += 1
            # Another process takes it at once.
            later_us = 0 if leaving or self.closed else self.limits.max_retry_after_us
            self._finish(call, Outcome(Verdict.REFUSED, retry_after_us=later_us))
            return call
        self.decided["calls"] += 1
        self.at(due_us, lambda: self._overdue(call))
        self.give(
            api.CallArrived(
                call,
                request.function,
                request.class_name,
                max(0, due_us - now),
                request.memory_mb,
                request.lanes,
                request.cost_us,
                request.tenant,
                request.repeat,
            )
        )
        return call

    def withdraw(self, call: int) -> None:
        """The client waits no longer: nothing is owed, and what is out is called off by the module."""
        if (owed := self.open.pop(call, None)) is not None:
            self.move(owed, CallState.WITHDRAWN)
            self.open_bytes -= owed.request.bytes()
            self.counters["requests.withdrawn"] += 1
            self.give(api.CallExpired(call))
            self._withhold(call, owed.attempts)  # where the rules let nothing be called off

    def client_gone(self, call: int) -> None:
        """The client has closed its connection, or only its side of it: nothing more begins for this call,
        while what is out may still end, and is answered in case somebody reads it."""
        if (owed := self.open.get(call)) is not None:
            self.counters["requests.client_gone"] += 1
            self.give(api.ClientDisconnected(call))
            self._withhold(call, owed.attempts)

    def presence(self, attempt: AttemptId) -> Presence:
        """Whether the client of an attempt that is about to begin still waits: a look at its connection."""
        owed = self.open.get(attempt[0])
        return Presence.GONE if owed is None else owed.presence()

    def leave(self, by_us: int) -> None:
        """The process ends then: all that it has taken, and still takes, has its answer by that time."""
        self.leave_us = by_us
        self.at(by_us, self._end_all)

    def close(self) -> None:
        """Nothing more is taken: what comes from now on is refused, and what is open ends in its own time."""
        self.closed = True

    def _end_all(self) -> None:
        for call in list(self.open):
            self._end(call)

    def _withhold(self, call: int, attempts: int) -> None:
        """Guards against an attempt that waits for its connection and begins long after its client left."""
        for attempt in ((call, number) for number in range(attempts)):
            if attempt in self.flights and self.pool.withhold(attempt):
                self.attempt_ended(attempt, Result.SUPERSEDED)

    # What those who run it ask.

    def avoided(self) -> set[str]:
        """The workers that the decisions leave out now, by their own choice."""
        known = self.dispatcher.workers
        return {name for name, worker in known.items() if self.dispatcher.avoids(worker)}

    # What the pool and the name server's driver call.

    def list_changed(self, event: api.WorkerListReceived) -> None:
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
        flight = self.flights.pop(attempt, None)
        if flight is None:  # late: timed out, called off, or ended before
            self.counters["attempts.late"] += 1
            return
        self.counters[f"attempts.{result.value}"] += 1
        call = self.open.get(attempt[0])
        if call is not None and result not in NEVER_RAN:
            call.ran = True
        if call is not None and result is Result.OK:
            self._finish(attempt[0], Outcome(Verdict.SERVED, body, ran=True))
        elapsed_us = max(0, self.clock() - flight.sent_us)
        ended = attempt[0] not in self.open
        warmth = api.Warmth.UNKNOWN
        self.give(
            api.AttemptEnded(*attempt, flight.worker, result, elapsed_us, ended, warmth, queued_ahead, report)
        )

    def probe(self, worker: str) -> None:
        """One probe, whoever wants it; its end goes to the module and to `probed`."""
        tag = self._errand(worker, "", self.limits.probe_timeout_us, self.probe_ended)
        self.counters["probes.sent"] += 1
        self.pool.probe(tag, worker)

    def order_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        errand = self.errands.pop(tag, None)
        if errand is None:
            return
        self.counters[f"orders.{result.value}"] += 1
        elapsed_us = max(0, self.clock() - errand.sent_us)
        self.give(api.LoadRequestEnded(errand.worker, errand.function, result, elapsed_us, copies))

    def probe_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        errand = self.errands.pop(tag, None)
        if errand is not None:
            self.counters[f"probes.{result.value}"] += 1
            self.probed(errand.worker, result)
            elapsed_us = max(0, self.clock() - errand.sent_us)
            self.give(api.HealthCheckEnded(errand.worker, result, elapsed_us, report))

    # Time.

    def at(self, due_us: int, then: Callable[[], object]) -> None:
        """Due in the first tick at or after `due_us`, as on the simulator's wire; a tick has one alarm."""
        tick = -(-due_us // self.settings.tick_us)
        timers = self.timers.get(tick)
        if timers is None:
            timers = self.timers[tick] = []
            heapq.heappush(self.ticks, tick)
            self._arm()
        timers.append(then)

    def tick(self) -> None:
        """Run what is due; the driver calls this when the alarm goes off."""
        now = self.clock() // self.settings.tick_us
        due = deque[Callable[[], object]]()
        while self.ticks and self.ticks[0] <= now:
            due += self.timers.pop(heapq.heappop(self.ticks))
        self.armed = 0
        self._arm()  # first, since what is due may fail, and then no timer would ever come again
        try:
            while due:
                due.popleft()()
        finally:
            for then in due:  # one that fails keeps back none that is due with it
                self.at(self.clock(), then)

    def catch_up(self) -> None:
        """For drivers in the midst of much input: a deadline must not wait until all of it is handled."""
        if self.ticks and self.ticks[0] * self.settings.tick_us <= self.clock():
            self.tick()

    def _arm(self) -> None:
        if self.ticks and not 0 < self.armed <= self.ticks[0]:
            self.armed = self.ticks[0]
            self.alarm(self.armed * self.settings.tick_us)

    # Events in, actions out.

    def give(self, event: api.Event) -> None:
        """Hand an event to the module; an event that an action brings about waits for the action's turn."""
        self.events.append(event)
        if self.acting:
            return
        self.acting = True
        try:
            while self.events:
                for action in self.dispatcher.handle(self.clock(), self.events.popleft()):
                    self._act(action)
        finally:
            self.acting = False

    def _act(self, action: api.Action) -> None:
        match action:
            case api.SendAttempt():
                self._send(action)
            case api.SetTimer(due_us, token):
                self.at(due_us, lambda: self.give(api.TimerFired(token)))
            case api.RejectCall(call, retry_after_us):
                self._finish(call, Outcome(Verdict.REFUSED, retry_after_us=retry_after_us))
            case api.FailCall(call):
                self._fail(call)
            case api.CancelAttempt(call, attempt):
                if (call, attempt) in self.flights:
                    self.pool.cancel((call, attempt))
                    self.attempt_ended((call, attempt), Result.CANCELLED)
            case api.RequestLoad(worker, function, copies):
                tag = self._errand(worker, function, self.limits.load_timeout_us, self.order_ended)
                self.counters["orders.sent"] += 1
                self.pool.order(tag, worker, function, copies)
            case api.RequestUnload(worker, function):
                self.counters["unloads.sent"] += 1
                self.pool.unload(worker, function)
            case api.SendHealthCheck(worker):
                if self.may_probe(worker):
                    self.probe(worker)
                else:
                    self.counters["probes.left_to_owner"] += 1
            case api.CloseIdleConnections(worker):
                self.pool.close_idle(worker)
            case api.WriteLog(text):
                log.info("module: %s", text)
            case api.WatchEndpoints() | api.FetchEndpoints() | api.SendToPeer():
                # The list is polled all the time, and there is no way to talk to other routers.
                self.counters["actions.without_effect"] += 1

    def _send(self, action: api.SendAttempt) -> None:
        call, now = self.open.get(action.call), self.clock()
        if call is None:
            self.counters["attempts.void"] += 1  # over since the decision; the module hears of that next
            return
        attempt = (action.call, call.attempts)
        call.attempts += 1
        wait_us = min(action.timeout_us or call.due_us - now, call.due_us - now)
        self.flights[attempt] = InFlightAttempt(action.worker, now)
        self.counters["attempts.sent"] += 1
        if action.epoch in self.epochs:
            self.epochs[action.epoch]["attempts"] += 1
        if action.epoch != call.epoch:  # must never be: a call is decided under one policy from end to end
            self.counters["policy.mixed_calls"] += 1
        if self.sent is not None:
            self.sent(attempt, action.epoch)
        self.at(now + max(0, wait_us), lambda: self._timed_out(attempt))
        self.pool.send(attempt, action.worker, call.request, max(1, wait_us), action.until_us)

    def _timed_out(self, attempt: AttemptId) -> None:
        if attempt in self.flights:
            self.pool.cancel(attempt)
            self.attempt_ended(attempt, Result.TIMEOUT)

    def _errand(self, worker: str, function: str, wait_us: int, ended: Callable[[int, Result], None]) -> int:
        self.number += 1
        tag, now = self.number, self.clock()
        self.errands[tag] = ControlRequest(worker, function, now)

        def unheard() -> None:
            if tag in self.errands:
                self.pool.forget(tag)
                ended(tag, Result.TIMEOUT)

        self.at(now + wait_us, unheard)
        return tag

    def _overdue(self, call: int) -> None:
        """Guards the rule of one answer in time, should the module not have answered by the deadline."""
        if call in self.open:
            self.counters["requests.overdue"] += 1
            self._end(call)

    def _end(self, call: int) -> None:
        self._fail(call)
        self.give(api.CallExpired(call))

    def _fail(self, call: int) -> None:
        owed = self.open.get(call)
        if owed is not None:
            # The module answers a little before the deadline; that, too, is time run out.
            over = self.clock() >= owed.due_us - owed.request.budget_us // 8 - 2 * self.settings.tick_us
            self._finish(call, Outcome(Verdict.EXPIRED if over else Verdict.FAILED, ran=owed.ran))

    def _finish(self, call: int, outcome: Outcome) -> None:
        """The one way to a final answer; a second one for the same call goes nowhere."""
        owed = self.open.pop(call, None)
        if owed is not None:
            self.move(owed, CallState.ANSWERED)
            self.open_bytes -= owed.request.bytes()
            self.answers[owed.request.class_name, outcome.verdict] += 1
            owed.answer(outcome)
