"""The invoke front's driver alone: a request that comes too slowly, or crosses the end."""

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import cast

from maplestile.net.http import HttpFront
from maplestile.wire.http import Application, Bounds


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_is_not_whole_in_its_time_gets_408_and_a_close(self) -> None:
        counters = Counter[str]()
        bounds = Bounds(2, 60.0, 100_000, 100, 100_000, 16)
        api = SimpleNamespace(bounds=bounds)
        server = await HttpFront("invoke", cast(Application, api), counters, lambda: 0).start("127.0.0.1", 0)
        async with asyncio.timeout(20):
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
        async with asyncio.timeout(20):
            links = [await asyncio.open_connection(*server.address) for _ in range(2)]
            links[1][1].write(b"GET / HTTP/1.1\r\n")
            while len(http.state.idle) + 2 * len(http.state.receiving) < 3:
                await asyncio.sleep(0.005)
            ending = asyncio.get_running_loop().create_task(http.close_gracefully(server))
            for (reader, writer), rest in zip(links, (b"GET / HTTP/1.1\r\n", b""), strict=True):
                self.assertEqual(await reader.read(), b"")
                writer.write(rest + b"Host: x\r\n\r\n")
            await ending
            while http.connections:
                await asyncio.sleep(0.005)
        self.assertEqual(handled, [])
        for _, writer in links:
            writer.close()
