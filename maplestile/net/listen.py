"""Listening sockets: one way for every front."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

Reader = Callable[[], asyncio.StreamReader]
Serve = Callable[[Any, asyncio.StreamWriter], Awaitable[None]]  # handed what `Reader` made
FULL_S = 0.01  # until a connection is accepted for which there was no descriptor


class Listener:
    def __init__(self, listener: socket.socket, serve: Serve, reader: Reader) -> None:
        self.socket, self.serve, self.reader = listener, serve, reader
        self.server: asyncio.Server | None = None

    def protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(self.reader(), self.serve)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def finish(self, patience_s: float, starved: Callable[[], object] = lambda: None) -> None:
        """Accept all that waits, and close with the queue empty: what a closed queue holds is reset. Where
        there is no descriptor, `starved` makes one; guards the end of the process, which waited for ever."""
        if self.socket.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        until_s = loop.time() + patience_s
        while True:
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                break  # and nothing is awaited between this and the close
            except OSError:
                if loop.time() >= until_s:
                    break
                starved()
                await asyncio.sleep(FULL_S)
            else:
                await self._adopt(peer)
        self.close()

    async def _adopt(self, peer: socket.socket) -> None:
        peer.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(self.protocol, peer)


async def listen(
    host: str, port: int, serve: Serve, reader: Reader, burst: int, queue: int, shared: bool = False
) -> Listener:
    """Accept at most `burst` connections in one go, while `queue` may wait; a `shared` address may be
    listened to by another process, too."""
    found = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    family, kind, protocol, _, local = found[0]
    # The protocol is named: without it asyncio leaves Nagle's algorithm on, and answers wait for 40 ms.
    raw = socket.socket(family, kind, protocol)
    raw.setblocking(False)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener = Listener(raw, serve, reader)
    try:
        raw.bind(local)
        loop = asyncio.get_running_loop()
        listener.server = await loop.create_server(listener.protocol, sock=raw, backlog=burst)
    except OSError:
        raw.close()
        raise
    # asyncio accepts as many in one go as may wait; only what it accepts at once needs the small number.
    raw.listen(queue)
    return listener
