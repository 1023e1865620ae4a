"""A JSON-RPC client of the platform's front, on a blocking socket."""

import contextlib
import json
import os
import socket
from collections.abc import Iterator
from typing import Any

from tests.standins.program import Program
from tests.standins.waiting import PATIENCE_S, eventually
from tests.standins.worker import in_base64

ITEM = "7f3a9c21e0b4d655"
REFUSED = -32050  # the JSON-RPC error code of a call that was rejected and may be retried


class Client:
    """One connection to the platform's front."""

    def __init__(self, port: int, link: socket.socket | None = None) -> None:
        self.socket = link or socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)
        self.file = self.socket.makefile("rb")
        self.id = 0
        self._unsent = b""
        self._buffers = False  # whether `send` leaves what it encodes for `flush`

    def send(self, method: str, params: dict[str, Any] | None = None, id_: int | None = None) -> int:
        """Send a message, and return its id."""
        self.id += 1
        body = {"jsonrpc": "2.0", "id": id_ or self.id, "method": method, "params": params or {}}
        text = json.dumps(body).encode()
        self._unsent += b"Content-Length: %d\r\n\r\n%b" % (len(text), text)
        if not self._buffers:
            self.flush()
        return id_ or self.id

    def flush(self) -> None:
        """Write what has been encoded."""
        unsent, self._unsent = self._unsent, b""
        self.socket.sendall(unsent)

    @contextlib.contextmanager
    def in_one_write(self) -> Iterator[None]:
        """Write all that is sent in this context in one piece at its end.

        The system delivers it as a whole or not at all, so that the program never takes a part of it and ends
        the connection before the rest.
        """
        self._buffers = True
        yield
        self._buffers = False
        self.flush()

    def call(self, class_name: str, body: bytes, limit_ms: int = 10_000, **params: Any) -> int:
        """Send a call, and return its id."""
        defaults = {
            "txn": os.urandom(8).hex(),
            "limit": limit_ms,
            "item": ITEM,
            "info": "memory_mb:100;lanes:4",
            "blob": in_base64(body),
        }
        return self.send(class_name, defaults | params)

    def call_until_served(self, class_name: str, body: bytes, **params: Any) -> dict[str, Any]:
        """Call until it is not refused, as for lag on a busy machine, and return its result."""

        def call_once() -> dict[str, Any] | None:
            self.call(class_name, body, **params)
            answer = self.read() or {}
            return None if answer.get("error", {}).get("code") == REFUSED else answer

        answer: dict[str, Any] = eventually(call_once, "service")
        assert "result" in answer, answer
        return answer

    def call_until_sent(self, program: Program, class_name: str, body: bytes, **params: Any) -> int:
        """Call until it is sent to a worker, and not refused as for lag on a busy machine; return its id."""

        def call_once() -> int | None:
            refused_before = program.counters().get("requests.shed", 0)
            id_ = self.call(class_name, body, **params)
            while not (counters := program.counters()).get("attempts.sent"):
                if counters.get("requests.shed", 0) > refused_before:
                    self.read()
                    return None
            return id_

        id_: int = eventually(call_once, "an attempt")
        return id_

    def read(self) -> dict[str, Any] | None:
        """Read one message; None where the connection has ended."""
        size = None
        while (line := self.file.readline()) not in (b"\r\n", b""):
            size = int(line.partition(b":")[2])
        if size is None:
            return None
        answer: dict[str, Any] = json.loads(self.file.read(size))
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.socket.close()


def connect_idle_clients(port: int, count: int) -> list[Client]:
    """Connect clients that have sent one request each, and have its answer."""
    clients = [Client(port) for _ in range(count)]
    for client in clients:
        client.send("check")
        client.read()
    return clients
