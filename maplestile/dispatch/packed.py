"""The hashes of many items in one whole number, so that one multiplication hashes them all with a salt.

Each item has a lane of 128 bits, in which `(salt ^ hash) * MULTIPLIER` cannot overflow into the next. The
eighth byte of a lane is the most significant one of the product modulo 2**64, so that bytes alone tell which
lanes may lie under a limit: a pass over all items costs a few operations on long numbers, in place of some
operations on each item.
"""

from typing import Generic, TypeVar

from maplestile.dispatch.hashing import HASH_BITS, MULTIPLIER

LANE_BYTES = 16
LANE_BITS = 8 * LANE_BYTES
TOP_BYTE = HASH_BITS // 8 - 1  # of a lane: the most significant byte of the product modulo 2**64
BYTE_VALUES = 256
MIN_LANES = 64
T = TypeVar("T")


class PackedHashes(Generic[T]):
    """Items by their 64-bit hashes; an item keeps its lane until it is removed."""

    def __init__(self) -> None:
        self._items: list[T | None] = [None] * MIN_LANES  # by lane
        self._free_lanes = list(range(MIN_LANES))
        self._placed: dict[T, tuple[int, int]] = {}  # the lane of each item, and the hash in it
        self._packed = 0

    def __len__(self) -> int:
        return len(self._placed)

    def add(self, item: T, item_hash: int) -> None:
        """Add an item that is not there yet."""
        if not self._free_lanes:
            self._double()
        lane = self._free_lanes.pop()
        self._items[lane] = item
        self._placed[item] = (lane, item_hash)
        self._packed ^= item_hash << (LANE_BITS * lane)

    def remove(self, item: T) -> None:
        """Remove an item; raises `KeyError` if it is not there."""
        lane, item_hash = self._placed.pop(item)
        self._packed ^= item_hash << (LANE_BITS * lane)
        self._items[lane] = None
        self._free_lanes.append(lane)

    def candidates(self, salt: int, limit: int) -> list[T]:
        """Return all items whose `(salt ^ hash) * MULTIPLIER % 2**64` is under `limit`, and a few more."""
        marked = self._top_bytes(salt).translate(_marks_under(limit))
        found = list[T]()
        lane = marked.find(1)
        while lane >= 0:
            item = self._items[lane]
            if item is not None:
                found.append(item)
            lane = marked.find(1, lane + 1)
        return found

    def _top_bytes(self, salt: int) -> bytes:
        """Return the most significant byte of each lane's product."""
        lanes = len(self._items)
        salts = int.from_bytes(salt.to_bytes(LANE_BYTES, "little") * lanes, "little")
        # The product of the last lane may need all of its 128 bits, and no more.
        product = ((self._packed ^ salts) * MULTIPLIER).to_bytes(LANE_BYTES * lanes, "little")
        return product[TOP_BYTE::LANE_BYTES]

    def _double(self) -> None:
        """Make twice as many lanes, when none is free."""
        lanes = len(self._items)
        self._free_lanes = list(range(lanes, 2 * lanes))
        self._items += [None] * lanes


def _marks_under(limit: int) -> bytes:
    """Return a table for `bytes.translate` with 1 for top bytes of products under the limit, 0 for others."""
    marked = min(BYTE_VALUES, (limit >> (HASH_BITS - 8)) + 1)
    return b"\1" * marked + b"\0" * (BYTE_VALUES - marked)
