"""Defines the events that a dispatcher handles; all times are whole microseconds, memory is in megabytes.

Dataclasses that are created for each call are not frozen: that would double the time to create one.
"""

from dataclasses import dataclass

from maplestile.dispatch.results import Result, Warmth
from maplestile.dispatch.settings import Settings
from maplestile.dispatch.workers import WorkerListReceived


@dataclass(slots=True)
class CallArrived:
    """A client's call has arrived."""

    call: int  # number of the call at this dispatcher
    function: str
    class_name: str
    budget_us: int  # time that the client still allows for the call
    memory_mb: float  # memory of one copy of the function; 0 if not known
    lanes: int  # calls that one copy can run at the same time
    cost_us: int  # the client's estimate of the service time; 0 without an estimate
    tenant: str = ""
    repeat: bool = False  # whether the client says that it has sent the call before


@dataclass(slots=True, frozen=True)
class CallExpired:
    """The time budget of a call has run out."""

    call: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has closed its connection: no new attempt begins, but those in flight may still end."""

    call: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer to an attempt has begun to reach the client: the call can no longer be retried."""

    call: int
    attempt: int
    worker: str
    elapsed_us: int  # time since the attempt was sent


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended, with or without an answer."""

    call: int
    attempt: int
    worker: str
    result: Result
    elapsed_us: int  # time since the attempt was sent
    call_ended: bool  # whether the client has received this answer, which completes the call
    warmth: Warmth
    queued_ahead: int  # requests for the same function already at the worker when this one arrived
    report: tuple[tuple[str, float], ...]  # the worker's load report, as names and values


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check has ended."""

    worker: str
    result: Result
    elapsed_us: int  # time since the health check was sent
    report: tuple[tuple[str, float], ...]  # the worker's load report, as names and values


@dataclass(slots=True, frozen=True)
class LoadRequestEnded:
    """A load request has ended."""

    worker: str
    function: str
    result: Result
    elapsed_us: int  # time since the load request was sent
    copies: int  # number of copies that the worker has now


@dataclass(slots=True, frozen=True)
class PolicyChanged:
    """A new policy's settings apply to new calls; pending calls keep the settings they arrived under."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another dispatcher."""

    peer: int
    content: bytes


@dataclass(slots=True)
class TimerFired:
    """A timer that the dispatcher has set is due."""

    token: int


Event = (
    WorkerListReceived
    | CallArrived
    | CallExpired
    | ClientDisconnected
    | StreamStarted
    | AttemptEnded
    | HealthCheckEnded
    | LoadRequestEnded
    | PeerMessage
    | PolicyChanged
    | TimerFired
)
