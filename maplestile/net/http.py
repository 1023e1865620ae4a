"""The driver of the HTTP fronts: HTTP/1.1 by h11 over asyncio streams, each front with bounds of its own."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

import h11

from maplestile.net import reads
from maplestile.net.listen import Listener, listen
from maplestile.wire.http import Application, Bounds, HttpRequest, Response, problem

log = logging.getLogger(__name__)
READ_BYTES, HEAD_BYTES, AHEAD_BYTES, QUEUE = 16_384, 16_384, 262_144, 512
WRITE_S = 10.0
HALF_S = 0.5  # at the end of a drain, for a request that was begun to come whole
QUIET_S, LOOK_S = 0.1, 0.01  # at the end of a drain: for what crosses it, and between two looks


class TooLarge(Exception):
    """A body over the limit: it is not read to its end."""


class TooSlow(Exception):
    """A request that was begun and is not whole in its time."""


class Left(Exception):
    """The client has gone."""


class HttpFront:
    def __init__(
        self, front: str, app: Application, counters: Counter[str], received: Callable[[], int]
    ) -> None:
        self.front, self.app, self.counters, self.received = front, app, counters, received
        self.connections = 0
        self.leaving = False  # the process ends: each answer asks its client to go elsewhere with the next
        self.idle: dict[Exchange, None] = {}  # those with no request begun, the one silent longest first
        self.begun: dict[Exchange, None] = {}  # those whose request is not whole, the oldest first

    @property
    def bounds(self) -> Bounds:
        return self.app.bounds

    def count(self, what: str) -> None:
        self.counters[f"{self.front}.{what}"] += 1

    async def start(self, host: str, port: int) -> Listener:
        burst = self.bounds.accept_burst
        return await listen(host, port, self._serve, lambda: asyncio.StreamReader(READ_BYTES), burst, QUEUE)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.connections >= self.bounds.connections and not self._make_room():
            self.count("turned_away")  # the descriptors are budgeted
            writer.transport.abort()
            return
        reads.bound(writer.transport, READ_BYTES)
        self.connections += 1
        self.count("connections")
        exchange = Exchange(self, reader, writer)
        try:
            await exchange.run()
        except (Left, OSError, TimeoutError) as fault:
            log.debug("%s client: %r", self.front, fault)
        finally:
            self.connections -= 1
            self.begun.pop(exchange, None)
            writer.close()

    async def end(self, listener: Listener) -> None:
        """The last of a drain, when nothing is owed: nobody is accepted any more, what the queue held and
        what comes meanwhile is still answered, and then this side of each connection ends while it rests.
        Guards calls that come just then: closed at once, their connections lost them without an answer."""
        await listener.finish(QUIET_S)
        await asyncio.sleep(QUIET_S)  # those just accepted have yet to be read
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while (waited_s := loop.time() - began_s) < WRITE_S and self.connections > len(self.idle):
            # Guards the process against half a request: nothing is owed for one that does not come whole.
            if waited_s > HALF_S and self.connections == len(self.idle) + len(self.begun):
                break
            await asyncio.sleep(LOOK_S)
        for exchange in (*self.idle, *self.begun):
            exchange.parted = True
            exchange.writer.write_eof()
        until_s = loop.time() + QUIET_S
        while self.connections and loop.time() < until_s:
            await asyncio.sleep(LOOK_S)

    def _make_room(self) -> bool:
        """Guards against connections that say nothing and lock out whoever has something to ask; on a front
        of one call each, also against those that never say all of it."""
        waiting = [self.idle, self.begun] if self.bounds.one_call else [self.idle]
        oldest = next((exchange for some in waiting for exchange in some), None)
        if oldest is None:
            return False
        self.count("made_room")
        self.idle.pop(oldest, None)
        self.begun.pop(oldest, None)
        oldest.writer.close()
        return True


class Exchange:
    """One connection: request after request, each answered before the next is read."""

    def __init__(self, http: HttpFront, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.http, self.reader, self.writer = http, reader, writer
        self.wire = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES)
        self.ahead = 0
        self.parted = False  # this side of the connection has ended
        self.due_s: float | None = None  # by when the request that was begun is to be whole

    async def run(self) -> None:
        while True:
            try:
                request = await self._request()
            except TooLarge:
                detail = f"the body is over {self.http.bounds.body_bytes} bytes"
                await self._refuse(problem(413, detail))
                return
            except TooSlow:
                self.http.count("too_slow")
                log.warning("%s client: a request not whole in time; connection closed", self.http.front)
                await self._refuse(problem(408, "the request was not whole in time"))
                return
            except h11.RemoteProtocolError as fault:
                self.http.count("malformed")
                log.warning("%s client: %s; connection closed", self.http.front, fault)
                if self.wire.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    status = fault.error_status_hint
                    await self._refuse(problem(status, str(fault)))
                return
            if request is None or self.parted:  # what crossed the end is called again elsewhere
                return
            answer = await self._answer(request)
            await self._write(answer, self.http.bounds.one_call or self.http.leaving)
            if self.wire.our_state is not h11.DONE or self.wire.their_state is not h11.DONE:
                return
            self.wire.start_next_cycle()

    async def _event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while (event := self.wire.next_event()) is h11.NEED_DATA:
            if self.wire.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.wire.send(go_on) or b"")
            self.wire.receive_data(await (self._begun() if self.due_s is None else self._more(self.due_s)))
        return event

    async def _begun(self) -> bytes:
        """The first bytes of a request: the client may take its time, and may have to make room."""
        self.http.idle[self] = None
        try:
            data = await reads.within(self.http.bounds.idle_s, lambda: self.reader.read(READ_BYTES))
        finally:
            self.http.idle.pop(self, None)
        self.http.begun[self] = None
        self.due_s = asyncio.get_running_loop().time() + self.http.bounds.request_us / 1e6
        return data

    async def _more(self, due_s: float) -> bytes:
        """Guards the descriptors against requests that come a byte at a time, for ever."""
        try:
            left_s = due_s - asyncio.get_running_loop().time()
            return await reads.within(left_s, lambda: self.reader.read(READ_BYTES))
        except TimeoutError:
            raise TooSlow from None

    async def _request(self) -> HttpRequest | None:
        event = await self._event()
        if not isinstance(event, h11.Request):
            return None
        head, body = event, bytearray()
        told = dict(head.headers).get(b"content-length", b"0")  # digits, as h11 has checked
        if len(told) > 18 or int(told) > self.http.bounds.body_bytes:
            raise TooLarge  # before it is asked to go on, or read
        while isinstance(event := await self._event(), h11.Data):
            body += event.data
            if len(body) > self.http.bounds.body_bytes:
                raise TooLarge
        if not isinstance(event, h11.EndOfMessage):
            return None
        self.due_s = None
        self.http.begun.pop(self, None)
        headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
        return HttpRequest(
            head.method.decode(), head.target.decode("latin-1"), headers, bytes(body), self.http.received()
        )

    async def _answer(self, request: HttpRequest) -> Response:
        """Wait for the answer, and for the client's leaving, which calls the request off."""
        answer: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        leave = self.http.app.handle(request, lambda r: None if answer.done() else answer.set_result(r))
        try:
            while not answer.done():
                reading = asyncio.ensure_future(self.reader.read(READ_BYTES))
                try:
                    await asyncio.wait((reading, answer), return_when=asyncio.FIRST_COMPLETED)
                    if not reading.done():
                        continue
                    data = reading.result()
                    self.ahead += len(data)
                    if not data or self.ahead > AHEAD_BYTES:  # guards memory against endless pipelining
                        raise Left
                    self.wire.receive_data(data)
                finally:
                    if not reading.done():
                        # Its end is awaited: the next read on a kept connection would meet it still there.
                        reading.cancel()
                        await asyncio.wait((reading,))
            self.ahead = 0
            return answer.result()
        finally:
            if not answer.done():
                leave()

    async def _refuse(self, response: Response) -> None:
        """Answer and close; what still comes is read away for a moment."""
        if self.parted:
            return
        await self._write(response, True)
        linger_s = self.http.bounds.linger_us / 1e6
        await reads.away(self.writer, lambda: self.reader.read(READ_BYTES), linger_s)

    async def _write(self, response: Response, close: bool) -> None:
        length = [] if response.status == 204 else [("Content-Length", str(len(response.body)))]
        headers = [*response.headers, *length, *([("Connection", "close")] if close else [])]
        data = self.wire.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += self.wire.send(h11.Data(data=response.body)) or b""
        data += self.wire.send(h11.EndOfMessage()) or b""
        self.writer.write(data)
        async with asyncio.timeout(WRITE_S):  # a client that reads nothing is let go
            await self.writer.drain()
