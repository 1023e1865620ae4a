"""The three gap-ranked lists of functions: single, multiple and caching.

A function rises one list at a call, and in a full list it takes the place of the function with the longest
aged gap, which drops one list. The copies of the caching list are kept warm. The lists follow the paper that
the operators' design page names.
"""

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.hashing import digest
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.loads import LoadsUnderWay
from maplestile.dispatch.recency import AgeOrder
from maplestile.dispatch.state import CACHING, MULTIPLE, SINGLE, FunctionEntry

CACHING_MEMORY_SHARE = 0.5  # of the fleet's memory, for all caching lists; the rest is for working copies
# Functions in the single list, at most, for each that the caching list has room for: enough that a rare
# function is still listed at its second call, which gives its first gap.
SINGLE_TIER_FACTOR = 4


class FunctionTiers:
    """The functions known by name, and the tier of each."""

    def __init__(self, context: Context, *, fleet: Fleet, load_rate: LoadRate, loads: LoadsUnderWay) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate
        self.loads = loads
        self.functions: dict[str, FunctionEntry] = {}
        self.tiers: tuple[dict[str, FunctionEntry], ...] = ({}, {}, {})
        self.by_age = [AgeOrder[FunctionEntry](tier) for tier in (SINGLE, MULTIPLE, CACHING)]
        self.capacity = 1  # functions in the multiple and in the caching list, each
        self.kind_memory_mb = dict(context.settings.kind_memory_mb)

    def add(self, function: str, service_us: float, load_us: float) -> FunctionEntry:
        """A function that was not known by its name."""
        entry = FunctionEntry(function, digest(function), service_us, load_us)
        self.functions[function] = entry
        return entry

    def record_call(self, entry: FunctionEntry) -> None:
        """One more call of the function: it rises one tier, if its gap is short enough for that."""
        # Calls of one tick count as one: a stall's backlog would else lift rare functions past hot ones.
        if entry.last_call_us and self.context.now_us > entry.last_call_us:
            entry.gap_us = self.context.now_us - entry.last_call_us
        self.load_rate.record_call(entry)
        if not self.tiers[CACHING]:  # sized only while empty, so that no function is put out by a new size
            self._update_capacity()
        if not entry.listed():
            self.insert(entry, SINGLE)
        elif entry.tier != CACHING and not self.promote(entry, entry.tier + 1):
            self.insert(entry, entry.tier)  # at the end of its tier, since it was called last
        elif entry.tier == CACHING:
            self.by_age[CACHING].update(entry)

    def promote(self, entry: FunctionEntry, tier: int) -> bool:
        """Move the function to a tier, if it fits there; returns whether it did.

        It fits where its aged gap is shorter than the longest there; the multiple list takes any while it has
        room. A full list gives up the function of the longest gap: from caching to multiple if it fits there,
        else to single.
        """
        full = len(self.tiers[tier]) >= self.capacity
        worst = self.by_age[tier].oldest() if full or tier == CACHING else None
        if worst is not None and entry.aged() >= worst.aged():
            return False
        self.insert(entry, tier)
        if full and worst is not None:
            moves_down_one = tier == CACHING and self.promote(worst, MULTIPLE)
            if not moves_down_one:
                self.insert(worst, SINGLE)
        return True

    def insert(self, entry: FunctionEntry, tier: int) -> None:
        """Put the function at the end of a tier; the first of an overlong single tier is evicted."""
        if entry.listed():
            del self.tiers[entry.tier][entry.function]
        entry.tier = tier
        self.tiers[tier][entry.function] = entry
        self.by_age[tier].insert(entry)
        if len(self.tiers[SINGLE]) > SINGLE_TIER_FACTOR * self.capacity:
            oldest = next(iter(self.tiers[SINGLE].values()))
            if not oldest.waiting and not oldest.busy:
                self.evict(oldest)

    def evict(self, entry: FunctionEntry) -> None:
        """Drop all records of the function: names come and go for as long as the process runs."""
        del self.functions[entry.function]
        del self.tiers[entry.tier][entry.function]
        self.loads.forget(entry.drop_copies())

    def _update_capacity(self) -> None:
        """Size the lists by how many copies of the mean known memory fit into their share of the fleet."""
        workers = self.fleet.workers.values()
        fleet_mb = sum(self.kind_memory_mb.get(worker.entry.kind, 0.0) for worker in workers)
        known_mb = [entry.memory_mb for entry in self.functions.values() if entry.memory_mb > 0]
        copies = CACHING_MEMORY_SHARE * fleet_mb * len(known_mb) / sum(known_mb) if known_mb else 0
        self.capacity = max(1, int(copies))
