"""Workers on loopback that accept the router's connections, record what they receive and answer on demand."""

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass, field

from maplestile.common.stream_server import start_stream_server
from maplestile.tools.explore.worker_lines import Command, CommandKind, decode, encode_answer

HOST = "127.0.0.1"


@dataclass(slots=True)
class ReceivedCall:
    """A call that a worker has completely received."""

    name: str  # the client's name for the call, which is also its body
    worker: str
    received_s: float  # time of receipt, on the monotonic clock
    never_ran: bool = False  # the worker has answered that it did not run the call


@dataclass(slots=True, eq=False)
class AcceptedConnection:
    """A connection that a worker has accepted."""

    worker: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    commands: list[Command] = field(default_factory=list)

    def answer(self, tag: str, kind: str) -> None:
        """Answer the command with this tag, with an answer of this kind."""
        self.writer.write(encode_answer(tag, kind) + b"\n")

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        connection = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@dataclass(slots=True)
class ReceivedTraffic:
    """The connections and calls that all workers of a replay have received, in order."""

    connections: list[AcceptedConnection] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)


class ScriptedWorker:
    """A worker with its own port, which accepts or refuses connections there."""

    def __init__(self, name: str, received: ReceivedTraffic) -> None:
        self.name = name
        self.received = received
        self.server: asyncio.Server | None = None
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = int(probe.getsockname()[1])

    async def set_listening(self, should_listen: bool) -> None:
        """Start accepting connections if `should_listen`, else stop."""
        if should_listen and self.server is None:
            self.server = await start_stream_server(self._serve, HOST, self.port)
        elif not should_listen and self.server is not None:
            self.server.close()
            self.server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = AcceptedConnection(self.name, reader, writer)
        self.received.connections.append(connection)
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                self._receive(connection, decode(line))

    def _receive(self, connection: AcceptedConnection, command: Command) -> None:
        connection.commands.append(command)
        if command.kind is CommandKind.CALL:
            name = command.body.decode()
            self.received.calls.append(ReceivedCall(name, self.name, time.monotonic()))
