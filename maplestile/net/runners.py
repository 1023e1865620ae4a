"""The runner pool: connections by uid, requests spread over their streams, answers handed to the core.

A send may wait for its connection or behind a full socket buffer. So what a rule asks of a send is checked
where it is written, not where it was decided. A line that cannot be read condemns its connection: where the
next answer begins, and whose it is, cannot be known any more."""

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from maplestile.core import AttemptId, Core, Request
from maplestile.fleet import Address, Fleet
from maplestile.interface import NEVER_RAN, Result, WorkerState
from maplestile.limits import Limits
from maplestile.net import reads
from maplestile.wire import runner as wire

log = logging.getLogger(__name__)
REST_PART = 0.8  # of the rest that broke a connection: how long the next ones may rest
REST_BORNE = 3  # answers after a rest as long, of late, by which a break is none of the rest's
RESTS = 64  # answers after a rest that are remembered
TURNED = 64  # tags that a connection remembers as turned away


@dataclass(slots=True)
class Message:
    """One line to a runner. `fresh` marks what may not go to a runner that drains: all but a CANCEL."""

    line: bytes
    fresh: bool
    attempt: AttemptId | None = None
    tag: str = ""
    order: int = 0
    probe: bool = False
    written_us: int = 0


@dataclass(slots=True, eq=False)
class Connection:
    runner: "Runner"
    opened_us: int
    used_us: int
    writer: asyncio.StreamWriter | None = None
    queue: deque[Message] = field(default_factory=deque)
    open: dict[str, AttemptId] = field(default_factory=dict)
    errands: dict[str, tuple[int, bool]] = field(default_factory=dict)  # tag to number, and whether a probe
    turned: deque[str] = field(default_factory=lambda: deque(maxlen=TURNED))
    partial: Message | None = None  # the last one written, while not all of it is with the system
    heard_us: int = 0
    rested_us: int = 0  # before the first request that it carries, until it is heard
    doubtful: bool = False  # silent for longer than its requests could wait: carries nothing new until heard
    closed: bool = False
    task: asyncio.Task[None] | None = None

    def streams(self) -> int:
        return len(self.open) + len(self.errands) + len(self.queue)


@dataclass(slots=True, eq=False)
class Runner:
    uid: str
    address: Address
    started_us: int
    takes_new: bool
    listed: bool = True
    connections: list[Connection] = field(default_factory=list)


class Runners:
    """The core's pool on sockets."""

    def __init__(self, limits: Limits, clock: Callable[[], int], counters: Counter[str]) -> None:
        self.limits, self.clock, self.counters = limits, clock, counters
        self.core: Core
        self.runners: dict[str, Runner] = {}
        self.where: dict[AttemptId, tuple[Connection, Message]] = {}
        self.connections = 0
        self.calls_written = 0  # attempts written whole
        # How long a connection may rest and still carry a request: learned, since some way along may drop it
        # sooner than the settings tell, and says so only when the next request comes.
        self.keep_us, self.kept_us = limits.runner_idle_us, 0
        self.borne: deque[tuple[int, int]] = deque(maxlen=RESTS)  # when a rest was borne, and how long it was

    # The list.

    def update(self, fleet: Fleet) -> None:
        for entry in fleet.shown():
            uid, takes_new = entry.worker, entry.state is WorkerState.RUNNING
            address = fleet.addresses[uid]
            runner = self.runners.get(uid)
            if runner is None:
                self.runners[uid] = Runner(uid, address, entry.started_us, takes_new)
                continue
            runner.listed, runner.takes_new = True, takes_new
            if entry.started_us > runner.started_us or address != runner.address:
                # A process that is no more: on a connection to it nobody would ever answer.
                runner.started_us, moved = entry.started_us, address != runner.address
                runner.address = address
                for connection in list(runner.connections):
                    if moved or connection.opened_us < entry.started_us:
                        self._close(connection, Result.RESET)
        for uid in [u for u in self.runners if u not in fleet.entries]:
            runner = self.runners[uid]
            runner.listed = runner.takes_new = False
            self._close_unused(runner)
            if not runner.connections:
                del self.runners[uid]

    # What the core asks for.

    def send(self, attempt: AttemptId, worker: str, request: Request, wait_us: int) -> None:
        message = Message(wire.call(request, wait_us), True, attempt, request.tag)
        if not self._put(worker, message):
            self.core.attempt_ended(attempt, Result.CONNECT_FAILED)

    def cancel(self, attempt: AttemptId) -> None:
        connection, message = self.where.pop(attempt, (None, None))
        if connection is None or message is None:
            return
        if message in connection.queue:  # never written: nothing to call off
            connection.queue.remove(message)
            return
        # A tag that a client has used twice at once may stand for another attempt by now.
        if connection.open.get(message.tag) != attempt:
            return
        del connection.open[message.tag]
        silent_us = self.clock() - message.written_us
        if connection.heard_us < message.written_us and silent_us > self.limits.runner_silent_us:
            # A machine that is cut off gives no sign; a new connection to it would not come up.
            connection.doubtful = True
        self._write(connection, Message(wire.cancel(message.tag), False))

    def order(self, tag: int, worker: str, function: str, copies: int) -> None:
        name = f"load-{tag}"
        message = Message(wire.load(name, function, copies), True, None, name, tag)
        if not self._put(worker, message):
            self.core.order_ended(tag, Result.CONNECT_FAILED)

    def unload(self, worker: str, function: str) -> None:
        self._put(worker, Message(wire.unload(function), True))

    def probe(self, tag: int, worker: str) -> None:
        name = f"probe-{tag}"
        if not self._put(worker, Message(wire.stats(name), True, None, name, tag, True)):
            self.core.probe_ended(tag, Result.CONNECT_FAILED)

    def forget(self, tag: int) -> None:
        for runner in self.runners.values():
            for connection in runner.connections:
                for name in (f"load-{tag}", f"probe-{tag}"):
                    connection.errands.pop(name, None)

    def close_idle(self, worker: str) -> None:
        if (runner := self.runners.get(worker)) is not None:
            self._close_unused(runner)

    def sweep(self) -> None:
        """Close what lies idle before the runner does: a send that meets its close would be lost."""
        now = self.clock()
        if now - self.kept_us > self.limits.runner_rest_us:  # what dropped them may have passed
            self.keep_us, self.kept_us = min(2 * self.keep_us, self.limits.runner_idle_us), now
        over = self.connections > self.limits.runner_connections  # another process shares the descriptors now
        for runner in list(self.runners.values()):
            for connection in [c for c in runner.connections if c.doubtful and not c.streams()]:
                self._close(connection, Result.RESET)
            self._close_unused(runner, now - self.keep_us if runner.listed and not over else None)
            if not runner.listed and not runner.connections:
                self.runners.pop(runner.uid, None)

    # Connections.

    def _close_unused(self, runner: Runner, since_us: int | None = None) -> None:
        """Close what carries nothing, and where a time is given has carried nothing since then."""
        for connection in list(runner.connections):
            if not connection.streams() and (since_us is None or connection.used_us <= since_us):
                self._close(connection, Result.RESET)

    def _put(self, worker: str, message: Message) -> bool:
        runner = self.runners.get(worker)
        if runner is None:
            return False
        connection = self._connection(runner, message.tag)
        if connection is None or len(connection.queue) >= self.limits.runner_queue:
            self.counters["runners.no_room"] += 1
            return False
        if message.attempt is not None:
            self.where[message.attempt] = (connection, message)
        self._write(connection, message)
        return True

    def _connection(self, runner: Runner, tag: str) -> Connection | None:
        # A second copy of the answer that turned a tag away would pass for the answer to its next try.
        most = self.limits.runner_streams
        free = [
            c for c in runner.connections
            if c.streams() < most and not c.doubtful and tag not in c.open and tag not in c.turned
        ]  # fmt: skip
        # The fullest first, so that the others can fall idle and be closed; of idle ones the one used last.
        best = max(free, key=lambda c: (c.writer is not None, c.streams(), c.used_us), default=None)
        if best is not None and (best.streams() or self.clock() - best.used_us < self.keep_us):
            return best
        return self._open(runner) or best

    def _open(self, runner: Runner) -> Connection | None:
        if self.connections >= self.limits.runner_connections:  # the descriptors are budgeted
            return None
        now = self.clock()
        connection = Connection(runner, now, now)
        runner.connections.append(connection)
        self.connections += 1
        self.counters["runners.connections"] += 1
        connection.task = asyncio.get_running_loop().create_task(self._serve(connection))
        return connection

    async def _serve(self, connection: Connection) -> None:
        end = Result.CONNECT_FAILED
        try:
            async with asyncio.timeout(self.limits.connect_timeout_us / 1e6):
                reader, writer = await asyncio.open_connection(
                    *connection.runner.address, limit=self.limits.runner_read_bytes
                )
            connection.writer, end = writer, Result.RESET
            reads.bound(writer.transport, self.limits.runner_read_bytes)
            writer.transport.set_write_buffer_limits(high=0)
            self._flush(connection)
            lines = wire.Lines(self.limits.runner_line_bytes)
            while data := await self._read(reader, lines):
                connection.used_us = connection.heard_us = self.clock()
                if connection.rested_us:
                    self.borne.append((connection.heard_us, connection.rested_us))
                connection.rested_us = 0
                connection.doubtful = False
                for line in lines.feed(data):
                    self._answer(connection, wire.parse(line))
                    self.core.catch_up()
                self._flush(connection)
        except wire.LineError as fault:
            self.counters["runners.malformed"] += 1
            log.warning("runner %s: %s; connection condemned", connection.runner.uid, fault)
        except (OSError, TimeoutError) as fault:
            log.debug("runner %s: %r", connection.runner.uid, fault)
        finally:
            self._close(connection, end)

    async def _read(self, reader: asyncio.StreamReader, lines: wire.Lines) -> bytes:
        if not lines.rest:
            return await reader.read(self.limits.runner_read_bytes)
        # A line that was begun comes soon, or never: its writer stopped short, and all behind it waits.
        try:
            async with asyncio.timeout(self.limits.runner_line_us / 1e6):
                return await reader.read(self.limits.runner_read_bytes)
        except TimeoutError:
            raise wire.LineError("a line that does not go on") from None

    def _write(self, connection: Connection, message: Message) -> None:
        connection.queue.append(message)
        self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        """Write what the socket takes; what may no longer be sent ends here, unwritten."""
        writer = connection.writer
        if writer is None or connection.closed or connection.partial is not None:
            return
        while connection.queue:
            message = connection.queue.popleft()
            if message.fresh and not connection.runner.takes_new:
                # Told of a drain since the decision: rule 3 binds at the moment of writing.
                self.counters["runners.stale"] += 1
                self._unsent(message, Result.MOOT)
                continue
            if not connection.open and not connection.errands:
                connection.rested_us = self.clock() - connection.used_us
            if message.attempt is not None:
                connection.open[message.tag] = message.attempt
            elif message.tag:
                connection.errands[message.tag] = (message.order, message.probe)
            writer.write(message.line)
            connection.used_us = message.written_us = self.clock()
            if writer.transport.get_write_buffer_size():
                connection.partial = message
                asyncio.get_running_loop().create_task(self._drained(connection, writer))
                return
            self._written(message)

    async def _drained(self, connection: Connection, writer: asyncio.StreamWriter) -> None:
        try:
            await writer.drain()
        except OSError:
            return  # the reader sees the same end and closes
        if connection.partial is not None and not connection.closed:
            self._written(connection.partial)
        connection.partial = None
        self._flush(connection)

    def _written(self, message: Message) -> None:
        """The system has all of it."""
        if message.attempt is not None:
            self.calls_written += 1

    def _unsent(self, message: Message, result: Result) -> None:
        if message.attempt is not None:
            self.where.pop(message.attempt, None)
            self.core.attempt_ended(message.attempt, result)
        elif message.probe:
            self.core.probe_ended(message.order, result)
        elif message.order:
            self.core.order_ended(message.order, Result.FULL if result is Result.MOOT else result)

    def _answer(self, connection: Connection, answer: wire.Answer) -> None:
        attempt = connection.open.pop(answer.call, None)
        errand = connection.errands.pop(answer.call, None)
        if attempt is not None:
            self.where.pop(attempt, None)
            if answer.result in NEVER_RAN:
                connection.turned.append(answer.call)
            self.core.attempt_ended(attempt, answer.result, answer.body, answer.alike, answer.report)
        elif errand is None:
            self.counters["runners.late"] += 1
        elif errand[1]:
            self.core.probe_ended(errand[0], answer.result, answer.report)
        else:
            self.core.order_ended(errand[0], answer.result, answer.copies)

    def _close(self, connection: Connection, result: Result) -> None:
        """Close, and tell the core of all that was open: `result` if written whole, else it never ran."""
        if connection.closed:
            return
        connection.closed = True
        connection.runner.connections.remove(connection)
        self.connections -= 1
        unsent, connection.queue = connection.queue, deque()
        if connection.writer is not None:
            # What the transport still holds has not reached the runner whole. Once the transport has failed
            # it tells nothing any more: then the last message counts as written.
            if connection.partial is not None and connection.writer.transport.get_write_buffer_size():
                unsent.appendleft(connection.partial)
                connection.open.pop(connection.partial.tag, None)
                connection.errands.pop(connection.partial.tag, None)
            connection.writer.transport.abort()
        if connection.task is not None and connection.task is not asyncio.current_task():
            connection.task.cancel()
        written, connection.open = connection.open, {}
        errands, connection.errands = connection.errands, {}
        if result is Result.RESET and connection.rested_us:
            self._rested_too_long(connection)
        for attempt in written.values():
            self.where.pop(attempt, None)
            self.core.attempt_ended(attempt, result)
        for number, probe in errands.values():
            (self.core.probe_ended if probe else self.core.order_ended)(number, result)
        for message in unsent:
            # A connection that came up and broke says nothing of the runner: the rest goes by another.
            if connection.writer is None or not self._again(connection.runner, message):
                self._unsent(message, Result.CONNECT_FAILED)

    def _rested_too_long(self, connection: Connection) -> None:
        """It broke at the first request after a rest, before it was heard, and where that came at once the
        rest is to blame; unless others have borne such a rest of late: then that runner went, or its zone."""
        now, least_us = self.clock(), self.limits.runner_rest_least_us
        if now - connection.used_us > least_us:
            return
        since_us = now - self.limits.runner_rest_us
        if sum(at > since_us and rest >= connection.rested_us for at, rest in self.borne) >= REST_BORNE:
            self.counters["runners.broke_after_rest"] += 1
            return
        self.counters["runners.rested_too_long"] += 1
        self.keep_us = max(least_us, min(self.keep_us, int(REST_PART * connection.rested_us)))
        self.kept_us = now

    def _again(self, runner: Runner, message: Message) -> bool:
        if message.attempt is not None and message.attempt not in self.where:
            return True  # called off meanwhile
        return self.runners.get(runner.uid) is runner and self._put(runner.uid, message)
