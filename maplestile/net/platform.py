"""Serves the platform front: JSON-RPC connections of clients, whose requests are passed to the core."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Iterator

from maplestile.common.waiting import wait_until_set
from maplestile.dispatch.api import Settings
from maplestile.net import bounded_reads
from maplestile.net.answer_writer import AnswerWriter
from maplestile.net.client import Client
from maplestile.net.client_reader import ClientReader, ReceiveTimestamps
from maplestile.net.client_table import ClientTable
from maplestile.net.connection_rejector import ConnectionRejector
from maplestile.net.graceful_close import GracefulClose
from maplestile.net.input_budget import InputBudget
from maplestile.net.listen import Listener, listen
from maplestile.net.request_handler import RequestHandler
from maplestile.net.stream_close import flush_and_close
from maplestile.requests.core import Core
from maplestile.requests.recent_ids import RecentIds
from maplestile.wire import jsonrpc
from maplestile.wire.jsonrpc_params import AllowedNames
from maplestile.wire.limits import Limits

log = logging.getLogger(__name__)
CLOSE_POLL_S = 0.05  # how often to check for a closed client, on a connection that is no longer read


class PlatformFront:
    """The front for clients of the platform, which speak JSON-RPC."""

    def __init__(
        self,
        core: Core,
        limits: Limits,
        counters: Counter[str],
        timestamps: ReceiveTimestamps,
        is_ready: Callable[[], bool],
        add_id: Callable[[int], bool] | None = None,
    ) -> None:
        """`add_id` remembers the id of a request, and returns whether it was new; None for a new memory."""
        add_id = add_id or RecentIds(limits.requests.recent_ids).add
        self.core = core
        self.counters = counters
        self.timestamps = timestamps
        self.table = ClientTable(limits, counters, core.clock)
        self.input_budget = InputBudget(self.table)
        self.answer_writer = AnswerWriter(self.table)
        self.graceful_close = GracefulClose(self.table)
        self.request_handler = RequestHandler(core, self.answer_writer, self.graceful_close, is_ready, add_id)
        self.rejector = ConnectionRejector(self.table, self.request_handler.known_names, is_ready)

    @property
    def limits(self) -> Limits:
        """The current limits; they may change while the front is serving."""
        return self.table.limits

    @limits.setter
    def limits(self, limits: Limits) -> None:
        self.table.limits = limits

    @property
    def clients(self) -> dict[Client, None]:
        """The open connections, least recently active first."""
        return self.table.clients

    async def start(self, host: str, port: int, reuse_port: bool) -> Listener:
        """Listen on an address and accept clients. Raises OSError if the address cannot be bound.

        With `reuse_port`, another process may listen on the same address.
        """
        limits = self.limits.listeners
        return await listen(
            host,
            port,
            self._serve,
            lambda: ClientReader(self.limits.clients.read_bytes, self.timestamps),
            limits.accept_burst,
            limits.accept_queue,
            self.counters,
            reuse_port,
        )

    def apply_settings(self, settings: Settings) -> None:
        """Accept calls to the classes and tenants of these settings from now on."""
        known_names = AllowedNames.from_settings(settings)
        self.request_handler.known_names = known_names
        self.rejector.known_names = known_names

    def evict_idle(self) -> bool:
        """Close one idle connection to free its file descriptor; return whether there was one."""
        return self.table.evict_idle()

    def has_unread_answers(self) -> bool:
        """Return whether any answer has not been sent to its client completely."""
        return bool(self.table.flushing) or any(client.undelivered_bytes() for client in self.clients)

    def has_open_connections(self) -> bool:
        """Return whether the write side of any connection is still open."""
        return any(not client.write_closed for client in self.clients)

    def close_gracefully(self, idle_us: int) -> None:
        """Close each connection that has been idle for `idle_us`; see `GracefulClose.close_idle`."""
        self.graceful_close.close_idle(idle_us)

    def close_all(self) -> None:
        """Close each connection after its pending answers, just before the process exits."""
        self.graceful_close.close_all()

    async def _serve(self, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends, and then cancel its open requests."""
        if self.table.is_full() and not self.table.evict_idle():
            await self.rejector.reject(reader, writer)
            return
        client = self._open(reader, writer)
        reason = "exit"
        try:
            error = await self._read_until_end(client)
            if error is not None:
                reason = "malformed"
                await self._reject_malformed(client, error)
            else:
                # A client that closes only its write side still waits for its answers.
                await self._wait_for_answers(client)
                reason = _reason_of_end(client)
        except OSError as error:
            reason = "lost"
            log.debug("platform client: connection lost: %r", error)
        except asyncio.CancelledError:  # the process is exiting
            writer.transport.abort()
            raise
        finally:
            self.counters[f"clients.closed.{reason}"] += 1
            self._close(client)
            if writer.transport.get_write_buffer_size():
                await self._flush(client)

    def _open(self, reader: ClientReader, writer: asyncio.StreamWriter) -> Client:
        """Add a connection to the table, and subscribe to the end of its input."""
        limits = self.limits
        bounded_reads.limit_read_size(writer.transport, reader.max_read_bytes)
        now_us = self.core.clock()
        client = Client(reader, writer, jsonrpc.Framer(limits.messages), now_us, last_active_us=now_us)
        self.clients[client] = None
        reader.on_end = lambda: self.request_handler.client_disconnected(client)
        self.counters["clients.connections"] += 1
        return client

    def _close(self, client: Client) -> None:
        """Close the connection and cancel its open requests."""
        self.clients.pop(client, None)
        self.request_handler.cancel_all(client)
        client.writer.close()
        client.framer.discard_incomplete()
        client.reader.release()
        self.input_budget.forget(client)

    async def _flush(self, client: Client) -> None:
        """Wait for a limited time until the client has read its last answers."""
        self.table.flushing[client] = None
        try:
            await flush_and_close(client.writer, self.limits.clients.close_us / 1e6)
        finally:
            self.table.flushing.pop(client, None)

    async def _reject_malformed(self, client: Client, error: jsonrpc.FramingError) -> None:
        """Answer a message that cannot be framed, and close the connection after its pending answers."""
        reason = error.reason.value
        self.counters["clients.malformed"] += 1
        self.counters[f"clients.malformed.{reason}"] += 1
        text = f"platform client: malformed or incomplete input ({reason}): %s; closing the connection"
        log.warning(text, error)
        self.answer_writer.write(client, jsonrpc.error(None, jsonrpc.PARSE_ERROR, str(error)))
        await self._wait_for_answers(client)  # to the requests before the malformed message
        if client.writer.is_closing() or client.reader.ended:
            return
        # Discard further input: closing a socket with unread input sends a reset, which can lose the answers.
        client.write_closed = True
        max_bytes = self.limits.clients.read_bytes
        linger_s = self.limits.clients.linger_us / 1e6
        await bounded_reads.end_and_discard(client.writer, lambda: client.reader.take(max_bytes), linger_s)

    async def _read_until_end(self, client: Client) -> jsonrpc.FramingError | None:
        """Handle messages until the connection ends; return the error if it ends for malformed input.

        Raises OSError if the connection is lost.
        """
        try:
            await self._read_all(client)
        except jsonrpc.FramingError as error:
            return error.without_frames()
        return None

    async def _read_all(self, client: Client) -> None:
        """Handle messages until the client closes its write side or the router closes the connection.

        Raises FramingError for malformed input and OSError if the connection is lost.
        """
        while data := await self._read(client):
            if client.writer.is_closing():  # evicted: the client resends what it sent before it saw the close
                return
            if client.write_closed:  # closed by a drain: the client resends as well
                self.counters["clients.crossed_close"] += 1
                continue
            for _ in self._handle_messages(client, data):
                await asyncio.sleep(0)  # let other connections run while this one floods
                if client.writer.is_closing():
                    return
                client.detect_close()  # its socket may not be read meanwhile

    def _handle_messages(self, client: Client, data: bytes) -> Iterator[None]:
        """Handle the messages that one read completes, and yield after each batch.

        The caller can serve other connections at each yield. If it stops iterating, the remaining messages
        are not handled. Raises FramingError.
        """
        received_us = client.reader.received_us
        if client.reader.read_was_full:
            client.detect_close()
        client.is_handling = True
        count = 0
        for count, message in enumerate(client.framer.feed(data), 1):
            if count == 1:
                client.message_reads += 1
            self.request_handler.handle(client, message, received_us)
            self.core.run_due_timers()
            if count % self.limits.clients.batch_messages == 0:
                yield
            if client.write_closed:  # closed by a drain while this batch was handled
                self.counters["clients.crossed_close"] += 1
                break
        client.is_handling = False
        self.input_budget.record(client, completed_message=count > 0)
        if count:
            client.message_wait_since_us = received_us
            client.late_reads = 0
            self.graceful_close.record_activity(client)

    async def _read(self, client: Client) -> bytes:
        """Return the next input, empty at the end of the stream.

        Raises FramingError if the next message is not complete in time.
        """
        max_bytes = self.limits.clients.read_bytes
        between_requests = client.message_reads > 0 and not client.framer.expects_rest
        if between_requests:  # may stay idle without a time limit
            data = await client.reader.take(max_bytes)
            client.message_wait_since_us = self.core.clock()
            return data
        # A connection that sends nothing, or an incomplete message, must not hold its file descriptor
        # forever. One with a pending answer stays open anyway, and its input must still be read meanwhile.
        while True:
            left_us = client.message_wait_since_us + self.limits.clients.message_us - self.core.clock()
            self._count_late_read(client, left_us)
            try:
                return await bounded_reads.read_within(left_us / 1e6, lambda: client.reader.take(max_bytes))
            except TimeoutError:
                if not client.calls:
                    raise _message_timeout() from None
                client.message_wait_since_us = self.core.clock()

    def _count_late_read(self, client: Client, left_us: int) -> None:
        """Count a read after the time for a message; raises FramingError after the last one that is allowed.

        A busy event loop reads late what came in time, so a message may still be completed by as many reads
        as the longest one takes. A client that goes on writing slowly would never be found silent.
        """
        if left_us > 0 or client.calls:
            return
        client.late_reads += 1
        if client.late_reads > 1 + self.limits.messages.message_bytes // self.limits.clients.read_bytes:
            raise _message_timeout()

    async def _wait_for_answers(self, client: Client) -> None:
        """Return once no request is open on the connection, or the connection is closed."""
        while client.calls and not client.writer.is_closing():
            client.all_answered.clear()
            await wait_until_set(client.all_answered, CLOSE_POLL_S)
            client.detect_close()


def _message_timeout() -> jsonrpc.FramingError:
    """Return the error of a connection whose next message was not complete in time."""
    return jsonrpc.FramingError(jsonrpc.CloseReason.TIME, "no whole message in time")


def _reason_of_end(client: Client) -> str:
    """Return why a connection without malformed input has ended, as a part of a counter name."""
    if client.write_closed:
        return "drain"
    return "router" if client.writer.is_closing() else "client"
