"""The invoke front's driver alone: a request that comes too slowly."""

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import cast

from maplestile.net.http import Http
from maplestile.wire.http import Application, Bounds


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_is_not_whole_in_its_time_gets_408_and_a_close(self) -> None:
        counters = Counter[str]()
        bounds = Bounds(2, 60.0, 100_000, 100, 100_000, 16)
        api = SimpleNamespace(bounds=bounds)
        server = await Http("invoke", cast(Application, api), counters, lambda: 0).start("127.0.0.1", 0)
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
