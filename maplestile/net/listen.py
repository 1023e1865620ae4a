"""Listening sockets of the fronts, which lose nobody as they close."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

Reader = Callable[[], asyncio.StreamReader]
Serve = Callable[[Any, asyncio.StreamWriter], Awaitable[None]]  # called with what `Reader` made
RETRY_S = 0.01  # until a connection is accepted for which there was no file descriptor


class Listener:
    """One listening socket, and what serves the connections that it accepts."""

    def __init__(self, listener: socket.socket, serve: Serve, reader: Reader) -> None:
        self.socket = listener
        self.serve = serve
        self.reader = reader
        self.server: asyncio.Server | None = None

    def protocol(self) -> asyncio.StreamReaderProtocol:
        """Return a new protocol, for one connection."""
        return asyncio.StreamReaderProtocol(self.reader(), self.serve)

    @property
    def address(self) -> tuple[str, int]:
        """The address at which it listens, with the port that the system chose for 0."""
        host, port = self.socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stop accepting; connections that wait in the queue are reset."""
        if self.server is not None:
            self.server.close()

    async def finish(self, patience_s: float, on_no_descriptor: Callable[[], object] = lambda: None) -> None:
        """Accept all that waits, and close with the queue empty: what a closed queue holds is reset.

        Where there is no file descriptor, `on_no_descriptor` is to free one; after `patience_s` the socket is
        closed anyway, so that the process can end.
        """
        if self.socket.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        until_s = loop.time() + patience_s
        while True:
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                break  # nothing is awaited between this and the close
            except OSError:
                if loop.time() >= until_s:
                    break
                on_no_descriptor()
                await asyncio.sleep(RETRY_S)
            else:
                await self._serve_accepted(peer)
        self.close()

    async def _serve_accepted(self, peer: socket.socket) -> None:
        peer.setblocking(False)
        await asyncio.get_running_loop().connect_accepted_socket(self.protocol, peer)


async def listen(
    host: str, port: int, serve: Serve, reader: Reader, burst: int, queue: int, shared: bool = False
) -> Listener:
    """Accept at most `burst` connections in one go, while `queue` may wait.

    Another process may listen to a `shared` address, too. Raises OSError where the address is not free.
    """
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
