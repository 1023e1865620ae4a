"""A stand-in client of the platform's front: JSON-RPC over TCP, many requests on one connection."""

import asyncio
import base64
import contextlib
import json
import os
import time
from dataclasses import dataclass
from typing import Any

REFUSED = -32050
READING = set[asyncio.Task[None]]()  # the tasks that read answers, which would else be collected
SPARE_S = 0.5  # an answer may be so late and is not lost


@dataclass(slots=True)
class Asked:
    """One request and what came of it."""

    txn: str
    class_name: str
    sent_s: float
    end: str = ""  # served, refused, failed, or why there is no whole answer
    ended_s: float = 0.0
    body: bytes = b""


class Connection:
    """One connection to a router."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.pending: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.ended = False
        self.retired = False
        self._id = 0
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def open(self) -> "Connection":
        """Connect. Raises OSError."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        self._task = asyncio.get_running_loop().create_task(self._read(reader))
        READING.add(self._task)
        self._task.add_done_callback(READING.discard)
        return self

    def close(self) -> None:
        """Close the connection."""
        self.ended = True
        if self._writer is not None:
            self._writer.close()

    def retire(self) -> None:
        """Close the connection once no request is open on it."""
        self.retired = True
        if not self.pending:
            self.close()

    def send(self, method: str, params: dict[str, Any]) -> asyncio.Future[dict[str, Any]]:
        """Send a request; the future fails with ConnectionError if the connection ends before its answer."""
        assert self._writer is not None
        self._id += 1
        body = json.dumps({"jsonrpc": "2.0", "id": self._id, "method": method, "params": params}).encode()
        future: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()
        self.pending[self._id] = future
        self._writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        return future

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                answer = json.loads(await reader.readexactly(int(head.split(b":")[1])))
                future = self.pending.pop(answer.get("id"), None)
                if future is not None and not future.done():
                    future.set_result(answer)
                if self.retired and not self.pending:
                    break
        self.ended = True
        for future in self.pending.values():
            if not future.done():
                future.set_exception(ConnectionError("the connection ended"))
        if self._writer is not None:
            self._writer.close()


async def is_ready(port: int) -> bool:
    """Return whether the router answers the method `check` with ready."""
    try:
        connection = await Connection(port).open()
    except OSError:
        return False
    try:
        async with asyncio.timeout(1.0):
            answer = await connection.send("check", {})
        return bool(answer.get("result", {}).get("ready"))
    except (OSError, TimeoutError):
        return False
    finally:
        connection.close()


async def until_ready(port: int, patience_s: float = 20.0) -> None:
    """Wait until the router is ready. Raises TimeoutError."""
    async with asyncio.timeout(patience_s):
        while not await is_ready(port):  # noqa: ASYNC110 - asked over a socket
            await asyncio.sleep(0.05)


async def ask(
    connection: Connection, class_name: str, function: str, limit_s: float, body: bytes, **params: Any
) -> Asked:
    """Send one request and wait for its final answer, for its time and a little more."""
    asked = Asked(os.urandom(8).hex(), class_name, time.monotonic())
    fields = {
        "txn": asked.txn,
        "limit": int(limit_s * 1000),
        "item": function,
        "blob": base64.b64encode(body).decode(),
    }
    try:
        async with asyncio.timeout(limit_s + SPARE_S):
            answer = await connection.send(class_name, fields | params)
    except TimeoutError:
        asked.end = "no answer in its time"
    except OSError:
        asked.end = "the connection ended"
    else:
        if "result" in answer:
            asked.end, asked.body = "served", base64.b64decode(answer["result"]["blob"])
        else:
            asked.end = "refused" if answer["error"]["code"] == REFUSED else "failed"
    asked.ended_s = time.monotonic()
    return asked
