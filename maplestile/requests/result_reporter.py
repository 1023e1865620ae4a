"""Reports to the core how messages to runners ended."""

from collections import Counter
from typing import Protocol

from maplestile.dispatch.api import Result
from maplestile.requests.connections import Connection, Message
from maplestile.requests.records import AttemptId, Presence
from maplestile.requests.states import AttemptState, Transition
from maplestile.wire import runner as wire
from maplestile.wire.messages import Report


class PoolObserver(Protocol):
    """The part of the core that a pool uses: it receives results and knows the presence of clients."""

    def presence(self, attempt: AttemptId) -> Presence:
        """Return the presence of the client of an attempt that is about to be written."""
        ...

    def attempt_ended(
        self,
        attempt: AttemptId,
        result: Result,
        body: bytes = b"",
        queued_ahead: int = 0,
        report: Report = (),
    ) -> None:
        """Handle the result of an attempt."""
        ...

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Handle the result of a load request; `copies` is the number that the worker holds now."""
        ...

    def health_check_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Handle the result of a health check."""
        ...

    def run_due_timers(self) -> None:
        """Run the timers that are due; called while much input is handled."""
        ...


class ResultReporter:
    """Sets the final states of attempts, and reports to the core how all messages ended."""

    core: PoolObserver  # set before anything is sent, since the core is built after the pool

    def __init__(self, transition: Transition, counters: Counter[str]) -> None:
        self._transition = transition
        self._counters = counters
        # The connection and message of each attempt that is queued or written and has no result yet.
        self.locations: dict[AttemptId, tuple[Connection, Message]] = {}

    def forget(self, attempt: AttemptId, state: AttemptState) -> None:
        """Remove an attempt and set its final state; the caller reports the result."""
        location = self.locations.pop(attempt, None)
        if location is not None:
            self._transition(location[1], state)

    def report_answer(self, connection: Connection, answer: wire.Answer) -> None:
        """Report an answer to the core; one with an unknown tag is only counted."""
        attempt = connection.open.pop(answer.call, None)
        control = connection.control_tags.pop(answer.call, None)
        if attempt is not None:
            self.forget(attempt, AttemptState.ANSWERED)
            connection.ended_tags.add(answer.call)
            self.core.attempt_ended(attempt, answer.result, answer.body, answer.queued_ahead, answer.report)
        elif control is None:
            self._counters["runners.late"] += 1
        elif control.is_health_check:
            self.core.health_check_ended(control.number, answer.result, answer.report)
        else:
            self.core.load_ended(control.number, answer.result, answer.copies)

    def report_connection_lost(self, attempt: AttemptId, result: Result) -> None:
        """Report an attempt that was written completely, and may have run, when its connection ended."""
        self.forget(attempt, AttemptState.CONNECTION_LOST)
        self.core.attempt_ended(attempt, result)

    def report_unsent(self, message: Message, result: Result) -> None:
        """Report a message that never reached its runner completely."""
        self._transition(message, AttemptState.UNSENT)
        if message.attempt is not None:
            self.locations.pop(message.attempt, None)
            self.core.attempt_ended(message.attempt, result)
        elif message.is_health_check:
            self.core.health_check_ended(message.control_number, result)
        elif message.control_number:
            superseded = result is Result.SUPERSEDED
            self.core.load_ended(message.control_number, Result.FULL if superseded else result)

    def report_unanswered_control(self, number: int, is_health_check: bool, result: Result) -> None:
        """Report a health check or a load request that ended without an answer."""
        report_result = self.core.health_check_ended if is_health_check else self.core.load_ended
        report_result(number, result)
