"""A JSON-RPC client of the platform front, on a blocking socket."""

import contextlib
import json
import os
import select
import socket
from collections.abc import Iterator
from typing import Any

from tests.standins.program import Program
from tests.standins.waiting import PATIENCE_S, eventually
from tests.standins.worker import in_base64

ITEM = "7f3a9c21e0b4d655"  # the function that calls name by default
REFUSED = -32050  # the JSON-RPC error code of a call that was rejected and may be retried


class Client:
    """One connection to the platform front."""

    def __init__(self, port: int, link: socket.socket | None = None) -> None:
        self.socket = link or socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S)
        self.file = self.socket.makefile("rb")
        self.id = 0
        self._unsent_bytes = b""
        self._is_buffering = False  # whether `send` leaves encoded messages for a later `flush`

    def send(self, method: str, params: dict[str, Any] | None = None, id_: int | None = None) -> int:
        """Send a request, and return its id."""
        self.id += 1
        body = {"jsonrpc": "2.0", "id": id_ or self.id, "method": method, "params": params or {}}
        content = json.dumps(body).encode()
        self._unsent_bytes += b"Content-Length: %d\r\n\r\n%b" % (len(content), content)
        if not self._is_buffering:
            self.flush()
        return id_ or self.id

    def flush(self) -> None:
        """Write all encoded messages that have not been sent."""
        unsent_bytes, self._unsent_bytes = self._unsent_bytes, b""
        self.socket.sendall(unsent_bytes)

    @contextlib.contextmanager
    def in_one_write(self) -> Iterator[None]:
        """Collect the messages that are sent in this context, and write them all at once at its end.

        The system delivers them as a whole or not at all, so that the program cannot read some of them and
        close the connection before the others arrive.
        """
        self._is_buffering = True
        yield
        self._is_buffering = False
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
        """Send a call, again after each rejection, and return the response.

        A router that lags on a busy machine rejects calls.
        """

        def try_call() -> dict[str, Any] | None:
            self.call(class_name, body, **params)
            answer = self.read() or {}
            return None if answer.get("error", {}).get("code") == REFUSED else answer

        answer: dict[str, Any] = eventually(try_call, "a call to be served")
        assert "result" in answer, answer
        return answer

    def call_until_sent(self, program: Program, class_name: str, body: bytes, **params: Any) -> int:
        """Send a call, wait until the program has sent it to a worker, and return its id.

        A call that is rejected, as by a router that lags on a busy machine, is sent again with a new id.
        """

        def try_call() -> int | None:
            rejected_before = program.counters().get("requests.shed", 0)
            id_ = self.call(class_name, body, **params)
            while not (counters := program.counters()).get("attempts.sent"):
                if counters.get("requests.shed", 0) > rejected_before:
                    self.read()
                    return None
            return id_

        id_: int = eventually(try_call, "a call to be sent to a worker")
        return id_

    def read(self) -> dict[str, Any] | None:
        """Read one message; return None if the connection has ended."""
        size = None
        while (line := self.file.readline()) not in (b"\r\n", b""):
            size = int(line.partition(b":")[2])
        if size is None:
            return None
        answer: dict[str, Any] = json.loads(self.file.read(size))
        return answer

    def has_input(self) -> bool:
        """Return whether a read would return at once: bytes have arrived, or the connection has ended."""
        return bool(select.select([self.socket], [], [], 0)[0])

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.socket.close()


def connect_idle_clients(port: int, count: int) -> list[Client]:
    """Connect clients, each of which has sent one request and read the response."""
    clients = [Client(port) for _ in range(count)]
    for client in clients:
        client.send("check")
        client.read()
    return clients
