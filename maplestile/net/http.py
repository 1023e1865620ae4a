"""The driver of the HTTP fronts: accepts connections within the bounds of each front, and drains them."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from maplestile.net import reads
from maplestile.net.http_connection import (
    READ_BYTES,
    WRITE_TIMEOUT_S,
    ClientLeft,
    FrontState,
    HttpConnection,
)
from maplestile.net.listen import Listener, listen
from maplestile.wire.http import Application

log = logging.getLogger(__name__)
ACCEPT_QUEUE = 512
# At the end of a drain:
INCOMPLETE_REQUEST_S = 0.5  # for a request that has started to be complete
QUIET_S = 0.1  # for what crosses the close
POLL_S = 0.01


class HttpFront:
    """Serves one application over HTTP."""

    def __init__(
        self, name: str, app: Application, counters: Counter[str], received_us: Callable[[], int]
    ) -> None:
        self.state = FrontState(name, app, counters, received_us)
        self.connections = 0

    async def start(self, host: str, port: int) -> Listener:
        """Accept connections. Raises OSError where the address is not free."""
        burst = self.state.bounds.accept_burst
        return await listen(host, port, self._serve, _new_reader, burst, ACCEPT_QUEUE)

    def start_leaving(self) -> None:
        """Ask each client with its next answer to connect elsewhere: the process drains."""
        self.state.leaving = True

    async def close_gracefully(self, listener: Listener) -> None:
        """Close the front at the end of a drain, when nothing is pending.

        Nobody is accepted any more; what the queue held and what comes meanwhile is still answered, and then
        this side of each connection ends while it is idle. Closed at once, connections would lose the calls
        that come just then.
        """
        await listener.finish(QUIET_S)
        await asyncio.sleep(QUIET_S)  # those just accepted have yet to be read
        await self._wait_until_idle()
        for connection in (*self.state.idle, *self.state.receiving):
            connection.close_write()
        await self._wait_until_closed()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        state = self.state
        if self.connections >= state.bounds.connections and not self._evict_idle():
            state.count("rejected")  # the descriptors are budgeted
            writer.transport.abort()
            return
        reads.limit_read_size(writer.transport, READ_BYTES)
        self.connections += 1
        state.count("connections")
        connection = HttpConnection(state, reader, writer)
        try:
            await connection.run()
        except (ClientLeft, OSError, TimeoutError) as fault:
            log.debug("%s client: %r", state.name, fault)
        finally:
            self.connections -= 1
            state.receiving.pop(connection, None)
            writer.close()

    def _evict_idle(self) -> bool:
        """Close the connection that has been silent longest, at the cap; return whether there was one.

        On a front of one call a connection, that may also be one with an incomplete request.
        """
        state = self.state
        oldest = next(iter(state.idle), None)
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
        """Return once no request is read or handled; incomplete ones are awaited for a shorter time."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while True:
            waited_s = loop.time() - started_s
            busy = self.connections - len(self.state.idle)
            if waited_s >= WRITE_TIMEOUT_S or busy <= 0:
                return
            if waited_s > INCOMPLETE_REQUEST_S and busy == len(self.state.receiving):
                return
            await asyncio.sleep(POLL_S)

    async def _wait_until_closed(self) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + QUIET_S
        while True:
            if not self.connections or loop.time() >= until_s:
                return
            await asyncio.sleep(POLL_S)


def _new_reader() -> asyncio.StreamReader:
    return asyncio.StreamReader(READ_BYTES)
