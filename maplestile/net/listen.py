"""Opens the listening sockets of the fronts, and closes them without losing queued connections."""

import asyncio
import errno
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from maplestile.net import bounded_reads

ReaderFactory = Callable[[], asyncio.StreamReader]
# Serves one connection; the first argument is the reader that the `ReaderFactory` returned.
ConnectionHandler = Callable[[Any, asyncio.StreamWriter], Awaitable[None]]
ACCEPT_RETRY_S = 0.01  # after an accept that failed
# Errors of an accept that last until something is freed; all others concern one queued connection.
OUT_OF_RESOURCES = (*bounded_reads.NO_DESCRIPTOR, errno.ENOBUFS, errno.ENOMEM)

log = logging.getLogger(__name__)


class Listener:
    """A listening socket, with the handler of the connections that it accepts."""

    def __init__(
        self,
        listener: socket.socket,
        serve: ConnectionHandler,
        new_reader: ReaderFactory,
        counters: Counter[str],
    ) -> None:
        self.socket = listener
        self.serve = serve
        self.new_reader = new_reader
        self.counters = counters
        self.server: asyncio.Server | None = None

    def new_protocol(self) -> asyncio.StreamReaderProtocol:
        """Return a new protocol for one connection."""
        return asyncio.StreamReaderProtocol(self.new_reader(), self.serve)

    @property
    def address(self) -> tuple[str, int]:
        """The address of the socket; a port of 0 is replaced by the one that the kernel chose."""
        host, port = self.socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stop accepting; the kernel resets connections that wait in the accept queue."""
        if self.server is not None:
            self.server.close()

    async def accept_queued_and_close(
        self, timeout_s: float, on_no_descriptor: Callable[[], object] = lambda: None
    ) -> None:
        """Accept every connection in the accept queue, and close the socket once the queue is empty.

        Closing a socket resets the connections that are still queued. If no file descriptor is free,
        `on_no_descriptor` is called to free one. A connection that failed in the queue, or that cannot be
        served, is counted and logged. If accepts still fail after `timeout_s`, the socket is closed anyway,
        so that the process can exit.
        """
        if self.socket.fileno() < 0:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        until_s = loop.time() + timeout_s
        while True:
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                break  # the queue is empty; there is no await before the close
            except OSError as error:
                if loop.time() >= until_s:
                    break
                if error.errno in OUT_OF_RESOURCES:
                    on_no_descriptor()
                else:
                    self._record_failed_connection(error)
                await asyncio.sleep(ACCEPT_RETRY_S)
            else:
                await self._serve_accepted(peer)
        self.close()

    async def _serve_accepted(self, peer: socket.socket) -> None:
        """Serve a connection; if its socket fails, close it alone."""
        try:
            peer.setblocking(False)
            await asyncio.get_running_loop().connect_accepted_socket(self.new_protocol, peer)
        except OSError as error:
            peer.close()
            self._record_failed_connection(error)

    def _record_failed_connection(self, error: OSError) -> None:
        self.counters["listeners.failed_connections"] += 1
        log.warning("listener: a connection failed before it could be served: %s", error)


async def listen(
    host: str,
    port: int,
    serve: ConnectionHandler,
    new_reader: ReaderFactory,
    accept_burst: int,
    queue_size: int,
    counters: Counter[str],
    reuse_port: bool = False,
) -> Listener:
    """Listen on an address, and serve each accepted connection with a new reader.

    At most `accept_burst` connections are accepted per event loop iteration, and up to `queue_size` wait in
    the accept queue. With `reuse_port`, another process may listen on the same address. Raises OSError if the
    address cannot be bound.
    """
    candidates = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE)
    family, kind, protocol, _, bind_address = candidates[0]
    # Without an explicit protocol, asyncio leaves Nagle's algorithm on, which delays answers by 40 ms.
    listening_socket = socket.socket(family, kind, protocol)
    listening_socket.setblocking(False)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener = Listener(listening_socket, serve, new_reader, counters)
    try:
        listening_socket.bind(bind_address)
        loop = asyncio.get_running_loop()
        listener.server = await loop.create_server(
            listener.new_protocol, sock=listening_socket, backlog=accept_burst
        )
    except OSError:
        listening_socket.close()
        raise
    # asyncio uses its backlog both as the queue size and as the number of accepts per loop iteration. Only
    # the latter has to be small, so the queue is enlarged here.
    listening_socket.listen(queue_size)
    return listener
