"""Serves HTTP/1.1 connections with h11 over asyncio streams, one request at a time per connection."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from functools import partial

import h11

from maplestile.net import bounded_reads
from maplestile.net.stream_close import close_write_side
from maplestile.wire.http import Application, FrontLimits, HttpRequest, Response, problem

log = logging.getLogger("maplestile.net.http")
READ_BYTES = 16_384
MAX_HEAD_BYTES = 16_384
MAX_HEAD_FIELDS = 100  # each takes some 300 bytes of memory, however short it is
MAX_PIPELINED_BYTES = 65_536
MAX_LENGTH_DIGITS = 18  # digits in a Content-Length header
WRITE_TIMEOUT_S = 10.0
NO_CONTENT = 204


class TooLarge(Exception):
    """The body of a request is over the limit; the rest of it is not read."""


class TooManyFields(Exception):
    """The head of a request has too many fields; its body is not read."""


class TooSlow(Exception):
    """A request has started but was not complete in time."""


class ClientDisconnected(Exception):
    """The client has closed its connection, or sent too much input ahead of a response."""


class FrontState:
    """The state shared by the connections of one front: application, counters, and waiting connections."""

    def __init__(
        self, name: str, app: Application, counters: Counter[str], received_us: Callable[[], int]
    ) -> None:
        self.name = name
        self.app = app
        self.counters = counters
        # Returns the earliest time of the core's clock at which the input read now can have arrived.
        self.received_us = received_us
        self.is_draining = False  # the process is draining: each connection closes after its next response
        # Ordered sets, oldest first.
        self.idle: dict[HttpConnection, None] = {}  # connections that have received no part of a request
        self.receiving: dict[HttpConnection, None] = {}  # connections with an incomplete request

    @property
    def bounds(self) -> FrontLimits:
        """The current limits of the front."""
        return self.app.bounds

    def count(self, event: str) -> None:
        """Count an event in the counter `<front>.<event>`."""
        self.counters[f"{self.name}.{event}"] += 1


class HttpConnection:
    """One connection: it reads requests, passes each to the application, and writes the response."""

    def __init__(self, front: FrontState, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.front = front
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.write_closed = False  # the router has closed its write side
        self._pipelined_bytes = 0  # bytes received while the current request was being handled
        self._deadline_s: float | None = None  # loop time by which the started request must be complete

    async def run(self) -> None:
        """Serve requests until either side closes. Raises ClientDisconnected, OSError or TimeoutError."""
        while True:
            try:
                request = await self._read_request()
            except TooLarge:
                detail = f"the body is over {self.front.bounds.body_bytes} bytes"
                await self._refuse(problem(413, detail))
                return
            except TooManyFields:
                self.front.count("malformed")
                log.warning("%s client: a head of too many fields; closing the connection", self.front.name)
                await self._refuse(problem(431, f"the head has over {MAX_HEAD_FIELDS} fields"))
                return
            except TooSlow:
                self.front.count("too_slow")
                log.warning(
                    "%s client: request not complete in time; closing the connection", self.front.name
                )
                await self._refuse(problem(408, "the request was not whole in time"))
                return
            except h11.RemoteProtocolError as error:
                await self._refuse_malformed(error)
                return
            if request is None or self.write_closed:  # the client resends a request that crosses the close
                return
            response = await self._handle_request(request)
            await self._write(response, self.front.bounds.one_call or self.front.is_draining)
            states = (self.protocol.our_state, self.protocol.their_state)
            if states != (h11.DONE, h11.DONE):  # not persistent: one side asked to close the connection
                return
            self.protocol.start_next_cycle()

    def close_write(self) -> None:
        """Close the write side of the connection; a request that crosses the close is not handled."""
        self.write_closed = True
        if not close_write_side(self.writer, self.front.name):
            self.front.count("reset_before_close")

    async def _read_request(self) -> HttpRequest | None:
        """Return the next request, or None if the client has closed the connection.

        Raises TooLarge, TooManyFields, and what `_next_event` raises.
        """
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        if len(head.headers) > MAX_HEAD_FIELDS:
            raise TooManyFields
        max_body_bytes = self.front.bounds.body_bytes
        length = dict(head.headers).get(b"content-length", b"0")  # digits, as h11 has checked
        if len(length) > MAX_LENGTH_DIGITS or int(length) > max_body_bytes:
            raise TooLarge  # before a `100 Continue` would make the client send the body
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > max_body_bytes:
                raise TooLarge
        if not isinstance(event, h11.EndOfMessage):
            return None
        self._deadline_s = None
        self.front.receiving.pop(self, None)
        return _to_http_request(head, bytes(body), self.front.received_us())

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next h11 event, reading input until there is one.

        Raises TooSlow if a started request is not complete in time, TimeoutError if no request starts, and
        h11's RemoteProtocolError for input that is not valid HTTP.
        """
        while (event := self.protocol.next_event()) is h11.NEED_DATA:
            if self.protocol.they_are_waiting_for_100_continue and not self.write_closed:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                self.writer.write(self.protocol.send(continue_response) or b"")
            if self._deadline_s is None:
                data = await self._read_first()
            else:
                data = await self._read_more(self._deadline_s)
            self.protocol.receive_data(data)
        return event

    async def _read_first(self) -> bytes:
        """Read the first bytes of a request; while it waits, the connection is idle and may be evicted.

        Raises TimeoutError after the idle timeout.
        """
        bounds = self.front.bounds
        self.front.idle[self] = None
        try:
            data = await bounded_reads.read_within(bounds.idle_s, lambda: self.reader.read(READ_BYTES))
        finally:
            self.front.idle.pop(self, None)
        self.front.receiving[self] = None
        self._deadline_s = asyncio.get_running_loop().time() + self.front.bounds.request_us / 1e6
        return data

    async def _read_more(self, deadline_s: float) -> bytes:
        """Read more of a request, and raise TooSlow after its deadline.

        The deadline is for the whole request, so that a client that sends a byte at a time cannot hold its
        file descriptor.
        """
        left_s = deadline_s - asyncio.get_running_loop().time()
        try:
            return await bounded_reads.read_within(left_s, lambda: self.reader.read(READ_BYTES))
        except TimeoutError:
            raise TooSlow from None

    async def _handle_request(self, request: HttpRequest) -> Response:
        """Pass the request to the application, and wait for its response.

        If ClientDisconnected is raised first, the request is cancelled.
        """
        response_future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        cancel = self.front.app.handle(request, partial(_set_result, response_future))
        try:
            while not response_future.done():
                await self._read_ahead(response_future)
            self._pipelined_bytes = 0
            return response_future.result()
        finally:
            if not response_future.done():
                cancel()

    async def _read_ahead(self, response_future: asyncio.Future[Response]) -> None:
        """Read once while waiting for the response, to detect a close; pass pipelined input to h11.

        Raises ClientDisconnected.
        """
        reading = asyncio.ensure_future(self.reader.read(READ_BYTES))
        try:
            await asyncio.wait((reading, response_future), return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                return
            data = reading.result()
            self._pipelined_bytes += len(data)
            if not data or self._pipelined_bytes > MAX_PIPELINED_BYTES:
                raise ClientDisconnected
            self.protocol.receive_data(data)
        finally:
            if not reading.done():
                # Wait for the cancellation: a stream allows only one reader at a time.
                reading.cancel()
                await asyncio.wait((reading,))

    async def _refuse_malformed(self, error: h11.RemoteProtocolError) -> None:
        self.front.count("malformed")
        log.warning("%s client: malformed request: %s; closing the connection", self.front.name, error)
        if self.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._refuse(problem(error.error_status_hint, str(error)))

    async def _refuse(self, response: Response) -> None:
        """Write an error response, close the write side, and discard further input for a short time."""
        if self.write_closed:
            return
        await self._write(response, True)
        linger_s = self.front.bounds.linger_us / 1e6
        await bounded_reads.end_and_discard(self.writer, lambda: self.reader.read(READ_BYTES), linger_s)

    async def _write(self, response: Response, close: bool) -> None:
        """Write a response. Raises TimeoutError if the client does not read it."""
        self.writer.write(self._encode(response, close))
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self.writer.drain()

    def _encode(self, response: Response, close: bool) -> bytes:
        """Return the bytes of a response, with a `Connection: close` header if `close` is set."""
        headers = [*response.headers]
        if response.status != NO_CONTENT:  # a 204 response must not have a Content-Length
            headers.append(("Content-Length", str(len(response.body))))
        if close:
            headers.append(("Connection", "close"))
        data = self.protocol.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if response.body:
            data += self.protocol.send(h11.Data(data=response.body)) or b""
        return data + (self.protocol.send(h11.EndOfMessage()) or b"")


def _to_http_request(head: h11.Request, body: bytes, received_us: int) -> HttpRequest:
    """Return a complete request as the application's `HttpRequest`."""
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in head.headers}
    return HttpRequest(head.method.decode(), head.target.decode("latin-1"), headers, body, received_us)


def _set_result(future: asyncio.Future[Response], response: Response) -> None:
    """Set the result of a future, unless it is done or cancelled already."""
    if not future.done():
        future.set_result(response)
