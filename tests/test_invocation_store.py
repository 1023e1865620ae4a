"""The store of invocations and their results."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from maplestile.invoke.store import InvocationRecord, InvocationStore, KeyScope
from maplestile.wire.http import Response


class Timer(NamedTuple):
    """What the store has to run, and when."""

    due: int
    then: Callable[[], object]


class StoreOnManualClock:
    """A store of invocations whose timers the test runs."""

    def __init__(self) -> None:
        self.timers: list[Timer] = []
        self.store = InvocationStore(2, 50, lambda due, then: self.timers.append(Timer(due, then)), Counter())

    def advance_to(self, now: int) -> None:
        """Run the timers that are due by then, in their order."""
        while due := [timer for timer in self.timers if timer.due <= now]:
            self.timers.remove(due[0])
            due[0].then()


def test_delivered_answer_never_changes_and_an_uncollected_one_is_failed_and_dropped() -> None:
    clock = StoreOnManualClock()
    delivered = InvocationRecord("a", None, b"", 100)
    uncollected = InvocationRecord("b", KeyScope("f", "t", "k"), b"", 100)
    for record in (delivered, uncollected):
        clock.store.add(record)
        clock.store.finish(record, Response(200, b"result"))
        clock.store.finish(record, Response(502))
    assert clock.store.full()
    first = clock.store.deliver(delivered)
    clock.advance_to(100)
    assert clock.store.deliver(delivered) is first and first.status == 200
    assert (
        clock.store.deliver(uncollected).status == 504 and clock.store.deliver(uncollected).body != b"result"
    )
    clock.advance_to(150)
    assert not clock.store.records and not clock.store.by_scope


def test_pending_call_is_answered_to_its_waiters_once_at_its_deadline() -> None:
    clock = StoreOnManualClock()
    statuses: list[int] = []
    record = InvocationRecord("a", None, b"", 100)
    clock.store.add(record)
    record.waiting.append(lambda response: statuses.append(response.status))
    clock.advance_to(100)
    clock.store.finish(record, Response(200))
    assert statuses == [504] and clock.store.deliver(record).status == 504
