"""The platform's front: clients' JSON-RPC connections, each request handed to the core."""

import array
import asyncio
import contextlib
import fcntl
import logging
import socket
import termios
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from maplestile.common.waiting import wait_until_set
from maplestile.dispatch.api import Settings
from maplestile.net import reads
from maplestile.net.listen import Listener, listen
from maplestile.requests.core import Core, Presence
from maplestile.wire import jsonrpc as wire
from maplestile.wire.limits import Limits
from maplestile.wire.messages import Outcome, Verdict

log = logging.getLogger(__name__)
ENDED = 7, 8  # states of a TCP connection whose other side has ended it: CLOSE, CLOSE_WAIT
LOOK_S = 0.05  # between two looks whether the client of a connection that is not read any more has gone


@dataclass(slots=True, eq=False)
class Client:
    reader: reads.Inbox
    writer: asyncio.StreamWriter
    framer: wire.Framer
    since_us: int  # of the connect, or of the first byte of the message that is not whole yet
    asked: int = 0  # how often whole messages came: reads that brought some
    faults: int = 0
    calls: dict[int, int] = field(default_factory=dict)  # the ids open on this connection, to the core's
    tags: dict[str, int] = field(default_factory=dict)
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    stirred_us: int = 0  # when it last asked or was answered
    written: int = 0  # bytes of answers
    taken: int = 0  # of which the system had so many at the last look
    unread_us: int = 0  # since when it has taken none of those that wait
    parted: bool = False  # this side of the connection has ended
    taking: bool = False  # of what was read not all is handled yet

    def unread(self) -> int:
        """What waits to be taken up, here or in the system."""
        waiting = array.array("i", [0])
        with contextlib.suppress(OSError):  # it has just broken, or the system does not tell
            fcntl.ioctl(self.writer.get_extra_info("socket").fileno(), termios.FIONREAD, waiting)
        return self.reader.held + waiting[0]

    def waiting(self, now_us: int) -> int:
        """The bytes of its answers that the system has not taken; notes whether it has taken any."""
        waiting = self.writer.transport.get_write_buffer_size()
        if self.written - waiting > self.taken or not waiting:
            self.taken, self.unread_us = self.written - waiting, now_us
        return waiting

    def begun(self) -> bool:
        """Whether a request has come whole or in part, of which nothing is open yet."""
        return self.taking or bool(self.framer.rest) or self.unread() > 0

    def presence(self) -> Presence:
        """Guards attempts after a loop that was away: a close or a cancel may be there, and not be read."""
        self.look()
        if self.reader.ended:
            return Presence.GONE
        return Presence.UNREAD if self.taking or self.unread() else Presence.WAITING

    def look(self) -> None:
        """Guards against a close that stands behind much that is yet to be read, and is found late there."""
        with contextlib.suppress(OSError):  # where the system does not tell
            link = self.writer.get_extra_info("socket")
            if link.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED:
                self.reader.end()


class PlatformFront:
    def __init__(
        self,
        core: Core,
        limits: Limits,
        counters: Counter[str],
        stamps: reads.ReceiveTimestamps,
        ready: Callable[[], bool],
    ) -> None:
        self.core, self.limits, self.counters = core, limits, counters
        self.stamps, self.ready = stamps, ready
        self.known = wire.Known.of(core.settings)
        self.clients: dict[Client, None] = {}  # the one that was silent longest first
        self.closing: dict[Client, None] = {}  # they have yet to read answers; the first to close first
        self.surplus = 0  # connections over the cap, of which the first request is refused
        self.parting = False  # each connection ends as soon as nothing is open or unread on it
        self.ending = False  # and whatever is unread

    async def start(self, host: str, port: int, shared: bool) -> Listener:
        limits = self.limits

        def inbox() -> reads.Inbox:
            return reads.Inbox(limits.client_read_bytes, self.stamps)

        burst, queue = limits.accept_burst, limits.accept_queue
        return await listen(host, port, self._serve, inbox, burst, queue, shared)

    def adopt(self, settings: Settings) -> None:
        """Another policy: other classes may be called."""
        self.known = wire.Known.of(settings)

    def owes(self) -> bool:
        """Answers are given, and not all with the system yet."""
        return bool(self.closing) or self._unread() > 0

    def stand(self) -> bool:
        """There are connections that this side has not ended."""
        return any(not client.parted for client in self.clients)

    def part(self, quiet_us: int) -> None:
        """End this side of each connection on which nothing is open, unread or begun, and nothing has come or
        gone for a while: a request that crosses the end finds a clean close, and goes again elsewhere. With
        no such while each further connection ends with the last answer that it is owed: guards against a
        client that asks again the moment it is answered, and is never found at rest."""
        self.parting = quiet_us == 0
        for client in list(self.clients):
            self._part(client, quiet_us)

    def end(self) -> None:
        """The process ends now: what is unread stays so, but each client finds a clean close behind its
        answers, where the exit alone would reset the connection and take them along."""
        self.parting = self.ending = True
        for client in list(self.clients):
            self._part(client)

    def _part(self, client: Client, quiet_us: int = 0) -> None:
        if client.calls or client.parted or client.writer.is_closing():
            return
        if self.ending or not (client.begun() or client.stirred_us > self.core.clock() - quiet_us):
            client.parted = True
            client.writer.write_eof()

    async def _serve(self, reader: reads.Inbox, writer: asyncio.StreamWriter) -> None:
        held = len(self.clients) + len(self.closing)
        if held >= self.limits.client_connections and not self.make_room():
            await self._turn_away(reader, writer)
            return
        reads.bound(writer.transport, self.limits.client_read_bytes)
        now = self.core.clock()
        client = Client(reader, writer, wire.Framer(self.limits), now, stirred_us=now)
        self.clients[client] = None
        reader.on_end = lambda: self._ended(client)
        self.counters["clients.connections"] += 1
        try:
            await self._read_all(client)
            # A client that only ends its own side still waits for what is out.
            await self._all_answered(client)
        except wire.FramingError as fault:
            self.counters["clients.malformed"] += 1
            log.warning("client: %s; connection closed", fault)
            self._write(client, wire.error(None, wire.PARSE_ERROR, str(fault)))
            await self._all_answered(client)  # what was taken before is still owed
            await self._read_away(client)
        except OSError as fault:
            log.debug("client: %r", fault)
        except asyncio.CancelledError:  # the process ends now
            writer.transport.abort()
            raise
        finally:
            self.clients.pop(client, None)
            for call in list(client.calls.values()):
                self.core.withdraw(call)
            client.calls.clear()
            writer.close()
            if writer.transport.get_write_buffer_size():
                await self._let_read(client)

    async def _turn_away(self, reader: reads.Inbox, writer: asyncio.StreamWriter) -> None:
        """A newcomer while each connection at the cap is owed an answer: its first requests are refused, and
        it ends. Guards the descriptors, and a request that was read from a close without an answer."""
        self.counters["clients.turned_away"] += 1
        log.warning("client: turned away, %d connections are owed an answer", len(self.clients))
        if self.surplus >= self.limits.client_surplus:
            writer.transport.abort()  # of which nothing has been read
            return
        self.surplus += 1
        try:
            await self._refuse_first(reader, writer)
        except (wire.FramingError, OSError, TimeoutError) as fault:
            log.debug("client: turned away: %r", fault)
        finally:
            self.surplus -= 1
            writer.close()

    async def _refuse_first(self, reader: reads.Inbox, writer: asyncio.StreamWriter) -> None:
        most, framer = self.limits.client_read_bytes, wire.Framer(self.limits)
        reads.bound(writer.transport, most)
        end_s = asyncio.get_running_loop().time() + self.limits.client_grace_us / 1e6
        refused = 0
        while not refused or framer.rest:
            left_s = end_s - asyncio.get_running_loop().time()
            data = await reads.within(left_s, lambda: reader.take(most))
            if not data:
                return
            for view in framer.feed(data):
                refused += 1
                writer.write(self._refusal(view))
        await reads.away(writer, lambda: reader.take(most), self.limits.client_linger_us / 1e6)

    def _refusal(self, view: memoryview) -> bytes:
        later = Outcome(Verdict.REFUSED, retry_after_us=self.limits.max_retry_after_us)
        try:
            message = wire.parse(view, self.limits, self.known)
        except wire.RpcError as fault:
            return wire.error(fault.id, fault.code, str(fault))
        match message:
            case wire.Call():
                self.counters["clients.refused_at_cap"] += 1
                return wire.answer(message.id, later)
            case wire.Check():
                return wire.result(message.id, {"ready": self.ready()})
            case wire.Interrupt():
                return b""

    async def _let_read(self, client: Client) -> None:
        """Guards the descriptors, and the end of the process, against one that never reads its answers."""
        self.closing[client] = None
        try:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(self.limits.client_last_us / 1e6):
                    await client.writer.wait_closed()
        finally:
            client.writer.transport.abort()
            self.closing.pop(client, None)

    async def _read_away(self, client: Client) -> None:
        """Guards the answers just given, behind which more may come."""
        if client.writer.is_closing() or client.reader.ended:
            return
        client.parted = True
        most, linger_s = self.limits.client_read_bytes, self.limits.client_linger_us / 1e6
        await reads.away(client.writer, lambda: client.reader.take(most), linger_s)

    def _ended(self, client: Client) -> None:
        """The client has closed: it is told apart from one that waits, at once, for all that it asked."""
        if not client.writer.is_closing():
            for number in list(client.calls.values()):
                self.core.client_gone(number)

    async def _read_all(self, client: Client) -> None:
        while data := await self._read(client):
            if client.writer.is_closing():  # it made room: what crossed that is sent again by its client
                return
            if client.parted:  # the same
                self.counters["clients.crossed"] += 1
                continue
            received_us, whole = client.reader.came_us, 0
            if client.reader.full:
                client.look()
            client.taking = True
            for whole, view in enumerate(client.framer.feed(data), 1):
                client.asked += whole == 1
                self._message(client, view, received_us)
                self.core.catch_up()
                if whole % self.limits.client_turn == 0:  # a flood must not keep the others waiting
                    await asyncio.sleep(0)
                    if client.writer.is_closing():
                        return
                if client.parted:  # the process ends now
                    self.counters["clients.crossed"] += 1
                    break
            client.taking = False
            if whole:
                client.since_us = received_us
                self._stirred(client)

    async def _read(self, client: Client) -> bytes:
        most = self.limits.client_read_bytes
        if client.asked and not client.framer.rest:  # it may stay for good, and ask again or not
            data = await client.reader.take(most)
            client.since_us = self.core.clock()
            return data
        # Guards the descriptors against connections that say nothing, or half a message, for ever. One that
        # is owed an answer stands anyway, and what it sends while that is on its way would go unread.
        while True:
            left_us = client.since_us + self.limits.client_message_us - self.core.clock()
            try:
                return await reads.within(left_us / 1e6, lambda: client.reader.take(most))
            except TimeoutError:
                if not client.calls:
                    raise wire.FramingError("no whole message in time") from None
                client.since_us = self.core.clock()

    async def _all_answered(self, client: Client) -> None:
        while client.calls and not client.writer.is_closing():
            client.idle.clear()
            await wait_until_set(client.idle, LOOK_S)
            client.look()

    def _stirred(self, client: Client) -> None:
        client.stirred_us = self.core.clock()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None
        if self.parting:
            self._part(client)

    def make_room(self) -> bool:
        """Close a connection, at the cap, that is owed nothing and has nothing unread. Guards requests that
        were read, or are on their way in pieces, from making room for others."""
        idle = self._dispensable()
        leaver = next((client for client in idle if not client.begun()), None)
        if leaver is None:
            return self._end_unread() or self._end_unfinished(idle)
        self.counters["clients.made_room"] += 1
        self.clients.pop(leaver, None)
        leaver.writer.close()
        return True

    def _dispensable(self) -> list[Client]:
        """Those without an open request, the first to go first: those that this side has ended; those that
        have not asked for long; those that asked once; those that had a short time to ask; those that come
        back (a segmented LRU, so that a crowd of strangers does not put out the clients in use); newcomers.
        In each the one silent longest goes first."""
        now = self.core.clock()

        def rank(client: Client) -> int:
            if client.parted:
                return 0
            if client.asked:
                return 2 if client.asked == 1 else 4
            silent_us = now - client.since_us
            if silent_us > self.limits.client_silent_us:
                return 1
            return 3 if silent_us > self.limits.client_grace_us else 5

        return sorted((client for client in self.clients if not client.calls), key=rank)

    def _end_unread(self) -> bool:
        """Drop a connection that was closed, and whose client has not read its last answers for long."""
        now = self.core.clock()
        for client in self.closing:
            if client.waiting(now) and now - client.unread_us > self.limits.client_unread_us:
                self.counters["clients.made_room"] += 1
                del self.closing[client]
                client.writer.transport.abort()
                return True
        return False

    def _end_unfinished(self, idle: list[Client]) -> bool:
        """Close a connection with a part of a request, of which the rest has not come for long."""
        since_us = self.core.clock() - self.limits.client_unfinished_us
        for client in idle:
            if client.framer.rest and client.since_us < since_us and not (client.taking or client.unread()):
                self.counters["clients.made_room_unfinished"] += 1
                self.clients.pop(client, None)
                client.writer.close()
                return True
        return False

    def _message(self, client: Client, view: memoryview, received_us: int) -> None:
        try:
            message = wire.parse(view, self.limits, self.known)
            match message:
                case wire.Call():
                    self._call(client, message, received_us)
                case wire.Interrupt():
                    self._interrupt(client, message)
                case wire.Check():
                    self._write(client, wire.result(message.id, {"ready": self.ready()}))
        except wire.RpcError as fault:
            self.counters["clients.malformed"] += 1
            log.warning("client: %s; answered with an error", fault)
            self._write(client, wire.error(fault.id, fault.code, str(fault)))
            client.faults += 1
            if client.faults > self.limits.client_faults:
                raise wire.FramingError("too many messages that cannot be used") from None

    def _call(self, client: Client, call: wire.Call, received_us: int) -> None:
        if call.id in client.calls:  # an answer could not be told from the other's
            raise wire.RpcError(wire.INVALID_REQUEST, "an id that is open already")
        if len(client.calls) >= self.limits.client_streams:
            raise wire.RpcError(wire.REFUSED, "too many open requests on one connection", call.id)
        if client.reader.ended:  # whatever would begin for it now, nobody waits for it any more
            self.counters["clients.gone_before"] += 1
            self._write(client, wire.answer(call.id, Outcome(Verdict.REFUSED)))
            return
        client.calls[call.id] = 0
        client.tags[call.request.tag] = call.id

        def answer(outcome: Outcome) -> None:
            if client.calls.pop(call.id, None) is None:
                return
            client.tags.pop(call.request.tag, None)
            self._write(client, wire.answer(call.id, outcome))
            if not client.calls:
                client.idle.set()
            self._stirred(client)

        number = self.core.submit(call.request, received_us, answer, client.presence)
        if call.id in client.calls:
            client.calls[call.id] = number

    def _interrupt(self, client: Client, message: wire.Interrupt) -> None:
        id_ = message.id if message.id is not None else client.tags.get(message.txn or "")
        number = client.calls.pop(id_, None) if id_ is not None else None
        self.counters["clients.interrupts"] += 1
        if number is not None:
            client.tags = {tag: open_ for tag, open_ in client.tags.items() if open_ != id_}
            self.core.withdraw(number)
        if not client.calls:
            client.idle.set()

    def _unread(self) -> int:
        now = self.core.clock()
        return sum(client.waiting(now) for client in self.clients)

    def _write(self, client: Client, data: bytes) -> None:
        transport = client.writer.transport
        if transport.is_closing() or client.parted:  # a time that ends there tells nobody of it
            client.idle.set()
            return
        client.waiting(now := self.core.clock())
        client.writer.write(data)
        client.written += len(data)
        unread, limits = client.waiting(now), self.limits
        if unread > limits.client_write_bytes:
            self._too_slow(client)
        elif unread and self._unread() > limits.all_write_bytes:
            # Clients that read nothing would fill the memory: the one goes that has read nothing longest, and
            # none that reads, whatever the others leave unread.
            self._too_slow(min((c for c in self.clients if c.waiting(now)), key=lambda c: c.unread_us))

    def _too_slow(self, client: Client) -> None:
        self.counters["clients.too_slow"] += 1
        log.warning("client: reads too slowly; connection closed")
        client.writer.transport.abort()
        client.idle.set()
