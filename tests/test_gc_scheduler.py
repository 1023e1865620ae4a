"""The scheduling of garbage collection."""

import gc
import weakref
from collections import Counter

from maplestile.router.gc_scheduler import GcScheduler


class SelfReference:
    """Garbage that only a collection finds, as a closed connection is."""

    def __init__(self) -> None:
        self.self = self


def test_old_garbage_is_found_by_full_collections_and_the_longest_pause_is_counted() -> None:
    counters, before = Counter[str](), gc.get_threshold()
    collector = GcScheduler(counters)
    collector.start()
    try:
        objects = [SelfReference() for _ in range(3)]
        gc.collect()  # they are in the oldest generation now
        dead = weakref.ref(objects[0])
        del objects
        gc.collect(1)
        assert dead() is not None
        collector.collect_if_due(100.0)  # nothing was closed, so there is nothing to be found
        assert dead() is not None
        counters["clients.connections"] += 100
        collector.collect_if_due(100.5)
        assert dead() is None and counters["gc.longest_us"] > 0
        closed = SelfReference()
        dead = weakref.ref(closed)
        del closed
        counters["clients.connections"] += 100
        collector.collect_if_due(101.0)  # not due yet
        assert dead() is not None
    finally:
        collector.stop()
        gc.unfreeze()
        gc.set_threshold(*before)
