"""Tests of the scheduling of garbage collection."""

import gc
import weakref
from collections import Counter

from maplestile.router.gc_scheduler import GcScheduler


class SelfReference:
    """A reference cycle, which only the garbage collector frees; closed connections are cycles, too."""

    def __init__(self) -> None:
        self.self = self


def test_collects_old_garbage_only_when_due_and_counts_longest_pause() -> None:
    counters, before = Counter[str](), gc.get_threshold()
    scheduler = GcScheduler(counters)
    scheduler.start()
    try:
        objects = [SelfReference() for _ in range(3)]
        gc.collect()  # moves the objects to the oldest generation
        dead = weakref.ref(objects[0])
        del objects
        gc.collect(1)
        assert dead() is not None
        scheduler.collect_if_due(100.0)  # not due without new connections
        assert dead() is not None
        counters["clients.connections"] += 100
        scheduler.collect_if_due(100.5)
        assert dead() is None and counters["gc.longest_us"] > 0
        old = SelfReference()
        gc.collect()  # moves the object to the oldest generation
        dead = weakref.ref(old)
        del old
        briefly_open = SelfReference()
        dead_young = weakref.ref(briefly_open)
        del briefly_open
        counters["clients.connections"] += 100
        scheduler.collect_if_due(101.0)  # a full one is not due so soon after the last collection
        assert dead() is not None and dead_young() is None
    finally:
        scheduler.stop()
        gc.unfreeze()
        gc.set_threshold(*before)
