"""The connections of the platform's front, and which of them is evicted for a newcomer at the cap."""

from collections import Counter
from collections.abc import Callable
from enum import IntEnum

from maplestile.net.client import Client
from maplestile.wire.limits import Limits


class EvictionRank(IntEnum):
    """In which order connections without an open request are evicted."""

    WRITE_CLOSED = 0  # this side has ended it
    SILENT = 1  # it never sent a request, for long
    ONE_REQUEST = 2
    WAITING = 3  # it never sent a request, and had a short time to
    RETURNING = 4  # it sent requests more than once
    NEW = 5


class ClientTable:
    """All connections at the cap, with the limits and counters that apply to them."""

    def __init__(self, limits: Limits, counters: Counter[str], clock: Callable[[], int]) -> None:
        self.limits = limits
        self.counters = counters
        self.clock = clock
        self.clients: dict[Client, None] = {}  # the least recently active first
        # Closed connections whose last answers are still to be read; the first to close first.
        self.flushing: dict[Client, None] = {}

    def is_full(self) -> bool:
        """Return whether the cap of connections is reached."""
        return len(self.clients) + len(self.flushing) >= self.limits.clients.connections

    def mark_active(self, client: Client) -> None:
        """Make the client the most recently active one."""
        client.last_active_us = self.clock()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the system has not taken yet, of all clients."""
        now_us = self.clock()
        return sum(client.unsent_bytes(now_us) for client in self.clients)

    def evict_idle(self) -> bool:
        """Close one connection without a pending request or unread input; return whether there was one.

        A request that was read, or is on its way in pieces, must not be dropped for a newcomer's. Where no
        connection is idle, one whose client has not read or sent on for long is closed in its place.
        """
        candidates = self._eviction_candidates()
        return (
            self._evict_first_idle(candidates) or self._abort_unread() or self._evict_unfinished(candidates)
        )

    def _eviction_candidates(self) -> list[Client]:
        """Return the connections without an open request, the first to be evicted first.

        The order is that of a segmented LRU, so that a crowd of clients that come once does not evict those
        in use: by rank, and within one rank by the last activity.
        """
        now_us = self.clock()
        candidates = (client for client in self.clients if not client.calls)
        return sorted(candidates, key=lambda client: self._eviction_rank(client, now_us))

    def _eviction_rank(self, client: Client, now_us: int) -> EvictionRank:
        if client.write_closed:
            return EvictionRank.WRITE_CLOSED
        if client.message_reads:
            return EvictionRank.ONE_REQUEST if client.message_reads == 1 else EvictionRank.RETURNING
        silent_us = now_us - client.message_since_us
        if silent_us > self.limits.clients.silent_us:
            return EvictionRank.SILENT
        return EvictionRank.WAITING if silent_us > self.limits.clients.grace_us else EvictionRank.NEW

    def _evict_first_idle(self, candidates: list[Client]) -> bool:
        """Close the first connection of which all input has been handled."""
        for client in candidates:
            if not client.has_unhandled_input():
                self.counters["clients.idle_evicted"] += 1
                self._evict(client)
                return True
        return False

    def _abort_unread(self) -> bool:
        """Abort a closed connection whose client has not read its last answers for long."""
        now_us = self.clock()
        for client in self.flushing:
            unread_us = now_us - client.unread_since_us if client.unsent_bytes(now_us) else 0
            if unread_us > self.limits.clients.unread_us:
                self.counters["clients.idle_evicted"] += 1
                del self.flushing[client]
                client.writer.transport.abort()
                return True
        return False

    def _evict_unfinished(self, candidates: list[Client]) -> bool:
        """Close a connection with a part of a request, of which the rest has not come for long."""
        since_us = self.clock() - self.limits.clients.unfinished_us
        for client in candidates:
            is_unfinished = client.framer.rest and client.message_since_us < since_us
            if is_unfinished and not client.handling and not client.unread_input_bytes():
                self.counters["clients.unfinished_evicted"] += 1
                self._evict(client)
                return True
        return False

    def _evict(self, client: Client) -> None:
        self.clients.pop(client, None)
        client.writer.close()
