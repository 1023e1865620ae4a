"""Tests that incrementally updated rankings and age heaps agree with sorting or scanning everything."""

import math
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from maplestile.dispatch.age_heap import AgeHeap
from maplestile.dispatch.hashing import digest, unit_hash
from maplestile.dispatch.ranking import MAX_WEIGHT_GROUPS, MIN_WEIGHT, Ranking, RankingIndex


@dataclass(frozen=True)
class WeightedEntry:
    """The part of a worker's list entry that matters for rankings."""

    weight: float


@dataclass(eq=False)
class Worker:
    """A worker with the attributes that rankings need."""

    name: str
    entry: WeightedEntry

    @property
    def salt(self) -> int:
        return digest(self.name)


def sorted_names(salt: int, workers: list[Worker], count: int) -> list[str]:
    """Return the names of the first `count` workers, ranked by sorting all of them."""

    def key(worker: Worker) -> float:
        return unit_hash(salt, worker.salt) / max(worker.entry.weight, MIN_WEIGHT)

    return [worker.name for worker in sorted(workers, key=key)[:count]]


def names(ranking: Ranking[Worker], count: int) -> list[str]:
    """Return the names of the first `count` workers of a ranking."""
    return [worker.name for worker in ranking.workers[:count]]


WEIGHTS = st.sampled_from([1.0, 2.0, 4.0]) | st.floats(0.01, 100)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "remove", "reweight", "add_many"]),
        st.integers(0, 400),
        WEIGHTS,
        st.sampled_from(["f", "g", "h"]),
        st.integers(1, 30),
    ),
    max_size=60,
)


def apply_step(workers: dict[str, Worker], step: str, number: int, weight: float) -> None:
    """Change the list of workers."""
    name = f"w{number}"
    if step == "add":
        workers[name] = Worker(name, WeightedEntry(weight))
    elif step == "remove":
        workers.pop(name, None)
    elif step == "reweight" and name in workers:
        workers[name].entry = WeightedEntry(weight)
    elif step == "add_many":
        for other in range(number, number + 80):
            workers.setdefault(f"w{other}", Worker(f"w{other}", WeightedEntry(weight)))


@given(STEPS, st.booleans())
def test_ranking_equals_sorting_after_any_changes(
    steps: list[tuple[str, int, float, str, int]], refreshes_rarely: bool
) -> None:
    index = RankingIndex[Worker]()
    workers = dict[str, Worker]()
    rankings = {name: Ranking[Worker](digest(name)) for name in "fgh"}
    for position, (step, number, weight, function, count) in enumerate(steps):
        apply_step(workers, step, number, weight)
        index.update(workers.values())
        if refreshes_rarely and position % 7:
            continue
        ranking = rankings[function]
        index.refresh(ranking, count)
        expected = sorted_names(ranking.salt, list(workers.values()), count)
        assert names(ranking, count) == expected
        assert len(index) == len(workers)


@given(st.permutations(range(40)), st.permutations(range(40)), st.integers(1, 12))
def test_routers_rank_alike_whatever_the_order_of_changes(
    first: list[int], second: list[int], count: int
) -> None:
    """Two routers learn of the same 40 workers, and of the removal of 20, one by one in different orders."""
    rankings = []
    for order in (first, second):
        index = RankingIndex[Worker]()
        workers = dict[str, Worker]()
        ranking = Ranking[Worker](digest("f"))
        for number in order:
            workers[f"w{number}"] = Worker(f"w{number}", WeightedEntry(1.0 + number % 3))
            index.update(workers.values())
            index.refresh(ranking, count)
        for number in [number for number in order if number % 2]:
            del workers[f"w{number}"]
            index.update(workers.values())
            index.refresh(ranking, count)
        rankings.append(names(ranking, count))
    assert rankings[0] == rankings[1]


def make_workers(size: int, distinct_weights: int = 1) -> dict[str, Worker]:
    """Return `size` workers by name, with this number of distinct weights."""
    workers = (Worker(f"w{number}", WeightedEntry(1.0 + number % distinct_weights)) for number in range(size))
    return {worker.name: worker for worker in workers}


def test_cost_of_changes_and_ranking_size_do_not_grow_with_fleet() -> None:
    """Count the passes over all workers, and the workers that a ranking holds."""
    passes = list[int]()
    ranking_sizes = list[int]()
    for size in (100, 1_000, 4_000):
        index = RankingIndex[Worker]()
        workers = make_workers(size)
        ranking = Ranking[Worker](digest("f"))
        index.update(workers.values())
        index.refresh(ranking, 3)
        passes_before = index.passes
        for number in range(200):
            workers.pop(f"w{number % size}", None)
            workers[f"new-{number}"] = Worker(f"new-{number}", WeightedEntry(1.0))
            index.update(workers.values())
            index.refresh(ranking, 3)
            ranking_sizes.append(len(ranking.workers))
        passes.append(index.passes - passes_before)
        assert names(ranking, 3) == sorted_names(ranking.salt, list(workers.values()), 3)
    assert passes[0] >= passes[1] >= passes[2]
    assert passes[2] <= 2
    assert max(ranking_sizes) <= 2 * (2 * 3 + 8)


def test_ranking_with_many_distinct_weights_equals_sorting() -> None:
    workers = make_workers(500, MAX_WEIGHT_GROUPS + 5)
    index = RankingIndex[Worker]()
    ranking = Ranking[Worker](digest("f"))
    index.update(workers.values())
    index.refresh(ranking, 5)
    assert names(ranking, 5) == sorted_names(ranking.salt, list(workers.values()), 5)
    assert not math.isinf(ranking.bound)
    index.refresh(ranking, 500)
    assert names(ranking, 500) == sorted_names(ranking.salt, list(workers.values()), 500)


def test_ranking_unused_for_long_is_rebuilt_once() -> None:
    index = RankingIndex[Worker]()
    workers = make_workers(50)
    ranking = Ranking[Worker](digest("f"))
    index.update(workers.values())
    index.refresh(ranking, 2)
    for number in range(9_000):  # more changes than the index keeps
        workers[f"w{number % 50}"] = Worker(f"w{number % 50}", WeightedEntry(1.0))
        index.update(workers.values())
    passes_before = index.passes
    index.refresh(ranking, 2)
    index.refresh(ranking, 2)
    assert index.passes == passes_before + 1
    assert names(ranking, 2) == sorted_names(ranking.salt, list(workers.values()), 2)


@dataclass(eq=False)
class TierEntry:
    """An entry of a tier, with an age that the test sets."""

    number: int
    tier: int = 0
    insertion_number: int = 0
    age: int = 0

    def age_key(self) -> int:
        return self.age


ENTRY_STEPS = st.tuples(st.sampled_from(["insert", "call", "remove"]), st.integers(0, 8), st.integers(0, 3))


@given(st.lists(ENTRY_STEPS))
def test_oldest_entry_equals_result_of_scan(steps: list[tuple[str, int, int]]) -> None:
    heap = AgeHeap[TierEntry](2)
    listed: dict[int, TierEntry] = {}
    entries = [TierEntry(number) for number in range(9)]
    for step, number, age in steps * 8:
        entry = entries[number]
        entry.age = age if step != "remove" else entry.age
        if step == "insert":
            listed.pop(number, None)
            listed[number] = entry
            entry.tier = 2
            heap.insert(entry)
        elif step == "call" and number in listed:
            heap.update(entry)
        elif step == "remove" and number in listed:
            del listed[number]
            entry.tier = 1
        elif number in listed:
            heap.update(entry)
        assert heap.oldest() is max(listed.values(), key=TierEntry.age_key, default=None)


def test_heap_size_is_bounded_without_lookups() -> None:
    """Each call of an entry used to leave an element in the heap for good: 20 MB in 45 minutes."""
    heap = AgeHeap[TierEntry](2)
    entries = [TierEntry(number, tier=2) for number in range(10)]
    for number in range(5_000):
        entry = entries[number % 10]
        entry.age = number
        if number % 3:
            heap.update(entry)
        else:
            heap.insert(entry)
    assert len(heap.heap) <= 200
    assert heap.oldest() is max(entries, key=TierEntry.age_key)


def test_old_changes_are_dropped() -> None:
    index = RankingIndex[Worker]()
    workers = make_workers(40)
    for number in range(500):
        workers.pop(next(iter(workers)))
        workers[f"new-{number}"] = Worker(f"new-{number}", WeightedEntry(1.0))
        index.update(workers.values())
    assert len(index.changes) <= len(workers) // 4
