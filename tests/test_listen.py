"""The end of a listener: whoever it accepted is served, whoever it did not is reset by the system."""

import asyncio
import socket
from unittest import mock

import pytest

from maplestile.net.listen import listen
from tests.standins import PATIENCE_S

Address = tuple[str, int]


def asking(address: Address) -> socket.socket:
    """A connection with a request on it. The system completes it, whether or not it is ever accepted."""
    link = socket.create_connection(address, timeout=PATIENCE_S)
    link.sendall(b"?")
    return link


def answer(link: socket.socket) -> bytes:
    with link:
        return link.recv(1)


def test_the_system_resets_what_a_listener_has_not_accepted_as_it_closes() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        accepted, waiting = (asking(listener.getsockname()) for _ in range(2))
        server_side, _ = listener.accept()
    with server_side:
        server_side.sendall(b"!")
        assert answer(accepted) == b"!"
    with pytest.raises(ConnectionResetError):
        answer(waiting)


def test_finish_loses_nobody_but_who_comes_between_its_last_accept_and_its_close() -> None:
    async def play() -> None:
        requests = list[bytes]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(await reader.read(1))
            writer.write(b"!")
            await writer.drain()
            writer.close()

        listener = await listen("127.0.0.1", 0, serve, asyncio.StreamReader, burst=16, queue=64)
        waiting = [asking(listener.address) for _ in range(20)]
        late = list[socket.socket]()
        close = listener.close

        def close_as_another_comes() -> None:
            late.append(asking(listener.address))
            close()

        with mock.patch.object(listener, "close", close_as_another_comes):
            await listener.finish(PATIENCE_S)
        answers = [await asyncio.to_thread(answer, link) for link in waiting]
        assert answers == [b"!"] * 20 and requests == [b"?"] * 20
        with pytest.raises(ConnectionResetError):
            answer(late[0])

    asyncio.run(play())
