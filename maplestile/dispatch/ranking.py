"""Weighted rendezvous rankings of workers, kept as short prefixes and brought up to date by what changed.

Rendezvous hashing, or Highest Random Weight (D. G. Thaler and C. V. Ravishankar, "Using name-based mappings
to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998): each function ranks all workers by a
hash of its own name and theirs. Here the least hash is the first, and the hash is divided by the worker's
weight. With `-log(1 - hash)` in place of the hash, the first ranks would go to the workers in exact
proportion to their weights; near 0, where the first ranks of a large fleet lie, the two are the same.

Only the first workers of a ranking are ever used, so a `Ranking` holds these alone, with a bound under which
it is complete. A change of the worker list costs each ranking a look at the workers that changed, at its next
use. A ranking is rebuilt, by one pass over all workers, where too many workers have changed or too many of
its own have left. The result is the same as from sorting all workers.
"""

import heapq
import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar

from maplestile.dispatch.hashing import HASH_BITS, unit_hash
from maplestile.dispatch.packed import PackedHashes

SPARE_WORKERS = 8  # held past twice as many as are wanted: so many may leave before a new pass
GUESS_FACTOR = 3.0  # how many times as many as are wanted a pass aims at: too few cost a second pass
GUESS_GROWTH = 4  # of the bound, for each further pass
MAX_WEIGHT_GROUPS = 16  # distinct weights up to which a pass uses the packed hashes
CHANGE_COST = 4  # a change costs about as much as a pass's look at so many workers; more are not kept
MIN_WEIGHT = 1e-6  # guards the division of a hash by a weight of 0
REMOVED_WEIGHT = 0.0  # stands for a worker that may no longer be ranked
HASH_RANGE = 1 << HASH_BITS
ROUNDING = 1 - 1e-9  # lowers a bound that is a product of floats, so that it is never too high


class Entry(Protocol):
    """The entry of a worker in the worker list."""

    @property
    def weight(self) -> float:
        """Its capacity relative to the other workers."""
        ...


class Rankable(Protocol):
    """A worker that can be ranked."""

    @property
    def salt(self) -> int:
        """The hash of its name."""
        ...

    @property
    def entry(self) -> Entry:
        """Its present entry in the worker list."""
        ...


W = TypeVar("W", bound=Rankable)


class Change(NamedTuple, Generic[W]):
    """A worker that may be ranked from now on, or no longer."""

    worker: W
    weight: float  # `REMOVED_WEIGHT` if it may no longer be ranked


@dataclass(slots=True, eq=False)
class Ranking(Generic[W]):
    """The first workers of one function's ranking: all those whose key is under `bound`, in order."""

    salt: int  # the hash of the function's name
    workers: list[W] = field(default_factory=list)
    keys: list[float] = field(default_factory=list)  # of the workers, in the same order
    bound: float = 0.0
    seen: int = 0  # the version of the index that it is up to date with

    def remove(self, worker: W) -> None:
        """Take out a worker, if it is among those held."""
        if worker in self.workers:
            position = self.workers.index(worker)
            del self.workers[position]
            del self.keys[position]

    def insert(self, worker: W, weight: float) -> None:
        """Take in a worker, if its key is under the bound."""
        key = unit_hash(self.salt, worker.salt) / weight
        if key < self.bound:
            position = bisect_left(self.keys, key)
            self.workers.insert(position, worker)
            self.keys.insert(position, key)

    def cut(self, size: int) -> None:
        """Drop all but the first `size` workers, and lower the bound to match."""
        if len(self.workers) > size:
            self.bound = self.keys[size]
            del self.workers[size:]
            del self.keys[size:]


class RankingIndex(Generic[W]):
    """The workers that may be ranked, and the latest changes among them."""

    def __init__(self) -> None:
        self.changes: list[Change[W]] = []  # the latest ones, by which rankings are brought up to date
        self.passes = 0  # over all workers, counted for tests and benchmarks
        self._weights: dict[W, float] = {}
        self._groups: dict[float, PackedHashes[W]] = {}  # the workers by weight
        self._dropped_changes = 0  # how many are no longer held

    def __len__(self) -> int:
        return len(self._weights)

    @property
    def version(self) -> int:
        """The number of changes since the start."""
        return self._dropped_changes + len(self.changes)

    def update(self, workers: Iterable[W]) -> None:
        """Set the workers that may be ranked from now on, by their present entries."""
        weights = {worker: max(worker.entry.weight, MIN_WEIGHT) for worker in workers}
        removed = [worker for worker, weight in self._weights.items() if weights.get(worker) != weight]
        added = [worker for worker, weight in weights.items() if self._weights.get(worker) != weight]
        self.changes += [Change(worker, REMOVED_WEIGHT) for worker in removed]
        self.changes += [Change(worker, weights[worker]) for worker in added]
        for worker in removed:
            self._remove_from_group(worker)
        for worker in added:
            self._groups.setdefault(weights[worker], PackedHashes()).add(worker, worker.salt)
        self._weights = weights
        self._drop_old_changes()

    def refresh(self, ranking: Ranking[W], count: int) -> None:
        """Bring a ranking up to date, with `count` workers or, where there are fewer, with all."""
        wanted = min(count, len(self._weights))
        missed = self.version - ranking.seen
        if ranking.seen < self._dropped_changes or missed * CHANGE_COST > len(self._weights):
            self._rebuild(ranking, wanted)
            return
        if missed:
            self._apply_changes(ranking, missed)
        if len(ranking.workers) < wanted:
            self._rebuild(ranking, wanted)
        else:
            rebuilt_size = 2 * wanted + SPARE_WORKERS
            ranking.cut(2 * rebuilt_size)  # insertions may double it before that

    def _apply_changes(self, ranking: Ranking[W], missed: int) -> None:
        """Apply the last `missed` changes."""
        for change in self.changes[-missed:]:
            if change.weight == REMOVED_WEIGHT:
                ranking.remove(change.worker)
            else:
                ranking.insert(change.worker, change.weight)
        ranking.seen = self.version

    def _rebuild(self, ranking: Ranking[W], wanted: int) -> None:
        """Rank anew, by a pass over all workers."""
        self.passes += 1
        size = 2 * wanted + SPARE_WORKERS
        if size >= len(self._weights) or len(self._groups) > MAX_WEIGHT_GROUPS:
            keyed, bound = self._smallest(ranking.salt, size)
        else:
            keyed, bound = self._under_guessed_bound(ranking.salt, size)
        ranking.keys = [key for key, _ in keyed]
        ranking.workers = [worker for _, worker in keyed]
        ranking.bound = math.inf if len(keyed) == len(self._weights) else bound
        ranking.seen = self.version
        ranking.cut(size)

    def _smallest(self, salt: int, size: int) -> tuple[list[tuple[float, W]], float]:
        """Return the `size` workers of the smallest keys with these, in order, and the next key."""
        all_keyed = (
            (unit_hash(salt, worker.salt) / weight, worker) for worker, weight in self._weights.items()
        )
        keyed = heapq.nsmallest(size + 1, all_keyed, key=_key)
        if len(keyed) == len(self._weights):
            return keyed, math.inf
        next_key, _ = keyed.pop()
        return keyed, next_key

    def _under_guessed_bound(self, salt: int, size: int) -> tuple[list[tuple[float, W]], float]:
        """Return all workers whose key is under a bound with their keys, in order, and the bound.

        The bound is a guess that about `GUESS_FACTOR` times `size` keys are under; it grows until at least
        `size` are.
        """
        total_weight = sum(weight * len(group) for weight, group in self._groups.items())
        bound = GUESS_FACTOR * size / total_weight
        keyed = self._under_bound(salt, bound)
        while len(keyed) < size:
            bound *= GUESS_GROWTH
            keyed = self._under_bound(salt, bound)
        return sorted(keyed, key=_key), bound * ROUNDING

    def _under_bound(self, salt: int, bound: float) -> list[tuple[float, W]]:
        """Return all workers whose key is under the bound with their keys, in any order."""
        found = list[tuple[float, W]]()
        for weight, group in self._groups.items():
            candidates = group.candidates(salt, min(HASH_RANGE, int(bound * weight * HASH_RANGE)))
            keyed = ((unit_hash(salt, worker.salt) / weight, worker) for worker in candidates)
            found += [pair for pair in keyed if pair[0] < bound]
        return found

    def _remove_from_group(self, worker: W) -> None:
        weight = self._weights[worker]
        self._groups[weight].remove(worker)
        if not self._groups[weight]:
            del self._groups[weight]

    def _drop_old_changes(self) -> None:
        """Drop changes that cost more than a pass, which also frees the workers that have left."""
        surplus = len(self.changes) - len(self._weights) // CHANGE_COST
        if surplus > 0:
            del self.changes[:surplus]
            self._dropped_changes += surplus


def _key(keyed: tuple[float, Rankable]) -> float:
    return keyed[0]
