"""The core's records (pending requests, attempts in flight, control requests) and what it needs of a pool."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from maplestile.requests.states import CallState
from maplestile.wire.messages import Outcome, Request

AttemptId = tuple[int, int]  # the number of a request, and the number of its attempt, from 0


class Presence(Enum):
    """What is known, just now, of a client that has an open request."""

    WAITING = "waiting"
    UNREAD = "unread"  # its connection holds bytes that are not read yet: one may cancel the request
    GONE = "gone"  # it has closed its connection


def always_waiting() -> Presence:
    """Answer for callers without a connection of their own."""
    return Presence.WAITING


class Pool(Protocol):
    """What the core needs of the workers' side.

    Ends come back through the core's methods `attempt_ended`, `load_ended` and `health_check_ended`. A tag is
    the number that the core has given a control request.
    """

    def send(self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int) -> None:
        """Write the attempt soon, but not from `until_us` on (if over 0): then it ends as SUPERSEDED.

        The client waits for `wait_us` microseconds more.
        """
        ...

    def cancel(self, attempt: AttemptId) -> None:
        """Forget the attempt, and notify its worker if it may have started there."""
        ...

    def withhold(self, attempt: AttemptId) -> bool:
        """Keep the attempt from starting: true if not a byte of it was out, and it is forgotten.

        One that has started goes on, but by no other connection.
        """
        ...

    def load(self, tag: int, worker: str, function: str, copies: int) -> None:
        """Have the worker load that many copies of the function."""
        ...

    def unload(self, worker: str, function: str) -> None:
        """Have the worker drop its copies of the function; no end is reported."""
        ...

    def check_health(self, tag: int, worker: str) -> None:
        """Send a health check."""
        ...

    def forget_control_request(self, tag: int) -> None:
        """Report no end of that control request any more."""
        ...

    def close_idle(self, worker: str) -> None:
        """Close the connections to the worker that carry nothing."""
        ...


@dataclass(slots=True)
class PendingRequest:
    """A request without its final answer."""

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
    """An attempt whose end has not been reported."""

    worker: str
    sent_us: int


@dataclass(slots=True)
class ControlRequest:
    """A load request or a health check whose end has not been reported."""

    worker: str
    function: str
    sent_us: int
