"""The settings that a dispatcher decides by; all times are whole microseconds, memory is in megabytes."""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a call of a class may be repeated after an attempt that may have run."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Among which workers the repeats of a call with an idempotency key are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class CallClass:
    """A class of calls, with its objectives and the rules for its repeats."""

    name: str
    latency_objective_us: int  # answers later than this count as late
    deadline_us: int  # from the arrival of a call
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int  # how long repeats of a key are dropped, from its first attempt that may run
    late_priority_weight: float = 0.0  # of an answer after the objective, where one in time has the weight 1


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a dispatcher from its start, or from a change of policy; 0 or empty if not given."""

    classes: tuple[CallClass, ...]
    router_count: int  # dispatchers that share the workers
    zone: str  # of this dispatcher
    tick_us: int  # the granularity of timers
    must_poll_list: bool  # the worker list is fetched, since no changes are sent
    may_request_loads: bool  # load and unload requests are allowed
    loads_on_miss: bool  # a worker without a copy loads one when a call comes, in place of a miss answer
    keep_alive_us: int  # a worker keeps an idle copy at least so long, unless it needs the memory
    kind_memory_mb: tuple[tuple[str, float], ...]  # memory of a worker, by its kind
    load_timeout_us: int  # for the answer to a load request
    load_request_window_us: int  # over which load requests are counted; 0 if they are not limited
    load_requests_free: float  # the load requests that may be sent in any window
    load_requests_per_call: float  # and how many more for each call that arrived in it
    max_attempts: int  # of one call
    may_cancel: bool  # attempts may be cancelled
    may_hedge: bool  # two attempts of a call may be in flight together
    may_probe: bool  # health checks are allowed
    answer_slack_us: int  # how far past a call's deadline its answer still counts
    drain_grace_us: int  # from the notification of a worker's drain until no new call may begin there
    slow_start_share: float  # part of its capacity that a started worker has at first
    slow_start_us: int  # after which a started worker has its whole capacity
    overload_multiple: float  # more than this multiple of its present capacity overloads a starting worker
    overload_window_us: int  # which crashes of such an overload after this time
    # Used by the network side alone.
    streams_per_connection: int = 32
    idle_close_us: int = 0  # idle time after which a worker closes a connection
    connect_timeout_us: int = 0
    max_open: int = 0  # open requests of one router
    tenants: tuple[str, ...] = ()
    epoch: int = 0  # of the policy that these settings belong to, where the routers agree on one
