"""Dissemination: the queue of member updates that are piggybacked on messages (SWIM, section 4.1)."""

import heapq
from dataclasses import dataclass

from maplestile.membership.messages import MemberUpdate


@dataclass(slots=True)
class QueuedUpdate:
    """An update waiting to be sent, and how often it has been sent so far."""

    update: MemberUpdate
    transmissions: int = 0


class UpdateQueue:
    """The latest update about each member, kept until it has been sent often enough."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._queued: dict[str, QueuedUpdate] = {}  # by name of the member, the newest last

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, replacing any other about the same member; over capacity, the oldest is dropped.

        Full-state exchanges spread the dropped updates.
        """
        self._queued.pop(update.name, None)
        self._queued[update.name] = QueuedUpdate(update)
        if len(self._queued) > self._capacity:
            del self._queued[next(iter(self._queued))]

    def take(self, count: int, transmit_limit: int) -> list[MemberUpdate]:
        """Take up to `count` updates, the least often sent first; drop those sent `transmit_limit` times."""
        chosen = heapq.nsmallest(count, self._queued.values(), key=lambda queued: queued.transmissions)
        for queued in chosen:
            queued.transmissions += 1
            if queued.transmissions >= transmit_limit:
                del self._queued[queued.update.name]
        return [queued.update for queued in chosen]

    def clear(self) -> None:
        """Drop every queued update."""
        self._queued.clear()


def prepend_update(first: MemberUpdate, updates: list[MemberUpdate]) -> list[MemberUpdate]:
    """Return `first`, followed by the updates about other members."""
    return [first, *(update for update in updates if update.name != first.name)]
