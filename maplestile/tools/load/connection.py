"""HTTP/1.1 connections of the load generator, which are kept and reused; the protocol is parsed by h11."""

import asyncio
import select
from collections import deque

import h11

from maplestile.common.address import Address

READ_BYTES = 65_536
MAX_IDLE_CONNECTIONS = 64  # per target

Headers = list[tuple[str, str]]


class NotSent(Exception):
    """Raised for a call that was not sent: it got no connection, or the connection had ended."""


class CallLost(Exception):
    """Raised for a call that was sent and got no complete answer."""


class Connection:
    """One connection to an invoke front, with at most one call at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)

    def is_closed(self) -> bool:
        """Return whether either side has ended the connection, even if the event loop has not noticed yet."""
        return self._reader.at_eof() or self._writer.is_closing() or self._has_unread_input()

    def is_reusable(self) -> bool:
        """Return whether the last call has left the connection ready for another."""
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
        return self._protocol.our_state is h11.IDLE

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def _has_unread_input(self) -> bool:
        """Return whether the socket has input that the event loop has not read yet.

        Between calls, such input can only be the end of the connection. Without this check, an event loop
        that was busy for a while would write calls to connections that had ended long before, and it would be
        unknown whether those calls were received.
        """
        poll = select.poll()
        poll.register(self._writer.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    async def call(self, host: str, path: str, headers: Headers, body: bytes) -> int:
        """Post the body and return the status of the answer.

        Raises `NotSent` if the call was not sent, and `CallLost` if it was sent and got no complete answer.
        """
        data = self._encode(host, path, headers, body)
        if self.is_closed():
            raise NotSent("the connection ended while it was idle")
        self._writer.write(data)
        try:
            return await self._read_answer()
        except (OSError, h11.ProtocolError) as error:
            raise CallLost(str(error)) from None

    def _encode(self, host: str, path: str, headers: Headers, body: bytes) -> bytes:
        request = h11.Request(
            method="POST",
            target=path,
            headers=[("Host", host), ("Content-Length", str(len(body))), *headers],
        )
        events = (request, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._protocol.send(event) or b"" for event in events)

    async def _read_answer(self) -> int:
        status = 0
        while not isinstance(event := self._protocol.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.ConnectionClosed):
                raise CallLost("the connection ended before the answer was complete")
        return status


class Target:
    """The invoke front of one instance, with its idle connections."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.name = f"{address[0]}:{address[1]}"
        self._idle: deque[Connection] = deque()

    def has_idle(self) -> bool:
        """Return whether there are idle connections, one of which `connect` may return."""
        return bool(self._idle)

    async def connect(self) -> Connection:
        """Return an idle connection that is still open, or open a new one. Raises `NotSent`."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed():
                return connection
            connection.close()
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError as error:
            raise NotSent(str(error)) from None
        return Connection(reader, writer)

    def release(self, connection: Connection) -> None:
        """Keep a connection for another call, or close it if it cannot be reused or enough are idle."""
        if connection.is_reusable() and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
