"""Remembers the ids of the latest requests, each of which has to be new, in memory of a fixed size."""

import random
from array import array
from collections.abc import Iterator

ID_BITS = 64
ID_MASK = (1 << ID_BITS) - 1
SLOTS_PER_ID = 2
EMPTY = 0  # a slot without an id


class RecentIds:
    """The latest ids: at least `capacity` of them, at most twice as many.

    They are kept in two hash tables with open addressing. Once the younger one is full, the older one is
    dropped. Clients choose the ids, so the multiplier of the hash is random: nobody can choose ids that
    collide.
    """

    def __init__(self, capacity: int) -> None:
        """`capacity` is a power of two."""
        self.capacity = capacity
        slots = SLOTS_PER_ID * capacity
        self._shift = ID_BITS - (slots.bit_length() - 1)
        self._mask = slots - 1
        self._multiplier = random.SystemRandom().getrandbits(ID_BITS) | 1
        self._zero_id = random.SystemRandom().getrandbits(ID_BITS) | 1  # stands for the id 0
        self._younger = self._new_table()
        self._older = self._new_table()
        self._younger_count = 0

    def add(self, id_: int) -> bool:
        """Add an id of `ID_BITS` bits, and return whether it was new."""
        key = id_ or self._zero_id
        slot = self._find(self._younger, key)
        if self._younger[slot] == key or self._older[self._find(self._older, key)] == key:
            return False
        if self._younger_count >= self.capacity:
            self._older, self._younger = self._younger, self._new_table()
            self._younger_count = 0
            slot = self._find(self._younger, key)
        self._younger[slot] = key
        self._younger_count += 1
        return True

    def __iter__(self) -> Iterator[int]:
        """Yield the ids, the older ones first."""
        for table in (self._older, self._younger):
            yield from (key for key in table if key != EMPTY)

    def _new_table(self) -> "array[int]":
        return array("Q", bytes((self._mask + 1) * array("Q").itemsize))

    def _find(self, table: "array[int]", key: int) -> int:
        """Return the slot that holds a key, or the empty slot where it belongs."""
        slot = (key * self._multiplier & ID_MASK) >> self._shift
        while table[slot] not in (EMPTY, key):
            slot = (slot + 1) & self._mask
        return slot
