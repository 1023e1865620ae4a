"""The types that `maplestile.decide` takes and returns; all times are whole microseconds, sizes megabytes.

The records made for each call are not frozen: that would double the time of making one."""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What repeating a call of a class does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
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
    MOOT = "moot"
    MISS = "miss"


NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT, Result.MISS)  # the wire's proofs
ANSWERS = (Result.OK, Result.ERROR, Result.FULL, Result.MISS, Result.MOOT)  # a worker's own word


class Warmth(Enum):
    """What an outcome tells of the copy that the attempt met."""

    UNTOLD = 0
    STOOD = 1
    BEGAN_LOAD = 2
    AWAITED_LOAD = 3
    LOAD_FAILED = 4


@dataclass(slots=True, frozen=True)
class CallClass:
    name: str
    aim_us: int
    deadline_us: int
    effect: Effect
    scope: Scope
    window_us: int
    late_worth: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a dispatcher is told at its start; 0 or empty stands for what is not told."""

    classes: tuple[CallClass, ...]
    dispatchers: int
    zone: str
    tick_us: int
    must_ask_for_list: bool
    may_order: bool
    loads_on_miss: bool
    keep_us: int
    kind_memory_mb: tuple[tuple[str, float], ...]
    order_timeout_us: int
    order_window_us: int
    orders_free: float
    orders_per_call: float
    max_attempts: int
    may_cancel: bool
    may_duplicate: bool
    may_probe: bool
    answer_slack_us: int
    drain_grace_us: int
    cold_share: float
    cold_us: int
    fall_multiple: float
    fall_us: int
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
class WorkerList:
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
class ClientGone:
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
    alike: int
    report: tuple[tuple[str, float], ...]


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    worker: str
    result: Result
    elapsed_us: int
    report: tuple[tuple[str, float], ...]


@dataclass(slots=True, frozen=True)
class OrderEnded:
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
class TimerDue:
    token: int


Event = (
    WorkerList
    | CallArrived
    | CallExpired
    | ClientGone
    | StreamStarted
    | AttemptEnded
    | ProbeEnded
    | OrderEnded
    | PeerMessage
    | PolicyChanged
    | TimerDue
)


@dataclass(slots=True)
class Send:
    """Begin the call's next attempt; attempts are numbered from 0 in the order of their sends."""

    call: int
    worker: str
    timeout_us: int
    epoch: int = 0  # of the policy that the call is decided under
    until_us: int = 0  # not to be written from then on, if over 0: workers forget the call's key


@dataclass(slots=True, frozen=True)
class Refuse:
    call: int
    retry_after_us: int


@dataclass(slots=True, frozen=True)
class Fail:
    call: int


@dataclass(slots=True)
class Cancel:
    call: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class Probe:
    worker: str


@dataclass(slots=True, frozen=True)
class Order:
    """Have at least `copies` of the function held at the worker; 0 only asks how many stand."""

    worker: str
    function: str
    copies: int


@dataclass(slots=True, frozen=True)
class Unload:
    worker: str
    function: str


@dataclass(slots=True, frozen=True)
class Tell:
    peer: int
    content: bytes


@dataclass(slots=True, frozen=True)
class CloseIdle:
    worker: str


@dataclass(slots=True, frozen=True)
class WatchList:
    """Ask for the worker list's changes from now on."""


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the whole worker list once."""


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Probe
    | Order
    | Unload
    | Tell
    | CloseIdle
    | WatchList
    | FetchList
    | Log
)
