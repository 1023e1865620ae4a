"""The core's records (pending requests, attempts in flight, control requests) and its pool interface."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from maplestile.dispatch.api import Result
from maplestile.requests.states import CallState
from maplestile.requests.timers import Timer
from maplestile.wire.messages import Outcome, Request

AttemptId = tuple[int, int]  # number of the request, and number of the attempt within it, from 0


class Presence(Enum):
    """Whether the client of an open request still waits for the answer, as far as is known."""

    WAITING = "waiting"
    UNREAD = "unread"  # unread bytes on its connection may cancel the request
    GONE = "gone"  # it has closed its connection or given up the request


def always_waiting() -> Presence:
    """Return WAITING, for callers whose requests have no client connection to check."""
    return Presence.WAITING


class Pool(Protocol):
    """The operations that the core needs from the pool of connections to workers.

    Results are reported through the core's methods `attempt_ended`, `load_ended` and `health_check_ended`. A
    tag is the number that the core has assigned to a control request.
    """

    def send(self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int) -> None:
        """Queue an attempt to be written. If it is not written before `until_us`, it ends as SUPERSEDED.

        `until_us` is 0 if there is no such limit. The attempt times out after `wait_us` microseconds.
        """
        ...

    def cancel(self, attempt: AttemptId) -> None:
        """Drop an attempt, and cancel it at its worker if it may have started there."""
        ...

    def drop_unwritten(self, attempt: AttemptId) -> bool:
        """Drop an attempt of which no byte has been written; return whether it was dropped.

        One that is partly or completely written goes on, but is not resent over another connection.
        """
        ...

    def load(self, tag: int, worker: str, function: str, copies: int) -> None:
        """Send a load request for at least `copies` copies of a function."""
        ...

    def unload(self, worker: str, function: str) -> None:
        """Send an unload request for a function; it has no answer, and no result is reported."""
        ...

    def check_health(self, tag: int, worker: str) -> None:
        """Send a health check to a worker."""
        ...

    def forget_control_request(self, tag: int) -> None:
        """Drop a control request: its result is no longer reported."""
        ...

    def close_idle(self, worker: str) -> None:
        """Close the connections to a worker that carry no request."""
        ...


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final answer yet."""

    request: Request
    due_us: int  # when it must be answered: its deadline, or the exit of the process if that is sooner
    answer: Callable[[Outcome], None]
    presence: Callable[[], Presence]
    accepted_us: int = 0  # when it was accepted
    state: CallState = CallState.PENDING
    attempts: int = 0  # made so far
    first_attempt_us: int = 0  # when the first one was sent; 0 before that
    last_result: Result | None = None  # how the attempt that ended last did; None if none has ended
    may_have_run: bool = False  # an attempt may have run
    epoch: int = 0  # of the policy that it was accepted under
    deadline_timer: Timer | None = None


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt whose result has not been reported."""

    worker: str
    sent_us: int
    timeout_timer: Timer | None = None


@dataclass(slots=True)
class ControlRequest:
    """A load request or a health check whose result has not been reported."""

    worker: str
    function: str  # empty for a health check
    sent_us: int
    timeout_timer: Timer | None = None
