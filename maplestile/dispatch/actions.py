"""Defines the actions that a dispatcher returns for an event; all times are whole microseconds.

Dataclasses that are created for each call are not frozen: that would double the time to create one.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """An action that sends the call's next attempt; attempts are numbered from 0 in order of sending."""

    call: int
    worker: str
    timeout_us: int
    epoch: int = 0  # of the policy that applies to the call
    until_us: int = 0  # do not write the attempt from then on, as workers forget its key; 0 for no limit


@dataclass(slots=True, frozen=True)
class RejectCall:
    """An action that rejects a call; the client may safely send it again."""

    call: int
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class FailCall:
    """An action that answers a call with an error."""

    call: int


@dataclass(slots=True)
class CancelAttempt:
    """An action that cancels an attempt in flight."""

    call: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """An action that gives the dispatcher a `TimerFired` event with this token at the given time."""

    due_us: int  # on the clock of the events
    token: int


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    """An action that checks the health of a worker."""

    worker: str


@dataclass(slots=True, frozen=True)
class RequestLoad:
    """An action that asks a worker to hold at least `copies` copies; 0 only asks how many it has."""

    worker: str
    function: str
    copies: int


@dataclass(slots=True, frozen=True)
class RequestUnload:
    """An action that asks a worker to unload its copies of a function."""

    worker: str
    function: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """An action that sends a message to another dispatcher."""

    peer: int
    content: bytes


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """An action that closes the idle connections to a worker."""

    worker: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """An action that subscribes to changes of the worker list."""


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """An action that fetches the complete worker list once."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """An action that writes a line to the log."""

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
