"""Finds the oldest entry of a tier without a scan of the tier.

The age of an entry changes only when its function is called or inserted into a tier. The oldest entry is the
first of a heap with lazy deletion: an element of the heap is valid as long as its entry is in this tier and
has the age with which it was pushed. Entries of equal age are ordered by insertion, the earliest first, as in
a scan of the tier.
"""

import heapq
from itertools import count
from typing import Generic, Protocol, TypeVar

STALE_FACTOR = 4  # the heap is rebuilt once it has grown to about this many times its valid elements
MIN_REBUILD_SIZE = 64  # elements up to which the heap is never rebuilt


class AgedEntry(Protocol):
    """An entry that can be in one tier at a time."""

    tier: int
    insertion_number: int  # of the last insertion into a tier

    def age_key(self) -> int:
        """Return a number that orders entries by age; it is greater for older entries."""
        ...


E = TypeVar("E", bound=AgedEntry)
# The negative age key (the heap's smallest element is the oldest), the insertion number, the unique number of
# the element, and the entry.
HeapElement = tuple[int, int, int, E]


class AgeHeap(Generic[E]):
    """The entries of one tier by age, the oldest first."""

    def __init__(self, tier: int) -> None:
        self.tier = tier
        self.heap: list[HeapElement[E]] = []  # may contain stale elements
        self._rebuild_size = MIN_REBUILD_SIZE
        self._numbers = count()

    def insert(self, entry: E) -> None:
        """Add an entry that was inserted into the tier or moved to its end."""
        entry.insertion_number = next(self._numbers)
        self.update(entry)

    def update(self, entry: E) -> None:
        """Record the changed age of an entry of the tier."""
        heapq.heappush(self.heap, (-entry.age_key(), entry.insertion_number, next(self._numbers), entry))
        if len(self.heap) > self._rebuild_size:
            self._rebuild()

    def oldest(self) -> E | None:
        """Return the oldest entry, or None if the tier is empty."""
        while self.heap and not self._is_current(self.heap[0]):
            heapq.heappop(self.heap)
        return self.heap[0][3] if self.heap else None

    def _rebuild(self) -> None:
        """Remove all stale elements, which bounds the memory even if `oldest` is rarely called."""
        self.heap = [element for element in self.heap if self._is_current(element)]
        heapq.heapify(self.heap)
        self._rebuild_size = STALE_FACTOR * len(self.heap) + MIN_REBUILD_SIZE

    def _is_current(self, element: HeapElement[E]) -> bool:
        negative_age_key, insertion_number, _, entry = element
        is_unmoved = entry.tier == self.tier and entry.insertion_number == insertion_number
        return is_unmoved and entry.age_key() == -negative_age_key
