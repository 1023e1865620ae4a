"""Which row of a list was called least often of late, without a look at each of them.

The rows' ages move only when they are called or settle in a list, so a heap with stale entries left in it
(lazy deletion) tells the greatest: an entry counts as long as its row stands there and has the age that it
was entered with. Rows of one age go by when they settled, the first first, as in a scan of the list."""

import heapq
from itertools import count
from typing import Generic, Protocol, TypeVar

STALE_MOST = 4  # entries for each row before the heap is made anew
LEAST = 64


class Aging(Protocol):
    place: int
    settled: int

    def aged(self) -> int: ...


R = TypeVar("R", bound=Aging)


class OldestFirst(Generic[R]):
    """The rows of one list by age, the greatest first."""

    def __init__(self, place: int) -> None:
        self.place = place
        self.most = LEAST  # entries before those that stand no more are dropped
        self.heap: list[tuple[int, int, int, R]] = []
        self.numbers = count()

    def settle(self, row: R) -> None:
        """It has come to the list, or to its end."""
        row.settled = next(self.numbers)
        self.called(row)

    def called(self, row: R) -> None:
        """Its age has changed where it stands."""
        heapq.heappush(self.heap, (-row.aged(), row.settled, next(self.numbers), row))
        if len(self.heap) > self.most:  # guards memory: nobody may ask for the first for a long time
            self.heap = [entry for entry in self.heap if self._stands(entry)]
            heapq.heapify(self.heap)
            self.most = STALE_MOST * len(self.heap) + LEAST

    def first(self) -> R | None:
        """The greatest of the list's rows."""
        while self.heap and not self._stands(self.heap[0]):
            heapq.heappop(self.heap)
        return self.heap[0][3] if self.heap else None

    def _stands(self, entry: tuple[int, int, int, R]) -> bool:
        age, settled, _, row = entry
        return row.place == self.place and row.settled == settled and row.aged() == -age
