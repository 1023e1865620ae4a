"""Rejects new clients while the connection limit is reached and no connection can be evicted.

Their first requests are answered with an error, so that no request is read and then left unanswered.
"""

import asyncio
import logging
from collections.abc import Callable

from maplestile.net import bounded_reads
from maplestile.net.client_reader import ClientReader
from maplestile.net.client_table import ClientTable
from maplestile.wire import jsonrpc
from maplestile.wire.jsonrpc_params import AllowedNames
from maplestile.wire.messages import Outcome, Verdict

log = logging.getLogger("maplestile.net.platform")


class ConnectionRejector:
    """The handler of connections above the connection limit, which have a small limit of their own."""

    def __init__(self, table: ClientTable, known_names: AllowedNames, is_ready: Callable[[], bool]) -> None:
        self.table = table
        self.known_names = known_names  # served classes and tenants
        self.is_ready = is_ready
        self.connections = 0  # being rejected now

    async def reject(self, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        """Refuse the first requests of a connection and close it.

        When too many connections are being rejected already, close it without reading anything.
        """
        table = self.table
        table.counters["clients.rejected"] += 1
        log.warning("platform client: all %d connections are in use; rejecting a new one", len(table.clients))
        if self.connections >= table.limits.clients.surplus_connections:
            writer.transport.abort()  # no request has been read, so none is lost
            return
        self.connections += 1
        try:
            await self._refuse_requests(reader, writer)
        except (jsonrpc.FramingError, OSError, TimeoutError) as error:
            log.debug("platform client: rejected connection ended: %r", error)
        finally:
            self.connections -= 1
            writer.close()

    async def _refuse_requests(self, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        """Refuse requests until at least one was refused and no incomplete request is left.

        Raises FramingError, OSError, or TimeoutError if no complete request arrives in time.
        """
        limits = self.table.limits
        max_bytes = limits.clients.read_bytes
        framer = jsonrpc.Framer(limits.messages)
        bounded_reads.limit_read_size(writer.transport, reader.max_read_bytes)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limits.clients.first_request_us / 1e6
        refused = 0
        while not refused or framer.expects_rest:
            data = await bounded_reads.read_within(end_s - loop.time(), lambda: reader.take(max_bytes))
            if not data:
                return
            for view in framer.feed(data):
                refused += 1
                writer.write(self._refusal(view))
        await bounded_reads.end_and_discard(
            writer, lambda: reader.take(max_bytes), limits.clients.linger_us / 1e6
        )

    def _refusal(self, view: memoryview) -> bytes:
        """Return the answer to one message; it is empty for a cancellation."""
        limits = self.table.limits
        try:
            message = jsonrpc.parse(view, limits.messages, self.known_names)
        except jsonrpc.RpcError as error:
            return jsonrpc.error(error.id, error.code, str(error))
        match message:
            case jsonrpc.Call():
                self.table.counters["clients.refused_at_cap"] += 1
                outcome = Outcome(Verdict.REJECTED, retry_after_us=limits.requests.max_retry_after_us)
                return jsonrpc.answer(message.id, outcome)
            case jsonrpc.Check():
                return jsonrpc.result(message.id, {"ready": self.is_ready()})
            case jsonrpc.Interrupt():
                return b""
