"""The store of invocation records: of deferred calls and of calls with an idempotency key.

A record is pending until its call is answered. An answer that was delivered never changes. A result that was
not delivered by the deadline is dropped, and the call is reported as failed. Records are kept for a limited
time, and their number is limited: while the store is full, new calls that need a record are rejected. With a
journal, they outlive the process.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from maplestile.invoke.record_events import KeyScope, StoredInvocation
from maplestile.invoke.record_journal import RecordJournal
from maplestile.requests.timers import Timer, TimerQueue
from maplestile.wire.http import Response, problem

FIRST_ERROR_STATUS = 400  # HTTP statuses from here on are errors


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
    timer: Timer | None = None  # of its deadline, then of its removal
    waiters: list[Callable[[Response], None]] = field(default_factory=list)  # callbacks of waiting callers


class InvocationStore:
    """The invocation records, by id and by the scope of their idempotency keys."""

    def __init__(
        self,
        max_records: int,
        retention_us: int,
        timers: TimerQueue,
        counters: Counter[str],
        journal: RecordJournal | None = None,
    ) -> None:
        self.max_records = max_records
        self.retention_us = retention_us  # how long a record is kept after its deadline
        self.records: dict[str, InvocationRecord] = {}
        self.by_scope: dict[KeyScope, InvocationRecord] = {}
        self.journal = journal  # None if records are lost with the process
        self._timers = timers
        self._counters = counters

    def is_full(self) -> bool:
        """Return whether no further record can be added."""
        return len(self.records) >= self.max_records

    def accept(self, record: InvocationRecord, invocation: StoredInvocation) -> bool:
        """Add a new record; return false, and do not add it, if it is deferred and cannot be kept."""
        if self.journal is not None and not self.journal.accept(invocation) and record.deferred:
            return False
        self.add(record)
        return True

    def mark_deferred(self, record: InvocationRecord) -> bool:
        """Make an invocation deferred; return whether that can be kept."""
        if record.deferred:
            return True
        record.deferred = True
        return self.journal is None or self.journal.mark_deferred(record.id)

    def add(self, record: InvocationRecord) -> None:
        """Keep a record until `retention_us` after its deadline."""
        self.records[record.id] = record
        if record.scope is not None:
            self.by_scope[record.scope] = record
        record.timer = self._timers.call_at(record.deadline_us, lambda: self.expire(record))

    def drop(self, record: InvocationRecord) -> None:
        """Remove a record, so that its idempotency key may be used again."""
        self._timers.cancel(record.timer)
        if self.records.pop(record.id, None) is not None and self.journal is not None:
            self.journal.drop(record.id)
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
        self._set_answer(record, answer)
        self._deliver_to_waiters(record)

    def deliver(self, record: InvocationRecord) -> Response:
        """Return the answer of a finished record and mark it as delivered, so that it never changes."""
        assert record.answer is not None
        if not record.delivered:
            record.delivered = True
            if self.journal is not None:
                self.journal.mark_delivered(record.id)
        return record.answer

    def _set_answer(self, record: InvocationRecord, answer: Response) -> None:
        record.answer = answer
        if self.journal is not None:
            self.journal.finish(record.id, answer)

    def _deliver_to_waiters(self, record: InvocationRecord) -> None:
        waiters = record.waiters
        record.waiters = []
        for respond in waiters:
            respond(self.deliver(record))

    def expire(self, record: InvocationRecord) -> None:
        """Fail a record whose answer was not delivered by its deadline, and schedule its removal.

        So no result that nobody collects is kept. A delivered answer stays, since it must never change.
        """
        if record.id not in self.records:
            return  # already dropped
        if not record.delivered:
            self._counters["invoke.lapsed"] += 1
            self._set_answer(record, _expired_answer(record))
            self._deliver_to_waiters(record)
        removed_us = record.deadline_us + self.retention_us
        record.timer = self._timers.call_at(removed_us, lambda: self.drop(record))


def _expired_answer(record: InvocationRecord) -> Response:
    if record.answer is None:
        return problem(504, "the deadline lapsed")
    if record.answer.status < FIRST_ERROR_STATUS:
        return problem(504, "the deadline lapsed before the result was collected")
    return record.answer
