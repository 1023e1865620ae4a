"""Tests of closing a listener: accepted connections are served, others are reset by the kernel."""

import asyncio
import socket
from unittest import mock

import pytest

from maplestile.net.listen import listen
from tests.standins import PATIENCE_S

Address = tuple[str, int]


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

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(await reader.read(1))
            writer.write(b"!")
            await writer.drain()
            writer.close()

        listener = await listen("127.0.0.1", 0, serve, asyncio.StreamReader, accept_burst=16, queue_size=64)
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
