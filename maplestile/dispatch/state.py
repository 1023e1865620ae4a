"""Defines the records that a dispatcher keeps; they hold observations and make no decisions.

Times are in microseconds on the clock of the events; 0 means never unless a field's comment says otherwise.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from maplestile.dispatch.api import NEVER_RAN, CallClass, Idempotency, Result, Settings, WorkerEntry
from maplestile.dispatch.ranking import Ranking

# The tiers of functions, in the order of promotion.
UNLISTED = -1
SINGLE = 0
MULTIPLE = 1
CACHING = 2


class Window:
    """A sliding window over the amounts added within the last `span_us` microseconds.

    An amount that was added exactly `span_us` ago no longer counts.
    """

    __slots__ = ("amounts", "span_us", "sum")

    def __init__(self, span_us: int) -> None:
        self.span_us = span_us
        self.sum = 0.0
        self.amounts: deque[tuple[int, float]] = deque()

    def add(self, now_us: int, amount: float = 1) -> None:
        """Add an amount at the current time."""
        self.total(now_us)
        self.amounts.append((now_us, amount))
        self.sum += amount

    def total(self, now_us: int) -> float:
        """Return the sum of the amounts in the window that ends now; drop older amounts."""
        while self.amounts and self.amounts[0][0] <= now_us - self.span_us:
            self.sum -= self.amounts.popleft()[1]
        return self.sum if self.amounts else 0.0  # the sum of an empty window may contain rounding errors


@dataclass(slots=True, eq=False)
class Copy:
    """What is known about one function's copies at one worker, and this dispatcher's calls to them."""

    count: int = 0  # copies last known to be loaded
    busy: int = 0  # this dispatcher's attempts in flight
    last_used_us: int = 0  # time of the last known use or renewal
    load_started_us: int = 0  # 0 if no load is in progress
    load_requested: bool = False  # whether the load was started by a load request and not by a call
    missing_since_us: int = 0  # when the worker last answered that it has no copy; 0 if it has one again
    replica_since_us: int = 0  # when a change of the worker list made the worker a replica; 0 if none did


@dataclass(slots=True, eq=False)
class Worker:
    """One process of a worker, with the symptoms of faults that it has shown.

    Symptoms are recorded per group of calls, since a fault may affect a single group. The group "" stands for
    all calls.
    """

    entry: WorkerEntry  # its current entry in the worker list
    sends: Window  # what was sent there, in calls of mean work
    salt: int  # hash of the worker's name, for the rankings
    busy: int = 0  # this dispatcher's attempts in flight
    last_reset_us: int = 0  # when a broken connection was last counted against the worker
    memory_exhausted_until_us: int = 0  # until then the worker gets no calls that need a load
    latency_log_ratio: float = 0.0  # running mean of log(answer time / expected time)
    copies: dict[str, Copy] = field(default_factory=dict)  # by function name
    # By group of calls:
    failure_scores: dict[str, tuple[float, int]] = field(default_factory=dict)  # score, time of its update
    last_answer_us: dict[str, int] = field(default_factory=dict)  # time of the last successful answer
    backoff_until_us: dict[str, int] = field(default_factory=dict)
    backoff_doublings: dict[str, int] = field(default_factory=dict)  # since the last successful answer

    def slow_start_progress(self, now_us: int, slow_start_us: int) -> float:
        """Return the fraction of the slow start that has passed; 1 or more after it."""
        if not self.entry.started_us:
            return 1.0
        return max(0, now_us - self.entry.started_us) / max(1, slow_start_us)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call at a worker."""

    number: int  # counted from 0 in each call
    worker: Worker
    sent_us: int
    needs_load: bool  # whether no warm copy was known at the worker when the attempt was sent
    result: Result | None = None  # None while the attempt is in flight
    overdue_timer: int = 0  # token of the timer that finds it overdue; 0 if there is none


@dataclass(slots=True, eq=False)
class Zone:
    """One zone: its workers' last answer, and the workers that have fallen silent since."""

    name: str
    last_answer_us: int = 0
    lost: bool = False  # whether the zone counts as lost, so that calls avoid its workers
    next_probe_us: int = 0  # when the next health check is due, while the zone is lost
    silent_workers: set[str] = field(default_factory=set)  # names of workers silent since the last answer


@dataclass(slots=True, eq=False)
class FunctionEntry:
    """One function: its tier, call gap, estimates, home, preferred workers and waiting calls."""

    function: str  # the function's name
    salt: int  # hash of the name, for the ranking of workers
    service_us: float  # running mean of the service time
    load_us: float  # running mean of the time to load a copy
    tier: int = UNLISTED
    home: str = ""  # name of the worker that served the function last and is tried first; "" for none
    gap_us: int = 0  # between the last two calls
    last_call_us: int = 0
    decayed_work: float = 0.0  # exponentially decayed service time of this dispatcher's calls (microseconds)
    busy: int = 0  # this dispatcher's attempts in flight
    insertion_number: int = 0  # of the last insertion into a tier
    replica_count: int = 1
    next_retry_us: int = 0  # when the waiting calls are tried again
    memory_mb: float = 0.0  # memory of one copy; 0 if not known
    lanes: int = 1  # calls that one copy can run at the same time
    load_started_us: int = 0  # start of the last load at any worker; 0 after it has ended
    ever_served: bool = False  # whether any call of the function has succeeded
    errors_before_success: int = 0  # errors while no call has succeeded
    waiting: dict[int, "Call"] = field(default_factory=dict)  # waiting calls by number, the next one first
    preferred: Ranking[Worker] = field(init=False)
    workers_with_copies: list[Worker] = field(default_factory=list)  # may include workers no longer listed

    def __post_init__(self) -> None:
        self.preferred = Ranking(self.salt)

    @property
    def ranking(self) -> list[Worker]:
        """The most preferred workers, best first, as of the last refresh."""
        return self.preferred.workers

    def forget_unlisted_workers(self, workers: Mapping[str, Worker]) -> None:
        """Drop the references to workers that are no longer listed."""
        self.workers_with_copies = [
            worker for worker in self.workers_with_copies if workers.get(worker.entry.worker) is worker
        ]

    def drop_copies(self) -> list[Copy]:
        """Remove and return the function's copy records at all workers."""
        dropped = [
            worker.copies.pop(self.function)
            for worker in self.workers_with_copies
            if self.function in worker.copies
        ]
        self.workers_with_copies = []
        return dropped

    def is_listed(self) -> bool:
        """Return whether the function is in one of the tiers."""
        return self.tier != UNLISTED

    def age_key(self) -> int:
        """Return a key that orders functions by their aged gap.

        The aged gap of the paper is `(gap + now - last call) / 2`. Since `now` is the same for all functions,
        `gap - last call` gives the same order.
        """
        return self.gap_us - self.last_call_us

    def copy(self, worker: Worker) -> Copy:
        """Return the record of the function's copies at a worker, created on first use."""
        copy = worker.copies.get(self.function)
        if copy is None:
            copy = worker.copies[self.function] = Copy()
            self.workers_with_copies.append(worker)
        return copy


@dataclass(slots=True, eq=False)
class Call:
    """One pending call."""

    id: int
    entry: FunctionEntry  # the called function
    call_class: CallClass
    group: str  # class and tenant: some faults affect a single group of calls
    arrived_us: int
    due_us: int  # when the final answer goes out at the latest
    settings: Settings  # of the policy at the call's arrival; later policies do not change them
    hinted_us: int = 0  # service time hinted by the client; 0 without a hint
    attempts: list[Attempt] = field(default_factory=list)  # in the order of their sending
    open: bool = True  # whether the final answer is still to be given
    streaming: bool = False  # whether an answer has begun to reach the client
    client_disconnected: bool = False
    deadline_timer: int = 0  # token of the timer of its deadline

    def accepts_attempts(self, now_us: int) -> bool:
        """Return whether a new attempt may begin.

        It may while no answer is streaming, the client is still connected, and the deadline has not passed.
        """
        return not (self.streaming or self.client_disconnected or now_us >= self.due_us)

    def possibly_run_attempts(self) -> list[Attempt]:
        """Return the attempts that may have run, including those in flight, in the order of their sending."""
        return [attempt for attempt in self.attempts if attempt.result not in NEVER_RAN]

    def dedup_until_us(self) -> int:
        """Return until when workers are certain to drop repeats of the call.

        The deduplication window starts with the first attempt that may have run. The result is 0 if no
        attempt may have run, or if the class of the call uses no idempotency keys.
        """
        possibly_run = (
            self.possibly_run_attempts() if self.call_class.idempotency is Idempotency.WITH_KEY else []
        )
        return possibly_run[0].sent_us + self.call_class.deduplication_window_us if possibly_run else 0

    def attempts_in_flight(self) -> list[Attempt]:
        """Return the attempts in flight."""
        return [attempt for attempt in self.attempts if attempt.result is None]


class CallTable:
    """The pending calls, and the attempts in flight."""

    def __init__(self) -> None:
        self.calls: dict[int, Call] = {}  # by call number
        self.attempts: dict[tuple[int, int], tuple[Call, Attempt]] = {}  # by call number and attempt number
