"""Tests of the HTTP front without an application: slow requests, and requests that cross the close."""

import asyncio
import socket
import time
import unittest
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import cast

from maplestile.common.loop_errors import LoopErrorReporter
from maplestile.net.http import HttpFront
from maplestile.net.socket_queues import undelivered_bytes
from maplestile.wire.http import Application, FrontLimits, Response
from tests.standins import PATIENCE_S, wait_until

LONG_RESPONSE_BYTES = 200_000


class HttpFrontTest(unittest.IsolatedAsyncioTestCase):
    """Connections with incomplete requests."""

    async def test_incomplete_request_gets_408_and_close_after_timeout(self) -> None:
        counters = Counter[str]()
        bounds = FrontLimits(2, 60.0, 100_000, 100, 100_000, 16)
        api = SimpleNamespace(bounds=bounds)
        server = await HttpFront("invoke", cast(Application, api), counters, lambda: 0).start("127.0.0.1", 0)
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(*server.address)
            with self.assertRaises(TimeoutError):  # an idle connection stays open for longer
                async with asyncio.timeout(0.3):
                    await reader.read(1)
            writer.write(b"GET / HT")
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 408 "))
            writer.close()
        server.close()
        self.assertEqual(counters["invoke.too_slow"], 1)

    async def test_head_of_very_many_short_fields_gets_431_before_its_body_is_read(self) -> None:
        """Guards against heads of 16 KB whose thousands of fields take a megabyte each while a body comes."""
        counters = Counter[str]()
        api = SimpleNamespace(bounds=FrontLimits(2, 60.0, 10_000_000, 100, 100_000, 16))
        server = await HttpFront("invoke", cast(Application, api), counters, lambda: 0).start("127.0.0.1", 0)
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n" + b"a:b\r\n" * 2_000 + b"\r\n")
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 431 "))
            writer.close()
        server.close()
        self.assertEqual(counters["invoke.malformed"], 1)

    async def test_request_that_crosses_graceful_close_is_not_handled(self) -> None:
        """One connection is idle and one has half a request; the rest arrives after the close."""
        handled = list[object]()
        bounds = FrontLimits(4, 60.0, 10_000_000, 100, 100_000, 16)
        api = SimpleNamespace(bounds=bounds, handle=lambda request, respond: handled.append(request))
        http = HttpFront("invoke", cast(Application, api), Counter[str](), lambda: 0)
        server = await http.start("127.0.0.1", 0)
        async with asyncio.timeout(PATIENCE_S):
            connections = [await asyncio.open_connection(*server.address) for _ in range(2)]
            connections[1][1].write(b"GET / HTTP/1.1\r\n")
            await wait_until(lambda: len(http.state.idle) + 2 * len(http.state.receiving) >= 3)
            closing = asyncio.get_running_loop().create_task(http.close_gracefully(server))
            for (reader, writer), rest in zip(connections, (b"GET / HTTP/1.1\r\n", b""), strict=True):
                self.assertEqual(await reader.read(), b"")
                writer.write(rest + b"Host: x\r\n\r\n")
            await closing
            await wait_until(lambda: not http.connections)
        self.assertEqual(handled, [])
        for _, writer in connections:
            writer.close()

    async def test_connection_with_an_undelivered_response_is_not_evicted(self) -> None:
        """Guards against a reset in the midst of a response that its caller reads slowly."""
        counters = Counter[str]()
        bounds = FrontLimits(1, 60.0, 10_000_000, 100, 100_000, 16)

        def respond_at_once(_request: object, respond: Callable[[Response], None]) -> Callable[[], None]:
            respond(Response(200, bytes(30_000)))
            return lambda: None

        api = SimpleNamespace(bounds=bounds, handle=respond_at_once)
        http = HttpFront("invoke", cast(Application, api), counters, lambda: 0)
        server = await http.start("127.0.0.1", 0)
        self.addCleanup(server.close)
        slow = socket.socket()
        self.addCleanup(slow.close)
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect(server.address)
        slow.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await wait_until(lambda: any(undelivered_bytes(idle.writer) for idle in http.state.idle))
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(*server.address)
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(1)
            writer.close()
        self.assertEqual((counters["invoke.rejected"], counters["invoke.idle_evicted"]), (1, 0))

    async def test_request_that_expects_100_continue_and_crosses_close_ends_cleanly(self) -> None:
        """Guards against a `100 Continue` written to a connection whose write side is closed."""
        counters = Counter[str]()
        LoopErrorReporter(counters).install()
        bounds = FrontLimits(4, 60.0, 10_000_000, 100, 100_000, 16)
        api = SimpleNamespace(bounds=bounds)
        http = HttpFront("invoke", cast(Application, api), counters, lambda: 0)
        server = await http.start("127.0.0.1", 0)
        self.addCleanup(server.close)
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(*server.address)
            writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n")
            await wait_until(lambda: bool(http.state.receiving))
            http.close_idle_connections()
            writer.write(b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n")
            self.assertEqual(await reader.read(), b"")
            await asyncio.sleep(0.05)  # for the event loop to read the rest of the head
            writer.close()
            await wait_until(lambda: not http.connections)
        self.assertEqual(counters["loop.errors"], 0)

    async def test_graceful_close_waits_for_the_rest_of_a_response_that_is_read_slowly(self) -> None:
        """Guards against a process that exits with the end of a response in its own buffer."""
        bounds = FrontLimits(4, 60.0, 10_000_000, 100, 100_000, 16)

        def respond_at_once(_request: object, respond: Callable[[Response], None]) -> Callable[[], None]:
            respond(Response(200, bytes(LONG_RESPONSE_BYTES)))
            return lambda: None

        api = SimpleNamespace(bounds=bounds, handle=respond_at_once)
        http = HttpFront("invoke", cast(Application, api), Counter[str](), lambda: 0)
        server = await http.start("127.0.0.1", 0)
        http.start_draining()
        writers = list[asyncio.StreamWriter]()
        serve = http._serve

        async def serve_and_record(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await serve(reader, writer)

        server.serve = serve_and_record
        slow = socket.socket()
        self.addCleanup(slow.close)
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect(server.address)
        slow.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        received = asyncio.create_task(asyncio.to_thread(read_slowly, slow))
        async with asyncio.timeout(PATIENCE_S):
            await wait_until(lambda: bool(writers))
            await http.close_gracefully(server)
            self.assertEqual(writers[0].transport.get_write_buffer_size(), 0)  # lost if the process exits
            self.assertGreater(len(await received), LONG_RESPONSE_BYTES)


def read_slowly(connection: socket.socket) -> bytes:
    """Read a response to its end, in small pieces with pauses between them."""
    received = bytearray()
    while data := connection.recv(4_000):
        received += data
        time.sleep(0.02)
    return bytes(received)
