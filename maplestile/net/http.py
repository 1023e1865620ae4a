"""Serves HTTP fronts: accepts connections within each front's limits, and closes connections on drain."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from maplestile.net import bounded_reads
from maplestile.net.http_connection import (
    READ_BYTES,
    WRITE_TIMEOUT_S,
    ClientDisconnected,
    FrontState,
    HttpConnection,
)
from maplestile.net.listen import Listener, listen
from maplestile.net.socket_queues import undelivered_bytes
from maplestile.net.stream_close import flush_and_close
from maplestile.wire.http import Application

log = logging.getLogger(__name__)
ACCEPT_QUEUE_SIZE = 512
# At the end of a drain:
INCOMPLETE_REQUEST_WAIT_S = 0.5  # for the rest of incomplete requests
CLOSE_GRACE_S = 0.1  # for connections and requests that cross the close
POLL_S = 0.01


class HttpFront:
    """A front that serves one application over HTTP."""

    def __init__(
        self, name: str, app: Application, counters: Counter[str], received_us: Callable[[], int]
    ) -> None:
        self.state = FrontState(name, app, counters, received_us)
        self.connections = 0

    async def start(self, host: str, port: int) -> Listener:
        """Listen on an address and accept connections. Raises OSError if the address cannot be bound."""
        accept_burst = self.state.bounds.accept_burst
        return await listen(
            host, port, self._serve, _new_reader, accept_burst, ACCEPT_QUEUE_SIZE, self.state.counters
        )

    def start_draining(self) -> None:
        """Close each connection after its next response, so that its client connects to another router."""
        self.state.is_draining = True

    async def close_gracefully(self, listener: Listener) -> None:
        """Close the front at the end of a drain, when no request is pending.

        Queued connections are accepted first, and requests that arrive in the meantime are still answered.
        Then the write side of each idle connection is closed. Closing connections at once would lose the
        requests that arrive at that moment.
        """
        await listener.accept_queued_and_close(CLOSE_GRACE_S)
        await asyncio.sleep(CLOSE_GRACE_S)  # so that the connections just accepted are read
        await self._wait_until_idle()
        self.close_idle_connections()
        await self._wait_until_closed()

    def close_idle_connections(self) -> None:
        """Close the write side of each connection that has no complete request."""
        for connection in (*self.state.idle, *self.state.receiving):
            connection.close_write()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = self.state
        if self.connections >= state.bounds.connections and not self._evict_idle():
            state.count("rejected")  # each front has a fixed share of the file descriptors
            writer.transport.abort()
            return
        bounded_reads.limit_read_size(writer.transport, READ_BYTES)
        self.connections += 1
        state.count("connections")
        connection = HttpConnection(state, reader, writer)
        try:
            await connection.run()
        except (ClientDisconnected, OSError, TimeoutError) as error:
            log.debug("%s client: connection ended: %r", state.name, error)
        except asyncio.CancelledError:  # the process is exiting
            writer.transport.abort()
            raise
        finally:
            state.receiving.pop(connection, None)
            try:
                await flush_and_close(writer, WRITE_TIMEOUT_S)
            finally:
                self.connections -= 1

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one.

        One whose last response is not sent completely is not idle: its next request would meet a reset.
        On a front that serves one call per connection, it may also be one with an incomplete request.
        """
        state = self.state
        oldest = next((idle for idle in state.idle if not undelivered_bytes(idle.writer)), None)
        if oldest is None and state.bounds.one_call:
            oldest = next(iter(state.receiving), None)
        if oldest is None:
            return False
        state.count("idle_evicted")
        state.idle.pop(oldest, None)
        state.receiving.pop(oldest, None)
        oldest.writer.close()
        return True

    async def _wait_until_idle(self) -> None:
        """Wait for a limited time until no request is being read or handled.

        The time limit for incomplete requests is shorter than that for requests that are being handled.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while True:
            waited_s = loop.time() - started_s
            busy = self.connections - len(self.state.idle)
            if waited_s >= WRITE_TIMEOUT_S or busy <= 0:
                return
            if waited_s > INCOMPLETE_REQUEST_WAIT_S and busy == len(self.state.receiving):
                return
            await asyncio.sleep(POLL_S)

    async def _wait_until_closed(self) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + CLOSE_GRACE_S
        while True:
            if not self.connections or loop.time() >= until_s:
                return
            await asyncio.sleep(POLL_S)


def _new_reader() -> asyncio.StreamReader:
    return asyncio.StreamReader(READ_BYTES)
