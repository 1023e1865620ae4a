"""The plain records that a dispatcher keeps; they hold what was seen and decide nothing."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from maplestile.dispatch.api import NEVER_RAN, CallClass, Idempotency, Result, Settings, WorkerEntry
from maplestile.dispatch.ranking import Ranking

NOWHERE, SINGLE, MULTIPLE, CACHING = -1, 0, 1, 2  # the place of a row: the three lists in their order


class Window:
    """The amounts added within the last `span_us`, and their total."""

    __slots__ = ("amounts", "span_us", "sum")

    def __init__(self, span_us: int) -> None:
        self.span_us, self.sum = span_us, 0.0
        self.amounts: deque[tuple[int, float]] = deque()

    def add(self, now_us: int, amount: float = 1) -> None:
        self.total(now_us)
        self.amounts.append((now_us, amount))
        self.sum += amount

    def total(self, now_us: int) -> float:
        while self.amounts and self.amounts[0][0] <= now_us - self.span_us:
            self.sum -= self.amounts.popleft()[1]
        return self.sum if self.amounts else 0.0


@dataclass(slots=True, eq=False)
class Copy:
    """One function at one worker: copies known, own calls there, last use, load under way, last absence."""

    count: int = 0
    busy: int = 0
    used_us: int = 0
    loading_us: int = 0
    ordered: bool = False
    absent_us: int = 0
    seated_us: int = 0  # since when a seat, if a change of the list made it one


@dataclass(slots=True, eq=False)
class Worker:
    """One process of a worker; symptoms are kept by group of calls, since a trouble may hit one alone."""

    entry: WorkerEntry
    sends: Window
    salt: int
    busy: int = 0
    reset_us: int = 0
    laden_us: int = 0  # until when it gets no call that needs a load
    pace: float = 0.0  # logarithm of its answers' time over what was expected of them, a running mean
    copies: dict[str, Copy] = field(default_factory=dict)
    sick: dict[str, tuple[float, int]] = field(default_factory=dict)
    heard_us: dict[str, int] = field(default_factory=dict)
    full_us: dict[str, int] = field(default_factory=dict)
    fulls: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Attempt:
    number: int
    worker: Worker
    sent_us: int
    loads: bool
    result: Result | None = None


@dataclass(slots=True, eq=False)
class Zone:
    """What its workers have in common: when one of them was heard, and who fell silent since."""

    name: str
    heard_us: int = 0
    lost: bool = False
    probe_us: int = 0  # the next probe, while lost
    silent: set[str] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class Row:
    """One function: the list it stands in, its gap, its share of the work, its home and its ranking."""

    function: str
    salt: int
    service_us: float
    load_us: float
    place: int = NOWHERE
    home: str = ""
    gap_us: int = 0
    last_us: int = 0
    heat: float = 0.0
    busy: int = 0
    settled: int = 0  # when it came to its place, as a number that rises
    width: int = 1
    retry_us: int = 0
    memory_mb: float = 0.0
    lanes: int = 1
    loading_us: int = 0
    good: bool = False  # it was served once
    errors: int = 0  # until then
    waiting: dict[int, "Call"] = field(default_factory=dict)
    head: Ranking[Worker] = field(init=False)
    seen: list[Worker] = field(default_factory=list)  # those with a record of a copy, also if they have gone

    def __post_init__(self) -> None:
        self.head = Ranking(self.salt)

    @property
    def ranking(self) -> list[Worker]:
        """The first workers of its ranking, at the last look."""
        return self.head.workers

    def keep_copies(self, workers: Mapping[str, Worker]) -> None:
        """Forget which of its workers are no more."""
        self.seen = [worker for worker in self.seen if workers.get(worker.entry.worker) is worker]

    def drop_copies(self) -> list[Copy]:
        """Take away its records at all workers; those taken away."""
        dropped = [worker.copies.pop(self.function) for worker in self.seen if self.function in worker.copies]
        self.seen = []
        return dropped

    def listed(self) -> bool:
        return self.place != NOWHERE

    def aged(self) -> int:
        return self.gap_us - self.last_us  # (gap + now - last) / 2 in the paper; all rows age queued_ahead

    def copy(self, worker: Worker) -> Copy:
        copy = worker.copies.get(self.function)
        if copy is None:
            copy = worker.copies[self.function] = Copy()
            self.seen.append(worker)
        return copy


@dataclass(slots=True, eq=False)
class Call:
    id: int
    row: Row
    kind: CallClass
    group: str
    since_us: int
    due_us: int
    rules: Settings  # those of the policy that it came under: no later one changes them
    hint_us: int = 0  # at its work; 0 where none came
    attempts: list[Attempt] = field(default_factory=list)
    open: bool = True
    streaming: bool = False
    abandoned: bool = False  # its client has gone

    def over(self, now_us: int) -> bool:
        """No attempt may begin any more."""
        return self.streaming or self.abandoned or now_us >= self.due_us

    def ran(self) -> list[Attempt]:
        """Those that may have run."""
        return [a for a in self.attempts if a.result not in NEVER_RAN]

    def kept_us(self) -> int:
        """Until when workers surely drop repeats of a keyed call that may have run; 0 for any other."""
        ran = self.ran() if self.kind.idempotency is Idempotency.WITH_KEY else []
        return ran[0].sent_us + self.kind.deduplication_window_us if ran else 0

    def outstanding(self) -> list[Attempt]:
        return [a for a in self.attempts if a.result is None]
