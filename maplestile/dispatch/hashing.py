"""The hashes behind rankings and ramps: without a seed, so that all dispatchers share them."""

import hashlib

BITS, SPREADER = 64, 0x9E3779B97F4A7C15  # an odd number, from the golden ratio


def digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=BITS // 8).digest())


def mixed(a: int, b: int) -> float:
    return float(((a ^ b) * SPREADER % 2**BITS) / 2**BITS)
