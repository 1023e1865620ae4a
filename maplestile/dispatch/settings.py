"""Defines the settings of a dispatcher; all times are whole microseconds, memory is in megabytes."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a call may be repeated after an attempt that may have run."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The set of workers among which repeats of a call with an idempotency key are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class CallClass:
    """A class of calls, with its latency objective and the rules for repeating its calls."""

    name: str
    latency_objective_us: int  # answers later than this count as late
    deadline_us: int  # time from the arrival of a call to its deadline
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int  # how long workers drop repeats, from the first attempt that may have run
    late_priority_weight: float = 0.0  # value of a late answer, where an answer in time has the value 1


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a dispatcher, from its start or from a change of policy; 0 or empty if not given."""

    classes: tuple[CallClass, ...]
    router_count: int  # number of dispatchers that share the workers
    zone: str  # the dispatcher's own zone
    tick_us: int  # granularity of timers
    must_poll_list: bool  # whether the worker list must be polled, since its changes are not sent
    may_request_loads: bool  # whether load and unload requests are allowed
    loads_on_miss: bool  # whether a worker without a copy loads one for a call instead of answering "miss"
    keep_alive_us: int  # minimum time for which a worker keeps an idle copy, unless it needs the memory
    kind_memory_mb: tuple[tuple[str, float], ...]  # memory of a worker, by its kind
    load_timeout_us: int  # timeout for the answer to a load request
    load_request_window_us: int  # window in which load requests are counted; 0 if they are not limited
    load_requests_free: float  # load requests that may be sent in any window
    load_requests_per_call: float  # additional load requests for each call that arrived in the window
    max_attempts: int  # maximum number of attempts of one call
    may_cancel: bool  # whether attempts may be cancelled
    may_hedge: bool  # whether two attempts of a call may be in flight at the same time
    may_probe: bool  # whether health checks are allowed
    answer_slack_us: int  # how long after a call's deadline its answer still counts
    drain_grace_us: int  # time from the notification of a worker's drain until no call may begin there
    slow_start_share: float  # fraction of its capacity that a worker has right after its start
    slow_start_us: int  # time after its start until a worker has its full capacity
    overload_multiple: float  # a starting worker is overloaded above this multiple of its current capacity
    overload_window_us: int  # time after which such an overload crashes a starting worker
    # Used only by the network side.
    streams_per_connection: int = 32  # maximum number of requests in flight on one connection
    idle_close_us: int = 0  # idle time after which a worker closes a connection
    connect_timeout_us: int = 0
    max_open: int = 0  # maximum number of open requests of one router; 0 for the default limit
    tenants: tuple[str, ...] = ()
    epoch: int = 0  # of the policy that these settings belong to, if the routers agree on one
