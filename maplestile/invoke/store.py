"""Invocations that are known by an id: deferred ones, and those with an idempotency key.

A record is pending until its one final answer; an answer that was delivered never changes. What was not
collected by its deadline is reported as failed, and its result dropped. Records are kept for a bounded time,
and their number is bounded: a full store refuses.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from maplestile.wire.http import Response, problem

Timer = Callable[[int, Callable[[], object]], None]  # calls back at a time in microseconds


class KeyScope(NamedTuple):
    """Within what a repeat of an idempotency key is the same invocation."""

    function: str
    tenant: str
    key: str


@dataclass(slots=True, eq=False)
class InvocationRecord:
    """One invocation and its answer."""

    id: str
    scope: KeyScope | None  # None without an idempotency key
    fingerprint: bytes  # of the request, to tell a repeat from another call under the same key
    deadline_us: int
    call: int = 0  # the core's number of the call
    answer: Response | None = None
    delivered: bool = False
    deferred: bool = False  # its answer is collected later, by whoever knows the id
    abandoned: bool = False  # every caller that waited for it has left
    waiting: list[Callable[[Response], None]] = field(default_factory=list)


class InvocationStore:
    """The records by id and by the scope of their keys."""

    def __init__(self, max_records: int, keep_us: int, call_at: Timer, counters: Counter[str]) -> None:
        self.max_records = max_records
        self.keep_us = keep_us  # after a record's deadline
        self.records: dict[str, InvocationRecord] = {}
        self.by_scope: dict[KeyScope, InvocationRecord] = {}
        self._call_at = call_at
        self._counters = counters

    def full(self) -> bool:
        """Return whether no further record fits."""
        return len(self.records) >= self.max_records

    def add(self, record: InvocationRecord) -> None:
        """Keep a record until a while after its deadline."""
        self.records[record.id] = record
        if record.scope is not None:
            self.by_scope[record.scope] = record
        self._call_at(record.deadline_us, lambda: self._expire(record))

    def drop(self, record: InvocationRecord) -> None:
        """Forget a record; its idempotency key is free again."""
        self.records.pop(record.id, None)
        if record.scope is not None and self.by_scope.get(record.scope) is record:
            del self.by_scope[record.scope]

    def uncollected(self, now_us: int) -> bool:
        """Return whether a deferred invocation has an answer that was not collected yet."""
        return any(
            record.deferred
            and record.answer is not None
            and not record.delivered
            and now_us < record.deadline_us
            for record in self.records.values()
        )

    def finish(self, record: InvocationRecord, answer: Response) -> None:
        """Take the answer of a record and deliver it to those who wait; the first answer is final."""
        if record.answer is not None:
            return
        record.answer = answer
        self._deliver_to_waiting(record)

    def deliver(self, record: InvocationRecord) -> Response:
        """Return the answer of a finished record, which does not change from here on."""
        assert record.answer is not None
        record.delivered = True
        return record.answer

    def _deliver_to_waiting(self, record: InvocationRecord) -> None:
        waiting = record.waiting
        record.waiting = []
        for respond in waiting:
            respond(self.deliver(record))

    def _expire(self, record: InvocationRecord) -> None:
        """Fail a record whose answer was not delivered by its deadline.

        This guards against results that are kept unnoticed, and against answers that change once delivered.
        """
        if record.id not in self.records:
            return  # dropped
        if not record.delivered:
            self._counters["invoke.lapsed"] += 1
            record.answer = _expired_answer(record)
            self._deliver_to_waiting(record)
        self._call_at(record.deadline_us + self.keep_us, lambda: self.drop(record))


def _expired_answer(record: InvocationRecord) -> Response:
    if record.answer is None:
        return problem(504, "the deadline lapsed")
    if record.answer.status < 400:
        return problem(504, "the deadline lapsed before the result was collected")
    return record.answer
