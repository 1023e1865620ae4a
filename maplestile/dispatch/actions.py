"""The actions that a dispatcher answers an event with; all times are whole microseconds.

Records that are made for each call are not frozen: freezing would double the time of making one.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Send the call's next attempt; attempts are numbered from 0 in the order of their sends."""

    call: int
    worker: str
    timeout_us: int
    epoch: int = 0  # of the policy that the call is decided under
    until_us: int = 0  # if over 0, not to be written from then on: workers forget the idempotency key


@dataclass(slots=True, frozen=True)
class RejectCall:
    """Reject a call: the client may safely send it again."""

    call: int
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class FailCall:
    """Answer a call with an error."""

    call: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    call: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` with this token at a time of the dispatcher's clock."""

    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    """Check the health of a worker."""

    worker: str


@dataclass(slots=True, frozen=True)
class RequestLoad:
    """Have the worker hold at least `copies` of the function; 0 only asks for their number."""

    worker: str
    function: str
    copies: int


@dataclass(slots=True, frozen=True)
class RequestUnload:
    """Have the worker drop its copies of the function."""

    worker: str
    function: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to another dispatcher."""

    peer: int
    content: bytes


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to a worker."""

    worker: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Have the changes of the worker list sent from now on."""


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the whole worker list once."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | RejectCall
    | FailCall
    | CancelAttempt
    | SetTimer
    | SendHealthCheck
    | RequestLoad
    | RequestUnload
    | SendToPeer
    | CloseIdleConnections
    | WatchEndpoints
    | FetchEndpoints
    | WriteLog
)
