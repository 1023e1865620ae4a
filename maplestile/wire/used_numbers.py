"""Remembers which numbers the calls of a connection have had, each of which has to be new."""

from bisect import bisect_right

MAX_RANGES = 16  # of consecutive numbers; clients count upward, so there are few


class UsedNumbers:
    """A set of numbers, kept as ranges of consecutive ones.

    With more than `MAX_RANGES` ranges, the numbers between the two lowest ones count as used, too.
    """

    __slots__ = ("_firsts", "_lasts")

    def __init__(self) -> None:
        self._firsts: list[int] = []  # of the ranges, in ascending order
        self._lasts: list[int] = []

    def add(self, number: int) -> bool:
        """Add a number, and return whether it was new."""
        index = bisect_right(self._firsts, number)  # of the first range that begins after the number
        if index and number <= self._lasts[index - 1]:
            return False
        follows = index > 0 and self._lasts[index - 1] == number - 1
        precedes = index < len(self._firsts) and self._firsts[index] == number + 1
        if follows and precedes:
            self._lasts[index - 1] = self._lasts.pop(index)
            del self._firsts[index]
        elif follows:
            self._lasts[index - 1] = number
        elif precedes:
            self._firsts[index] = number
        else:
            self._firsts.insert(index, number)
            self._lasts.insert(index, number)
            self._limit_ranges()
        return True

    def _limit_ranges(self) -> None:
        """Join the two lowest ranges if there are too many."""
        if len(self._firsts) > MAX_RANGES:
            del self._firsts[1]
            del self._lasts[0]
