"""Computes hashes without a seed, which are the same at all dispatchers and in all processes."""

try:
    from _blake2 import blake2b  # of the interpreter itself; `hashlib` would load OpenSSL, which takes 5 MB
except ImportError:
    from hashlib import blake2b

HASH_BITS = 64
# 2**64 divided by the golden ratio and made odd, for Fibonacci hashing (Knuth, TAOCP, section 6.4).
MULTIPLIER = 0x9E3779B97F4A7C15


def digest(text: str) -> int:
    """Return the hash of a text, an integer below 2**64."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BITS // 8).digest())


def unit_hash(a: int, b: int) -> float:
    """Return the combined hash of two hashes, scaled to the range from 0 to 1 (1 only by rounding)."""
    return float(((a ^ b) * MULTIPLIER % 2**HASH_BITS) / 2**HASH_BITS)
