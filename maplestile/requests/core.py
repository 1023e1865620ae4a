"""The core of the data path: connects its components, and is the interface for fronts, pool and drivers.

The core uses neither sockets nor wire formats. It reads the time from `clock`, sets its next wake-up through
`alarm`, sends through a `Pool`, and gives each request exactly one final answer through the callable that was
submitted with it. Times are microseconds of `clock`, which must never be stepped.
"""

import logging
from collections import Counter
from collections.abc import Callable

from maplestile.dispatch import api
from maplestile.dispatch.api import Result
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.requests.attempts import AttemptTable
from maplestile.requests.control_requests import ControlRequests
from maplestile.requests.decision_loop import ActionHandlers, DecisionLoop
from maplestile.requests.number_sequence import NumberSequence
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
from maplestile.requests.request_intake import RequestIntake
from maplestile.requests.request_table import RequestTable
from maplestile.requests.runtime import Runtime
from maplestile.requests.timers import Callback, Timer, TimerQueue
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Report, Request, Verdict

__all__ = ["AttemptId", "ControlRequest", "Core", "InFlightAttempt", "PendingRequest", "Pool", "Presence"]

log = logging.getLogger(__name__)


class Core:
    """The open requests, the attempts in flight, and the dispatcher that decides what to do with them."""

    def __init__(
        self,
        settings: api.Settings,
        limits: Limits,
        seed: int,
        pool: Pool,
        clock: Callable[[], int],
        alarm: Callable[[int], None],
        counters: Counter[str] | None = None,
    ) -> None:
        counters = Counter() if counters is None else counters
        self.settings = settings
        self.pool = pool
        self.clock = clock
        self.counters = counters
        self.numbers = NumberSequence()
        self.epoch_counts = EpochCounts(settings.epoch)
        self.timer_queue = timers = TimerQueue(settings.tick_us, clock, alarm)
        runtime = Runtime(clock, timers, counters)
        # Methods of the timer queue, for the code that sets timers and the driver that runs them.
        self.call_at = timers.call_at
        self.tick = timers.run_due
        self.run_due_timers = timers.run_due_timers
        self._dispatcher_timers: dict[int, Timer] = {}  # by token
        self.decisions = DecisionLoop(Dispatcher(settings, seed), clock, self._cancel_timer)
        self.requests = RequestTable(settings.tick_us, clock, timers, counters)
        self.attempts = AttemptTable(self.requests, self.decisions, pool, self.epoch_counts, runtime)
        self.control = ControlRequests(self.decisions, pool, self.numbers, limits.control_requests, runtime)
        self.intake = RequestIntake(
            self.requests, self.attempts, self.decisions, self.numbers, self.epoch_counts, limits, runtime
        )
        self.decisions.handlers = self._action_handlers()
        self.limits = limits

    # State, for other components to read.

    @property
    def limits(self) -> Limits:
        """The limits in force; they can change while the process serves."""
        return self.intake.limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self.intake.limits = limits
        self.control.limits = limits.control_requests
        self.dispatcher.tiers.max_functions = limits.requests.functions

    @property
    def dispatcher(self) -> Dispatcher:
        """The dispatcher, which decides where requests are sent."""
        return self.decisions.dispatcher

    @property
    def open(self) -> dict[int, PendingRequest]:
        """The requests without a final answer, by number."""
        return self.requests.open

    @property
    def open_bytes(self) -> int:
        """The approximate memory of the open requests, in bytes."""
        return self.requests.open_bytes

    @property
    def answers(self) -> Counter[tuple[str, Verdict]]:
        """The number of final answers, by class and verdict."""
        return self.requests.answers

    @property
    def in_flight(self) -> dict[AttemptId, InFlightAttempt]:
        """The attempts whose result has not been reported."""
        return self.attempts.in_flight

    @property
    def control_requests(self) -> dict[int, ControlRequest]:
        """The load requests and health checks whose result has not been reported, by tag."""
        return self.control.open

    @property
    def number(self) -> int:
        """The number that was last assigned to a request or a control request; 0 before the first."""
        return self.numbers.last

    @property
    def exit_us(self) -> int:
        """The time in microseconds at which the process exits; 0 if it is not exiting."""
        return self.intake.exit_us

    @property
    def epochs(self) -> dict[int, Counter[str]]:
        """The numbers of calls and attempts decided under each policy epoch."""
        return self.epoch_counts.by_epoch

    @property
    def timers(self) -> dict[int, list[Callback]]:
        """The callbacks of the timers, by the tick in which they are due."""
        return {tick: list(callbacks.values()) for tick, callbacks in self.timer_queue.callbacks.items()}

    @property
    def ticks(self) -> list[int]:
        """The ticks in which callbacks are due, as a heap: the first is the next."""
        return self.timer_queue.ticks

    def avoided(self) -> set[str]:
        """Return the workers that the dispatcher avoids at present, by its own decision."""
        known = self.dispatcher.workers
        return {name for name, worker in known.items() if self.dispatcher.is_avoided(worker)}

    # Changes of the policy, and the exit of the process.

    def apply_policy(self, settings: api.Settings, limits: Limits) -> None:
        """Apply a new policy to the calls that arrive from now on; `tick_us` must not change."""
        self.settings = settings
        self.limits = limits
        self.epoch_counts.start_epoch(settings.epoch)
        self.decisions.handle(api.PolicyChanged(settings))

    def prepare_exit(self, exit_us: int) -> None:
        """Answer every request, open or yet to come, by the time at which the process exits."""
        self.intake.prepare_exit(exit_us)

    def close(self) -> None:
        """Reject new requests from now on; open requests are still answered."""
        self.intake.closed = True

    # Requests from the fronts.

    def submit(
        self,
        request: Request,
        received_us: int,
        answer: Callable[[Outcome], None],
        presence: Callable[[], Presence] = always_waiting,
    ) -> int:
        """Accept or reject a request whose last byte arrived at `received_us`, and return its number.

        `answer` is called with the final answer, perhaps before this returns. `presence` is called before an
        attempt is written if unread input may hold a disconnect or a cancel of the client.
        """
        return self.intake.submit(request, received_us, answer, presence)

    def withdraw(self, call: int) -> None:
        """Drop a request that its client has given up: it gets no answer, and its attempts are cancelled."""
        self.intake.withdraw(call)

    def client_disconnected(self, call: int) -> None:
        """Start no further attempts for a call whose client has closed its connection or its sending side."""
        self.intake.client_disconnected(call)

    # Reports from the pool and from service discovery.

    def list_changed(self, event: api.WorkerListReceived) -> None:
        """Apply a new worker list."""
        self.counters["lists.taken"] += 1
        self.decisions.handle(event)

    def presence(self, attempt: AttemptId) -> Presence:
        """Return the presence of the client of an attempt that is about to be written."""
        return self.requests.presence(attempt[0])

    def attempt_ended(
        self,
        attempt: AttemptId,
        result: Result,
        body: bytes = b"",
        queued_ahead: int = 0,
        report: Report = (),
    ) -> None:
        """Handle the result of an attempt; one for an attempt that has ended already is only counted."""
        self.attempts.end(attempt, result, body, queued_ahead, report)

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Handle the result of a load request; `copies` is the number that the worker holds now."""
        self.control.load_ended(tag, result, copies)

    def health_check_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Handle the result of a health check."""
        self.control.health_check_ended(tag, result, report)

    # Actions of the dispatcher.

    def _action_handlers(self) -> ActionHandlers:
        return {
            api.SendAttempt: self.attempts.send,
            api.SetTimer: self._set_timer,
            api.RejectCall: self._reject,
            api.FailCall: self._fail,
            api.CancelAttempt: self.attempts.cancel,
            api.RequestLoad: self.control.request_load,
            api.RequestUnload: self.control.request_unload,
            api.SendHealthCheck: self.control.check_health_if_assigned,
            api.CloseIdleConnections: self._close_idle,
            api.WriteLog: _write_log,
            api.WatchEndpoints: self._count_without_effect,
            api.FetchEndpoints: self._count_without_effect,
            api.SendToPeer: self._count_without_effect,
        }

    def _set_timer(self, action: api.SetTimer) -> None:
        token = action.token

        def fire() -> None:
            self._dispatcher_timers.pop(token, None)
            self.decisions.handle(api.TimerFired(token))

        self._dispatcher_timers[token] = self.call_at(action.due_us, fire)

    def _cancel_timer(self, token: int) -> None:
        self.timer_queue.cancel(self._dispatcher_timers.pop(token, None))

    def _reject(self, action: api.RejectCall) -> None:
        self.counters["requests.rejected"] += 1
        self.requests.reject(action.call, action.retry_after_us)

    def _fail(self, action: api.FailCall) -> None:
        self.attempts.fail_call(action.call)

    def _close_idle(self, action: api.CloseIdleConnections) -> None:
        self.pool.close_idle(action.worker)

    def _count_without_effect(self, _action: api.Action) -> None:
        """Count an action that is not carried out.

        The endpoint list is polled anyway, and the routers have no channel to each other.
        """
        self.counters["actions.without_effect"] += 1


def _write_log(action: api.WriteLog) -> None:
    log.info("dispatcher: %s", action.text)
