"""Writes queued messages to their connections, and checks whether each may still be sent.

A message may wait for its connection, or behind a full socket buffer, for so long that it must not be sent
any more: its runner may have started to drain, or its deadline may have passed. It then ends as unsent.
"""

import logging
from collections import Counter
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connections import Connection, ControlTag, Message, Socket
from maplestile.requests.records import Presence
from maplestile.requests.result_reporter import ResultReporter
from maplestile.requests.states import AttemptState, Transition
from maplestile.wire import runner as wire

log = logging.getLogger(__name__)


class MessageWriter:
    """Writes the messages that are queued at the connections of a pool."""

    def __init__(
        self,
        reporter: ResultReporter,
        flush_soon: Callable[[Connection], None],
        transition: Transition,
        clock: Callable[[], int],
        counters: Counter[str],
    ) -> None:
        self._reporter = reporter
        self._flush_soon = flush_soon
        self._transition = transition
        self._clock = clock
        self._counters = counters
        self.calls_written = 0  # attempts written completely
        # Returns whether client input may have been unread for so long that clients may have left meanwhile.
        self.may_have_stale_input: Callable[[], bool] = _never_has_stale_input

    def write(self, connection: Connection, message: Message) -> None:
        """Queue a message, and write as many as the socket accepts."""
        connection.queue.append(message)
        self.flush(connection)

    def flush(self, connection: Connection) -> None:
        """Write as many queued messages as the socket accepts; drop those that may no longer be sent."""
        socket = connection.socket
        if socket is None or connection.is_closed() or connection.partial is not None:
            return
        postponed = 0  # messages at the head of the queue that are not written yet
        while len(connection.queue) > postponed and connection.partial is None:
            message = connection.queue[postponed]
            presence = self._presence(message)
            if len(connection.queue) <= postponed or connection.queue[postponed] is not message:
                continue  # its client has left, and the core has withheld it
            if presence is Presence.UNREAD:
                postponed += 1
                continue
            del connection.queue[postponed]
            if presence is Presence.GONE:
                self._counters["runners.client_disconnected"] += 1
                self._reporter.report_unsent(message, Result.SUPERSEDED)
            elif self._is_stale(connection, message):
                self._counters["runners.stale"] += 1
                self._reporter.report_unsent(message, Result.SUPERSEDED)
            elif message.tag in connection.open:
                self._report_tag_in_use(connection, message)
            else:
                self._write_message(socket, connection, message)
        if postponed and not connection.is_closed():
            self._counters["runners.postponed"] += 1
            self._flush_soon(connection)

    def write_completed(self, connection: Connection) -> None:
        """Continue writing: the system has accepted the rest of the partially written message."""
        if connection.partial is not None and not connection.is_closed():
            self._mark_written(connection.partial)
        connection.partial = None
        self.flush(connection)

    def _presence(self, message: Message) -> Presence:
        """Return the presence of the client whose call the message carries.

        The core is asked only if input may have been left unread while the event loop was busy or suspended;
        otherwise a disconnect has been reported to it already.
        """
        if message.attempt is None or not self.may_have_stale_input():
            return Presence.WAITING
        return self._reporter.core.presence(message.attempt)

    def _is_stale(self, connection: Connection, message: Message) -> bool:
        """Return whether a message that could be sent when it was queued may not be sent any more.

        Its runner has started to drain, the deduplication window of its idempotency key has passed, so that
        a second run of the call would not be detected, or its deadline has passed.
        """
        now = self._clock()
        window_passed = 0 < message.until_us <= now
        overdue = message.request is not None and message.due_us <= now
        return message.is_new_work and (window_passed or overdue or not connection.runner.accepts_new_work)

    def _report_tag_in_use(self, connection: Connection, message: Message) -> None:
        """End a message whose answer could not be told from that of an open attempt; this is a bug."""
        self._counters["runners.tag_in_use"] += 1
        uid, attempt = connection.runner.uid, connection.open[message.tag]
        log.error("runner %s: tag %s is in use on the connection by attempt %s", uid, message.tag, attempt)
        self._reporter.report_unsent(message, Result.SUPERSEDED)

    def _write_message(self, socket: Socket, connection: Connection, message: Message) -> None:
        """Write a message; it becomes the connection's `partial` if the system does not accept all of it."""
        if not connection.open and not connection.control_tags:
            connection.idle_us = self._clock() - connection.last_used_us
        if message.attempt is not None:
            connection.open[message.tag] = message.attempt
        elif message.tag:
            tag = ControlTag(message.control_number, message.is_health_check)
            connection.control_tags[message.tag] = tag
        self._transition(message, AttemptState.PARTIALLY_WRITTEN)
        if message.request is not None:
            message.line = wire.call(message.request, message.due_us - self._clock())
        accepted = socket.write(message.line)
        connection.last_used_us = message.written_us = self._clock()
        if accepted:
            self._mark_written(message)
        else:
            connection.partial = message

    def _mark_written(self, message: Message) -> None:
        """Record that the system has accepted all of a message."""
        if message.attempt is not None:
            self.calls_written += 1
        # In any other state it was cancelled or answered before its last byte was written.
        if message.state is AttemptState.PARTIALLY_WRITTEN:
            self._transition(message, AttemptState.WRITTEN)


def _never_has_stale_input() -> bool:
    return False
