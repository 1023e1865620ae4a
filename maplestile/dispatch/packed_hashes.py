"""Packs the hashes of many items into one integer, so that one multiplication combines them all with a salt.

Each item has a lane of 128 bits, in which `(salt ^ hash) * MULTIPLIER` cannot overflow into the next lane.
The eighth byte of a lane is the most significant byte of the product modulo 2**64, so this byte alone tells
which lanes may lie below a limit. A pass over all items then takes a few operations on long integers instead
of several operations on each item.
"""

from typing import Generic, TypeVar

from maplestile.dispatch.hashing import HASH_BITS, MULTIPLIER

LANE_BYTES = 16
LANE_BITS = 8 * LANE_BYTES
TOP_BYTE = HASH_BITS // 8 - 1  # index in a lane of the most significant byte of the product modulo 2**64
BYTE_VALUES = 256
MIN_LANES = 64
T = TypeVar("T")


class PackedHashes(Generic[T]):
    """A set of items with their 64-bit hashes; an item keeps its lane until it is removed."""

    def __init__(self) -> None:
        self._items: list[T | None] = [None] * MIN_LANES  # by lane; None in a free lane
        self._free_lanes = list(range(MIN_LANES))
        self._placements: dict[T, tuple[int, int]] = {}  # each item's lane and hash
        self._packed = 0  # the hashes of all items, each in its lane

    def __len__(self) -> int:
        return len(self._placements)

    def add(self, item: T, item_hash: int) -> None:
        """Add an item that is not in the set."""
        if not self._free_lanes:
            self._double_lanes()
        lane = self._free_lanes.pop()
        self._items[lane] = item
        self._placements[item] = (lane, item_hash)
        self._packed ^= item_hash << (LANE_BITS * lane)

    def remove(self, item: T) -> None:
        """Remove an item; raise `KeyError` if it is not in the set."""
        lane, item_hash = self._placements.pop(item)
        self._packed ^= item_hash << (LANE_BITS * lane)
        self._items[lane] = None
        self._free_lanes.append(lane)

    def candidates(self, salt: int, limit: int) -> list[T]:
        """Return all items whose `(salt ^ hash) * MULTIPLIER % 2**64` is below `limit`, and maybe others."""
        marks = self._top_bytes(salt).translate(_marks_below(limit))
        found = list[T]()
        lane = marks.find(1)
        while lane >= 0:
            item = self._items[lane]
            if item is not None:
                found.append(item)
            lane = marks.find(1, lane + 1)
        return found

    def _top_bytes(self, salt: int) -> bytes:
        """Return the most significant byte of each lane's product."""
        lane_count = len(self._items)
        salts = int.from_bytes(salt.to_bytes(LANE_BYTES, "little") * lane_count, "little")
        # The product of the last lane may need all of its 128 bits, but no more.
        product = ((self._packed ^ salts) * MULTIPLIER).to_bytes(LANE_BYTES * lane_count, "little")
        return product[TOP_BYTE::LANE_BYTES]

    def _double_lanes(self) -> None:
        """Double the number of lanes; called only when none is free."""
        lane_count = len(self._items)
        self._free_lanes = list(range(lane_count, 2 * lane_count))
        self._items += [None] * lane_count


def _marks_below(limit: int) -> bytes:
    """Return a table for `bytes.translate`: 1 for top bytes of products below the limit, 0 for others."""
    marked_values = min(BYTE_VALUES, (limit >> (HASH_BITS - 8)) + 1)
    return b"\1" * marked_values + b"\0" * (BYTE_VALUES - marked_values)
