"""Tests of closing a listener: accepted connections are served, others are reset by the kernel."""

import asyncio
import errno
import os
import socket
import time
from collections import Counter
from typing import Any, cast
from unittest import mock

import pytest

from maplestile.net.listen import listen
from tests.standins import PATIENCE_S

Address = tuple[str, int]
MAX_ACCEPT_DELAY_S = 0.5  # an answer that comes later than this after its deadline is lost


def send_request(address: Address) -> socket.socket:
    """Open a connection and write a request; the kernel completes it even if it is never accepted."""
    connection = socket.create_connection(address, timeout=PATIENCE_S)
    connection.sendall(b"?")
    return connection


def read_answer(connection: socket.socket) -> bytes:
    """Read one byte and close the connection."""
    with connection:
        return connection.recv(1)


def test_kernel_resets_connections_not_accepted_before_close() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        accepted, waiting = (send_request(listener.getsockname()) for _ in range(2))
        server_side, _ = listener.accept()
    with server_side:
        server_side.sendall(b"!")
        assert read_answer(accepted) == b"!"
    with pytest.raises(ConnectionResetError):
        read_answer(waiting)


def test_serves_all_queued_connections_before_close() -> None:
    """Only a connection that arrives between the last accept and the close is reset."""

    async def scenario() -> None:
        requests = list[bytes]()
        counters = Counter[str]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(await reader.read(1))
            writer.write(b"!")
            await writer.drain()
            writer.close()

        listener = await listen("127.0.0.1", 0, serve, asyncio.StreamReader, 16, 64, counters)
        waiting = [send_request(listener.address) for _ in range(20)]
        late = list[socket.socket]()
        close = listener.close

        def connect_and_close() -> None:
            late.append(send_request(listener.address))
            close()

        with mock.patch.object(listener, "close", connect_and_close):
            await listener.accept_queued_and_close(PATIENCE_S)
        answers = [await asyncio.to_thread(read_answer, connection) for connection in waiting]
        assert answers == [b"!"] * 20 and requests == [b"?"] * 20
        with pytest.raises(ConnectionResetError):
            read_answer(late[0])

    asyncio.run(scenario())


class FaultyListeningSocket:
    """A listening socket whose `accept` raises errors before it accepts what is queued."""

    def __init__(self, wrapped: socket.socket, error_numbers: list[int]) -> None:
        self.wrapped = wrapped
        self.error_numbers = error_numbers

    def accept(self) -> tuple[socket.socket, Address]:
        """Raise the next error; once there is none left, accept a connection."""
        if self.error_numbers:
            number = self.error_numbers.pop(0)
            raise OSError(number, os.strerror(number))
        return self.wrapped.accept()

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self.wrapped.fileno()

    def close(self) -> None:
        """Close the socket."""
        self.wrapped.close()


def close_with_faults(accept_errors: list[int], handshake_errors: int) -> tuple[list[bytes], int, int]:
    """Close a listener with three queued connections while accepts, and the first handshakes, fail.

    Return the answers of the clients (no bytes for a closed connection), the number of descriptors that were
    freed, and the number of failed connections that were counted.
    """

    async def scenario() -> tuple[list[bytes], int, int]:
        counters = Counter[str]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.read(1))
            writer.close()

        listener = await listen("127.0.0.1", 0, serve, asyncio.StreamReader, 16, 64, counters)
        waiting = [send_request(listener.address) for _ in range(3)]
        loop = asyncio.get_running_loop()
        connect = loop.connect_accepted_socket
        failures = [OSError(errno.ENOTCONN, "not connected")] * handshake_errors

        async def connect_or_fail(*arguments: Any) -> Any:
            if failures:
                raise failures.pop()
            return await connect(*arguments)

        listener.socket = cast(socket.socket, FaultyListeningSocket(listener.socket, accept_errors))
        freed = list[int]()
        with mock.patch.object(loop, "connect_accepted_socket", connect_or_fail):
            await listener.accept_queued_and_close(PATIENCE_S, lambda: freed.append(1))
        answers = [await asyncio.to_thread(read_to_end, connection) for connection in waiting]
        return answers, len(freed), counters["listeners.failed_connections"]

    return asyncio.run(scenario())


def read_to_end(connection: socket.socket) -> bytes:
    """Read until the end of a connection; return no bytes if it was reset."""
    with connection:
        try:
            return connection.recv(1)
        except ConnectionResetError:
            return b""


def test_accept_error_of_one_connection_frees_no_descriptor() -> None:
    """Guards against a drain evicting a client for each connection that a peer reset in the accept queue."""
    answers, freed, failed = close_with_faults([errno.ECONNABORTED, errno.EPROTO], 0)
    assert (answers, freed, failed) == ([b"?"] * 3, 0, 2)


def test_accept_without_free_descriptor_frees_one() -> None:
    answers, freed, failed = close_with_faults([errno.EMFILE, errno.ENFILE], 0)
    assert (answers, freed, failed) == ([b"?"] * 3, 2, 0)


def test_accepted_connection_that_cannot_be_served_ends_alone() -> None:
    """Guards against an error of one accepted socket ending the drain, and with it the process."""
    answers, freed, failed = close_with_faults([], 1)
    assert (sorted(answers), freed, failed) == ([b"", b"?", b"?"], 0, 1)


# Guards against a router that accepts nothing for a second after a moment without resources.
def test_accept_is_tried_again_at_once_while_serving() -> None:
    numbers = [errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EPROTO, errno.EINTR]
    counters = Counter[str]()

    async def scenario() -> float:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(await reader.read(1))
            writer.close()

        listener = await listen("127.0.0.1", 0, serve, asyncio.StreamReader, 16, 64, counters)
        real = listener.socket
        listener.socket = cast(socket.socket, FaultyListeningSocket(real, numbers))
        started_s = time.monotonic()
        answer = await asyncio.to_thread(lambda: read_answer(send_request(real.getsockname())))
        listener.socket = real
        listener.close()
        assert answer == b"?"
        return time.monotonic() - started_s

    assert asyncio.run(scenario()) < MAX_ACCEPT_DELAY_S
    assert counters["listeners.out_of_resources"] == 2


# Guards against a router that does not start because the system has no resources for a moment.
def test_listening_socket_is_created_after_a_moment_without_resources() -> None:
    numbers = [errno.ENOBUFS, errno.ENFILE]
    create = socket.socket

    def create_or_fail(*arguments: Any) -> socket.socket:
        if numbers:
            raise OSError(numbers[0], os.strerror(numbers.pop(0)))
        return create(*arguments)

    async def scenario() -> None:
        async def serve(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        with mock.patch("maplestile.net.listen.socket.socket", create_or_fail):
            listener = await listen("127.0.0.1", 0, serve, asyncio.StreamReader, 16, 64, Counter[str]())
        listener.close()

    asyncio.run(scenario())
    assert not numbers


def test_error_that_lasts_is_raised() -> None:
    async def scenario() -> None:
        with mock.patch("maplestile.net.listen.socket.socket", side_effect=OSError(errno.EACCES, "denied")):
            await listen("127.0.0.1", 0, mock.AsyncMock(), asyncio.StreamReader, 16, 64, Counter[str]())

    with pytest.raises(OSError, match="denied"):
        asyncio.run(scenario())
