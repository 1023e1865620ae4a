"""The end of a connection: what becomes of the lines on it, and what is learned from a break."""

from collections import Counter, deque
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Connection, Message, Runner
from maplestile.requests.idle_timeout import BreakCause, IdleTimeout
from maplestile.requests.line_ends import LineEnds
from maplestile.requests.line_sender import LineSender
from maplestile.requests.states import AttemptState, ConnectionState, Transition


class ConnectionCloser:
    """Ends connections: what was written whole has ended there, and what was not goes by another."""

    def __init__(
        self,
        table: ConnectionTable,
        sender: LineSender,
        ends: LineEnds,
        idle_timeout: IdleTimeout,
        disconnect: Callable[[Connection], None],
        move: Transition,
        clock: Callable[[], int],
        counters: Counter[str],
    ) -> None:
        self._table = table
        self._sender = sender
        self._ends = ends
        self._idle_timeout = idle_timeout
        self._disconnect = disconnect
        self._move = move
        self._clock = clock
        self._counters = counters

    def close(self, connection: Connection, result: Result, resend: bool) -> None:
        """End a connection, unless it is closed already; see `Pool.close`."""
        if connection.closed():
            return
        self._move(connection, ConnectionState.CLOSED)
        self._table.remove(connection)
        unsent = _take_unsent(connection)
        if connection.socket is not None:
            connection.socket.abort()
        self._disconnect(connection)
        attempts, connection.open = connection.open, {}
        control_tags, connection.control_tags = connection.control_tags, {}
        if result is Result.RESET and connection.idle_us:
            self._learn_from_break(connection)
        for attempt in attempts.values():
            self._ends.end_lost(attempt, result)
        for control in control_tags.values():
            self._ends.end_control(control.number, control.is_health_check, result)
        # A connection that came up and broke says nothing of the runner: the rest goes by another.
        self._resend(connection.runner, unsent, result, resend and connection.socket is not None)

    def _resend(self, runner: Runner, unsent: deque[Message], result: Result, resend: bool) -> None:
        never_ran = Result.SUPERSEDED if result is Result.SUPERSEDED else Result.CONNECT_FAILED
        for message in unsent:
            # Any other state: it was cancelled or answered meanwhile, and ends as it is.
            if message.state is AttemptState.PARTIALLY_WRITTEN:
                self._move(message, AttemptState.QUEUED)
            if not (resend and self._sender.requeue(runner, message)):
                self._ends.end_unsent(message, never_ran)

    def _learn_from_break(self, connection: Connection) -> None:
        """Learn from a break at the first request after an idle time, before the connection was heard."""
        now, limits = self._clock(), self._table.limits
        cause = self._idle_timeout.learn_break(now, connection.used_us, connection.idle_us, limits)
        if cause is BreakCause.RUNNER:
            self._counters["runners.broke_after_idle"] += 1
        elif cause is BreakCause.IDLE_TIME:
            self._counters["runners.idle_too_long"] += 1


def _take_unsent(connection: Connection) -> deque[Message]:
    """Take what has not reached the runner whole out of a connection that ends.

    That includes the line of which the transport still holds something. Once the transport has failed it
    reports nothing any more: then the last line counts as written.
    """
    unsent, connection.queue = connection.queue, deque()
    partial = connection.partial
    if connection.socket is not None and partial is not None and connection.socket.holds():
        unsent.appendleft(partial)
        connection.open.pop(partial.tag, None)
        connection.control_tags.pop(partial.tag, None)
    return unsent
