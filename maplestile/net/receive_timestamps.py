"""Records the earliest time at which input can have arrived, since a busy event loop reads it later."""

import contextlib
import selectors
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from _typeshed import FileDescriptorLike

MIN_WAIT_S = 0.00005  # a select that took longer has waited, so its events are new
LONG_GAP_S = 0.05  # a longer gap between two selects leaves old input unread
PAUSE_S = 0.1  # a longer gap between two selects, or after a select was due, counts as a pause of the process
# After a pause, a loop that never waits has caught up once this many selects in a row found no connection
# to accept, or at the latest after as many as it takes to accept a whole queue, 1,024 in bursts of 16.
SELECTS_WITHOUT_ACCEPT = 3
MAX_CATCH_UP_SELECTS = 66


class TimestampingSelector(selectors.DefaultSelector):
    """A selector that records the earliest time at which the events of the last select can have happened.

    Times are microseconds from `clock`, which runs with the monotonic clock that measures durations here.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        super().__init__()
        self.clock = clock
        self.earliest_event_us = clock()  # earliest time of the events of the last select
        self.earliest_read_us = self.earliest_event_us  # earliest time of the events of the select before it
        self.last_idle_us = 0  # when a select last waited, with no input left unread; 0 if never
        self.longest_busy_s = 0.0  # the longest time between two selects
        self._returned_us = clock()  # when the last select returned, by `clock`
        self._returned_s = time.perf_counter()  # the same by the monotonic clock
        self._paused_since_us = 0  # start of a pause of the process; 0 once the loop has caught up
        self._had_long_gap = False  # no select has waited since the last gap over `LONG_GAP_S`
        self._listening_descriptors = set[int]()
        self._selects_since_pause = 0
        self._selects_without_accept = 0  # in a row

    def register(self, fileobj: "FileDescriptorLike", events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a file object, and remember whether it is a listening socket."""
        key = super().register(fileobj, events, data)
        if _is_listening(fileobj):
            self._listening_descriptors.add(key.fd)
        return key

    def unregister(self, fileobj: "FileDescriptorLike") -> selectors.SelectorKey:
        """Unregister a file object."""
        key = super().unregister(fileobj)
        self._listening_descriptors.discard(key.fd)
        return key

    def may_have_stale_input(self) -> bool:
        """Return whether input may be unread that arrived more than `LONG_GAP_S` ago."""
        return self._had_long_gap or time.perf_counter() - self._returned_s > LONG_GAP_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, and record their earliest possible time."""
        started_s = time.perf_counter()
        busy_s = started_s - self._returned_s
        # A stream returns bytes one loop iteration after the select that found them.
        self.earliest_read_us = self.earliest_event_us
        self.longest_busy_s = max(self.longest_busy_s, busy_s)
        # After a pause, select without waiting first: events found that way happened during the pause.
        found = super().select(0) if busy_s > PAUSE_S else []
        may_wait = not found and timeout != 0
        if not found:
            found = super().select(timeout)
        self._returned_s = time.perf_counter()
        took_s = self._returned_s - started_s
        overrun_s = 0.0 if timeout is None else took_s - max(0.0, timeout)
        waited = may_wait and took_s > MIN_WAIT_S  # then all earlier input had been read
        self._record_select(busy_s, overrun_s, may_wait, waited)
        self._record_catch_up(found)
        return found

    def _record_catch_up(self, found: list[tuple[selectors.SelectorKey, int]]) -> None:
        """End a pause once all input of that time must have been read, although no select has waited.

        A client that sends all the time keeps the loop from ever waiting, and the input of all others would
        count as being as old as the pause. Each reader knows whether its own input was read to the end.
        """
        if not self._paused_since_us:
            return
        accepts = any(key.fd in self._listening_descriptors for key, _ in found)
        self._selects_since_pause += 1
        self._selects_without_accept = 0 if accepts else self._selects_without_accept + 1
        quiet = self._selects_without_accept > SELECTS_WITHOUT_ACCEPT
        if quiet or self._selects_since_pause > MAX_CATCH_UP_SELECTS:
            self._paused_since_us = 0

    def _record_select(self, busy_s: float, overrun_s: float, may_wait: bool, waited: bool) -> None:
        """Update the timestamps after a select, from the time it took and the time since the one before.

        `busy_s` is the time between the two selects, and `overrun_s` by how much the select exceeded its
        timeout.
        """
        now_us = self.clock()
        had_long_gap = busy_s > LONG_GAP_S or overrun_s > LONG_GAP_S
        was_paused = overrun_s > PAUSE_S or (busy_s > PAUSE_S and not may_wait)
        if had_long_gap:
            self._had_long_gap = True
        elif waited:
            self._had_long_gap = False
        if was_paused:
            self._paused_since_us = self._returned_us
            self._selects_since_pause = self._selects_without_accept = 0
        elif waited:
            self._paused_since_us = 0
            self.last_idle_us = now_us
        # Events found without a wait may be as old as the previous select, because its work kept the loop
        # busy. Until the loop has caught up after a pause, events may be as old as the start of the pause.
        # That applies to the input of new connections as well.
        self.earliest_event_us = self._paused_since_us or (now_us if waited else self._returned_us)
        self._returned_us = now_us


def _is_listening(fileobj: "FileDescriptorLike") -> bool:
    """Return whether a file object is a listening socket; false if the system does not tell."""
    if not isinstance(fileobj, socket.socket):
        return False
    with contextlib.suppress(OSError):
        return bool(fileobj.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
    return False
