"""Queues of lines before connections, and their dispatch: what the rules ask of a line is checked here.

A line may wait for its connection, or behind a full socket buffer, for long enough that what allowed it holds
no more: then it ends as never sent.
"""

from collections import Counter
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connections import Connection, ControlTag, Message, Socket
from maplestile.requests.line_ends import LineEnds
from maplestile.requests.records import Presence
from maplestile.requests.states import AttemptState, Transition
from maplestile.wire import runner as wire


class LineWriter:
    """Writes the lines that are queued before the connections of a pool."""

    def __init__(
        self,
        ends: LineEnds,
        flush_soon: Callable[[Connection], None],
        move: Transition,
        clock: Callable[[], int],
        counters: Counter[str],
    ) -> None:
        self._ends = ends
        self._flush_soon = flush_soon
        self._move = move
        self._clock = clock
        self._counters = counters
        self.calls_written = 0  # attempts written whole
        # Whether input may lie unread for so long that clients in it have left a while ago.
        self.input_is_old: Callable[[], bool] = _never

    def write(self, connection: Connection, message: Message) -> None:
        """Queue a line, and write what the socket takes."""
        connection.queue.append(message)
        self.flush(connection)

    def flush(self, connection: Connection) -> None:
        """Write what the socket takes; what may no longer be sent ends here, unwritten."""
        socket = connection.socket
        if socket is None or connection.closed() or connection.partial is not None:
            return
        postponed = 0  # lines at the head of the queue that stay there for now
        while len(connection.queue) > postponed and connection.partial is None:
            message = connection.queue[postponed]
            presence = self._presence(message)
            if len(connection.queue) <= postponed or connection.queue[postponed] is not message:
                continue  # its client has gone, and the core has withheld it
            if presence is Presence.UNREAD:
                postponed += 1
                continue
            del connection.queue[postponed]
            if presence is Presence.GONE:
                self._counters["runners.client_disconnected"] += 1
                self._ends.end_unsent(message, Result.SUPERSEDED)
            elif self._is_stale(connection, message):
                self._counters["runners.stale"] += 1
                self._ends.end_unsent(message, Result.SUPERSEDED)
            else:
                self._write_line(socket, connection, message)
        if postponed and not connection.closed():
            self._counters["runners.postponed"] += 1
            self._flush_soon(connection)

    def write_completed(self, connection: Connection) -> None:
        """Go on: the system has taken the rest of what was written in part."""
        if connection.partial is not None and not connection.closed():
            self._written(connection.partial)
        connection.partial = None
        self.flush(connection)

    def _presence(self, message: Message) -> Presence:
        """Guard against an attempt that begins after its client has left, while the loop was busy or away.

        What has been read of the client in time has been reported to the core already.
        """
        if message.attempt is None or not self.input_is_old():
            return Presence.WAITING
        return self._ends.core.presence(message.attempt)

    def _is_stale(self, connection: Connection, message: Message) -> bool:
        """Return whether a rule has come to bar the line since it was decided.

        Its runner drains (rule 3), its key may be deduplicated no more (rule 1), or its own deadline has
        passed.
        """
        now = self._clock()
        forgotten = 0 < message.until_us <= now
        overdue = message.request is not None and message.due_us <= now
        return message.is_new_work and (forgotten or overdue or not connection.runner.takes_new)

    def _write_line(self, socket: Socket, connection: Connection, message: Message) -> None:
        """Write one line; what of it the system does not take at once is the connection's `partial`."""
        if not connection.open and not connection.control_tags:
            connection.idle_us = self._clock() - connection.used_us
        if message.attempt is not None:
            connection.open[message.tag] = message.attempt
        elif message.tag:
            tag = ControlTag(message.control_number, message.is_health_check)
            connection.control_tags[message.tag] = tag
        self._move(message, AttemptState.PARTIALLY_WRITTEN)
        if message.request is not None:
            message.line = wire.call(message.request, message.due_us - self._clock())
        whole = socket.write(message.line)
        connection.used_us = message.written_us = self._clock()
        if whole:
            self._written(message)
        else:
            connection.partial = message

    def _written(self, message: Message) -> None:
        """Take note that the system has all of a line."""
        if message.attempt is not None:
            self.calls_written += 1
        # Any other state: it was cancelled, or answered, before its last byte.
        if message.state is AttemptState.PARTIALLY_WRITTEN:
            self._move(message, AttemptState.WRITTEN)


def _never() -> bool:
    return False
