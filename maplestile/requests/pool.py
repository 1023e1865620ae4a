"""The runner pool: connections by uid, requests spread over their streams, answers passed to the core.

It opens no socket: `net/runners.py` drives it, and `tools/explore` plays every order of events on it. The
states of attempts and connections stand in `states.py`. Times are microseconds of the core's clock.
"""

from collections import Counter
from collections.abc import Callable

from maplestile.dispatch.api import Result
from maplestile.requests.connection_closer import ConnectionCloser
from maplestile.requests.connection_table import ConnectionTable
from maplestile.requests.connections import Connection, Message, Runner, Socket
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.idle_timeout import IdleTimeout
from maplestile.requests.line_ends import LineEnds, PoolObserver
from maplestile.requests.line_sender import LineSender
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
        self.clock = clock
        self.counters = counters
        self.move = move = Transition(counters)
        self.idle_timeout = IdleTimeout(limits.idle_timeout_us)
        self.table = ConnectionTable(limits, self.idle_timeout, self.dial, self.close, clock, counters)
        self.directory = RunnerDirectory(self.table, self.close)
        self.runners = self.directory.runners
        self.ends = LineEnds(move, counters)
        self.locations = self.ends.locations
        self.writer = LineWriter(self.ends, self.flush_soon, move, clock, counters)
        self.sender = LineSender(self.runners, self.table, self.ends, self.writer, counters)
        self.closer = ConnectionCloser(
            self.table, self.sender, self.ends, self.idle_timeout, self.disconnect, move, clock, counters
        )

    @property
    def core(self) -> PoolObserver:
        """What the ends are reported to; set once, before anything is sent."""
        return self.ends.core

    @core.setter
    def core(self, core: PoolObserver) -> None:
        self.ends.core = core

    @property
    def limits(self) -> RunnerLimits:
        """The limits in force; they can change while the pool serves."""
        return self.table.limits

    @limits.setter
    def limits(self, limits: RunnerLimits) -> None:
        self.table.limits = limits

    @property
    def connections(self) -> int:
        """How many connections are not closed."""
        return len(self.table.connections)

    @property
    def calls_written(self) -> int:
        """How many attempts were written whole."""
        return self.writer.calls_written

    # What a driver implements.

    def dial(self, connection: Connection) -> None:
        """Begin to connect; `connected` or `close` follows, and not from within this call."""
        raise NotImplementedError

    def disconnect(self, connection: Connection) -> None:
        """Report nothing more of a connection that the pool has closed."""
        raise NotImplementedError

    def flush_soon(self, connection: Connection) -> None:
        """Call `input_handled` once more input has been read."""
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
        if not self.sender.enqueue(worker, message):
            self.core.attempt_ended(attempt, Result.CONNECT_FAILED)

    def cancel(self, attempt: AttemptId) -> None:
        """Forget the attempt, and notify its runner if it may have started there."""
        connection, message = self.locations.pop(attempt, (None, None))
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
        connection, message = self.locations.get(attempt, (None, None))
        if connection is None or message is None:
            return False
        message.until_us = self.clock()  # should its connection break before all of it is out
        if message.state is not AttemptState.QUEUED:
            return False
        del self.locations[attempt]
        self.move(message, AttemptState.UNSENT)
        connection.queue.remove(message)
        return True

    def load(self, tag: int, worker: str, function: str, copies: int) -> None:
        """Have the runner load that many copies of the function."""
        name = f"load-{tag}"
        message = Message(wire.load(name, function, copies), True, None, name, tag)
        if not self.sender.enqueue(worker, message):
            self.core.load_ended(tag, Result.CONNECT_FAILED)

    def unload(self, worker: str, function: str) -> None:
        """Have the runner drop its copies of the function; no end is reported."""
        self.sender.enqueue(worker, Message(wire.unload(function), True))

    def check_health(self, tag: int, worker: str) -> None:
        """Send a health check."""
        name = f"probe-{tag}"
        message = Message(wire.stats(name), True, None, name, tag, is_health_check=True)
        if not self.sender.enqueue(worker, message):
            self.core.health_check_ended(tag, Result.CONNECT_FAILED)

    def forget_control_request(self, tag: int) -> None:
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
            self.directory.forget_if_unlisted(runner)

    def connected(self, connection: Connection, socket: Socket) -> None:
        """Write what waits for a connection that has come up."""
        connection.socket = socket
        self.move(connection, ConnectionState.UP)
        self.writer.flush(connection)

    def input_received(self, connection: Connection) -> None:
        """Take note that bytes have come; any answers in them are reported next, and then `input_handled`."""
        connection.used_us = connection.heard_us = self.clock()
        if connection.idle_us:
            self.idle_timeout.learn_survival(connection.heard_us, connection.idle_us)
        connection.idle_us = 0
        if connection.state is ConnectionState.UNVERIFIED:
            self.move(connection, ConnectionState.UP)

    def answer_received(self, connection: Connection, answer: wire.Answer) -> None:
        """Report an answer to the core; one whose tag is not known here is only counted."""
        self.ends.report_answer(connection, answer)

    def input_handled(self, connection: Connection) -> None:
        """Write what waited until the answers of one read were reported."""
        self.writer.flush(connection)

    def write_completed(self, connection: Connection) -> None:
        """Go on writing: the system has taken the rest of what was written in part."""
        self.writer.write_completed(connection)

    def write_stalled(self, connection: Connection) -> None:
        """Close a connection that does not take the rest of a line for `stall_us`.

        Guards the deadline in the line: it would reach the runner too late to be true. What is not written
        goes elsewhere, since a further connection to a runner that reads nothing would be filled, too.
        """
        if connection.partial is not None and not connection.closed():
            self.counters["runners.stalled"] += 1
            self.close(connection, Result.RESET, resend=False)

    def close(self, connection: Connection, result: Result, resend: bool = True) -> None:
        """End a connection: what was written whole ends with `result`, all else never ran.

        With `resend` what was not written whole goes by another connection to that runner, if this one came
        up. A connection that is closed already is left alone.
        """
        self.closer.close(connection, result, resend)

    def _doubt_if_silent(self, connection: Connection, message: Message) -> None:
        """Send nothing new by a connection that gave no sign since the line that is given up now.

        A machine that is cut off gives no sign; a new connection to it would not come up.
        """
        silent_us = self.clock() - message.written_us
        silent = connection.heard_us < message.written_us and silent_us > self.limits.silent_us
        if silent and connection.state is ConnectionState.UP:
            self.move(connection, ConnectionState.UNVERIFIED)
