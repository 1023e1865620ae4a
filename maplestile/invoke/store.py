"""The store of invocation records: of deferred calls and of calls with an idempotency key.

A record is pending until its call is answered. An answer that was delivered never changes. A result that was
not delivered by the deadline is dropped, and the call is reported as failed. Records are kept for a limited
time, and their number is limited: while the store is full, new calls that need a record are rejected.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from maplestile.wire.http import Response, problem

FIRST_ERROR_STATUS = 400  # HTTP statuses from here on are errors

Timer = Callable[[int, Callable[[], object]], None]  # calls a function at a time of the core's clock


class KeyScope(NamedTuple):
    """The scope in which a repeat of an idempotency key is the same invocation."""

    function: str
    tenant: str
    key: str


@dataclass(slots=True, eq=False)
class InvocationRecord:
    """The state of one invocation, and its answer."""

    id: str
    scope: KeyScope | None  # None without an idempotency key
    fingerprint: bytes  # of the request: distinguishes a repeat from another call with the same key
    deadline_us: int  # on the core's clock
    call: int = 0  # the core's number of the call; 0 before it was submitted
    answer: Response | None = None  # None while the call is pending
    delivered: bool = False  # the answer was sent to at least one caller
    deferred: bool = False  # the answer is collected later, by any caller that knows the id
    abandoned: bool = False  # every caller that waited for the answer has disconnected
    waiters: list[Callable[[Response], None]] = field(default_factory=list)  # callbacks of waiting callers


class InvocationStore:
    """The invocation records, by id and by the scope of their idempotency keys."""

    def __init__(self, max_records: int, retention_us: int, call_at: Timer, counters: Counter[str]) -> None:
        self.max_records = max_records
        self.retention_us = retention_us  # how long a record is kept after its deadline
        self.records: dict[str, InvocationRecord] = {}
        self.by_scope: dict[KeyScope, InvocationRecord] = {}
        self._call_at = call_at
        self._counters = counters

    def is_full(self) -> bool:
        """Return whether no further record can be added."""
        return len(self.records) >= self.max_records

    def add(self, record: InvocationRecord) -> None:
        """Add a record until `retention_us` after its deadline."""
        self.records[record.id] = record
        if record.scope is not None:
            self.by_scope[record.scope] = record
        self._call_at(record.deadline_us, lambda: self._expire(record))

    def drop(self, record: InvocationRecord) -> None:
        """Remove a record, so that its idempotency key may be used again."""
        self.records.pop(record.id, None)
        if record.scope is not None and self.by_scope.get(record.scope) is record:
            del self.by_scope[record.scope]

    def has_uncollected_result(self, now_us: int) -> bool:
        """Return whether any deferred invocation has an answer that may still be collected."""
        return any(
            record.deferred
            and record.answer is not None
            and not record.delivered
            and now_us < record.deadline_us
            for record in self.records.values()
        )

    def finish(self, record: InvocationRecord, answer: Response) -> None:
        """Set the answer of a record and deliver it to the waiting callers; later answers are ignored."""
        if record.answer is not None:
            return
        record.answer = answer
        self._deliver_to_waiters(record)

    def deliver(self, record: InvocationRecord) -> Response:
        """Return the answer of a finished record and mark it as delivered, so that it never changes."""
        assert record.answer is not None
        record.delivered = True
        return record.answer

    def _deliver_to_waiters(self, record: InvocationRecord) -> None:
        waiters = record.waiters
        record.waiters = []
        for respond in waiters:
            respond(self.deliver(record))

    def _expire(self, record: InvocationRecord) -> None:
        """Fail a record whose answer was not delivered by its deadline, and schedule its removal.

        So no result that nobody collects is kept. A delivered answer stays, since it must never change.
        """
        if record.id not in self.records:
            return  # already dropped
        if not record.delivered:
            self._counters["invoke.lapsed"] += 1
            record.answer = _expired_answer(record)
            self._deliver_to_waiters(record)
        self._call_at(record.deadline_us + self.retention_us, lambda: self.drop(record))


def _expired_answer(record: InvocationRecord) -> Response:
    if record.answer is None:
        return problem(504, "the deadline lapsed")
    if record.answer.status < FIRST_ERROR_STATUS:
        return problem(504, "the deadline lapsed before the result was collected")
    return record.answer
