"""The events that a dispatcher handles; all times are whole microseconds, memory is in megabytes.

Records that are made for each call are not frozen: freezing would double the time of making one.
"""

from dataclasses import dataclass

from maplestile.dispatch.results import Result, Warmth
from maplestile.dispatch.settings import Settings
from maplestile.dispatch.workers import WorkerListReceived


@dataclass(slots=True)
class CallArrived:
    """A client's call has arrived."""

    call: int  # its number at this dispatcher
    function: str
    class_name: str
    budget_us: int  # the time that the client still gives it
    memory_mb: float  # of one copy of the function; 0 if not known
    lanes: int  # calls that one copy runs at a time
    cost_us: int  # the client's estimate of the work; 0 if it gave none
    tenant: str = ""
    repeat: bool = False  # the client says that it has sent the call before


@dataclass(slots=True, frozen=True)
class CallExpired:
    """The budget of a call is over."""

    call: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has closed its connection: no new attempt begins; those in flight may still end."""

    call: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer to an attempt has begun to reach the client: the call can no longer be retried."""

    call: int
    attempt: int
    worker: str
    elapsed_us: int  # since the attempt was sent


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended, with or without an answer."""

    call: int
    attempt: int
    worker: str
    result: Result
    elapsed_us: int  # since the attempt was sent
    call_ended: bool  # the client has got this answer, and the call is complete
    warmth: Warmth
    queued_ahead: int  # requests for the same function that the runner held when this one arrived
    report: tuple[tuple[str, float], ...]  # the worker's load report, as names and values


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check has ended."""

    worker: str
    result: Result
    elapsed_us: int  # since it was sent
    report: tuple[tuple[str, float], ...]  # the worker's load report, as names and values


@dataclass(slots=True, frozen=True)
class LoadRequestEnded:
    """A load request has ended."""

    worker: str
    function: str
    result: Result
    elapsed_us: int  # since it was sent
    copies: int  # that the worker has now


@dataclass(slots=True, frozen=True)
class PolicyChanged:
    """New calls are decided under these settings; open calls keep those that they arrived under."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message of another dispatcher."""

    peer: int
    content: bytes


@dataclass(slots=True)
class TimerFired:
    """A timer that the dispatcher set is due."""

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
