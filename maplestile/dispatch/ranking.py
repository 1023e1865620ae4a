"""Ranks workers by weighted rendezvous hashing, in short lists that are updated incrementally.

In rendezvous hashing, or Highest Random Weight (D. G. Thaler and C. V. Ravishankar, "Using name-based
mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998), each function ranks all
workers by a hash of its own name and theirs. Here a worker's key is the hash divided by the worker's weight,
and the smallest key ranks first. With `-log(1 - hash)` in place of the hash, the first ranks would go to the
workers in exact proportion to their weights; near 0, where the first ranks of a large fleet lie, the two are
the same.

Only the first workers of a ranking are ever used, so a `Ranking` holds only these, and the bound below which
it is complete. When the worker list changes, each ranking is updated at its next use by looking only at the
workers that changed. A ranking is rebuilt by one pass over all workers if too many workers have changed or if
too many of its own have left. The result is the same as from sorting all workers.
"""

import heapq
import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, Protocol, TypeVar

from maplestile.dispatch.hashing import HASH_BITS, unit_hash
from maplestile.dispatch.packed_hashes import PackedHashes

# A rebuilt ranking holds twice as many workers as wanted and this many more. So many workers can leave before
# it has to be rebuilt again.
SPARE_WORKERS = 8
# A pass aims to find this many times as many workers as it needs, since finding too few costs a second pass.
BOUND_GUESS_FACTOR = 3.0
BOUND_GUESS_GROWTH = 4  # factor by which the bound grows for each further pass
MAX_WEIGHT_GROUPS = 16  # maximum number of distinct weights for which a pass uses the packed hashes
# Applying one change costs about as much as looking at this many workers in a pass. Changes are dropped once
# applying them all would cost more than a pass.
CHANGE_COST = 4
MIN_WEIGHT = 1e-6  # prevents the division of a hash by a weight of 0
REMOVED_WEIGHT = 0.0  # marks a worker that may no longer be ranked
HASH_RANGE = 1 << HASH_BITS
ROUNDING_MARGIN = 1 - 1e-9  # lowers a bound slightly, so that rounding errors never make it too high


class RankableEntry(Protocol):
    """The entry of a worker in the worker list."""

    @property
    def weight(self) -> float:
        """The worker's capacity relative to the other workers."""
        ...


class Rankable(Protocol):
    """A worker that can be ranked."""

    @property
    def salt(self) -> int:
        """The hash of the worker's name."""
        ...

    @property
    def entry(self) -> RankableEntry:
        """The worker's current entry in the worker list."""
        ...


W = TypeVar("W", bound=Rankable)


class Change(NamedTuple, Generic[W]):
    """The addition or removal of a worker that may be ranked."""

    worker: W
    weight: float  # of an added worker; `REMOVED_WEIGHT` for a removed one


@dataclass(slots=True, eq=False)
class Ranking(Generic[W]):
    """The first workers of one function's ranking: all those with a key below `bound`, in order."""

    salt: int  # hash of the function's name
    workers: list[W] = field(default_factory=list)
    keys: list[float] = field(default_factory=list)  # of `workers`, in the same order
    bound: float = 0.0
    seen_version: int = 0  # version of the index that the ranking reflects

    def remove(self, worker: W) -> None:
        """Remove a worker, if the ranking holds it."""
        if worker in self.workers:
            position = self.workers.index(worker)
            del self.workers[position]
            del self.keys[position]

    def insert(self, worker: W, weight: float) -> None:
        """Insert a worker, if its key is below the bound."""
        key = unit_hash(self.salt, worker.salt) / weight
        if key < self.bound:
            position = bisect_left(self.keys, key)
            self.workers.insert(position, worker)
            self.keys.insert(position, key)

    def truncate(self, size: int) -> None:
        """Drop all but the first `size` workers, and lower the bound to match."""
        if len(self.workers) > size:
            self.bound = self.keys[size]
            del self.workers[size:]
            del self.keys[size:]


class RankingIndex(Generic[W]):
    """The workers that may be ranked, and the latest changes to this set."""

    def __init__(self) -> None:
        self.changes: list[Change[W]] = []  # the latest ones, which update the rankings
        self.passes = 0  # passes over all workers so far, counted for tests
        self._weights: dict[W, float] = {}
        self._groups: dict[float, PackedHashes[W]] = {}  # workers by weight
        self._dropped_changes = 0  # number of old changes that are no longer held

    def __len__(self) -> int:
        return len(self._weights)

    @property
    def version(self) -> int:
        """The total number of changes since the start."""
        return self._dropped_changes + len(self.changes)

    def update(self, workers: Iterable[W]) -> None:
        """Set the workers that may be ranked from now on, with their current weights."""
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
        """Update a ranking to the current workers, with at least `count` of them or, if fewer exist, all."""
        wanted = min(count, len(self._weights))
        missed = self.version - ranking.seen_version
        if ranking.seen_version < self._dropped_changes or missed * CHANGE_COST > len(self._weights):
            self._rebuild(ranking, wanted)
            return
        if missed:
            self._apply_changes(ranking, missed)
        if len(ranking.workers) < wanted:
            self._rebuild(ranking, wanted)
        else:
            rebuilt_size = 2 * wanted + SPARE_WORKERS
            ranking.truncate(2 * rebuilt_size)  # only after insertions have doubled its size

    def _apply_changes(self, ranking: Ranking[W], missed: int) -> None:
        """Apply the last `missed` changes to a ranking."""
        for change in self.changes[-missed:]:
            if change.weight == REMOVED_WEIGHT:
                ranking.remove(change.worker)
            else:
                ranking.insert(change.worker, change.weight)
        ranking.seen_version = self.version

    def _rebuild(self, ranking: Ranking[W], wanted: int) -> None:
        """Rebuild a ranking by a pass over all workers."""
        self.passes += 1
        size = 2 * wanted + SPARE_WORKERS
        if size >= len(self._weights) or len(self._groups) > MAX_WEIGHT_GROUPS:
            keyed, bound = self._with_smallest_keys(ranking.salt, size)
        else:
            keyed, bound = self._below_guessed_bound(ranking.salt, size)
        ranking.keys = [key for key, _ in keyed]
        ranking.workers = [worker for _, worker in keyed]
        ranking.bound = math.inf if len(keyed) == len(self._weights) else bound
        ranking.seen_version = self.version
        ranking.truncate(size)

    def _with_smallest_keys(self, salt: int, size: int) -> tuple[list[tuple[float, W]], float]:
        """Return the `size` smallest keys with their workers, in order, and the next larger key."""
        all_keyed = (
            (unit_hash(salt, worker.salt) / weight, worker) for worker, weight in self._weights.items()
        )
        keyed = heapq.nsmallest(size + 1, all_keyed, key=_key)
        if len(keyed) == len(self._weights):
            return keyed, math.inf
        next_key, _ = keyed.pop()
        return keyed, next_key

    def _below_guessed_bound(self, salt: int, size: int) -> tuple[list[tuple[float, W]], float]:
        """Return all keys below a guessed bound with their workers, in order, and the bound.

        The first guess is a bound below which about `BOUND_GUESS_FACTOR` times `size` keys should lie. The
        bound grows until at least `size` keys lie below it.
        """
        total_weight = sum(weight * len(group) for weight, group in self._groups.items())
        bound = BOUND_GUESS_FACTOR * size / total_weight
        keyed = self._below_bound(salt, bound)
        while len(keyed) < size:
            bound *= BOUND_GUESS_GROWTH
            keyed = self._below_bound(salt, bound)
        return sorted(keyed, key=_key), bound * ROUNDING_MARGIN

    def _below_bound(self, salt: int, bound: float) -> list[tuple[float, W]]:
        """Return all keys below the bound with their workers, in any order."""
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
        """Drop old changes if applying all would cost more than a pass; this also frees removed workers."""
        surplus = len(self.changes) - len(self._weights) // CHANGE_COST
        if surplus > 0:
            del self.changes[:surplus]
            self._dropped_changes += surplus


def _key(keyed: tuple[float, Rankable]) -> float:
    return keyed[0]
