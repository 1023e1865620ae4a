"""The invoke front's driver alone: a request that comes too slowly."""

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

from maplestile.invoke.api import Api
from maplestile.invoke.http import Http
from maplestile.limits import Limits


class HttpTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_that_is_not_whole_in_its_time_gets_408_and_a_close(self) -> None:
        counters = Counter[str]()
        operator = SimpleNamespace(connections=2, idle_s=60.0, body_bytes=100)
        core = SimpleNamespace(limits=Limits(http_request_us=100_000, http_linger_us=100_000))
        api: Any = SimpleNamespace(core=core, operator=operator)
        server = await Http(cast(Api, api), counters, lambda: 0).start("127.0.0.1", 0)
        async with asyncio.timeout(20):
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
            with self.assertRaises(TimeoutError):  # one that is silent may take longer
                async with asyncio.timeout(0.3):
                    await reader.read(1)
            writer.write(b"GET / HT")
            self.assertTrue((await reader.read()).startswith(b"HTTP/1.1 408 "))
            writer.close()
        server.close()
        self.assertEqual(counters["invoke.too_slow"], 1)
