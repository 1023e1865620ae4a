"""The entry of a list with the greatest age, without a scan of the list.

The age of an entry changes only when its function is called or when it is inserted into a list. So a heap
from which stale elements are removed late (lazy deletion) gives the greatest: an element counts as long as
its entry is in this list and has the age that it was pushed with. Entries of equal age go by the order of
their insertion, the first one first, as in a scan of the list.
"""

import heapq
from itertools import count
from typing import Generic, Protocol, TypeVar

STALE_FACTOR = 4  # the heap is rebuilt past so many elements for each entry
MIN_REBUILD_SIZE = 64


class AgedEntry(Protocol):
    """An entry that can stand in one list at a time."""

    tier: int  # the number of its list
    insertion_number: int  # the number of its last insertion into a list

    def aged(self) -> int:
        """Return its age, in any unit."""
        ...


E = TypeVar("E", bound=AgedEntry)
# The age (negative, so that the greatest comes first), the number of the insertion, the number of the
# element, which no two share, and the entry.
HeapElement = tuple[int, int, int, E]


class AgeOrder(Generic[E]):
    """The entries of one list by age, the greatest first."""

    def __init__(self, tier: int) -> None:
        self.tier = tier  # the number of the list
        self.heap: list[HeapElement[E]] = []
        self._rebuild_size = MIN_REBUILD_SIZE
        self._numbers = count()

    def insert(self, entry: E) -> None:
        """Take in an entry that was inserted into the list, or moved to its end."""
        entry.insertion_number = next(self._numbers)
        self.update(entry)

    def update(self, entry: E) -> None:
        """Take in the changed age of an entry of the list."""
        heapq.heappush(self.heap, (-entry.aged(), entry.insertion_number, next(self._numbers), entry))
        if len(self.heap) > self._rebuild_size:
            self._rebuild()

    def oldest(self) -> E | None:
        """Return the entry of the greatest age, or None if the list is empty."""
        while self.heap and not self._is_current(self.heap[0]):
            heapq.heappop(self.heap)
        return self.heap[0][3] if self.heap else None

    def _rebuild(self) -> None:
        """Remove all stale elements, which bounds the memory where the oldest is not looked up for long."""
        self.heap = [element for element in self.heap if self._is_current(element)]
        heapq.heapify(self.heap)
        self._rebuild_size = STALE_FACTOR * len(self.heap) + MIN_REBUILD_SIZE

    def _is_current(self, element: HeapElement[E]) -> bool:
        negative_age, insertion_number, _, entry = element
        is_unmoved = entry.tier == self.tier and entry.insertion_number == insertion_number
        return is_unmoved and entry.aged() == -negative_age
