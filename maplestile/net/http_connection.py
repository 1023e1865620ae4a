"""One HTTP/1.1 connection by h11 over asyncio streams: each request is answered before the next is read."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from functools import partial

import h11

from maplestile.net import reads
from maplestile.wire.http import Application, Bounds, HttpRequest, Response, problem

log = logging.getLogger("maplestile.net.http")
READ_BYTES = 16_384
MAX_HEAD_BYTES = 16_384
MAX_PIPELINED_BYTES = 262_144
MAX_LENGTH_DIGITS = 18  # of a Content-Length
WRITE_TIMEOUT_S = 10.0
NO_CONTENT = 204


class TooLarge(Exception):
    """A body over the limit; the rest of it is not read."""


class TooSlow(Exception):
    """A request that has started and is not complete in its time."""


class ClientLeft(Exception):
    """The client has closed its connection."""


class FrontState:
    """What the connections of one front share: the application, the counters, and which connections wait."""

    def __init__(
        self, name: str, app: Application, counters: Counter[str], received_us: Callable[[], int]
    ) -> None:
        self.name = name
        self.app = app
        self.counters = counters
        self.received_us = received_us  # the Unix time at which input of this loop turn can have come
        self.leaving = False  # the process drains: each answer asks its client to connect elsewhere
        # Connections without a part of a request, and those whose request is not complete; oldest first.
        self.idle: dict[HttpConnection, None] = {}
        self.receiving: dict[HttpConnection, None] = {}

    @property
    def bounds(self) -> Bounds:
        """The limits in force."""
        return self.app.bounds

    def count(self, event: str) -> None:
        """Count an event under the front's name."""
        self.counters[f"{self.name}.{event}"] += 1


class HttpConnection:
    """Reads requests, passes each to the application, and writes the answer."""

    def __init__(self, front: FrontState, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.front = front
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.write_closed = False  # this side of the connection has ended
        self._pipelined_bytes = 0  # that came before the answer to the request at hand
        self._due_s: float | None = None  # when the request that has started has to be complete

    async def run(self) -> None:
        """Serve until either side closes. Raises ClientLeft, OSError or TimeoutError."""
        while True:
            try:
                request = await self._read_request()
            except TooLarge:
                detail = f"the body is over {self.front.bounds.body_bytes} bytes"
                await self._refuse(problem(413, detail))
                return
            except TooSlow:
                self.front.count("too_slow")
                log.warning("%s client: a request not whole in time; connection closed", self.front.name)
                await self._refuse(problem(408, "the request was not whole in time"))
                return
            except h11.RemoteProtocolError as fault:
                await self._refuse_malformed(fault)
                return
            if request is None or self.write_closed:  # what crossed the close is sent again elsewhere
                return
            answer = await self._answer(request)
            await self._write(answer, self.front.bounds.one_call or self.front.leaving)
            states = (self.protocol.our_state, self.protocol.their_state)
            if states != (h11.DONE, h11.DONE):  # either side ends the connection
                return
            self.protocol.start_next_cycle()

    def close_write(self) -> None:
        """End this side of the connection; a request that crosses that is not handled."""
        self.write_closed = True
        self.writer.write_eof()

    async def _read_request(self) -> HttpRequest | None:
        """Return the next request, or None at the end of the connection.

        Raises TooLarge, and what `_next_event` raises.
        """
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        max_body_bytes = self.front.bounds.body_bytes
        length = dict(head.headers).get(b"content-length", b"0")  # digits, as h11 has checked
        if len(length) > MAX_LENGTH_DIGITS or int(length) > max_body_bytes:
            raise TooLarge  # before the client is asked to send it
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                raise TooLarge
        if not isinstance(event, h11.EndOfMessage):
            return None
        self._due_s = None
        self.front.receiving.pop(self, None)
        return _decoded(head, bytes(body), self.front.received_us())

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next part of a request, and read while none is complete.

        Raises TooSlow for a request that is not complete in time, TimeoutError where none starts, and h11's
        RemoteProtocolError for input that is no HTTP.
        """
        while (event := self.protocol.next_event()) is h11.NEED_DATA:
            if self.protocol.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.protocol.send(go_on) or b"")
            if self._due_s is None:
                data = await self._read_first()
            else:
                data = await self._read_more(self._due_s)
            self.protocol.receive_data(data)
        return event

    async def _read_first(self) -> bytes:
        """Read the first bytes of a request: the client may take its time, and may be evicted meanwhile.

        Raises TimeoutError if it takes longer than an idle connection may.
        """
        bounds = self.front.bounds
        self.front.idle[self] = None
        try:
            data = await reads.read_within(bounds.idle_s, lambda: self.reader.read(READ_BYTES))
        finally:
            self.front.idle.pop(self, None)
        self.front.receiving[self] = None
        self._due_s = asyncio.get_running_loop().time() + self.front.bounds.request_us / 1e6
        return data

    async def _read_more(self, due_s: float) -> bytes:
        """Read more of a request. Raises TooSlow: one a byte at a time must not keep its descriptor."""
        left_s = due_s - asyncio.get_running_loop().time()
        try:
            return await reads.read_within(left_s, lambda: self.reader.read(READ_BYTES))
        except TimeoutError:
            raise TooSlow from None

    async def _answer(self, request: HttpRequest) -> Response:
        """Wait for the answer. Raises ClientLeft where the client closes first, and cancels the request."""
        answer: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        cancel = self.front.app.handle(request, partial(_set_result, answer))
        try:
            while not answer.done():
                await self._read_ahead(answer)
            self._pipelined_bytes = 0
            return answer.result()
        finally:
            if not answer.done():
                cancel()

    async def _read_ahead(self, answer: asyncio.Future[Response]) -> None:
        """Read once until the answer comes: that is how a close shows, and what is pipelined is kept."""
        reading = asyncio.ensure_future(self.reader.read(READ_BYTES))
        try:
            await asyncio.wait((reading, answer), return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                return
            data = reading.result()
            self._pipelined_bytes += len(data)
            if not data or self._pipelined_bytes > MAX_PIPELINED_BYTES:
                raise ClientLeft
            self.protocol.receive_data(data)
        finally:
            if not reading.done():
                # Its end is awaited: the next read of the stream would find it still there.
                reading.cancel()
                await asyncio.wait((reading,))

    async def _refuse_malformed(self, fault: h11.RemoteProtocolError) -> None:
        self.front.count("malformed")
        log.warning("%s client: %s; connection closed", self.front.name, fault)
        if self.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._refuse(problem(fault.error_status_hint, str(fault)))

    async def _refuse(self, response: Response) -> None:
        """Answer and close; what still comes is read and dropped for a moment."""
        if self.write_closed:
            return
        await self._write(response, True)
        linger_s = self.front.bounds.linger_us / 1e6
        await reads.end_and_discard(self.writer, lambda: self.reader.read(READ_BYTES), linger_s)

    async def _write(self, response: Response, close: bool) -> None:
        """Write an answer. Raises TimeoutError where the client does not read it."""
        self.writer.write(self._encode(response, close))
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self.writer.drain()

    def _encode(self, response: Response, close: bool) -> bytes:
        """Return the bytes of an answer; with `close` it announces the end of the connection."""
        headers = [*response.headers]
        if response.status != NO_CONTENT:  # which must not have the header
            headers.append(("Content-Length", str(len(response.body))))
        if close:
            headers.append(("Connection", "close"))
        data = self.protocol.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += self.protocol.send(h11.Data(data=response.body)) or b""
        return data + (self.protocol.send(h11.EndOfMessage()) or b"")


def _decoded(head: h11.Request, body: bytes, received_us: int) -> HttpRequest:
    """Return a complete request in the types of the application."""
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(head.method.decode(), head.target.decode("latin-1"), headers, body, received_us)


def _set_result(answer: asyncio.Future[Response], response: Response) -> None:
    """Set the result of a future; a second one, or one after a cancellation, goes nowhere."""
    if not answer.done():
        answer.set_result(response)
