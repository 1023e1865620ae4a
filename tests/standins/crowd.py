"""Many client connections at once, on non-blocking sockets, that send what no usual client sends."""

import contextlib
import json
import os
import socket
import time
from typing import Any

from tests.standins.client import ITEM

WAVE_S = 0.8  # for which a wave of a crowd stays


def encoded_call(body_characters: int, number: int = 1, **params: Any) -> bytes:
    """Encode a call with a body of that many characters of base64, and further parameters."""
    fields = {"txn": os.urandom(8).hex(), "limit": 3_000, "item": ITEM, "blob": "A" * body_characters}
    message = {"jsonrpc": "2.0", "id": number, "method": "review", "params": fields | params}
    content = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(content), content)


class Crowd:
    """Connections that are opened at once; what a socket does not take is not sent."""

    def __init__(self, port: int, count: int) -> None:
        self.sockets = list[socket.socket]()
        for _ in range(count):
            link = socket.create_connection(("127.0.0.1", port))
            link.setblocking(False)
            self.sockets.append(link)

    def send(self, data: bytes) -> None:
        """Send the same bytes on each connection."""
        for link in self.sockets:
            with contextlib.suppress(OSError):
                link.send(data)

    def send_slowly(self, data: bytes, piece_bytes: int, seconds: float) -> None:
        """Send bytes on each connection, one piece at a time in turn, for that long at most."""
        until_s = time.monotonic() + seconds
        for start in range(0, len(data), piece_bytes):
            if time.monotonic() > until_s:
                return
            self.send(data[start : start + piece_bytes])

    def close(self) -> None:
        """Close all connections."""
        for link in self.sockets:
            link.close()
