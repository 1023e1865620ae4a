"""The data path's core: its parts, connected, and what fronts, pool and drivers call of them.

The core knows no socket and no wire. It reads the time by `clock`, asks to be woken through `alarm`, acts
through a `Pool`, and gives each request exactly one final answer through the callable that came with it.
Times are Unix microseconds.
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
from maplestile.requests.timers import Callback, TimerQueue
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Report, Request, Verdict

__all__ = ["AttemptId", "ControlRequest", "Core", "InFlightAttempt", "PendingRequest", "Pool", "Presence"]

log = logging.getLogger(__name__)


class Core:
    """The requests that are open, the attempts in flight, and the dispatcher that decides on them."""

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
        self.schedule = timers = TimerQueue(settings.tick_us, clock, alarm)
        runtime = Runtime(clock, timers, counters)
        # The queue's own methods, for those who set timers and those who drive them.
        self.at = timers.at
        self.tick = timers.run_due
        self.catch_up = timers.catch_up
        self.decisions = DecisionLoop(Dispatcher(settings, seed), clock)
        self.requests = RequestTable(settings.tick_us, clock, counters)
        self.attempts = AttemptTable(self.requests, self.decisions, pool, self.epoch_counts, runtime)
        self.control = ControlRequests(self.decisions, pool, self.numbers, limits.control_requests, runtime)
        self.intake = RequestIntake(
            self.requests, self.attempts, self.decisions, self.numbers, self.epoch_counts, limits, runtime
        )
        self.decisions.handlers = self._action_handlers()

    # What is known of it.

    @property
    def limits(self) -> Limits:
        """The limits in force; they can change while it serves."""
        return self.intake.limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self.intake.limits = limits
        self.control.limits = limits.control_requests

    @property
    def dispatcher(self) -> Dispatcher:
        """What decides on the requests."""
        return self.decisions.dispatcher

    @property
    def open(self) -> dict[int, PendingRequest]:
        """The requests without a final answer, by number."""
        return self.requests.open

    @property
    def open_bytes(self) -> int:
        """The memory that the open requests take."""
        return self.requests.open_bytes

    @property
    def answers(self) -> Counter[tuple[str, Verdict]]:
        """How many final answers there were, by class and verdict."""
        return self.requests.answers

    @property
    def in_flight(self) -> dict[AttemptId, InFlightAttempt]:
        """The attempts whose end has not been reported."""
        return self.attempts.in_flight

    @property
    def control_requests(self) -> dict[int, ControlRequest]:
        """The load requests and health checks whose end has not been reported, by tag."""
        return self.control.open

    @property
    def number(self) -> int:
        """The last number given to a request or a control request."""
        return self.numbers.last

    @property
    def exit_us(self) -> int:
        """The time at which the process ends; 0 if it stays."""
        return self.intake.exit_us

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

    def avoided(self) -> set[str]:
        """Return the workers that the decisions leave out now, by their own choice."""
        known = self.dispatcher.workers
        return {name for name, worker in known.items() if self.dispatcher.avoids(worker)}

    # The process.

    def apply_policy(self, settings: api.Settings, limits: Limits) -> None:
        """Set another policy, for the calls that come from now on; `tick_us` has to be the same."""
        self.settings = settings
        self.limits = limits
        self.epoch_counts.enter(settings.epoch)
        self.decisions.give(api.PolicyChanged(settings))

    def prepare_exit(self, exit_us: int) -> None:
        """Answer all that has been taken, and will be, by the time at which the process ends."""
        self.intake.prepare_exit(exit_us)

    def close(self) -> None:
        """Refuse what comes from now on; what is open ends in its own time."""
        self.intake.closed = True

    # Requests, as the fronts pass them in.

    def submit(
        self,
        request: Request,
        received_us: int,
        answer: Callable[[Outcome], None],
        presence: Callable[[], Presence] = always_waiting,
    ) -> int:
        """Take a request whose last byte came at `received_us`, and return its number.

        Its answer may come before this returns. `presence` looks at the client's connection and is called
        before an attempt that may be late.
        """
        return self.intake.submit(request, received_us, answer, presence)

    def withdraw(self, call: int) -> None:
        """Drop a request whose client waits no longer: it needs no answer, and its attempts are cancelled."""
        self.intake.withdraw(call)

    def client_disconnected(self, call: int) -> None:
        """Begin nothing more for a call whose client has closed its connection, or only its side of it."""
        self.intake.client_disconnected(call)

    # What the pool and the driver of the name server report.

    def list_changed(self, event: api.WorkerListReceived) -> None:
        """Decide by another list of workers."""
        self.counters["lists.taken"] += 1
        self.decisions.give(event)

    def presence(self, attempt: AttemptId) -> Presence:
        """Look whether the client of an attempt that is about to begin still waits."""
        return self.requests.presence(attempt[0])

    def attempt_ended(
        self,
        attempt: AttemptId,
        result: Result,
        body: bytes = b"",
        queued_ahead: int = 0,
        report: Report = (),
    ) -> None:
        """Take the end of an attempt; a second one, or one after a timeout or a cancel, is only counted."""
        self.attempts.end(attempt, result, body, queued_ahead, report)

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Take the end of a load request; `copies` is how many the worker has loaded."""
        self.control.load_ended(tag, result, copies)

    def health_check_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Take the end of a health check."""
        self.control.health_check_ended(tag, result, report)

    # Actions.

    def _action_handlers(self) -> ActionHandlers:
        return {
            api.SendAttempt: self.attempts.send,
            api.SetTimer: self._set_timer,
            api.RejectCall: self._reject,
            api.FailCall: self._fail,
            api.CancelAttempt: self.attempts.cancel,
            api.RequestLoad: self.control.request_load,
            api.RequestUnload: self.control.request_unload,
            api.SendHealthCheck: self.control.check_health_if_ours,
            api.CloseIdleConnections: self._close_idle,
            api.WriteLog: _write_log,
            api.WatchEndpoints: self._count_without_effect,
            api.FetchEndpoints: self._count_without_effect,
            api.SendToPeer: self._count_without_effect,
        }

    def _set_timer(self, action: api.SetTimer) -> None:
        token = action.token
        self.at(action.due_us, lambda: self.decisions.give(api.TimerFired(token)))

    def _reject(self, action: api.RejectCall) -> None:
        self.requests.reject(action.call, action.retry_after_us)

    def _fail(self, action: api.FailCall) -> None:
        self.requests.fail(action.call)

    def _close_idle(self, action: api.CloseIdleConnections) -> None:
        self.pool.close_idle(action.worker)

    def _count_without_effect(self, _action: api.Action) -> None:
        """Count what needs no act: the list is polled all the time, and there is no way to other routers."""
        self.counters["actions.without_effect"] += 1


def _write_log(action: api.WriteLog) -> None:
    log.info("module: %s", action.text)
