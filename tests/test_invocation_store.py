"""Tests of the store of invocation records."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from maplestile.invoke.record_events import KeyScope
from maplestile.invoke.store import InvocationRecord, InvocationStore
from maplestile.wire.http import Response


class Timer(NamedTuple):
    """A callback that the store has scheduled, and its time in microseconds."""

    due_us: int
    callback: Callable[[], object]


class StoreOnManualClock:
    """A store of invocation records whose timers run only in `advance_to`."""

    def __init__(self) -> None:
        self.timers: list[Timer] = []
        self.store = InvocationStore(
            2, 50, lambda due_us, callback: self.timers.append(Timer(due_us, callback)), Counter()
        )

    def advance_to(self, now_us: int) -> None:
        """Run the timers that are due at this time, in the order in which they were set."""
        while due := [timer for timer in self.timers if timer.due_us <= now_us]:
            self.timers.remove(due[0])
            due[0].callback()


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
