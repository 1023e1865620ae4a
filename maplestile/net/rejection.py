"""Rejects clients that connect while each connection at the cap waits for an answer.

Their first requests are refused with an error, so that none is read and then closed without an answer.
"""

import asyncio
import logging
from collections.abc import Callable

from maplestile.net import reads
from maplestile.net.client_reader import ClientReader
from maplestile.net.client_table import ClientTable
from maplestile.wire import jsonrpc
from maplestile.wire.messages import Outcome, Verdict

log = logging.getLogger("maplestile.net.platform")


class Rejection:
    """Serves connections over the cap, within a cap of their own."""

    def __init__(self, table: ClientTable, known: jsonrpc.KnownNames, ready: Callable[[], bool]) -> None:
        self.table = table
        self.known = known  # which classes may be called
        self.ready = ready
        self.connections = 0

    async def reject(self, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        """Refuse the first requests of a connection, and close it; over its own cap, close it at once."""
        table = self.table
        table.counters["clients.rejected"] += 1
        log.warning("client: turned away, %d connections are owed an answer", len(table.clients))
        if self.connections >= table.limits.clients.surplus_connections:
            writer.transport.abort()  # of which nothing has been read
            return
        self.connections += 1
        try:
            await self._refuse_requests(reader, writer)
        except (jsonrpc.FramingError, OSError, TimeoutError) as fault:
            log.debug("client: turned away: %r", fault)
        finally:
            self.connections -= 1
            writer.close()

    async def _refuse_requests(self, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        """Refuse all requests up to the first moment at which no part of another one waits.

        Raises FramingError, OSError, or TimeoutError where no complete request comes in time.
        """
        limits = self.table.limits
        max_bytes = limits.clients.read_bytes
        framer = jsonrpc.Framer(limits.messages)
        reads.limit_read_size(writer.transport, max_bytes)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limits.clients.grace_us / 1e6
        refused = 0
        while not refused or framer.rest:
            data = await reads.read_within(end_s - loop.time(), lambda: reader.take(max_bytes))
            if not data:
                return
            for view in framer.feed(data):
                refused += 1
                writer.write(self._refusal(view))
        await reads.end_and_discard(writer, lambda: reader.take(max_bytes), limits.clients.linger_us / 1e6)

    def _refusal(self, view: memoryview) -> bytes:
        """Return the answer to one message; a cancellation has none."""
        limits = self.table.limits
        try:
            message = jsonrpc.parse(view, limits.messages, self.known)
        except jsonrpc.RpcError as fault:
            return jsonrpc.error(fault.id, fault.code, str(fault))
        match message:
            case jsonrpc.Call():
                self.table.counters["clients.refused_at_cap"] += 1
                outcome = Outcome(Verdict.REJECTED, retry_after_us=limits.requests.max_retry_after_us)
                return jsonrpc.answer(message.id, outcome)
            case jsonrpc.Check():
                return jsonrpc.result(message.id, {"ready": self.ready()})
            case jsonrpc.Interrupt():
                return b""
