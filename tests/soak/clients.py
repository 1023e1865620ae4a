"""The clients of a trial: usual ones, which call all the time, and crowds, which come at once."""

import asyncio
import base64
import contextlib
import json
import random
import time
from typing import Any

from tests.soak.records import Answer, SentRequest, TrialRecord
from tests.soak.settings import CLASSES, KEYED
from tests.standins import REFUSED

MEAN_GAP_S = 0.04  # between two requests of a usual client
FUNCTIONS = 12
LIMITS_S = (0.3, 3.0)
INTERRUPT_SHARE = 0.04
CLOSE_SHARE = 0.02
BODY_BYTES = 8
CROWD_REQUESTS = 3
CROWD_PATIENCE_S = 3.6  # longer than any request of it waits


class SoakConnection:
    """One connection of a client to a router."""

    def __init__(self, router: str, record: TrialRecord, source: random.Random) -> None:
        self.router = router
        self.record = record
        self.random = source
        self.open: dict[int, SentRequest] = {}  # by JSON-RPC id
        self.ended = False
        self._last_id = 0
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self, port: int) -> None:
        """Connect. Raises OSError."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._task = asyncio.get_running_loop().create_task(self._read(reader))

    def send(self) -> SentRequest:
        """Send one request of a random class, and return its record."""
        self._last_id += 1
        source = self.random
        tag = source.randbytes(8).hex()
        class_name = source.choice(CLASSES)
        body = source.randbytes(BODY_BYTES)
        limit_s = source.uniform(*LIMITS_S)
        params: dict[str, Any] = {
            "txn": tag,
            "limit": int(limit_s * 1000),
            "item": f"{source.randrange(FUNCTIONS):016x}",
            "info": "memory_mb:100;lanes:4",
            "blob": base64.b64encode(body).decode(),
        }
        if class_name == KEYED:
            params["unique"] = source.randbytes(16).hex()
        request = SentRequest(tag, class_name, self.router, body, time.monotonic(), limit_s)
        self.open[self._last_id] = self.record.requests[tag] = request
        self._write(class_name, params, self._last_id)
        return request

    @property
    def has_sent(self) -> bool:
        """Whether a request was sent on this connection."""
        return self._last_id > 0

    def interrupt_one(self) -> None:
        """Give up an open request, if there is one."""
        if self.open:
            id_ = self.random.choice(list(self.open))
            self._write("interrupt", {"id": id_}, id_)
            self.open[id_].given_up_s = time.monotonic()

    def close(self) -> None:
        """End the connection, and so give up what is open on it."""
        for request in self.open.values():
            request.given_up_s = request.given_up_s or time.monotonic()
        self.open.clear()
        self.ended = True
        if self._task is not None:
            self._task.cancel()
        if self._writer is not None:
            self._writer.close()

    def _write(self, method: str, params: dict[str, Any], id_: int) -> None:
        content = json.dumps({"jsonrpc": "2.0", "id": id_, "method": method, "params": params}).encode()
        if self._writer is not None:
            self._writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(content), content))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self._take(json.loads(await reader.readexactly(int(head.split(b":")[1]))))
        self.ended = True
        for request in self.open.values():
            request.connection_ended_s = time.monotonic()
        if self._writer is not None:
            self._writer.close()

    def _take(self, message: dict[str, Any]) -> None:
        request = self.open.pop(message["id"] or 0, None)
        if request is None:
            self.record.unexpected_answers.append(f"{self.router}: {message}")
            return
        if "result" in message:
            kind = Answer.SERVED
            request.body_returned = base64.b64decode(message["result"]["blob"])
        else:
            kind = Answer.REFUSED if message["error"]["code"] == REFUSED else Answer.FAILED
        request.answers.append((time.monotonic(), kind))


async def send_all_the_time(connection: SoakConnection, until_s: float) -> None:
    """Send requests until then, or until the connection ends; give up some of them."""
    source = connection.random
    while time.monotonic() < until_s and not connection.ended:
        connection.send()
        await asyncio.sleep(source.expovariate(1 / MEAN_GAP_S))
        if source.random() < INTERRUPT_SHARE:
            connection.interrupt_one()
        if source.random() < CLOSE_SHARE:
            connection.close()
    if not connection.has_sent:  # connected as the time was up; the router would answer that nothing came
        connection.close()


async def come_in_a_crowd(connection: SoakConnection, port: int) -> None:
    """Connect, send some requests at once, and wait for the answers."""
    with contextlib.suppress(OSError):
        await connection.connect(port)
        for _ in range(CROWD_REQUESTS):
            connection.send()
        until_s = time.monotonic() + CROWD_PATIENCE_S
        while connection.open and not connection.ended and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
