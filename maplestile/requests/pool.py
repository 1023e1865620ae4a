"""The runner pool: connections by uid, requests spread over their streams, answers handed to the core.

It opens no socket: `net/runners.py` drives it, and `tools/explore` plays every order of events on it. The
states of attempts and connections stand in `states.py`. Times are microseconds of the core's clock.
"""

from collections import Counter, deque
from collections.abc import Callable

from maplestile.dispatch.api import NEVER_RAN, Result
from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Connection, Message, Runner, Socket
from maplestile.requests.core import Core
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.idle_timeout import BreakCause, IdleTimeout
from maplestile.requests.line_ends import LineEnds
from maplestile.requests.line_writer import LineWriter
from maplestile.requests.records import AttemptId
from maplestile.requests.runner_directory import RunnerDirectory
from maplestile.requests.states import AttemptState, ConnectionState, Transition
from maplestile.wire import runner as wire
from maplestile.wire.limits import RunnerLimits
from maplestile.wire.messages import Request

__all__ = ["Connection", "Message", "Pool", "Runner", "Socket"]


class Pool:
    """The core's pool; a driver dials for it, and reports what becomes of its connections."""

    def __init__(self, limits: RunnerLimits, clock: Callable[[], int], counters: Counter[str]) -> None:
        self.limits = limits
        self.clock = clock
        self.counters = counters
        self.move = Transition(counters)
        self.core: Core
        # The attempts that are queued or written, and not ended.
        self.where: dict[AttemptId, tuple[Connection, Message]] = {}
        self.directory = RunnerDirectory(self)
        self.runners = self.directory.runners
        self.table = ConnectionTable(self)
        self.ends = LineEnds(self)
        self.writer = LineWriter(self)
        self.idle_timeout = IdleTimeout(limits.idle_timeout_us)
        self.calls_written = 0  # attempts written whole
        # Whether input may lie unread for so long that it tells of clients who left a while ago.
        self.input_is_old: Callable[[], bool] = lambda: False

    @property
    def connections(self) -> int:
        """How many connections are not closed."""
        return len(self.table.connections)

    # What a driver implements.

    def dial(self, connection: Connection) -> None:
        """Begin to connect; `up` or `close` follows, and not from within this call."""
        raise NotImplementedError

    def hang_up(self, connection: Connection) -> None:
        """Report nothing more of a connection that the pool has closed."""
        raise NotImplementedError

    def flush_soon(self, connection: Connection) -> None:
        """Call `settled` once more input has been read."""
        raise NotImplementedError

    # The endpoint list.

    def update(self, fleet: EndpointList) -> None:
        """Take another endpoint list: runners drain, go, come, or are other processes than before."""
        self.directory.update(fleet)

    # What the core asks for.

    def send(
        self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int = 0
    ) -> None:
        """Write the attempt soon, but not from `until_us` on (if over 0): then it ends as SUPERSEDED.

        Without a connection that can take it, it ends as CONNECT_FAILED before this returns.
        """
        due_us = self.clock() + wait_us
        message = Message(b"", True, attempt, request.tag, until_us=until_us, request=request, due_us=due_us)
        if not self._put(worker, message):
            self.core.attempt_ended(attempt, Result.CONNECT_FAILED)

    def cancel(self, attempt: AttemptId) -> None:
        """Forget the attempt, and tell its runner if it may have begun there."""
        connection, message = self.where.pop(attempt, (None, None))
        if connection is None or message is None:
            return
        was_queued = message.state is AttemptState.QUEUED
        self.move(message, AttemptState.CANCELLED)
        if was_queued:  # never written: the runner knows nothing of it
            connection.queue.remove(message)
            return
        # A tag that a client has used twice at once may stand for another attempt by now.
        if connection.open.get(message.tag) != attempt:
            return
        del connection.open[message.tag]
        self._doubt_if_silent(connection, message)
        self.writer.write(connection, Message(wire.cancel(message.tag), False))

    def withhold(self, attempt: AttemptId) -> bool:
        """Keep the attempt from beginning: true if not a byte of it was out, and it is forgotten."""
        connection, message = self.where.get(attempt, (None, None))
        if connection is None or message is None:
            return False
        message.until_us = self.clock()  # should its connection break before all of it is out
        if message.state is not AttemptState.QUEUED:
            return False
        del self.where[attempt]
        self.move(message, AttemptState.UNSENT)
        connection.queue.remove(message)
        return True

    def order(self, tag: int, worker: str, function: str, copies: int) -> None:
        """Have the runner load that many copies of the function."""
        name = f"load-{tag}"
        message = Message(wire.load(name, function, copies), True, None, name, tag)
        if not self._put(worker, message):
            self.core.order_ended(tag, Result.CONNECT_FAILED)

    def unload(self, worker: str, function: str) -> None:
        """Have the runner drop its copies of the function; no end is reported."""
        self._put(worker, Message(wire.unload(function), True))

    def probe(self, tag: int, worker: str) -> None:
        """Send a health check."""
        name = f"probe-{tag}"
        message = Message(wire.stats(name), True, None, name, tag, is_health_check=True)
        if not self._put(worker, message):
            self.core.probe_ended(tag, Result.CONNECT_FAILED)

    def forget(self, tag: int) -> None:
        """Report no end of that control request any more."""
        for connection in self.table.connections:
            for name in (f"load-{tag}", f"probe-{tag}"):
                connection.control_tags.pop(name, None)

    def close_idle(self, worker: str) -> None:
        """Close the connections to the runner that carry nothing."""
        runner = self.runners.get(worker)
        if runner is not None:
            self.table.close_unused(runner)

    # What the driver reports.

    def sweep(self) -> None:
        """Close what is idle before the runner does: a send that meets its close would be lost."""
        now = self.clock()
        self.idle_timeout.relax(now, self.limits)
        over_limit = self.table.over_limit()
        idle_since_us = now - self.idle_timeout.timeout_us
        for runner in list(self.runners.values()):
            self.table.close_unverified(runner)
            self.table.close_unused(runner, idle_since_us if runner.listed and not over_limit else None)
            self.directory.forget_if_gone(runner)

    def up(self, connection: Connection, socket: Socket) -> None:
        """Write what waits for a connection that has come up."""
        connection.socket = socket
        self.move(connection, ConnectionState.UP)
        self.writer.flush(connection)

    def heard(self, connection: Connection) -> None:
        """Take note that bytes have come; any answers in them are reported next, and then `settled`."""
        connection.used_us = connection.heard_us = self.clock()
        if connection.idle_us:
            self.idle_timeout.learn_survival(connection.heard_us, connection.idle_us)
        connection.idle_us = 0
        if connection.state is ConnectionState.UNVERIFIED:
            self.move(connection, ConnectionState.UP)

    def answered(self, connection: Connection, answer: wire.Answer) -> None:
        """Report an answer to the core; one whose tag is not known here is only counted."""
        attempt = connection.open.pop(answer.call, None)
        control = connection.control_tags.pop(answer.call, None)
        if attempt is not None:
            self.ends.leave(attempt, AttemptState.ANSWERED)
            if answer.result in NEVER_RAN:
                connection.rejected_tags.append(answer.call)
            self.core.attempt_ended(attempt, answer.result, answer.body, answer.queued_ahead, answer.report)
        elif control is None:
            self.counters["runners.late"] += 1
        elif control.is_health_check:
            self.core.probe_ended(control.number, answer.result, answer.report)
        else:
            self.core.order_ended(control.number, answer.result, answer.copies)

    def settled(self, connection: Connection) -> None:
        """Write what waited until the answers of one read were reported."""
        self.writer.flush(connection)

    def drained(self, connection: Connection) -> None:
        """Go on writing: the system has taken the rest of what was written in part."""
        self.writer.drained(connection)

    def stalled(self, connection: Connection) -> None:
        """Close a connection that does not take the rest of a line for `stall_us`.

        Guards the deadline in the line: it would reach the runner too late to be true. What has not gone out
        goes elsewhere, since a further connection to a runner that reads nothing would be filled, too.
        """
        if connection.partial is not None and not connection.closed():
            self.counters["runners.stalled"] += 1
            self.close(connection, Result.RESET, again=False)

    def close(self, connection: Connection, result: Result, again: bool = True) -> None:
        """End a connection: what was written whole ends with `result`, all else never ran.

        With `again` what was not written whole goes by another connection to that runner, if this one came
        up. A connection that is closed already is left alone.
        """
        if connection.closed():
            return
        self.move(connection, ConnectionState.CLOSED)
        self.table.remove(connection)
        unsent = self._take_unsent(connection)
        if connection.socket is not None:
            connection.socket.abort()
        self.hang_up(connection)
        attempts, connection.open = connection.open, {}
        control_tags, connection.control_tags = connection.control_tags, {}
        if result is Result.RESET and connection.idle_us:
            self._learn_from_break(connection)
        for attempt in attempts.values():
            self.ends.leave(attempt, AttemptState.CONNECTION_LOST)
            self.core.attempt_ended(attempt, result)
        for control in control_tags.values():
            self.ends.end_control(control.number, control.is_health_check, result)
        # A connection that came up and broke says nothing of the runner: the rest goes by another.
        self._resend(connection.runner, unsent, result, again and connection.socket is not None)

    # Lines.

    def _put(self, worker: str, message: Message) -> bool:
        """Queue a line at a connection to the runner; false if there is none, or no room."""
        runner = self.runners.get(worker)
        if runner is None:
            return False
        connection = self.table.select(runner, message.tag)
        if connection is None or len(connection.queue) >= self.limits.queued_messages:
            self.counters["runners.at_capacity"] += 1
            return False
        if message.attempt is not None:
            self.where[message.attempt] = (connection, message)
        self.writer.write(connection, message)
        return True

    def _doubt_if_silent(self, connection: Connection, message: Message) -> None:
        """Send nothing new by a connection that gave no sign since the line that is given up now.

        A machine that is cut off gives no sign; a new connection to it would not come up.
        """
        silent_us = self.clock() - message.written_us
        silent = connection.heard_us < message.written_us and silent_us > self.limits.silent_us
        if silent and connection.state is ConnectionState.UP:
            self.move(connection, ConnectionState.UNVERIFIED)

    def _take_unsent(self, connection: Connection) -> deque[Message]:
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

    def _resend(self, runner: Runner, unsent: deque[Message], result: Result, again: bool) -> None:
        never_ran = Result.SUPERSEDED if result is Result.SUPERSEDED else Result.CONNECT_FAILED
        for message in unsent:
            # Any other state: it was cancelled or answered meanwhile, and ends as it is.
            if message.state is AttemptState.PARTIALLY_WRITTEN:
                self.move(message, AttemptState.QUEUED)
            if not (again and self._put_again(runner, message)):
                self.ends.end_unsent(message, never_ran)

    def _put_again(self, runner: Runner, message: Message) -> bool:
        if message.attempt is not None and message.attempt not in self.where:
            return True  # cancelled meanwhile
        return self.runners.get(runner.uid) is runner and self._put(runner.uid, message)

    def _learn_from_break(self, connection: Connection) -> None:
        """Learn from a break at the first request after an idle time, before the connection was heard."""
        now = self.clock()
        cause = self.idle_timeout.learn_break(now, connection.used_us, connection.idle_us, self.limits)
        if cause is BreakCause.RUNNER:
            self.counters["runners.broke_after_idle"] += 1
        elif cause is BreakCause.IDLE_TIME:
            self.counters["runners.idle_too_long"] += 1
