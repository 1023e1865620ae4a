"""The runner pool: connections by uid, requests spread over their streams, answers handed to the core.

It opens no socket: `net/runners.py` drives it, and `explore/` plays every order of events on it. A send may
wait for its connection or behind a full socket buffer. So what a rule asks of a send is checked where it is
written, not where it was decided. The lives of attempts and connections stand in `states.py`."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from maplestile.common.address import Address
from maplestile.dispatch.api import NEVER_RAN, Result, WorkerState
from maplestile.requests.core import AttemptId, Core, Presence
from maplestile.requests.endpoint_list import EndpointList
from maplestile.requests.states import AttemptState, ConnectionState, Transition
from maplestile.wire import runner as wire
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Request

REST_PART = 0.8  # of the rest that broke a connection: how long the next ones may rest
REST_BORNE = 3  # answers after a rest as long, of late, by which a break is none of the rest's
RESTS = 64  # answers after a rest that are remembered
TURNED = 64  # tags that a connection remembers as turned away


class Socket(Protocol):
    """One connection, as the driver has it."""

    def write(self, line: bytes) -> bool:
        """Whether the system has all of it; if not, the driver calls `Pool.drained` once it has."""
        ...

    def holds(self) -> bool:
        """Some of what was written is not with the system yet."""
        ...

    def abort(self) -> None: ...


@dataclass(slots=True)
class Message:
    """One line to a runner. `fresh` marks what may not go to a runner that drains: all but a CANCEL.

    A call's line is made when it is written, from `request` and `due_us`: it tells the runner how long the
    client still waits, and it may have waited for its connection since it was decided."""

    line: bytes
    fresh: bool
    attempt: AttemptId | None = None
    tag: str = ""
    order: int = 0
    probe: bool = False
    written_us: int = 0
    until_us: int = 0  # not to be written from then on, if over 0
    state: AttemptState = AttemptState.QUEUED  # of the attempt, or of the errand
    request: Request | None = None
    due_us: int = 0  # when the attempt is given up


@dataclass(slots=True, eq=False)
class Connection:
    runner: "Runner"
    opened_us: int
    used_us: int
    state: ConnectionState = ConnectionState.OPENING
    socket: Socket | None = None  # from the moment it is up
    queue: deque[Message] = field(default_factory=deque)
    open: dict[str, AttemptId] = field(default_factory=dict)
    errands: dict[str, tuple[int, bool]] = field(default_factory=dict)  # tag to number, and whether a probe
    turned: deque[str] = field(default_factory=lambda: deque(maxlen=TURNED))
    partial: Message | None = None  # the last one written, while not all of it is with the system
    heard_us: int = 0
    rested_us: int = 0  # before the first request that it carries, until it is heard

    def closed(self) -> bool:
        return self.state is ConnectionState.CLOSED

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


class Pool:
    """The core's pool; a driver dials for it, and tells it what comes of its connections."""

    def __init__(self, limits: Limits, clock: Callable[[], int], counters: Counter[str]) -> None:
        self.limits, self.clock, self.counters = limits, clock, counters
        self.move = Transition(counters)
        self.core: Core
        self.runners: dict[str, Runner] = {}
        self.where: dict[AttemptId, tuple[Connection, Message]] = {}
        self.connections = 0
        self.all: dict[Connection, None] = {}
        self.calls_written = 0  # attempts written whole
        # Whether input may lie unread for so long that it tells of clients who left a while ago.
        self.input_is_old: Callable[[], bool] = lambda: False
        # How long a connection may rest and still carry a request: learned, since some way along may drop it
        # sooner than the settings tell, and says so only when the next request comes.
        self.keep_us, self.kept_us = limits.runner_idle_us, 0
        self.borne: deque[tuple[int, int]] = deque(maxlen=RESTS)  # when a rest was borne, and how long it was

    # The driver's.

    def dial(self, connection: Connection) -> None:
        """Begin to connect; `up` or `close` follows, and not from within this call."""
        raise NotImplementedError

    def hang_up(self, connection: Connection) -> None:
        """The pool has closed it: nothing of it is told any more."""
        raise NotImplementedError

    def flush_soon(self, connection: Connection) -> None:
        """Call `settled` once more input has been read."""
        raise NotImplementedError

    # The list.

    def update(self, fleet: EndpointList) -> None:
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
                        self.close(connection, Result.RESET)
        for uid in [u for u in self.runners if u not in fleet.entries]:
            runner = self.runners[uid]
            runner.listed = runner.takes_new = False
            self._close_unused(runner)
            if not runner.connections:
                del self.runners[uid]

    # What the core asks for.

    def send(
        self, attempt: AttemptId, worker: str, request: Request, wait_us: int, until_us: int = 0
    ) -> None:
        due_us = self.clock() + wait_us
        message = Message(b"", True, attempt, request.tag, until_us=until_us, request=request, due_us=due_us)
        if not self._put(worker, message):
            self.core.attempt_ended(attempt, Result.CONNECT_FAILED)

    def cancel(self, attempt: AttemptId) -> None:
        connection, message = self.where.pop(attempt, (None, None))
        if connection is None or message is None:
            return
        if message.state is AttemptState.QUEUED:  # never written: nothing to call off
            self.move(message, AttemptState.CANCELLED)
            connection.queue.remove(message)
            return
        self.move(message, AttemptState.CANCELLED)
        # A tag that a client has used twice at once may stand for another attempt by now.
        if connection.open.get(message.tag) != attempt:
            return
        del connection.open[message.tag]
        silent_us = self.clock() - message.written_us
        silent = connection.heard_us < message.written_us and silent_us > self.limits.runner_silent_us
        if silent and connection.state is ConnectionState.UP:
            # A machine that is cut off gives no sign; a new connection to it would not come up.
            self.move(connection, ConnectionState.UNVERIFIED)
        self._write(connection, Message(wire.cancel(message.tag), False))

    def withhold(self, attempt: AttemptId) -> bool:
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
            for connection in runner.connections[:]:
                if connection.state is ConnectionState.UNVERIFIED and not connection.streams():
                    self.close(connection, Result.RESET)
            self._close_unused(runner, now - self.keep_us if runner.listed and not over else None)
            if not runner.listed and not runner.connections:
                self.runners.pop(runner.uid, None)

    # Connections.

    def _close_unused(self, runner: Runner, since_us: int | None = None) -> None:
        """Close what carries nothing, and where a time is given has carried nothing since then."""
        for connection in list(runner.connections):
            if not connection.streams() and (since_us is None or connection.used_us <= since_us):
                self.close(connection, Result.RESET)

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
            c
            for c in runner.connections
            if c.streams() < most
            and c.state is not ConnectionState.UNVERIFIED
            and tag not in c.open
            and tag not in c.turned
        ]
        # The fullest first, so that the others can fall idle and be closed; of idle ones the one used last.
        best = max(free, key=lambda c: (c.socket is not None, c.streams(), c.used_us), default=None)
        if best is not None and (best.streams() or self.clock() - best.used_us < self.keep_us):
            return best
        return self._open(runner) or best

    def _open(self, runner: Runner) -> Connection | None:
        if self.connections >= self.limits.runner_connections and not self._make_room():
            return None
        now = self.clock()
        connection = Connection(runner, now, now)
        runner.connections.append(connection)
        self.connections += 1
        self.all[connection] = None
        self.counters["runners.connections"] += 1
        self.dial(connection)
        return connection

    def _make_room(self) -> bool:
        """The descriptors are budgeted: close the connection that has carried nothing longest. Guards calls
        to a further runner, where many have left idle connections, from counting as refused there."""
        idle = (c for c in self.all if c.state is ConnectionState.UP and not c.streams())
        oldest = min(idle, key=lambda c: c.used_us, default=None)
        if oldest is None:
            return False
        self.counters["runners.made_room"] += 1
        self.close(oldest, Result.RESET)
        return True

    def up(self, connection: Connection, socket: Socket) -> None:
        connection.socket = socket
        self.move(connection, ConnectionState.UP)
        self._flush(connection)

    def heard(self, connection: Connection) -> None:
        """Bytes have come, of which any answers are told next, and then `settled`."""
        connection.used_us = connection.heard_us = self.clock()
        if connection.rested_us:
            self.borne.append((connection.heard_us, connection.rested_us))
        connection.rested_us = 0
        if connection.state is ConnectionState.UNVERIFIED:
            self.move(connection, ConnectionState.UP)

    def settled(self, connection: Connection) -> None:
        self._flush(connection)

    def _write(self, connection: Connection, message: Message) -> None:
        connection.queue.append(message)
        self._flush(connection)

    def _flush(self, connection: Connection) -> None:
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
                self.counters["runners.client_gone"] += 1
                self._unsent(message, Result.SUPERSEDED)
            elif self._stale(message, connection):
                self.counters["runners.stale"] += 1
                self._unsent(message, Result.SUPERSEDED)
            else:
                self._begin(socket, connection, message)
        if postponed and not connection.closed():
            self.counters["runners.postponed"] += 1
            self.flush_soon(connection)

    def _stale(self, message: Message, connection: Connection) -> bool:
        """Whether a rule has come to bar the line since it was decided: its runner drains (rule 3), the
        repeat of a keyed call is dropped no more (rule 1), or its own deadline has passed."""
        now = self.clock()
        forgotten = 0 < message.until_us <= now
        overdue = message.request is not None and message.due_us <= now
        return message.fresh and (forgotten or overdue or not connection.runner.takes_new)

    def _presence(self, message: Message) -> Presence:
        """Guards against an attempt that begins after its client has left, where the loop was busy or stood
        still and has yet to read of it. What is read in time has told the core already."""
        if message.attempt is None or not self.input_is_old():
            return Presence.WAITING
        return self.core.presence(message.attempt)

    def _begin(self, socket: Socket, connection: Connection, message: Message) -> None:
        """Write one line; what of it the system does not take at once is the connection's `partial`."""
        if not connection.open and not connection.errands:
            connection.rested_us = self.clock() - connection.used_us
        if message.attempt is not None:
            connection.open[message.tag] = message.attempt
        elif message.tag:
            connection.errands[message.tag] = (message.order, message.probe)
        self.move(message, AttemptState.PARTIALLY_WRITTEN)
        if message.request is not None:
            message.line = wire.call(message.request, message.due_us - self.clock())
        whole = socket.write(message.line)
        connection.used_us = message.written_us = self.clock()
        if whole:
            self._written(message)
        else:
            connection.partial = message

    def drained(self, connection: Connection) -> None:
        """The system has taken the rest of what was written in part."""
        if connection.partial is not None and not connection.closed():
            self._written(connection.partial)
        connection.partial = None
        self._flush(connection)

    def stalled(self, connection: Connection) -> None:
        """The rest of a line is not taken for `runner_stall_us`. Guards the deadline that the line tells: it
        would reach the runner too late to be true. What has not gone out goes elsewhere, since a further
        connection to a runner that reads nothing would be filled, too."""
        if connection.partial is not None and not connection.closed():
            self.counters["runners.stalled"] += 1
            self.close(connection, Result.RESET, again=False)

    def _written(self, message: Message) -> None:
        """The system has all of it."""
        if message.attempt is not None:
            self.calls_written += 1
        if (
            message.state is AttemptState.PARTIALLY_WRITTEN
        ):  # else it was called off, or answered, before its last byte
            self.move(message, AttemptState.WRITTEN)

    def _end(self, attempt: AttemptId, to: AttemptState) -> None:
        found = self.where.pop(attempt, None)
        if found is not None:
            self.move(found[1], to)

    def _unsent(self, message: Message, result: Result) -> None:
        self.move(message, AttemptState.UNSENT)
        if message.attempt is not None:
            self.where.pop(message.attempt, None)
            self.core.attempt_ended(message.attempt, result)
        elif message.probe:
            self.core.probe_ended(message.order, result)
        elif message.order:
            self.core.order_ended(message.order, Result.FULL if result is Result.SUPERSEDED else result)

    def answered(self, connection: Connection, answer: wire.Answer) -> None:
        attempt = connection.open.pop(answer.call, None)
        errand = connection.errands.pop(answer.call, None)
        if attempt is not None:
            self._end(attempt, AttemptState.ANSWERED)
            if answer.result in NEVER_RAN:
                connection.turned.append(answer.call)
            self.core.attempt_ended(attempt, answer.result, answer.body, answer.queued_ahead, answer.report)
        elif errand is None:
            self.counters["runners.late"] += 1
        elif errand[1]:
            self.core.probe_ended(errand[0], answer.result, answer.report)
        else:
            self.core.order_ended(errand[0], answer.result, answer.copies)

    def close(self, connection: Connection, result: Result, again: bool = True) -> None:
        """It is over: tell the core of all that was open: `result` if written whole, else it never ran. With
        `again` what was not written whole goes by another connection to that runner, if this one came up."""
        if connection.state is ConnectionState.CLOSED:
            return
        self.move(connection, ConnectionState.CLOSED)
        connection.runner.connections.remove(connection)
        self.connections -= 1
        del self.all[connection]
        unsent, connection.queue = connection.queue, deque()
        if connection.socket is not None:
            # What the transport still holds has not reached the runner whole. Once the transport has failed
            # it tells nothing any more: then the last message counts as written.
            if connection.partial is not None and connection.socket.holds():
                unsent.appendleft(connection.partial)
                connection.open.pop(connection.partial.tag, None)
                connection.errands.pop(connection.partial.tag, None)
            connection.socket.abort()
        self.hang_up(connection)
        written, connection.open = connection.open, {}
        errands, connection.errands = connection.errands, {}
        if result is Result.RESET and connection.rested_us:
            self._rested_too_long(connection)
        for attempt in written.values():
            self._end(attempt, AttemptState.CONNECTION_LOST)
            self.core.attempt_ended(attempt, result)
        for number, probe in errands.values():
            (self.core.probe_ended if probe else self.core.order_ended)(number, result)
        for message in unsent:
            if (
                message.state is AttemptState.PARTIALLY_WRITTEN
            ):  # called off or answered meanwhile, it ends as it is
                self.move(message, AttemptState.QUEUED)
            # A connection that came up and broke says nothing of the runner: the rest goes by another.
            again = again and connection.socket is not None
            if not (again and self._again(connection.runner, message)):
                self._unsent(
                    message, Result.SUPERSEDED if result is Result.SUPERSEDED else Result.CONNECT_FAILED
                )

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
