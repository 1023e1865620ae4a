"""Invocations that are known by an id: deferred ones, and those with an idempotency key.

A record is pending until its one final answer; an answer that was told never changes. What nobody has
collected by its deadline is reported as failed, and its result dropped. Records are kept for a bounded time,
and their number is bounded: a full store refuses."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from maplestile.wire.http import Response, problem

DeduplicationScope = tuple[str, str, str]  # function, tenant, idempotency key


@dataclass(slots=True, eq=False)
class Record:
    id: str
    scope: DeduplicationScope | None
    print: bytes  # what was asked, to tell a repeat from another call under the same key
    deadline_us: int
    call: int = 0
    answer: Response | None = None
    told: bool = False
    deferred: bool = False  # its answer is collected later, by whoever knows the id
    abandoned: bool = False  # all that waited for it have gone
    waiting: list[Callable[[Response], None]] = field(default_factory=list)


class Store:
    def __init__(
        self, most: int, keep_us: int, at: Callable[[int, Callable[[], object]], None], counters: Counter[str]
    ) -> None:
        self.most, self.keep_us, self.at, self.counters = most, keep_us, at, counters
        self.records: dict[str, Record] = {}
        self.by_scope: dict[DeduplicationScope, Record] = {}

    def full(self) -> bool:
        return len(self.records) >= self.most

    def add(self, record: Record) -> None:
        self.records[record.id] = record
        if record.scope is not None:
            self.by_scope[record.scope] = record
        self.at(record.deadline_us, lambda: self._lapse(record))

    def uncollected(self, now_us: int) -> bool:
        """There is the answer of a deferred invocation that nobody has been told, and that still counts."""
        return any(
            record.deferred and record.answer is not None and not record.told and now_us < record.deadline_us
            for record in self.records.values()
        )

    def finish(self, record: Record, answer: Response) -> None:
        """The first answer stands; it goes to those who wait for it."""
        if record.answer is not None:
            return
        record.answer = answer
        waiting, record.waiting = record.waiting, []
        for tell in waiting:
            tell(self.tell(record))

    def tell(self, record: Record) -> Response:
        assert record.answer is not None
        record.told = True
        return record.answer

    def _lapse(self, record: Record) -> None:
        """Guards against a result that is silently kept, and against one that changes once told."""
        if record.id not in self.records:
            return  # dropped
        if not record.told:
            self.counters["invoke.lapsed"] += 1
            late = record.answer or problem(504, "the deadline lapsed")
            if late.status < 400:
                late = problem(504, "the deadline lapsed before the result was collected")
            waiting, record.waiting = record.waiting, []
            record.answer = late
            for tell in waiting:
                tell(self.tell(record))
        self.at(record.deadline_us + self.keep_us, lambda: self.drop(record))

    def drop(self, record: Record) -> None:
        self.records.pop(record.id, None)
        if record.scope is not None and self.by_scope.get(record.scope) is record:
            del self.by_scope[record.scope]
