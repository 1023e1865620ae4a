"""Sorts functions into three tiers, single, multiple and caching, by the gaps between their calls.

Each call promotes its function by one tier. In a full tier, the function replaces the one with the longest
aged gap, which is demoted. The copies of functions in the caching tier are kept warm. The tiers follow the
paper that the operators' design page names.
"""

from itertools import islice

from maplestile.dispatch.age_heap import AgeHeap
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.hashing import digest
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.loads_in_progress import LoadsInProgress
from maplestile.dispatch.state import CACHING, MULTIPLE, SINGLE, UNLISTED, FunctionEntry

# Fraction of the fleet's memory for the copies of the caching tier; the rest is for all other copies in use.
CACHING_MEMORY_SHARE = 0.5
# The single tier may be this many times as large as the caching tier, so that a rare function is still listed
# when its second call arrives, which gives its first gap.
SINGLE_TIER_FACTOR = 4
# Sizes of the tiers together, in capacities.
ALL_TIERS_FACTOR = SINGLE_TIER_FACTOR + 2
EVICTION_SCAN = 16  # functions that are looked at for one to evict, oldest first


class FunctionTiers:
    """The functions that this dispatcher knows, and their tiers."""

    def __init__(
        self, context: Context, *, fleet: Fleet, load_rate: LoadRate, loads: LoadsInProgress
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate
        self.loads = loads
        self.functions: dict[str, FunctionEntry] = {}
        self.tiers: tuple[dict[str, FunctionEntry], ...] = ({}, {}, {})
        # Of the tiers that give up their oldest function; the single tier is in the order of the last calls.
        self.by_age = {tier: AgeHeap[FunctionEntry](tier) for tier in (MULTIPLE, CACHING)}
        self.max_functions = 0  # for which the driver has memory; 0 for no limit
        self._fleet_capacity = 1  # number of copies for which the fleet has memory
        self.kind_memory_mb = dict(context.settings.kind_memory_mb)

    @property
    def capacity(self) -> int:
        """The maximum number of functions in each of the multiple and caching tiers."""
        if not self.max_functions:
            return self._fleet_capacity
        return max(1, min(self._fleet_capacity, self.max_functions // ALL_TIERS_FACTOR))

    def add(self, function: str, service_us: float, load_us: float) -> FunctionEntry:
        """Add a new function, with initial estimates of its service and load times."""
        entry = FunctionEntry(function, digest(function), service_us, load_us)
        self.functions[function] = entry
        return entry

    def record_call(self, entry: FunctionEntry) -> None:
        """Record a call of the function, and promote it by one tier if its gap is short enough."""
        # Calls that come at the same time count as one: the backlog of a stall would otherwise promote rare
        # functions over frequently called ones.
        if entry.last_call_us and self.context.now_us > entry.last_call_us:
            entry.gap_us = self.context.now_us - entry.last_call_us
        self.load_rate.record_call(entry)
        if not self.tiers[CACHING]:  # only while it is empty, so that no function is forced out
            self._update_capacity()
        if not entry.is_listed():
            self.insert(entry, SINGLE)
        elif entry.tier != CACHING and not self.promote(entry, entry.tier + 1):
            self.insert(entry, entry.tier)  # moves it to the end of its tier, as the most recently called
        elif entry.tier == CACHING:
            self.by_age[CACHING].update(entry)

    def promote(self, entry: FunctionEntry, tier: int) -> bool:
        """Move the function to a tier if it qualifies; return whether it did.

        A function qualifies if its aged gap is shorter than the longest one in the tier. The multiple tier
        accepts any function while it has room. A full tier gives up the function with the longest aged gap:
        the caching tier to the multiple tier if the function qualifies there, otherwise to the single tier.
        """
        is_full = len(self.tiers[tier]) >= self.capacity
        worst = self.by_age[tier].oldest() if is_full or tier == CACHING else None
        if worst is not None and entry.age_key() >= worst.age_key():
            return False
        self.insert(entry, tier)
        if is_full and worst is not None:
            stays_in_multiple = tier == CACHING and self.promote(worst, MULTIPLE)
            if not stays_in_multiple:
                self.insert(worst, SINGLE)
        return True

    def insert(self, entry: FunctionEntry, tier: int) -> None:
        """Put the function at the end of a tier; if the single tier is too long, evict its first function."""
        if entry.is_listed():
            del self.tiers[entry.tier][entry.function]
        entry.tier = tier
        self.tiers[tier][entry.function] = entry
        if tier != SINGLE:
            self.by_age[tier].insert(entry)
        if len(self.tiers[SINGLE]) > SINGLE_TIER_FACTOR * self.capacity:
            oldest = next(iter(self.tiers[SINGLE].values()))
            if not oldest.waiting and not oldest.busy:
                self.evict(oldest)
        if 0 < self.max_functions < len(self.functions):
            self._evict_unused()

    def _evict_unused(self) -> None:
        """Evict the oldest functions of the single tier that are not in use, until there are few enough.

        The oldest one may be in use for long, and the tier would grow with each new name meanwhile. Only some
        functions are looked at, since this is done for each call.
        """
        for entry in list(islice(self.tiers[SINGLE].values(), EVICTION_SCAN)):
            if len(self.functions) <= self.max_functions:
                return
            if not entry.waiting and not entry.busy:
                self.evict(entry)

    def evict(self, entry: FunctionEntry) -> None:
        """Drop all records of the function; otherwise they would accumulate, as new names keep arriving."""
        del self.functions[entry.function]
        del self.tiers[entry.tier][entry.function]
        entry.tier = UNLISTED  # else the heap of its tier would keep it for good
        self.loads.forget(entry.drop_copies())

    def _update_capacity(self) -> None:
        """Set the capacity to the number of copies of average size that fit into the memory for caching."""
        workers = self.fleet.workers.values()
        fleet_mb = sum(self.kind_memory_mb.get(worker.entry.kind, 0.0) for worker in workers)
        known_mb = [entry.memory_mb for entry in self.functions.values() if entry.memory_mb > 0]
        copies = CACHING_MEMORY_SHARE * fleet_mb * len(known_mb) / sum(known_mb) if known_mb else 0
        self._fleet_capacity = max(1, int(copies))
