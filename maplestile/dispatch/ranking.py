"""Weighted rendezvous rankings of workers, kept as short prefixes and brought up to date by what changed.

Each function ranks all workers by a hash of its own name and theirs (Thaler and Ravishankar, 1998), divided
by the worker's weight, the least first. Only the head of a ranking is ever looked at, so a `Ranking` holds
that alone, with a bound under which it is complete. A change of the list costs each ranking a look at the
workers that changed, at its next use; it is made anew, by one pass over all workers, where too many have
changed or too many of its own have left. It tells what sorting all workers would: `tests/test_ranking.py`
compares the two."""

import heapq
import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar

from maplestile.dispatch.hashing import BITS, mixed
from maplestile.dispatch.packed import Lanes

SPARE = 8  # workers held past twice as many as are asked for: so many may leave before a new pass
GUESS = 3.0  # how many times as many as are wanted a pass looks for: too few cost a second pass
WEIGHTS_MOST = 16  # distinct weights up to which a pass goes by lanes
CHANGE_COST = 4  # a change costs about as much as a pass's look at so many workers; more are not kept
LEAST_WEIGHT = 1e-6
UNIT = 1 << BITS
ROUNDING = 1 - 1e-9  # a bound that came of a product of floats is lowered by this


class Entry(Protocol):
    @property
    def weight(self) -> float: ...


class Rankable(Protocol):
    """A worker: its hash, and its weight by the list."""

    @property
    def salt(self) -> int: ...
    @property
    def entry(self) -> Entry: ...


W = TypeVar("W", bound=Rankable)


class Change(NamedTuple, Generic[W]):
    worker: W
    weight: float  # of one that came; 0 for one that left


@dataclass(slots=True, eq=False)
class Ranking(Generic[W]):
    """The head of one function's ranking: every worker whose key is under `bound`, in order."""

    salt: int
    workers: list[W] = field(default_factory=list)
    keys: list[float] = field(default_factory=list)
    bound: float = 0.0
    seen: int = 0  # changes that it has taken in

    def remove(self, worker: W) -> None:
        if worker in self.workers:
            at = self.workers.index(worker)
            del self.workers[at], self.keys[at]

    def insert(self, worker: W, weight: float) -> None:
        key = mixed(self.salt, worker.salt) / weight
        if key < self.bound:
            at = bisect_left(self.keys, key)
            self.workers.insert(at, worker)
            self.keys.insert(at, key)

    def cut(self, most: int) -> None:
        if len(self.workers) > most:
            self.bound = self.keys[most]
            del self.workers[most:], self.keys[most:]


class RankingIndex(Generic[W]):
    """The workers that may be ranked, and what has changed among them."""

    def __init__(self) -> None:
        self.weights: dict[W, float] = {}
        self.changes: list[Change[W]] = []
        self.dropped = 0  # changes that are no longer held
        self.groups: dict[float, Lanes[W]] = {}  # by weight
        self.passes = 0  # over all workers, as a figure

    def __len__(self) -> int:
        return len(self.weights)

    @property
    def version(self) -> int:
        """How many changes there have been."""
        return self.dropped + len(self.changes)

    def update(self, workers: Iterable[W]) -> None:
        """Those that may be ranked from now on, in place of those before."""
        now = {worker: max(worker.entry.weight, LEAST_WEIGHT) for worker in workers}
        left = [worker for worker, weight in self.weights.items() if now.get(worker) != weight]
        came = [worker for worker, weight in now.items() if self.weights.get(worker) != weight]
        self.changes += [Change(worker, 0.0) for worker in left]
        self.changes += [Change(worker, now[worker]) for worker in came]
        for worker in left:
            self._leave(worker)
        for worker in came:
            self.groups.setdefault(now[worker], Lanes()).add(worker, worker.salt)
        self.weights = now
        # Also guards memory: the log holds workers that are no more.
        if (surplus := len(self.changes) - len(self.weights) // CHANGE_COST) > 0:
            del self.changes[:surplus]
            self.dropped += surplus

    def refresh(self, ranking: Ranking[W], count: int) -> None:
        """Bring a ranking up to date, with `count` workers or, where there are fewer, all."""
        wanted = min(count, len(self.weights))
        missed = self.version - ranking.seen
        if ranking.seen < self.dropped or missed * CHANGE_COST > len(self.weights):
            self._make(ranking, wanted)
            return
        for change in self.changes[len(self.changes) - missed :] if missed else ():
            if change.weight:
                ranking.insert(change.worker, change.weight)
            else:
                ranking.remove(change.worker)
        ranking.seen = self.version
        if len(ranking.workers) < wanted:
            self._make(ranking, wanted)
        else:
            ranking.cut(2 * (2 * wanted + SPARE))

    def _make(self, ranking: Ranking[W], wanted: int) -> None:
        self.passes += 1
        ranking.seen, most = self.version, 2 * wanted + SPARE
        if most >= len(self.weights) or len(self.groups) > WEIGHTS_MOST:
            found = self._least(ranking.salt, most)
            bound = math.inf
        else:
            found, bound = self._under_guess(ranking.salt, most)
        ranking.keys, ranking.workers = [key for key, _ in found], [worker for _, worker in found]
        ranking.bound = bound
        if len(found) >= len(self.weights):
            ranking.bound = math.inf
        elif math.isinf(bound):
            ranking.bound = ranking.keys[-1]
            ranking.remove(ranking.workers[-1])
        ranking.cut(most)

    def _least(self, salt: int, most: int) -> list[tuple[float, W]]:
        """Of all, one more than `most`, by their keys."""
        keyed = ((mixed(salt, worker.salt) / weight, worker) for worker, weight in self.weights.items())
        return heapq.nsmallest(most + 1, keyed, key=lambda pair: pair[0])

    def _under_guess(self, salt: int, most: int) -> tuple[list[tuple[float, W]], float]:
        """All under a bound that about `GUESS` times as many as wanted are under, or a greater one."""
        bound = GUESS * most / sum(weight * len(group) for weight, group in self.groups.items())
        while True:
            found = list[tuple[float, W]]()
            for weight, group in self.groups.items():
                under = group.under(salt, min(UNIT, int(bound * weight * UNIT)))
                keyed = ((mixed(salt, worker.salt) / weight, worker) for worker in under)
                found += [pair for pair in keyed if pair[0] < bound]
            if len(found) >= most:
                return sorted(found, key=lambda pair: pair[0]), bound * ROUNDING
            bound *= 4

    def _leave(self, worker: W) -> None:
        weight = self.weights[worker]
        self.groups[weight].remove(worker)
        if not self.groups[weight]:
            del self.groups[weight]
