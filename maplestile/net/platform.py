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

from maplestile.core import Core, Outcome, Verdict
from maplestile.interface import Settings
from maplestile.limits import Limits
from maplestile.net import reads
from maplestile.net.listen import Listener, listen
from maplestile.wire import jsonrpc as wire

log = logging.getLogger(__name__)
ENDED = 7, 8  # states of a TCP connection whose other side has ended it: CLOSE, CLOSE_WAIT
LOOK_S = 0.05  # between two looks whether the client of a connection that is not read any more has gone


@dataclass(slots=True, eq=False)
class Client:
    reader: reads.Inbox
    writer: asyncio.StreamWriter
    framer: wire.Framer
    since_us: int  # of the connect, or of the first byte of the message that is not whole yet
    greeted: bool = False  # a whole message has come
    faults: int = 0
    calls: dict[int, int] = field(default_factory=dict)  # the ids open on this connection, to the core's
    tags: dict[str, int] = field(default_factory=dict)
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    stirred_us: int = 0  # when it last asked or was answered
    parted: bool = False  # this side of the connection has ended
    taking: bool = False  # of what was read not all is handled yet

    def unread(self) -> int:
        """What waits to be taken up, here or in the system."""
        waiting = array.array("i", [0])
        with contextlib.suppress(OSError):  # it has just broken, or the system does not tell
            fcntl.ioctl(self.writer.get_extra_info("socket").fileno(), termios.FIONREAD, waiting)
        return self.reader.held + waiting[0]

    def look(self) -> None:
        """Guards against a close that stands behind much that is yet to be read, and is found late there."""
        with contextlib.suppress(OSError):  # where the system does not tell
            link = self.writer.get_extra_info("socket")
            if link.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED:
                self.reader.end()


class Platform:
    def __init__(
        self, core: Core, limits: Limits, counters: Counter[str], stamps: reads.Stamps,
        ready: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.core, self.limits, self.counters = core, limits, counters
        self.stamps, self.ready = stamps, ready
        self.known = wire.Known.of(core.settings)
        self.clients: dict[Client, None] = {}  # the one that was silent longest first
        self.closing: dict[Client, None] = {}  # they have yet to read answers; the first to close first
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
        begun = client.taking or client.framer.rest or client.unread()
        if self.ending or not (begun or client.stirred_us > self.core.clock() - quiet_us):
            client.parted = True
            client.writer.write_eof()

    async def _serve(self, reader: reads.Inbox, writer: asyncio.StreamWriter) -> None:
        held = len(self.clients) + len(self.closing)
        if held >= self.limits.client_connections and not self.make_room():
            self.counters["clients.turned_away"] += 1
            log.warning("client: turned away, %d connections are owed an answer", len(self.clients))
            writer.transport.abort()
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
                client.greeted = True
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
        if client.greeted and not client.framer.rest:  # it may stay for good, and ask again or not
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
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_S):
                    await client.idle.wait()
            client.look()

    def _stirred(self, client: Client) -> None:
        client.stirred_us = self.core.clock()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None
        if self.parting:
            self._part(client)

    def make_room(self) -> bool:
        """At the cap one that is owed nothing makes room: one that this side has ended, or else the first
        that has had its time to ask and never did, or else the one silent longest of those that asked, or
        else the first of the newcomers."""
        since_us = self.core.clock() - self.limits.client_grace_us
        idle = [client for client in self.clients if not client.calls]
        silent = (client for client in idle if not client.greeted and client.since_us < since_us)
        ended = next((client for client in idle if client.parted), None)
        asked = (client for client in idle if client.greeted)
        oldest = ended or next(silent, None) or next(asked, None) or next(iter(idle), None)
        if oldest is None and self.closing:
            oldest = next(iter(self.closing))  # it has its answers, and does not read them
            del self.closing[oldest]
            oldest.writer.transport.abort()
        elif oldest is None:
            return False
        self.counters["clients.made_room"] += 1
        self.clients.pop(oldest, None)
        oldest.writer.close()
        return True

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

        number = self.core.submit(call.request, received_us, answer)
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
        return sum(client.writer.transport.get_write_buffer_size() for client in self.clients)

    def _write(self, client: Client, data: bytes) -> None:
        transport = client.writer.transport
        if transport.is_closing() or client.parted:  # a time that ends there tells nobody of it
            client.idle.set()
            return
        client.writer.write(data)
        unread, limits = transport.get_write_buffer_size(), self.limits
        if unread > limits.client_write_bytes:
            self._too_slow(client)
        elif unread and self._unread() > limits.all_write_bytes:
            # Clients that read nothing would fill the memory; of many the one goes that fills it most.
            self._too_slow(max(self.clients, key=lambda c: c.writer.transport.get_write_buffer_size()))

    def _too_slow(self, client: Client) -> None:
        self.counters["clients.too_slow"] += 1
        log.warning("client: reads too slowly; connection closed")
        client.writer.transport.abort()
        client.idle.set()
