"""The runner pool: connects to runners, sends requests to them, and passes their answers to the core.

It opens no sockets itself: `net/runners.py` drives it in production, and `tools/explore` drives it through
every order of events. `states.py` defines the states of attempts and connections. Times are microseconds of
the core's clock.
"""

from collections import Counter
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connection_closer import ConnectionCloser
from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Connection, Message, Runner, Socket
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.idle_timeout import IdleTimeout
from maplestile.requests.message_sender import MessageSender
from maplestile.requests.message_writer import MessageWriter
from maplestile.requests.records import AttemptId
from maplestile.requests.result_reporter import PoolObserver, ResultReporter
from maplestile.requests.runner_directory import RunnerDirectory
from maplestile.requests.states import AttemptState, ConnectionState, Transition
from maplestile.wire import runner as wire
from maplestile.wire.limits import RunnerLimits
from maplestile.wire.messages import Request

__all__ = ["Connection", "Message", "Pool", "Runner", "Socket"]


class Pool:
    """The core's runner pool; a driver opens its connections and reports their events."""

    def __init__(self, limits: RunnerLimits, clock: Callable[[], int], counters: Counter[str]) -> None:
        self.clock = clock
        self.counters = counters
        self.transition = transition = Transition(counters)
        self.idle_timeout = IdleTimeout(limits.idle_timeout_us)
        self.table = ConnectionTable(limits, self.idle_timeout, self.dial, self.close, clock, counters)
        self.directory = RunnerDirectory(self.table, self.close)
        self.runners = self.directory.runners
        self.reporter = ResultReporter(transition, counters)
        self.locations = self.reporter.locations
        self.writer = MessageWriter(self.reporter, self.flush_soon, transition, clock, counters)
        self.sender = MessageSender(self.runners, self.table, self.reporter, self.writer, counters)
        self.closer = ConnectionCloser(
            self.table,
            self.sender,
            self.reporter,
            self.idle_timeout,
            self.disconnect,
            transition,
            clock,
            counters,
        )

    @property
    def core(self) -> PoolObserver:
        """The observer that results are reported to; set once, before anything is sent."""
        return self.reporter.core

    @core.setter
    def core(self, core: PoolObserver) -> None:
        self.reporter.core = core

    @property
    def limits(self) -> RunnerLimits:
        """The limits in force; they can change while the pool serves."""
        return self.table.limits

    @limits.setter
    def limits(self, limits: RunnerLimits) -> None:
        self.table.limits = limits

    @property
    def connections(self) -> int:
        """The number of connections that are not closed."""
        return len(self.table.connections)

    @property
    def calls_written(self) -> int:
        """The number of attempts that were written completely."""
        return self.writer.calls_written

    # Methods that a driver implements.

    def dial(self, connection: Connection) -> None:
        """Start to connect; the driver calls `connected` or `close` later, not within this call."""
        raise NotImplementedError

    def disconnect(self, connection: Connection) -> None:
        """Stop reporting events of a connection that the pool has closed."""
        raise NotImplementedError

    def flush_soon(self, connection: Connection) -> None:
        """Call `input_handled` after a short delay, in which more client input can be read."""
        raise NotImplementedError

    # The endpoint list.

    def update(self, endpoints: EndpointList) -> None:
        """Apply a new endpoint list: runners may be added or removed, start to drain, or have restarted."""
        self.directory.update(endpoints)

    # Requests of the core.

    def send(
        self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int = 0
    ) -> None:
        """Queue an attempt to be written. If it is not written before `until_us`, it ends as SUPERSEDED.

        `until_us` is 0 if there is no such limit. Without a connection that can take the attempt, it ends as
        CONNECT_FAILED before this returns.
        """
        due_us = self.clock() + wait_us
        message = Message(b"", True, attempt, request.tag, until_us=until_us, request=request, due_us=due_us)
        if not self.sender.enqueue(worker, message):
            self.core.attempt_ended(attempt, Result.CONNECT_FAILED)

    def cancel(self, attempt: AttemptId) -> None:
        """Drop an attempt, and cancel it at its runner if it may have started there."""
        connection, message = self.locations.pop(attempt, (None, None))
        if connection is None or message is None:
            return
        was_queued = message.state is AttemptState.QUEUED
        self.transition(message, AttemptState.CANCELLED)
        if was_queued:  # never written, so the runner does not know it
            connection.queue.remove(message)
            return
        if connection.open.pop(message.tag, None) is None:
            return  # its connection is being closed
        connection.ended_tags.add(message.tag)
        self._mark_unverified_if_silent(connection, message)
        self.writer.write(connection, Message(wire.cancel(message.tag), False))

    def drop_unwritten(self, attempt: AttemptId) -> bool:
        """Drop an attempt of which no byte has been written; return whether it was dropped."""
        connection, message = self.locations.get(attempt, (None, None))
        if connection is None or message is None:
            return False
        message.until_us = self.clock()  # it is not written again if its connection breaks
        if message.state is not AttemptState.QUEUED:
            return False
        del self.locations[attempt]
        self.transition(message, AttemptState.UNSENT)
        connection.queue.remove(message)
        return True

    def load(self, tag: int, worker: str, function: str, copies: int) -> None:
        """Send a load request for at least `copies` copies of a function."""
        wire_tag = _load_tag(tag)
        message = Message(wire.load(wire_tag, function, copies), True, None, wire_tag, tag)
        if not self.sender.enqueue(worker, message):
            self.core.load_ended(tag, Result.CONNECT_FAILED)

    def unload(self, worker: str, function: str) -> None:
        """Send an unload request for a function; it has no answer, and no result is reported."""
        self.sender.enqueue(worker, Message(wire.unload(function), True))

    def check_health(self, tag: int, worker: str) -> None:
        """Send a health check to a runner."""
        wire_tag = _health_check_tag(tag)
        message = Message(wire.stats(wire_tag), True, None, wire_tag, tag, is_health_check=True)
        if not self.sender.enqueue(worker, message):
            self.core.health_check_ended(tag, Result.CONNECT_FAILED)

    def forget_control_request(self, tag: int) -> None:
        """Drop a control request: it is not written any more, and its result is not reported."""
        wire_tags = (_load_tag(tag), _health_check_tag(tag))
        for connection in self.table.connections:
            for wire_tag in wire_tags:
                connection.control_tags.pop(wire_tag, None)
            for message in [message for message in connection.queue if message.tag in wire_tags]:
                connection.queue.remove(message)
                self.transition(message, AttemptState.UNSENT)

    def close_idle(self, worker: str) -> None:
        """Close the connections to a runner that carry no request."""
        runner = self.runners.get(worker)
        if runner is not None:
            self.table.close_unused(runner)

    # Events that the driver reports.

    def sweep(self) -> None:
        """Close idle connections before the runner does: a request that crosses its close would be lost."""
        now = self.clock()
        self.idle_timeout.recover(now, self.limits)
        over_limit = self.table.over_limit()
        idle_since_us = now - self.idle_timeout.timeout_us
        for runner in list(self.runners.values()):
            self.table.close_unverified(runner)
            self.table.close_unused(runner, idle_since_us if runner.listed and not over_limit else None)
            self.directory.forget_if_unlisted(runner)

    def connected(self, connection: Connection, socket: Socket) -> None:
        """Write the messages that wait for a connection that is now established."""
        connection.socket = socket
        self.transition(connection, ConnectionState.UP)
        self.writer.flush(connection)

    def input_received(self, connection: Connection) -> None:
        """Record that bytes were received; the driver reports their answers next, then `input_handled`."""
        connection.last_used_us = connection.last_input_us = self.clock()
        if connection.idle_us:
            self.idle_timeout.record_survival(connection.last_input_us, connection.idle_us)
        connection.idle_us = 0
        if connection.state is ConnectionState.UNVERIFIED:
            self.transition(connection, ConnectionState.UP)

    def answer_received(self, connection: Connection, answer: wire.Answer) -> None:
        """Report an answer to the core; one with an unknown tag is only counted."""
        self.reporter.report_answer(connection, answer)

    def input_handled(self, connection: Connection) -> None:
        """Write the messages that waited while the answers of one read were reported."""
        self.writer.flush(connection)

    def write_completed(self, connection: Connection) -> None:
        """Continue writing: the system has accepted the rest of the partially written message."""
        self.writer.write_completed(connection)

    def write_stalled(self, connection: Connection) -> None:
        """Close a connection that has not accepted the rest of a message for `stall_us`.

        The remaining time given in the message would be out of date when it reached the runner. Messages that
        were not written are not resent to this runner but end as CONNECT_FAILED: it reads nothing, so another
        connection to it would fill up, too.
        """
        if connection.partial is not None and not connection.is_closed():
            self.counters["runners.stalled"] += 1
            self.close(connection, Result.RESET, resend=False)

    def close(self, connection: Connection, result: Result, resend: bool = True) -> None:
        """Close a connection; messages written completely end with `result`, the others as not sent.

        With `resend`, the others are sent over another connection to the runner instead, if this connection
        was established. Closing a closed connection does nothing.
        """
        self.closer.close(connection, result, resend)

    def _mark_unverified_if_silent(self, connection: Connection, message: Message) -> None:
        """Send nothing new over a connection that has been silent since it wrote a message now cancelled.

        A machine that is cut off from the network is silent; a new connection to it would fail to open.
        """
        silent_us = self.clock() - message.written_us
        is_silent = connection.last_input_us < message.written_us and silent_us > self.limits.silent_us
        if is_silent and connection.state is ConnectionState.UP:
            self.transition(connection, ConnectionState.UNVERIFIED)


def _load_tag(number: int) -> str:
    """Return the tag of a load request on the wire."""
    return f"load-{number}"


def _health_check_tag(number: int) -> str:
    """Return the tag of a health check on the wire."""
    return f"probe-{number}"
