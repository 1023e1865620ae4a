"""Workers on loopback that accept the router's connections, keep what they receive, and answer on demand."""

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass, field

from maplestile.tools.explore.worker_lines import Command, CommandKind, decode, encode_answer

HOST = "127.0.0.1"


@dataclass(slots=True)
class ReceivedCall:
    """A call that a worker has received complete."""

    call: str  # the client's name for it, which is its body
    worker: str
    at_s: float
    never_ran: bool = False


@dataclass(slots=True, eq=False)
class Peer:
    """A connection that a worker has accepted."""

    worker: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    commands: list[Command] = field(default_factory=list)

    def answer(self, tag: str, kind: str) -> None:
        """Answer the command with this tag."""
        self.writer.write(encode_answer(tag, kind) + b"\n")

    def reset(self) -> None:
        """End the connection with a TCP reset."""
        connection = self.writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


@dataclass(slots=True)
class Received:
    """What all the workers of a replay have accepted and received, in order."""

    peers: list[Peer] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)


class ScriptedWorker:
    """A worker with a port of its own, at which it listens or refuses connections."""

    def __init__(self, name: str, received: Received) -> None:
        self.name = name
        self.received = received
        self.server: asyncio.Server | None = None
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = int(probe.getsockname()[1])

    async def listen(self, wanted: bool) -> None:
        """Start or stop to accept connections."""
        if wanted and self.server is None:
            self.server = await asyncio.start_server(self._serve, HOST, self.port)
        elif not wanted and self.server is not None:
            self.server.close()
            self.server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(self.name, reader, writer)
        self.received.peers.append(peer)
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                self._receive(peer, decode(line))

    def _receive(self, peer: Peer, command: Command) -> None:
        peer.commands.append(command)
        if command.kind is CommandKind.CALL:
            name = command.body.decode()
            self.received.calls.append(ReceivedCall(name, self.name, time.monotonic()))
