"""Closes connections: ends or resends their messages, and learns the idle timeout from breaks."""

from collections import Counter, deque
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Connection, Message, Runner
from maplestile.requests.idle_timeout import BreakCause, IdleTimeout
from maplestile.requests.message_sender import MessageSender
from maplestile.requests.result_reporter import ResultReporter
from maplestile.requests.states import AttemptState, ConnectionState, Transition


class ConnectionCloser:
    """Closes connections; messages not written completely are sent over another one."""

    def __init__(
        self,
        table: ConnectionTable,
        sender: MessageSender,
        reporter: ResultReporter,
        idle_timeout: IdleTimeout,
        disconnect: Callable[[Connection], None],
        transition: Transition,
        clock: Callable[[], int],
        counters: Counter[str],
    ) -> None:
        self._table = table
        self._sender = sender
        self._reporter = reporter
        self._idle_timeout = idle_timeout
        self._disconnect = disconnect
        self._transition = transition
        self._clock = clock
        self._counters = counters

    def close(self, connection: Connection, result: Result, resend: bool) -> None:
        """Close a connection, unless it is closed already; see `Pool.close`."""
        if connection.is_closed():
            return
        self._transition(connection, ConnectionState.CLOSED)
        self._counters[f"runners.closed.{_close_reason(connection, result)}"] += 1
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
            self._reporter.report_connection_lost(attempt, result)
        for control in control_tags.values():
            self._reporter.report_unanswered_control(control.number, control.is_health_check, result)
        # The break of an established connection does not show that its runner is down: messages are resent.
        self._resend(connection.runner, unsent, result, resend and connection.socket is not None)

    def _resend(self, runner: Runner, unsent: deque[Message], result: Result, resend: bool) -> None:
        unsent_result = Result.SUPERSEDED if result is Result.SUPERSEDED else Result.CONNECT_FAILED
        for message in unsent:
            # A message that is neither queued nor partially written was cancelled or answered meanwhile.
            if message.state is AttemptState.PARTIALLY_WRITTEN:
                self._transition(message, AttemptState.QUEUED)
            if not (resend and self._sender.requeue(runner, message)):
                self._reporter.report_unsent(message, unsent_result)

    def _learn_from_break(self, connection: Connection) -> None:
        """Adjust the idle timeout after a break at the first request after an idle time, before any input."""
        now, limits = self._clock(), self._table.limits
        cause = self._idle_timeout.learn_from_break(now, connection.last_used_us, connection.idle_us, limits)
        if cause is BreakCause.RUNNER:
            self._counters["runners.broke_after_idle"] += 1
        elif cause is BreakCause.IDLE_TIME:
            self._counters["runners.idle_too_long"] += 1


def _close_reason(connection: Connection, result: Result) -> str:
    """Return the name of the counter for a close: what ended it, and whether attempts were open on it."""
    return f"{result.value}.open" if connection.open else f"{result.value}.idle"


def _take_unsent(connection: Connection) -> deque[Message]:
    """Remove and return the messages of a closing connection that were not written completely.

    They include the message that the transport still holds a part of. A transport that has failed reports
    nothing; then the last message counts as written.
    """
    unsent, connection.queue = connection.queue, deque()
    partial = connection.partial
    if connection.socket is not None and partial is not None and connection.socket.has_unwritten_data():
        unsent.appendleft(partial)
        connection.open.pop(partial.tag, None)
        connection.control_tags.pop(partial.tag, None)
    return unsent
