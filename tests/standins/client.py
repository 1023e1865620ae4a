"""A JSON-RPC client of the platform's front, on a blocking socket."""

import base64
import contextlib
import json
import os
import socket
from collections.abc import Iterator
from typing import Any

from tests.standins.program import Program
from tests.standins.waiting import PATIENCE_S, eventually

ITEM = "7f3a9c21e0b4d655"
REFUSED = -32050  # the JSON-RPC error code of a call that was rejected and may be retried


class Client:
    """A JSON-RPC client of the platform's front."""

    def __init__(self, port: int, link: socket.socket | None = None) -> None:
        self.socket = link or socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)
        self.file = self.socket.makefile("rb")
        self.id = 0
        self.held, self.holding = b"", False

    def send(self, method: str, params: dict[str, Any] | None = None, id_: int | None = None) -> int:
        self.id += 1
        body = {"jsonrpc": "2.0", "id": id_ or self.id, "method": method, "params": params or {}}
        text = json.dumps(body).encode()
        self.held += b"Content-Length: %d\r\n\r\n%b" % (len(text), text)
        if not self.holding:
            self.flush()
        return id_ or self.id

    def flush(self) -> None:
        held, self.held = self.held, b""
        self.socket.sendall(held)

    @contextlib.contextmanager
    def together(self) -> Iterator[None]:
        """What is sent within goes out in one piece at its end.

        The system delivers it as a whole or not at all, so that the program never takes a part of it and ends
        the connection before the rest.
        """
        self.holding = True
        yield
        self.holding = False
        self.flush()

    def call(self, class_name: str, body: bytes, limit_ms: int = 10_000, **params: Any) -> int:
        defaults = {
            "txn": os.urandom(8).hex(),
            "limit": limit_ms,
            "item": ITEM,
            "info": "memory_mb:100;lanes:4",
            "blob": base64.b64encode(body).decode(),
        }
        return self.send(class_name, defaults | params)

    def served(self, class_name: str, body: bytes, **params: Any) -> dict[str, Any]:
        """The answer of a call that is served: one refused, as for lag on a busy machine, comes again."""

        def once() -> dict[str, Any] | None:
            self.call(class_name, body, **params)
            answer = self.read() or {}
            return None if answer.get("error", {}).get("code") == REFUSED else answer

        answer: dict[str, Any] = eventually(once, "service")
        assert "result" in answer, answer
        return answer

    def call_until_sent(self, program: Program, class_name: str, body: bytes, **params: Any) -> int:
        """The id of a call that has an attempt: one refused, as for lag on a busy machine, comes again."""

        def once() -> int | None:
            refused_before = program.counters().get("requests.shed", 0)
            id_ = self.call(class_name, body, **params)
            while not (counters := program.counters()).get("attempts.sent"):
                if counters.get("requests.shed", 0) > refused_before:
                    self.read()
                    return None
            return id_

        id_: int = eventually(once, "an attempt")
        return id_

    def read(self) -> dict[str, Any] | None:
        size = None
        while (line := self.file.readline()) not in (b"\r\n", b""):
            size = int(line.partition(b":")[2])
        if size is None:
            return None
        answer: dict[str, Any] = json.loads(self.file.read(size))
        return answer

    def close(self) -> None:
        self.file.close()
        self.socket.close()
