"""The invoke front's driver alone: a request that comes too slowly, or crosses the end."""

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import cast

from maplestile.net.http import HttpFront
from maplestile.wire.http import Application, Bounds
from tests.standins import PATIENCE_S, wait_until


class HttpFrontTest(unittest.IsolatedAsyncioTestCase):
    """Connections that do not finish their requests."""

    async def test_request_that_is_not_whole_in_its_time_gets_408_and_a_close(self) -> None:
        counters = Counter[str]()
        bounds = Bounds(2, 60.0, 100_000, 100, 100_000, 16)
        api = SimpleNamespace(bounds=bounds)
        server = await HttpFront("invoke", cast(Application, api), counters, lambda: 0).start("127.0.0.1", 0)
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection(*server.address)
            with self.assertRaises(TimeoutError):  # one that is silent may take longer
                async with asyncio.timeout(0.3):
                    await reader.read(1)
            writer.write(b"GET / HT")
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 408 "))
            writer.close()
        server.close()
        self.assertEqual(counters["invoke.too_slow"], 1)

    async def test_request_that_crosses_the_end_of_its_connection_never_begins(self) -> None:
        """One that rests and one with half a request: their other halves come behind the close."""
        handled = list[object]()
        bounds = Bounds(4, 60.0, 10_000_000, 100, 100_000, 16)
        api = SimpleNamespace(bounds=bounds, handle=lambda request, respond: handled.append(request))
        http = HttpFront("invoke", cast(Application, api), Counter[str](), lambda: 0)
        server = await http.start("127.0.0.1", 0)
        async with asyncio.timeout(PATIENCE_S):
            connections = [await asyncio.open_connection(*server.address) for _ in range(2)]
            connections[1][1].write(b"GET / HTTP/1.1\r\n")
            await wait_until(lambda: len(http.state.idle) + 2 * len(http.state.receiving) >= 3)
            ending = asyncio.get_running_loop().create_task(http.close_gracefully(server))
            for (reader, writer), rest in zip(connections, (b"GET / HTTP/1.1\r\n", b""), strict=True):
                self.assertEqual(await reader.read(), b"")
                writer.write(rest + b"Host: x\r\n\r\n")
            await ending
            await wait_until(lambda: not http.connections)
        self.assertEqual(handled, [])
        for _, writer in connections:
            writer.close()
