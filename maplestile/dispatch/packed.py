"""The hashes of many workers in one whole number, so that one product ranks them all for a function.

Each hash has a lane of 128 bits, in which `(salt ^ hash) * SPREADER` cannot overflow into the next. The
eighth byte of a lane is the first of the product modulo 2**64, so bytes alone tell which lanes may lie under
a limit: a pass over all workers costs a few operations on long numbers in place of some on each worker."""

from typing import Generic, TypeVar

from maplestile.dispatch.hashing import BITS, SPREADER

LANE_BYTES, TOP_BYTE = 16, BITS // 8 - 1
LEAST_LANES = 64
T = TypeVar("T")


class Lanes(Generic[T]):
    """Things by their 64-bit hashes; a thing keeps its lane until it is removed."""

    def __init__(self) -> None:
        self.things: list[T | None] = [None] * LEAST_LANES
        self.free = list(range(LEAST_LANES))
        self.lanes: dict[T, tuple[int, int]] = {}  # the lane, and the hash in it
        self.packed = 0

    def __len__(self) -> int:
        return len(self.lanes)

    def add(self, thing: T, salt: int) -> None:
        if not self.free:
            size = len(self.things)
            self.free = list(range(size, 2 * size))
            self.things += [None] * size
        lane = self.free.pop()
        self.things[lane], self.lanes[thing] = thing, (lane, salt)
        self.packed ^= salt << (8 * LANE_BYTES * lane)

    def remove(self, thing: T) -> None:
        lane, salt = self.lanes.pop(thing)
        self.packed ^= salt << (8 * LANE_BYTES * lane)
        self.things[lane] = None
        self.free.append(lane)

    def under(self, salt: int, limit: int) -> list[T]:
        """All things whose `(salt ^ hash) * SPREADER % 2**64` is under `limit`, and a few more."""
        size = len(self.things)
        mine = int.from_bytes(salt.to_bytes(LANE_BYTES, "little") * size, "little")
        # The product of the last lane may need all of its 128 bits, and no more.
        product = ((self.packed ^ mine) * SPREADER).to_bytes(LANE_BYTES * size, "little")
        first = product[TOP_BYTE::LANE_BYTES]
        marked = first.translate(_marks(min(256, (limit >> (BITS - 8)) + 1)))
        found, at = list[T](), marked.find(1)
        while at >= 0:
            if (thing := self.things[at]) is not None:
                found.append(thing)
            at = marked.find(1, at + 1)
        return found


def _marks(most: int) -> bytes:
    """Maps the bytes under `most` to 1, the others to 0."""
    return b"\1" * most + b"\0" * (256 - most)
