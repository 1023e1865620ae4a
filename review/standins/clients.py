"""Stands in for the platform's clients: JSON-RPC over TCP, many requests on one connection."""

import asyncio
import base64
import json
import secrets
import time
from dataclasses import dataclass, field
from typing import Any

from standins.record import Record

HOST = "127.0.0.1"
READ_BYTES = 65_536
REFUSED = -32050
TXN_BYTES = 8


@dataclass
class Request:
    """One request, and what its client saw of it; times are Unix times."""

    txn: str
    class_name: str
    body: bytes
    sent_s: float
    outcome: str = ""  # "served", "refused" or "failed"; empty while there is no whole answer
    answer: bytes = b""  # the body of the result
    lost_s: float = 0.0  # when its connection ended without a whole answer; 0 if it did not
    done: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(eq=False)
class Connection:
    """One connection of a client to a router; the client never ends it while a request is open."""

    name: str
    record: Record
    port: int
    tenant: str = "shapla-tutors"
    open: dict[int, Request] = field(default_factory=dict)  # by JSON-RPC id
    last_id: int = 0
    writer: asyncio.StreamWriter | None = None
    task: asyncio.Task[None] | None = None

    async def connect(self) -> "Connection":
        """Connect. Raises OSError."""
        reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.task = asyncio.get_running_loop().create_task(self._read(reader))
        return self

    def send(self, class_name: str, function: str, body: bytes, limit_s: float, txn: str = "") -> Request:
        """Send one request, under a new `txn` if none is given."""
        assert self.writer is not None
        self.last_id += 1
        txn = txn or secrets.token_hex(TXN_BYTES)
        params = {
            "txn": txn,
            "limit": int(limit_s * 1000),
            "team": self.tenant,
            "item": function,
            "cpu": 100.0,
            "info": "memory_mb:2400;lanes:4",
            "blob": base64.b64encode(body).decode(),
        }
        message = {"jsonrpc": "2.0", "id": self.last_id, "method": class_name, "params": params}
        encoded = json.dumps(message).encode()
        request = self.open[self.last_id] = Request(txn, class_name, body, time.time())
        self.record.write(f"{self.name}: sends {class_name} {txn}, body {body.decode()!r}")
        self.writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(encoded), encoded))
        return request

    def close(self) -> None:
        """End the connection."""
        if self.task is not None:
            self.task.cancel()
        if self.writer is not None:
            self.writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        buffer = b""
        how = "closed"
        try:
            while data := await reader.read(READ_BYTES):
                buffer = self._take_whole(buffer + data)
        except OSError as error:
            how = type(error).__name__
        self._end(how)

    def _end(self, how: str) -> None:
        unanswered = ", ".join(request.txn for request in self.open.values()) or "none"
        self.record.write(f"{self.name}: its connection has ended ({how}); unanswered: {unanswered}")
        for request in self.open.values():
            request.lost_s = time.time()
            request.done.set()
        if self.writer is not None:
            self.writer.close()

    def _take_whole(self, buffer: bytes) -> bytes:
        """Take the whole answers in the buffer, and return the rest."""
        while (end := buffer.find(b"\r\n\r\n")) >= 0:
            start = end + len(b"\r\n\r\n")
            size = int(buffer[:end].split(b":")[1])
            if len(buffer) < start + size:
                break
            self._take(json.loads(buffer[start : start + size]))
            buffer = buffer[start + size :]
        return buffer

    def _take(self, message: dict[str, Any]) -> None:
        request = self.open.pop(message["id"] or 0, None)
        if request is None:
            self.record.write(f"{self.name}: an answer to nothing that is open: {message}")
            return
        if "result" in message:
            request.outcome = "served"
            request.answer = base64.b64decode(message["result"]["blob"])
        else:
            request.outcome = "refused" if message["error"]["code"] == REFUSED else "failed"
        self.record.write(f"{self.name}: {request.txn} {request.outcome}, body {request.answer.decode()!r}")
        request.done.set()
