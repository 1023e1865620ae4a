"""The types that `maplestile.decide` takes and returns; all times are whole microseconds, sizes megabytes.

The records made for each call are not frozen: that would double the time of making one."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What repeating a call of a class does."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which workers drop the repeats of a keyed call."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    RUNNING = "running"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Result(Enum):
    """How an attempt, a probe or an order ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    SUPERSEDED = "moot"
    MISS = "miss"


NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.SUPERSEDED, Result.MISS)  # the wire's proofs
ANSWERS = (Result.OK, Result.ERROR, Result.FULL, Result.MISS, Result.SUPERSEDED)  # a worker's own word


class Warmth(Enum):
    """What an outcome tells of the copy that the attempt met."""

    UNKNOWN = 0
    WARM = 1
    STARTED_LOAD = 2
    WAITED_FOR_LOAD = 3
    LOAD_FAILED = 4


@dataclass(slots=True, frozen=True)
class CallClass:
    name: str
    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int
    late_priority_weight: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a dispatcher is told at its start; 0 or empty stands for what is not told."""

    classes: tuple[CallClass, ...]
    router_count: int
    zone: str
    tick_us: int
    must_poll_list: bool
    may_request_loads: bool
    loads_on_miss: bool
    keep_alive_us: int
    kind_memory_mb: tuple[tuple[str, float], ...]
    load_timeout_us: int
    load_request_window_us: int
    load_requests_free: float
    load_requests_per_call: float
    max_attempts: int
    may_cancel: bool
    may_hedge: bool
    may_probe: bool
    answer_slack_us: int
    drain_grace_us: int
    slow_start_share: float
    slow_start_us: int
    overload_multiple: float
    overload_window_us: int
    # What only the network side needs.
    streams_per_connection: int = 32
    idle_close_us: int = 0
    connect_timeout_us: int = 0
    max_open: int = 0
    tenants: tuple[str, ...] = ()
    epoch: int = 0  # of the policy that these come from, where a fleet agrees on one


@dataclass(slots=True, frozen=True)
class WorkerEntry:
    worker: str
    zone: str
    kind: str
    cell: int
    state: WorkerState
    weight: float
    started_us: int


@dataclass(slots=True, frozen=True)
class WorkerListReceived:
    kind: ListKind
    version: int
    entries: tuple[WorkerEntry, ...]


@dataclass(slots=True)
class CallArrived:
    call: int
    function: str
    class_name: str
    budget_us: int
    memory_mb: float
    lanes: int
    cost_us: int
    tenant: str = ""
    repeat: bool = False


@dataclass(slots=True, frozen=True)
class CallExpired:
    call: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """Its client has closed the connection: nothing more begins for the call; what is out may still end."""

    call: int


@dataclass(slots=True, frozen=True)
class StreamStarted:
    call: int
    attempt: int
    worker: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    call: int
    attempt: int
    worker: str
    result: Result
    elapsed_us: int
    call_ended: bool
    warmth: Warmth
    queued_ahead: int
    report: tuple[tuple[str, float], ...]


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    worker: str
    result: Result
    elapsed_us: int
    report: tuple[tuple[str, float], ...]


@dataclass(slots=True, frozen=True)
class LoadRequestEnded:
    worker: str
    function: str
    result: Result
    elapsed_us: int
    copies: int


@dataclass(slots=True, frozen=True)
class PolicyChanged:
    """Calls that come from now on are decided by these settings; those in hand keep theirs."""

    settings: Settings


@dataclass(slots=True, frozen=True)
class PeerMessage:
    peer: int
    content: bytes


@dataclass(slots=True)
class TimerFired:
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


@dataclass(slots=True)
class SendAttempt:
    """Begin the call's next attempt; attempts are numbered from 0 in the order of their sends."""

    call: int
    worker: str
    timeout_us: int
    epoch: int = 0  # of the policy that the call is decided under
    until_us: int = 0  # not to be written from then on, if over 0: workers forget the call's key


@dataclass(slots=True, frozen=True)
class RejectCall:
    call: int
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class FailCall:
    call: int


@dataclass(slots=True)
class CancelAttempt:
    call: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    worker: str


@dataclass(slots=True, frozen=True)
class RequestLoad:
    """Have at least `copies` of the function held at the worker; 0 only asks how many stand."""

    worker: str
    function: str
    copies: int


@dataclass(slots=True, frozen=True)
class RequestUnload:
    worker: str
    function: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    peer: int
    content: bytes


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    worker: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Ask for the worker list's changes from now on."""


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Ask for the whole worker list once."""


@dataclass(slots=True, frozen=True)
class WriteLog:
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
