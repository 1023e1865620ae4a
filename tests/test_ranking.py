"""Rankings and age order that are kept up to date, against those made by sorting or scanning all."""

import math
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from maplestile.dispatch.hashing import digest, unit_hash
from maplestile.dispatch.ranking import MAX_WEIGHT_GROUPS, MIN_WEIGHT, Ranking, RankingIndex
from maplestile.dispatch.recency import AgeHeap


@dataclass(frozen=True)
class WeightedEntry:
    """The part of a worker's list entry that counts for rankings."""

    weight: float


@dataclass(eq=False)
class Worker:
    """A worker as the rankings see it."""

    name: str
    entry: WeightedEntry

    @property
    def salt(self) -> int:
        return digest(self.name)


def sorted_names(salt: int, workers: list[Worker], count: int) -> list[str]:
    """Return the first so many workers of a ranking made by sorting all."""

    def key(worker: Worker) -> float:
        return unit_hash(salt, worker.salt) / max(worker.entry.weight, MIN_WEIGHT)

    return [worker.name for worker in sorted(workers, key=key)[:count]]


def names(ranking: Ranking[Worker], count: int) -> list[str]:
    """Return the names of the first so many workers of a ranking."""
    return [worker.name for worker in ranking.workers[:count]]


WEIGHTS = st.sampled_from([1.0, 2.0, 4.0]) | st.floats(0.01, 100)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["come", "leave", "weigh", "many"]),
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
    if step == "come":
        workers[name] = Worker(name, WeightedEntry(weight))
    elif step == "leave":
        workers.pop(name, None)
    elif step == "weigh" and name in workers:
        workers[name].entry = WeightedEntry(weight)
    elif step == "many":
        for other in range(number, number + 80):
            workers.setdefault(f"w{other}", Worker(f"w{other}", WeightedEntry(weight)))


@given(STEPS, st.booleans())
def test_a_ranking_is_the_one_from_sorting_whatever_changes_led_there(
    steps: list[tuple[str, int, float, str, int]], looks_rarely: bool
) -> None:
    index = RankingIndex[Worker]()
    workers = dict[str, Worker]()
    rankings = {name: Ranking[Worker](digest(name)) for name in "fgh"}
    for place, (step, number, weight, function, count) in enumerate(steps):
        apply_step(workers, step, number, weight)
        index.update(workers.values())
        if looks_rarely and place % 7:
            continue
        ranking = rankings[function]
        index.refresh(ranking, count)
        expected = sorted_names(ranking.salt, list(workers.values()), count)
        assert names(ranking, count) == expected
        assert len(index) == len(workers)


@given(st.permutations(range(40)), st.permutations(range(40)), st.integers(1, 12))
def test_two_routers_rank_alike_whatever_order_their_lists_came_in(
    first: list[int], second: list[int], count: int
) -> None:
    """Each hears of the same 40 workers one by one, and of 20 that leave, in an order of its own."""
    found = []
    for order in (first, second):
        index = RankingIndex[Worker]()
        workers = dict[str, Worker]()
        ranking = Ranking[Worker](digest("f"))
        for number in order:
            workers[f"w{number}"] = Worker(f"w{number}", WeightedEntry(1.0 + number % 3))
            index.update(workers.values())
            index.refresh(ranking, count)
        for number in [odd for odd in order if odd % 2]:
            del workers[f"w{number}"]
            index.update(workers.values())
            index.refresh(ranking, count)
        found.append(names(ranking, count))
    assert found[0] == found[1]


def make_workers(size: int, weights: int = 1) -> dict[str, Worker]:
    """Return workers of so many different weights."""
    workers = (Worker(f"w{number}", WeightedEntry(1.0 + number % weights)) for number in range(size))
    return {worker.name: worker for worker in workers}


def test_work_of_a_change_and_memory_of_a_function_do_not_grow_with_the_fleet() -> None:
    """Counted: passes over all workers, and workers held."""
    passes = list[int]()
    held = list[int]()
    for size in (100, 1_000, 4_000):
        index = RankingIndex[Worker]()
        workers = make_workers(size)
        ranking = Ranking[Worker](digest("f"))
        index.update(workers.values())
        index.refresh(ranking, 3)
        before = index.passes
        for number in range(200):
            workers.pop(f"w{number % size}", None)
            workers[f"new-{number}"] = Worker(f"new-{number}", WeightedEntry(1.0))
            index.update(workers.values())
            index.refresh(ranking, 3)
            held.append(len(ranking.workers))
        passes.append(index.passes - before)
        assert names(ranking, 3) == sorted_names(ranking.salt, list(workers.values()), 3)
    assert passes[0] >= passes[1] >= passes[2]
    assert passes[2] <= 2
    assert max(held) <= 2 * (2 * 3 + 8)


def test_many_weights_are_ranked_by_their_keys_alone() -> None:
    workers = make_workers(500, MAX_WEIGHT_GROUPS + 5)
    index = RankingIndex[Worker]()
    ranking = Ranking[Worker](digest("f"))
    index.update(workers.values())
    index.refresh(ranking, 5)
    assert names(ranking, 5) == sorted_names(ranking.salt, list(workers.values()), 5)
    assert not math.isinf(ranking.bound)
    index.refresh(ranking, 500)
    assert names(ranking, 500) == sorted_names(ranking.salt, list(workers.values()), 500)


def test_ranking_that_was_not_looked_at_for_long_is_made_anew_once() -> None:
    index = RankingIndex[Worker]()
    workers = make_workers(50)
    ranking = Ranking[Worker](digest("f"))
    index.update(workers.values())
    index.refresh(ranking, 2)
    for number in range(9_000):  # over all changes that are kept
        workers[f"w{number % 50}"] = Worker(f"w{number % 50}", WeightedEntry(1.0))
        index.update(workers.values())
    before = index.passes
    index.refresh(ranking, 2)
    index.refresh(ranking, 2)
    assert index.passes == before + 1
    assert names(ranking, 2) == sorted_names(ranking.salt, list(workers.values()), 2)


@dataclass(eq=False)
class ListEntry:
    """An entry of a gap-ranked list whose age a test sets."""

    name: int
    tier: int = 0
    insertion_number: int = 0
    age: int = 0

    def age_key(self) -> int:
        return self.age


ENTRY_STEPS = st.tuples(st.sampled_from(["settle", "call", "leave"]), st.integers(0, 8), st.integers(0, 3))


@given(st.lists(ENTRY_STEPS))
def test_the_oldest_entry_is_the_one_that_a_scan_finds(steps: list[tuple[str, int, int]]) -> None:
    index = AgeHeap[ListEntry](2)
    listed: dict[int, ListEntry] = {}
    entries = [ListEntry(number) for number in range(9)]
    for step, number, age in steps * 8:
        entry = entries[number]
        entry.age = age if step != "leave" else entry.age
        if step == "settle":
            listed.pop(number, None)
            listed[number] = entry
            entry.tier = 2
            index.insert(entry)
        elif step == "call" and number in listed:
            index.update(entry)
        elif step == "leave" and number in listed:
            del listed[number]
            entry.tier = 1
        elif number in listed:
            index.update(entry)
        assert index.oldest() is max(listed.values(), key=ListEntry.age_key, default=None)


def test_entries_that_are_called_and_never_looked_up_take_no_more_memory() -> None:
    """Each call of an entry left an element for good: 20 MB in 45 minutes."""
    index = AgeHeap[ListEntry](2)
    entries = [ListEntry(number, tier=2) for number in range(10)]
    for number in range(5_000):
        entry = entries[number % 10]
        entry.age = number
        if number % 3:
            index.update(entry)
        else:
            index.insert(entry)
    assert len(index.heap) <= 200
    assert index.oldest() is max(entries, key=ListEntry.age_key)


def test_workers_that_have_left_are_not_kept_by_the_log_of_changes() -> None:
    index = RankingIndex[Worker]()
    workers = make_workers(40)
    for number in range(500):
        workers.pop(next(iter(workers)))
        workers[f"new-{number}"] = Worker(f"new-{number}", WeightedEntry(1.0))
        index.update(workers.values())
    assert len(index.changes) <= len(workers) // 4
