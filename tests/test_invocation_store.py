"""Tests of the store of invocation records."""

from collections import Counter

from maplestile.invoke.record_events import KeyScope
from maplestile.invoke.store import InvocationRecord, InvocationStore
from maplestile.requests.timers import TimerQueue
from maplestile.wire.http import Response


class StoreOnManualClock:
    """A store of invocation records whose timers run only in `advance_to`."""

    def __init__(self) -> None:
        self.now_us = 0
        self.timers = TimerQueue(1, lambda: self.now_us, lambda _due_us: None)
        self.store = InvocationStore(2, 50, self.timers, Counter())

    def advance_to(self, now_us: int) -> None:
        """Run the timers that are due at this time, also those that they set."""
        self.now_us = now_us
        while self.timers.ticks and self.timers.ticks[0] <= now_us:
            self.timers.run_due()


def test_dropped_record_leaves_no_timer_in_memory() -> None:
    """Guards against records, with their answers, that stay in memory until deadlines of minutes."""
    fixture = StoreOnManualClock()
    for number in range(100):
        record = InvocationRecord(f"{number}", None, b"", 600_000_000)
        fixture.store.add(record)
        fixture.store.drop(record)
    assert not fixture.timers.callbacks


def test_delivered_answer_stays_and_uncollected_result_is_failed() -> None:
    fixture = StoreOnManualClock()
    delivered = InvocationRecord("a", None, b"", 100)
    uncollected = InvocationRecord("b", KeyScope("f", "t", "k"), b"", 100)
    for record in (delivered, uncollected):
        fixture.store.add(record)
        fixture.store.finish(record, Response(200, b"result"))
        fixture.store.finish(record, Response(502))
    assert fixture.store.is_full()
    first = fixture.store.deliver(delivered)
    fixture.advance_to(100)
    assert fixture.store.deliver(delivered) is first and first.status == 200
    assert (
        fixture.store.deliver(uncollected).status == 504
        and fixture.store.deliver(uncollected).body != b"result"
    )
    fixture.advance_to(150)
    assert not fixture.store.records and not fixture.store.by_scope


def test_waiters_of_pending_call_get_one_answer_at_its_deadline() -> None:
    fixture = StoreOnManualClock()
    statuses: list[int] = []
    record = InvocationRecord("a", None, b"", 100)
    fixture.store.add(record)
    record.waiters.append(lambda response: statuses.append(response.status))
    fixture.advance_to(100)
    fixture.store.finish(record, Response(200))
    assert statuses == [504] and fixture.store.deliver(record).status == 504
