"""The ends of lines, as they are reported to the core."""

from collections import Counter
from typing import Protocol

from maplestile.dispatch.api import NEVER_RAN, Result
from maplestile.requests.connections import Connection, Message
from maplestile.requests.records import AttemptId, Presence
from maplestile.requests.states import AttemptState, Transition
from maplestile.wire import runner as wire
from maplestile.wire.messages import Report


class PoolObserver(Protocol):
    """What a pool needs of the core: the ends go there, and it knows whether a client still waits."""

    def presence(self, attempt: AttemptId) -> Presence:
        """Look whether the client of an attempt that is about to begin still waits."""
        ...

    def attempt_ended(
        self,
        attempt: AttemptId,
        result: Result,
        body: bytes = b"",
        queued_ahead: int = 0,
        report: Report = (),
    ) -> None:
        """Take the end of an attempt."""
        ...

    def load_ended(self, tag: int, result: Result, copies: int = 0) -> None:
        """Take the end of a load request; `copies` is how many the worker has loaded."""
        ...

    def health_check_ended(self, tag: int, result: Result, report: Report = ()) -> None:
        """Take the end of a health check."""
        ...

    def catch_up(self) -> None:
        """Run the timers that are due, in the midst of much input."""
        ...


class LineEnds:
    """Moves attempts to their last states, and reports the ends of all lines."""

    core: PoolObserver  # set before anything is sent: the core is built on a pool

    def __init__(self, move: Transition, counters: Counter[str]) -> None:
        self._move = move
        self._counters = counters
        # The attempts that are queued or written, and not ended.
        self.locations: dict[AttemptId, tuple[Connection, Message]] = {}

    def forget(self, attempt: AttemptId, state: AttemptState) -> None:
        """Forget an attempt in its last state; its end is the caller's to report."""
        found = self.locations.pop(attempt, None)
        if found is not None:
            self._move(found[1], state)

    def report_answer(self, connection: Connection, answer: wire.Answer) -> None:
        """Report an answer to the core; one whose tag is not known here is only counted."""
        attempt = connection.open.pop(answer.call, None)
        control = connection.control_tags.pop(answer.call, None)
        if attempt is not None:
            self.forget(attempt, AttemptState.ANSWERED)
            if answer.result in NEVER_RAN:
                connection.rejected_tags.append(answer.call)
            self.core.attempt_ended(attempt, answer.result, answer.body, answer.queued_ahead, answer.report)
        elif control is None:
            self._counters["runners.late"] += 1
        elif control.is_health_check:
            self.core.health_check_ended(control.number, answer.result, answer.report)
        else:
            self.core.load_ended(control.number, answer.result, answer.copies)

    def end_lost(self, attempt: AttemptId, result: Result) -> None:
        """Report an attempt whose connection has ended, and which may have run."""
        self.forget(attempt, AttemptState.CONNECTION_LOST)
        self.core.attempt_ended(attempt, result)

    def end_unsent(self, message: Message, result: Result) -> None:
        """Report a line that never was whole at its runner."""
        self._move(message, AttemptState.UNSENT)
        if message.attempt is not None:
            self.locations.pop(message.attempt, None)
            self.core.attempt_ended(message.attempt, result)
        elif message.is_health_check:
            self.core.health_check_ended(message.control_number, result)
        elif message.control_number:
            full = result is Result.SUPERSEDED
            self.core.load_ended(message.control_number, Result.FULL if full else result)

    def end_control(self, number: int, is_health_check: bool, result: Result) -> None:
        """Report a health check or a load request that has no answer."""
        ended = self.core.health_check_ended if is_health_check else self.core.load_ended
        ended(number, result)
