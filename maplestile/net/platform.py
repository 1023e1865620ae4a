"""The platform's front: clients' JSON-RPC connections, each request passed to the core."""

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial

from maplestile.common.waiting import wait_until_set
from maplestile.dispatch.api import Settings
from maplestile.net import reads
from maplestile.net.answer_writer import AnswerWriter
from maplestile.net.client import Client
from maplestile.net.client_reader import ClientReader, ReceiveTimestamps
from maplestile.net.client_table import ClientTable
from maplestile.net.graceful_close import GracefulClose
from maplestile.net.listen import Listener, listen
from maplestile.net.rejection import Rejection
from maplestile.net.request_handler import RequestHandler
from maplestile.requests.core import Core
from maplestile.wire import jsonrpc
from maplestile.wire.limits import Limits

log = logging.getLogger(__name__)
CLOSE_POLL_S = 0.05  # between two looks whether the client of a connection that is not read any more has gone


class PlatformFront:
    """Accepts clients, reads their messages, and writes the answers."""

    def __init__(
        self,
        core: Core,
        limits: Limits,
        counters: Counter[str],
        timestamps: ReceiveTimestamps,
        ready: Callable[[], bool],
    ) -> None:
        self.core = core
        self.counters = counters
        self.timestamps = timestamps
        self.table = ClientTable(limits, counters, core.clock)
        self.answers = AnswerWriter(self.table)
        self.closing = GracefulClose(self.table)
        self.requests = RequestHandler(core, self.answers, self.closing, ready)
        self.rejection = Rejection(self.table, self.requests.known, ready)

    @property
    def limits(self) -> Limits:
        """The limits in force; they can change while the front serves."""
        return self.table.limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self.table.limits = limits

    @property
    def clients(self) -> dict[Client, None]:
        """The open connections, the least recently active first."""
        return self.table.clients

    async def start(self, host: str, port: int, shared: bool) -> Listener:
        """Accept clients; another process may listen to a `shared` address, too. Raises OSError."""
        limits = self.limits.listeners
        new_reader = partial(ClientReader, self.limits.clients.read_bytes, self.timestamps)
        return await listen(
            host, port, self._serve, new_reader, limits.accept_burst, limits.accept_queue, shared
        )

    def apply_settings(self, settings: Settings) -> None:
        """Let the classes of these settings be called from now on."""
        known = jsonrpc.KnownNames.from_settings(settings)
        self.requests.known = known
        self.rejection.known = known

    def evict_idle(self) -> bool:
        """Close one idle connection, for its file descriptor; return whether there was one."""
        return self.table.evict_idle()

    def has_unread_answers(self) -> bool:
        """Return whether the system has not taken all answers yet."""
        return bool(self.table.flushing) or self.table.unsent_bytes() > 0

    def has_open_connections(self) -> bool:
        """Return whether there are connections whose writing side is still open."""
        return any(not client.write_closed for client in self.clients)

    def close_gracefully(self, quiet_us: int) -> None:
        """Close each connection that has been quiet for so long; see `GracefulClose.close_quiet`."""
        self.closing.close_quiet(quiet_us)

    def close_all(self) -> None:
        """Close each connection behind its answers: the process ends now."""
        self.closing.close_all()

    async def _serve(self, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to its end, whatever ends it; its open requests are cancelled then."""
        if self.table.is_full() and not self.table.evict_idle():
            await self.rejection.reject(reader, writer)
            return
        client = self._open(reader, writer)
        try:
            await self._read_all(client)
            # A client that only ends its own side still waits for its answers.
            await self._wait_for_answers(client)
        except jsonrpc.FramingError as fault:
            await self._reject_malformed(client, fault)
        except OSError as fault:
            log.debug("client: %r", fault)
        except asyncio.CancelledError:  # the process ends now
            writer.transport.abort()
            raise
        finally:
            self._close(client)
            if writer.transport.get_write_buffer_size():
                await self._flush(client)

    def _open(self, reader: ClientReader, writer: asyncio.StreamWriter) -> Client:
        """Add a connection to the table; the end of its client's side is reported from now on."""
        limits = self.limits
        reads.limit_read_size(writer.transport, limits.clients.read_bytes)
        now_us = self.core.clock()
        client = Client(reader, writer, jsonrpc.Framer(limits.messages), now_us, last_active_us=now_us)
        self.clients[client] = None
        reader.on_end = lambda: self.requests.client_disconnected(client)
        self.counters["clients.connections"] += 1
        return client

    def _close(self, client: Client) -> None:
        """Close the connection, and cancel what is open on it."""
        self.clients.pop(client, None)
        self.requests.cancel_all(client)
        client.writer.close()

    async def _flush(self, client: Client) -> None:
        """Wait for the client to read its last answers, for a limited time.

        One that never reads them must not keep its descriptor, or the process.
        """
        self.table.flushing[client] = None
        try:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(self.limits.clients.close_us / 1e6):
                    await client.writer.wait_closed()
        finally:
            client.writer.transport.abort()
            self.table.flushing.pop(client, None)

    async def _reject_malformed(self, client: Client, fault: jsonrpc.FramingError) -> None:
        """Answer input whose end cannot be found, and end the connection behind the pending answers."""
        self.counters["clients.malformed"] += 1
        log.warning("client: %s; connection closed", fault)
        self.answers.write(client, jsonrpc.error(None, jsonrpc.PARSE_ERROR, str(fault)))
        await self._wait_for_answers(client)  # of the requests before it
        if client.writer.is_closing() or client.reader.ended:
            return
        # What still comes is read and dropped: unread, it would reset the connection under its answers.
        client.write_closed = True
        max_bytes = self.limits.clients.read_bytes
        linger_s = self.limits.clients.linger_us / 1e6
        await reads.end_and_discard(client.writer, lambda: client.reader.take(max_bytes), linger_s)

    async def _read_all(self, client: Client) -> None:
        """Handle messages until the client ends its side, or the connection is closed here.

        Raises FramingError for input that cannot be used, and OSError where the connection is lost.
        """
        while data := await self._read(client):
            if client.writer.is_closing():  # evicted: its client sends what crossed that again
                return
            if client.write_closed:  # the same
                self.counters["clients.crossed_close"] += 1
                continue
            for _ in self._handle_messages(client, data):
                await asyncio.sleep(0)  # a flood must not keep the others waiting
                if client.writer.is_closing():
                    return

    def _handle_messages(self, client: Client, data: bytes) -> Iterator[None]:
        """Handle the messages that one read completes; yield after each batch, for others to be served.

        What is left after a yield is not handled if the caller does not go on. Raises FramingError.
        """
        received_us = client.reader.received_us
        if client.reader.read_was_full:
            client.detect_close()
        client.handling = True
        count = 0
        for count, message in enumerate(client.framer.feed(data), 1):
            if count == 1:
                client.message_reads += 1
            self.requests.handle(client, message, received_us)
            self.core.catch_up()
            if count % self.limits.clients.batch_messages == 0:
                yield
            if client.write_closed:  # the process ends now
                self.counters["clients.crossed_close"] += 1
                break
        client.handling = False
        if count:
            client.message_since_us = received_us
            self.closing.note_activity(client)

    async def _read(self, client: Client) -> bytes:
        """Return the next input, empty at its end. Raises FramingError if no message is complete in time."""
        max_bytes = self.limits.clients.read_bytes
        between_requests = client.message_reads > 0 and not client.framer.rest
        if between_requests:  # it may be idle for as long as it likes
            data = await client.reader.take(max_bytes)
            client.message_since_us = self.core.clock()
            return data
        # Connections that send nothing, or half a message, must not keep their descriptors for ever. One with
        # a pending answer stays open anyway, and what it sends meanwhile must not go unread.
        while True:
            left_us = client.message_since_us + self.limits.clients.message_us - self.core.clock()
            try:
                return await reads.read_within(left_us / 1e6, lambda: client.reader.take(max_bytes))
            except TimeoutError:
                if not client.calls:
                    raise jsonrpc.FramingError("no whole message in time") from None
                client.message_since_us = self.core.clock()

    async def _wait_for_answers(self, client: Client) -> None:
        """Return once nothing is open on the connection, or it is closed."""
        while client.calls and not client.writer.is_closing():
            client.all_answered.clear()
            await wait_until_set(client.all_answered, CLOSE_POLL_S)
            client.detect_close()
