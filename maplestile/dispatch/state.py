"""The plain records that a dispatcher keeps; they hold what was observed and decide nothing.

Times are in microseconds on the clock of the events; 0 stands for never, unless a field says otherwise.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from maplestile.dispatch.api import NEVER_RAN, CallClass, Idempotency, Result, Settings, WorkerEntry
from maplestile.dispatch.ranking import Ranking

# The tier of a function, in the order of promotion.
UNLISTED = -1
SINGLE = 0
MULTIPLE = 1
CACHING = 2


class Window:
    """A sliding window: the amounts added within the last `span_us`, and their total.

    An amount that was added exactly `span_us` ago no longer counts.
    """

    __slots__ = ("amounts", "span_us", "sum")

    def __init__(self, span_us: int) -> None:
        self.span_us = span_us
        self.sum = 0.0
        self.amounts: deque[tuple[int, float]] = deque()

    def add(self, now_us: int, amount: float = 1) -> None:
        """Add an amount as of now."""
        self.total(now_us)
        self.amounts.append((now_us, amount))
        self.sum += amount

    def total(self, now_us: int) -> float:
        """The sum of what was added in the window that ends now; older amounts are dropped."""
        while self.amounts and self.amounts[0][0] <= now_us - self.span_us:
            self.sum -= self.amounts.popleft()[1]
        return self.sum if self.amounts else 0.0  # exact once empty: the sum keeps rounding errors


@dataclass(slots=True, eq=False)
class Copy:
    """What is known of one function's copies at one worker, and this dispatcher's own calls there."""

    count: int = 0  # copies last known to be loaded
    busy: int = 0  # own calls in flight
    last_used_us: int = 0
    load_started_us: int = 0  # 0 where no load is under way
    load_requested: bool = False  # that load was requested, and not brought about by a call
    missing_since_us: int = 0  # when the worker last answered that it has no copy; 0 once it has one again
    replica_since_us: int = 0  # when a change of the list made the worker a replica; 0 if none did


@dataclass(slots=True, eq=False)
class Worker:
    """One process of a worker, with the symptoms of faults that it has shown.

    Symptoms are recorded by the group of calls that met them, since a fault may hit one group alone. The
    group "" stands for all calls.
    """

    entry: WorkerEntry
    sends: Window  # service time sent there, in microseconds
    salt: int  # hash of its name, by which functions rank it
    busy: int = 0  # own calls in flight
    last_reset_us: int = 0  # when a broken connection was last counted against it
    memory_exhausted_until_us: int = 0  # until then it gets no call that needs a load
    latency_log_ratio: float = 0.0  # running mean of log(answer time / expected time)
    copies: dict[str, Copy] = field(default_factory=dict)  # by function
    # By group of calls:
    failure_scores: dict[str, tuple[float, int]] = field(default_factory=dict)  # score, and as of when
    last_answer_us: dict[str, int] = field(default_factory=dict)
    backoff_until_us: dict[str, int] = field(default_factory=dict)
    backoff_doublings: dict[str, int] = field(default_factory=dict)  # without an answer in between


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a call to a worker; without a result it is in flight."""

    number: int
    worker: Worker
    sent_us: int
    needs_load: bool  # no copy was known there when it was sent
    result: Result | None = None


@dataclass(slots=True, eq=False)
class Zone:
    """What a zone's workers have in common: their last answer, and which fell silent since."""

    name: str
    last_answer_us: int = 0
    lost: bool = False  # calls avoid its workers
    next_probe_us: int = 0  # when a worker is checked next, while the zone is lost
    silent_workers: set[str] = field(default_factory=set)  # names of those without an answer since


@dataclass(slots=True, eq=False)
class FunctionEntry:
    """One function: its tier, the gap between its calls, its work, its home and its preferred workers."""

    function: str  # its name
    salt: int  # hash of its name, by which it ranks workers
    service_us: float  # running mean of the service time
    load_us: float  # running mean of the time to load a copy
    tier: int = UNLISTED
    home: str = ""  # the worker that served it last, and gets its next call if it can; "" for none
    gap_us: int = 0  # between its last two calls
    last_call_us: int = 0
    decayed_work: float = 0.0  # exponentially decayed sum of the own calls' service time, in microseconds
    busy: int = 0  # own calls in flight
    insertion_number: int = 0  # number of its last insertion into a tier
    replica_count: int = 1
    next_retry_us: int = 0  # when the waiting calls are tried again
    memory_mb: float = 0.0  # of one copy; 0 if not known
    lanes: int = 1  # calls that one copy runs at a time
    load_started_us: int = 0  # of the last load anywhere; 0 once that has ended
    ever_served: bool = False  # some call of it was answered well
    errors_before_success: int = 0  # errors while it was not
    waiting: dict[int, "Call"] = field(default_factory=dict)  # without a worker, in the order of their turn
    preferred: Ranking[Worker] = field(init=False)
    workers_with_copies: list[Worker] = field(default_factory=list)  # also workers that are no longer listed

    def __post_init__(self) -> None:
        self.preferred = Ranking(self.salt)

    @property
    def ranking(self) -> list[Worker]:
        """The first workers of its ranking, as of the last refresh."""
        return self.preferred.workers

    def forget_unlisted_workers(self, workers: Mapping[str, Worker]) -> None:
        """Keep no reference to workers that are no longer listed."""
        self.workers_with_copies = [
            worker for worker in self.workers_with_copies if workers.get(worker.entry.worker) is worker
        ]

    def drop_copies(self) -> list[Copy]:
        """Remove its records at all workers; returns those removed."""
        dropped = [
            worker.copies.pop(self.function)
            for worker in self.workers_with_copies
            if self.function in worker.copies
        ]
        self.workers_with_copies = []
        return dropped

    def listed(self) -> bool:
        """It is in one of the tiers."""
        return self.tier != UNLISTED

    def aged(self) -> int:
        """Its aged gap as the tiers compare it, without the part that is the same for all functions.

        The paper ranks by `(gap + now - last call) / 2`; all functions age by the same `now`, so the order by
        `gap - last call` is the same.
        """
        return self.gap_us - self.last_call_us

    def copy(self, worker: Worker) -> Copy:
        """Its record at a worker, made at the first use."""
        copy = worker.copies.get(self.function)
        if copy is None:
            copy = worker.copies[self.function] = Copy()
            self.workers_with_copies.append(worker)
        return copy


@dataclass(slots=True, eq=False)
class Call:
    """One pending call."""

    id: int
    entry: FunctionEntry  # of the function that is called
    call_class: CallClass
    group: str  # its class and tenant: some faults hit one group and spare the others
    arrived_us: int
    due_us: int  # when its final answer goes out
    settings: Settings  # those of the policy that it came under: no later policy changes them
    hinted_us: int = 0  # the client's hint of its service time; 0 where none came
    attempts: list[Attempt] = field(default_factory=list)
    open: bool = True  # its final answer is still to be given
    streaming: bool = False  # its answer has begun to go out
    client_disconnected: bool = False

    def takes_attempts(self, now_us: int) -> bool:
        """A further attempt may begin: none does once an answer streams or nobody waits for one."""
        return not (self.streaming or self.client_disconnected or now_us >= self.due_us)

    def possibly_run(self) -> list[Attempt]:
        """The attempts that may have run, those in flight included, in the order of their sending."""
        return [attempt for attempt in self.attempts if attempt.result not in NEVER_RAN]

    def dedup_until_us(self) -> int:
        """Until when workers surely drop repeats of the call; 0 without a key, or if it cannot have run yet.

        The deduplication window starts with the first attempt that may have run.
        """
        ran = self.possibly_run() if self.call_class.idempotency is Idempotency.WITH_KEY else []
        return ran[0].sent_us + self.call_class.deduplication_window_us if ran else 0

    def outstanding(self) -> list[Attempt]:
        """The attempts in flight."""
        return [attempt for attempt in self.attempts if attempt.result is None]


class CallTable:
    """The pending calls and their attempts in flight."""

    def __init__(self) -> None:
        self.calls: dict[int, Call] = {}
        self.attempts: dict[tuple[int, int], tuple[Call, Attempt]] = {}  # by call and attempt number
