"""Opens the listening sockets of the fronts, accepts connections, and closes without losing queued ones.

asyncio's server waits a second after an accept without resources, and serves no connection meanwhile.
Requests with a short deadline would be answered too late, so the listener accepts by itself.
"""

import asyncio
import errno
import logging
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from maplestile.common.tasks import start_task
from maplestile.net import bounded_reads

ReaderFactory = Callable[[], asyncio.StreamReader]
# Serves one connection; the first argument is the reader that the `ReaderFactory` returned.
ConnectionHandler = Callable[[Any, asyncio.StreamWriter], Awaitable[None]]
ACCEPT_RETRY_S = 0.01  # after an accept that failed
CREATE_RETRY_S = 0.05  # after a listening socket could not be created
CREATE_PATIENCE_S = 3.0  # leaves the rest of a start the time in which a router has to be ready
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
        accept_burst: int,
        counters: Counter[str],
    ) -> None:
        self.socket = listener
        self.serve = serve
        self.new_reader = new_reader
        self.accept_burst = accept_burst
        self.counters = counters
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None  # of accepts that wait for resources
        self._tasks: set[asyncio.Task[None]] = set()  # that set up accepted connections

    def new_protocol(self) -> asyncio.StreamReaderProtocol:
        """Return a new protocol for one connection."""
        return asyncio.StreamReaderProtocol(self.new_reader(), self.serve)

    @property
    def address(self) -> tuple[str, int]:
        """The address of the socket; a port of 0 is replaced by the one that the kernel chose."""
        host, port = self.socket.getsockname()[:2]
        return host, port

    def start(self) -> None:
        """Accept connections from now on."""
        self._retry = None
        self._loop.add_reader(self.socket, self._accept_burst)

    def close(self) -> None:
        """Stop accepting; the kernel resets connections that wait in the accept queue."""
        if self.socket.fileno() >= 0:
            self._stop()
            self.socket.close()

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
        self._stop()
        until_s = self._loop.time() + timeout_s
        while True:
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                break  # the queue is empty; there is no await before the close
            except OSError as error:
                if self._loop.time() >= until_s:
                    break
                if error.errno in OUT_OF_RESOURCES:
                    on_no_descriptor()
                else:
                    self._record_failed_connection(error)
                await asyncio.sleep(ACCEPT_RETRY_S)
            else:
                await self._serve_accepted(peer)
        self.close()

    def _stop(self) -> None:
        """Accept no further connections."""
        self._loop.remove_reader(self.socket)
        if self._retry is not None:
            self._retry.cancel()

    def _accept_burst(self) -> None:
        """Accept the connections that wait, at most `accept_burst` of them."""
        for _ in range(self.accept_burst):
            try:
                peer, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    self._wait_for_resources(error)
                    return
                self._record_failed_connection(error)
            else:
                task = start_task(self._serve_accepted(peer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def _wait_for_resources(self, error: OSError) -> None:
        """Accept again in a moment; until then the event loop would report the socket in each iteration."""
        self.counters["listeners.out_of_resources"] += 1
        log.warning("listener: cannot accept a connection now: %s", error)
        self._stop()
        self._retry = self._loop.call_later(ACCEPT_RETRY_S, self.start)

    async def _serve_accepted(self, peer: socket.socket) -> None:
        """Serve a connection; if its socket fails, close it alone."""
        try:
            peer.setblocking(False)
            await self._loop.connect_accepted_socket(self.new_protocol, peer)
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
    listening_socket = await _create_socket(family, kind, protocol)
    listening_socket.setblocking(False)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener = Listener(listening_socket, serve, new_reader, accept_burst, counters)
    try:
        listening_socket.bind(bind_address)
        listening_socket.listen(queue_size)
    except OSError:
        listening_socket.close()
        raise
    listener.start()
    return listener


async def _create_socket(family: int, kind: int, protocol: int) -> socket.socket:
    """Create a socket; while the system is out of resources, try again for `CREATE_PATIENCE_S`.

    Raises OSError if that does not help.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + CREATE_PATIENCE_S
    while True:
        try:
            return socket.socket(family, kind, protocol)
        except OSError as error:
            if error.errno not in OUT_OF_RESOURCES or loop.time() >= until_s:
                raise
        await asyncio.sleep(CREATE_RETRY_S)
