"""The actions that a dispatcher returns for an event; all times are whole microseconds.

Dataclasses that are created for each call are not frozen: that would double the time to create one.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Send the call's next attempt; attempts are numbered from 0 in the order of their sending."""

    call: int
    worker: str
    timeout_us: int
    epoch: int = 0  # of the policy that applies to the call
    until_us: int = 0  # do not write the attempt from then on, as workers forget its key; 0 for no limit


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
    """Give the dispatcher a `TimerFired` event with this token at the given time of its clock."""

    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    """Check the health of a worker."""

    worker: str


@dataclass(slots=True, frozen=True)
class RequestLoad:
    """Ask the worker to hold at least `copies` copies of the function; 0 only asks how many it has."""

    worker: str
    function: str
    copies: int


@dataclass(slots=True, frozen=True)
class RequestUnload:
    """Ask the worker to unload its copies of the function."""

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
    """Subscribe to changes of the worker list."""


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the complete worker list once."""


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
