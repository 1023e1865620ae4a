"""How much asyncio reads from a socket in one go."""

import asyncio


def bound(transport: asyncio.BaseTransport, most: int) -> None:
    """Have a transport read so many bytes at a time, in place of 256 KB.

    Guards memory twice: against what one read of a flooding client brings, and against a heap in pieces. Each
    read takes a buffer of its full size and gives back what was not filled; with large ones the heap grew by
    22 KB a second for as long as the process lived, though no more of it was in use."""
    transport.max_size = most  # type: ignore[attr-defined]
