"""Hashes without a seed, so that all dispatchers and all runs of the program agree on them."""

import hashlib

HASH_BITS = 64
MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio, odd: Fibonacci hashing (Knuth, TAOCP, 6.4)


def digest(text: str) -> int:
    """Return the hash of a text, a whole number under 2**64."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BITS // 8).digest())


def unit_hash(a: int, b: int) -> float:
    """Return the hash of two hashes as a fraction: at least 0, and under 1 but for rounding."""
    return float(((a ^ b) * MULTIPLIER % 2**HASH_BITS) / 2**HASH_BITS)
