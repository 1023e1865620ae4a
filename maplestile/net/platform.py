"""The platform's front: clients' JSON-RPC connections, each request handed to the core."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from maplestile.core import Core, Outcome
from maplestile.limits import Limits
from maplestile.wire import jsonrpc as wire

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class Client:
    writer: asyncio.StreamWriter
    calls: dict[int, int] = field(default_factory=dict)  # the ids open on this connection, to the core's
    tags: dict[str, int] = field(default_factory=dict)
    idle: asyncio.Event = field(default_factory=asyncio.Event)


class Platform:
    def __init__(
        self, core: Core, limits: Limits, counters: Counter[str], received: Callable[[], int],
        ready: Callable[[], bool],
    ) -> None:  # fmt: skip
        self.core, self.limits, self.counters = core, limits, counters
        self.received, self.ready = received, ready
        self.classes = frozenset(kind.name for kind in core.settings.classes)
        self.clients: set[Client] = set()

    async def start(self, host: str, port: int) -> asyncio.Server:
        return await asyncio.start_server(
            self._serve, host, port, limit=self.limits.read_bytes, backlog=512, reuse_address=True
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.clients) >= self.limits.client_connections:  # the descriptors are budgeted
            self.counters["clients.turned_away"] += 1
            writer.transport.abort()
            return
        client = Client(writer)
        self.clients.add(client)
        self.counters["clients.connections"] += 1
        framer = wire.Framer(self.limits)
        try:
            while data := await reader.read(self.limits.read_bytes):
                received_us = self.received()
                for view in framer.feed(data):
                    self._message(client, view, received_us)
                    self.core.catch_up()
            # A client that only ends its own side still waits for what it asked.
            while client.calls and not writer.is_closing():
                client.idle.clear()
                await client.idle.wait()
        except wire.FramingError as fault:
            self.counters["clients.malformed"] += 1
            log.warning("client: %s; connection closed", fault)
            self._write(client, wire.error(None, wire.PARSE_ERROR, str(fault)))
            while client.calls and not writer.is_closing():  # what was taken before is still owed
                client.idle.clear()
                await client.idle.wait()
        except OSError as fault:
            log.debug("client: %r", fault)
        finally:
            self.clients.discard(client)
            for call in list(client.calls.values()):
                self.core.withdraw(call)
            client.calls.clear()
            writer.close()

    def _message(self, client: Client, view: memoryview, received_us: int) -> None:
        try:
            message = wire.parse(view, self.limits, self.classes)
            match message:
                case wire.Call():
                    self._call(client, message, received_us)
                case wire.Interrupt():
                    self._interrupt(client, message)
                case wire.Check():
                    self._write(client, wire.result(message.id, {"ready": self.ready()}))
        except wire.RpcError as fault:
            self.counters["clients.malformed"] += 1
            log.warning("client: %s; answered with an error", fault)
            self._write(client, wire.error(fault.id, fault.code, str(fault)))

    def _call(self, client: Client, call: wire.Call, received_us: int) -> None:
        if call.id in client.calls:  # an answer could not be told from the other's
            raise wire.RpcError(wire.INVALID_REQUEST, "an id that is open already")
        if len(client.calls) >= self.limits.client_streams:
            raise wire.RpcError(wire.REFUSED, "too many open requests on one connection", call.id)
        client.calls[call.id] = 0
        client.tags[call.request.tag] = call.id

        def answer(outcome: Outcome) -> None:
            if client.calls.pop(call.id, None) is None:
                return
            client.tags.pop(call.request.tag, None)
            self._write(client, wire.answer(call.id, outcome))
            if not client.calls:
                client.idle.set()

        number = self.core.submit(call.request, received_us, answer)
        if call.id in client.calls:
            client.calls[call.id] = number

    def _interrupt(self, client: Client, message: wire.Interrupt) -> None:
        id_ = message.id if message.id is not None else client.tags.get(message.txn or "")
        number = client.calls.pop(id_, None) if id_ is not None else None
        self.counters["clients.interrupts"] += 1
        if number is not None:
            client.tags = {tag: open_ for tag, open_ in client.tags.items() if open_ != id_}
            self.core.withdraw(number)
        if not client.calls:
            client.idle.set()

    def _write(self, client: Client, data: bytes) -> None:
        transport = client.writer.transport
        if transport.is_closing():
            client.idle.set()
            return
        client.writer.write(data)
        if transport.get_write_buffer_size() > self.limits.client_write_bytes:
            # A client that reads nothing would fill the memory.
            self.counters["clients.too_slow"] += 1
            log.warning("client: reads too slowly; connection closed")
            transport.abort()
            client.idle.set()
