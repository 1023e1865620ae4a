"""Listening sockets: one way for every front."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
FULL_S = 0.01  # until a connection is accepted for which there was no descriptor


class Listener:
    def __init__(self, listener: socket.socket, serve: Serve, read_bytes: int) -> None:
        self.socket, self.serve, self.read_bytes = listener, serve, read_bytes
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def finish(self) -> None:
        """Accept all that waits, and close with the queue empty: what a closed queue holds is reset."""
        asyncio.get_running_loop().remove_reader(self.socket)
        while True:
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                break  # and nothing is awaited between this and the close
            except OSError:
                await asyncio.sleep(FULL_S)
            else:
                await self._adopt(peer)
        self.close()

    async def _adopt(self, peer: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=self.read_bytes)
        peer.setblocking(False)
        await loop.connect_accepted_socket(lambda: asyncio.StreamReaderProtocol(reader, self.serve), peer)


async def listen(
    host: str, port: int, serve: Serve, read_bytes: int, burst: int, queue: int, shared: bool = False
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
    listener = Listener(raw, serve, read_bytes)
    try:
        raw.bind(local)
        listener.server = await asyncio.start_server(serve, sock=raw, limit=read_bytes, backlog=burst)
    except OSError:
        raw.close()
        raise
    # asyncio accepts as many in one go as may wait; only what it accepts at once needs the small number.
    raw.listen(queue)
    return listener
