"""A platform front on real sockets, with a core whose pool never answers, and clients of the front."""

import asyncio
import json
import os
import unittest
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from maplestile.dispatch.api import Result
from maplestile.net.platform import PlatformFront
from maplestile.wire.limits import ClientLimits, Limits
from tests.core_harness import CoreHarness
from tests.standins import PATIENCE_S, wait_until
from tests.test_machines import framed, message

CLIENT_LIMITS = ClientLimits(connections=2, streams=2, unread_bytes=100_000, message_us=300_000)
LIMITS = Limits(clients=CLIENT_LIMITS)
CALL_LIMIT_MS = 9_000  # deadline of calls, which none of them reaches
CALL_FRAME = framed(message(limit=CALL_LIMIT_MS))


def changed_limits(**changes: int) -> Limits:
    """Return `LIMITS` with these changes to the limits of client connections."""
    return replace(LIMITS, clients=replace(CLIENT_LIMITS, **changes))


def check_frame(id_: int = 1) -> bytes:
    """Encode a `check` request, which the front answers without calling a worker."""
    return framed(b'{"id":%d,"method":"check"}' % id_)


def call_frame(id_: int, txn: str = "") -> bytes:
    """Encode a call of class `review`, under a new transaction if none is given."""
    call = json.loads(message(limit=CALL_LIMIT_MS, txn=txn or os.urandom(8).hex()))
    return framed(json.dumps(call | {"id": id_, "method": "review"}).encode())


def error_code(answer: dict[str, Any]) -> int:
    """Return the JSON-RPC error code of an answer."""
    return int(answer["error"]["code"])


@dataclass
class FakeTimestamps:
    """Receive timestamps that are set by a test."""

    earliest_event_us: int = 0
    last_idle_us: int = 0


@dataclass(frozen=True)
class FrontClient:
    """A client connection to the front."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        """Write bytes without waiting until they are sent."""
        self.writer.write(data)

    async def read_answer(self) -> dict[str, Any]:
        """Read and decode one answer."""
        async with asyncio.timeout(PATIENCE_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            answer: dict[str, Any] = json.loads(await self.reader.readexactly(int(head.split(b":")[1])))
            return answer

    async def check(self, id_: int = 1) -> dict[str, Any]:
        """Send a `check` request and return its answer."""
        self.send(check_frame(id_))
        return await self.read_answer()

    async def is_closed(self) -> bool:
        """Wait for the next byte or the end of the stream; return whether it was the end."""
        async with asyncio.timeout(PATIENCE_S):
            return await self.reader.read(1) == b""


class FrontTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case that starts a platform front on a free port and connects clients to it."""

    async def asyncSetUp(self) -> None:
        self.harness = CoreHarness()
        self.counters = Counter[str]()
        self.ready = False
        self.timestamps = FakeTimestamps(self.harness.now)
        self.front = PlatformFront(
            self.harness.core, LIMITS, self.counters, self.timestamps, lambda: self.ready
        )
        self.server = await self.front.start("127.0.0.1", 0, False)
        self.addCleanup(self.server.close)

    async def connect(self) -> FrontClient:
        """Connect another client."""
        client = FrontClient(*await asyncio.open_connection("127.0.0.1", self.server.address[1]))
        self.addCleanup(client.writer.close)
        return client

    async def wait_until_connected(self, count: int = 1) -> None:
        """Wait until the front has at least `count` connections."""
        await wait_until(lambda: len(self.front.clients) >= count)

    async def wait_until_disconnected(self) -> None:
        """Wait until the front has no connections left."""
        await wait_until(lambda: not self.front.clients)

    async def wait_until_calls_are_open(self, count: int = 1) -> None:
        """Wait until the core has at least `count` open calls."""
        await wait_until(lambda: len(self.harness.core.open) >= count)

    def answer_attempt(self, attempt_index: int = 0) -> None:
        """Report a successful answer to an attempt."""
        self.harness.core.attempt_ended(self.harness.sent[attempt_index], Result.OK, b"abc")
