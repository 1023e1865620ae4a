"""Keeps the client connections of the platform front, and evicts idle ones at the connection limit."""

from collections import Counter
from collections.abc import Callable, Iterator
from enum import IntEnum
from itertools import chain

from maplestile.net.client import Client
from maplestile.wire.limits import Limits


class EvictionRank(IntEnum):
    """The eviction order of connections without an open request; the lowest rank is evicted first."""

    WRITE_CLOSED = 0  # the router has closed its write side
    SILENT = 1  # has sent no request within `ClientLimits.silent_us`
    ONE_REQUEST = 2  # has sent one request, or several that came in one read
    WAITING = 3  # has sent no request within `ClientLimits.first_request_us`
    RETURNING = 4  # has sent further requests later
    NEW = 5  # has sent no request, but `ClientLimits.first_request_us` is not over


class ClientTable:
    """The connections that count towards the connection limit, with their limits and counters."""

    def __init__(self, limits: Limits, counters: Counter[str], clock: Callable[[], int]) -> None:
        self.limits = limits
        self.counters = counters
        self.clock = clock
        self.clients: dict[Client, None] = {}  # an ordered set, least recently active first
        # Closed connections whose clients have not read their last answers yet, in the order of closing.
        self.flushing: dict[Client, None] = {}

    def is_full(self) -> bool:
        """Return whether the connection limit is reached."""
        return len(self.clients) + len(self.flushing) >= self.limits.clients.connections

    def mark_active(self, client: Client) -> None:
        """Move the client to the end of the table, as the most recently active one."""
        client.last_active_us = self.clock()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers to all clients the kernel has not accepted yet."""
        now_us = self.clock()
        return sum(client.unsent_bytes(now_us) for client in self.all_connections())

    def all_connections(self) -> Iterator[Client]:
        """Yield the connections whose answers take memory: the open ones, and those that are flushed."""
        return chain(self.clients, self.flushing)

    def evict_idle(self) -> bool:
        """Close one connection without a pending request or unread input; return whether there was one.

        A request that was read, or that is arriving in pieces, must not be dropped for a new connection, and
        no answer that is still on its way. If no connection is idle, one whose client has stalled while
        reading answers or sending a request is closed instead.
        """
        candidates = self._eviction_candidates()
        return (
            self._evict_first_idle(candidates)
            or self._abort_unread()
            or self._evict_stalled_reader(candidates)
            or self._evict_unfinished(candidates)
        )

    def _eviction_candidates(self) -> list[Client]:
        """Return the connections without an open request, in eviction order.

        They are ordered by rank, and within a rank by their last activity. As in a segmented LRU cache, many
        clients that send one request each do not evict those that return.
        """
        now_us = self.clock()
        candidates = (client for client in self.clients if not client.calls)
        return sorted(candidates, key=lambda client: self._eviction_rank(client, now_us))

    def _eviction_rank(self, client: Client, now_us: int) -> EvictionRank:
        if client.write_closed:
            return EvictionRank.WRITE_CLOSED
        if client.message_reads:
            return EvictionRank.ONE_REQUEST if client.message_reads == 1 else EvictionRank.RETURNING
        silent_us = now_us - client.message_wait_since_us
        if silent_us > self.limits.clients.silent_us:
            return EvictionRank.SILENT
        return EvictionRank.WAITING if silent_us > self.limits.clients.first_request_us else EvictionRank.NEW

    def _evict_first_idle(self, candidates: list[Client]) -> bool:
        """Close the first candidate without unhandled input or undelivered answers, if there is one.

        If an answer is undelivered, the kernel would discard it when the client sends its next request.
        """
        for client in candidates:
            if not client.has_unhandled_input() and not client.undelivered_bytes():
                self.counters["clients.idle_evicted"] += 1
                self._evict(client)
                return True
        return False

    def _abort_unread(self) -> bool:
        """Abort a closed connection whose client has stalled reading its last answers, if there is one."""
        now_us = self.clock()
        for client in self.flushing:
            unread_us = now_us - client.unread_since_us if client.unsent_bytes(now_us) else 0
            if unread_us > self.limits.clients.unread_eviction_us:
                self.counters["clients.idle_evicted"] += 1
                del self.flushing[client]
                client.writer.transport.abort()
                return True
        return False

    def _evict_stalled_reader(self, candidates: list[Client]) -> bool:
        """Close a connection whose client has stopped reading its answers, if there is one."""
        now_us = self.clock()
        timeout_us = self.limits.clients.unread_eviction_us
        stalled = [client for client in candidates if client.has_stalled(now_us, timeout_us)]
        for client in stalled:
            if not client.has_unhandled_input():
                self.counters["clients.stalled_evicted"] += 1
                self._evict(client)
                return True
        return False

    def _evict_unfinished(self, candidates: list[Client]) -> bool:
        """Close a connection whose incomplete request has stalled, if there is one."""
        since_us = self.clock() - self.limits.clients.unfinished_eviction_us
        for client in candidates:
            is_unfinished = client.framer.incomplete and client.message_wait_since_us < since_us
            if is_unfinished and not client.is_handling and not client.unread_input_bytes():
                self.counters["clients.unfinished_evicted"] += 1
                self._evict(client)
                return True
        return False

    def _evict(self, client: Client) -> None:
        self.clients.pop(client, None)
        client.writer.close()
