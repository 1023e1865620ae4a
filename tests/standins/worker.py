"""A fake worker: a TCP server that speaks the lines of a runner, and records what it gets."""

import base64
import json
import socket
import struct
import threading
from collections.abc import Iterator
from typing import Any

LONG_ANSWER_BYTES = 230_000
READ_BYTES = 1 << 16


def in_base64(data: bytes) -> str:
    """Encode as clients and workers encode bodies and results."""
    return base64.b64encode(data).decode()


class Worker:
    """Accepts connections of routers in threads of its own, and answers their messages.

    What it does with a call is the part of the body before the first colon: `full` rejects it, `error`
    fails it, `hang` never answers, `die` ends as a killed process does, `long` answers `LONG_ANSWER_BYTES`,
    and `raw` sends the rest of the body as it is, with the call's tag for `TAG`. Any other body is sent back
    in reverse. `ran` lists the calls that were run, `lines` every message.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self.ran: list[dict[str, Any]] = []
        self.lines: list[dict[str, Any]] = []
        self.open: list[socket.socket] = []
        self._may_read = threading.Event()
        self._may_read.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def pause(self) -> None:
        """Handle no further line, and read nothing from the next read on."""
        self._may_read.clear()

    def resume(self) -> None:
        """Read on after a pause."""
        self._may_read.set()

    def _accept(self) -> None:
        while True:
            try:
                peer = self.listener.accept()[0]
            except OSError:
                return
            self.open.append(peer)
            threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def _serve(self, peer: socket.socket) -> None:
        try:
            for line in self._read_lines(peer):
                self._may_read.wait()
                message = json.loads(line)
                self.lines.append(message)
                answer = self._answer(message)
                if isinstance(answer, bytes):
                    peer.sendall(answer)
                elif answer is not None:
                    peer.sendall(json.dumps(answer | {"call": message["call"]}).encode() + b"\n")
        except OSError:
            return

    def _read_lines(self, peer: socket.socket) -> Iterator[bytes]:
        """Yield the whole lines of a connection, up to its end."""
        parts = list[bytes]()  # of a line that is not whole yet
        while True:
            self._may_read.wait()
            data = self._receive(peer)
            if not data:
                return
            *line_ends, rest = data.split(b"\n")
            for line_end in line_ends:
                yield b"".join((*parts, line_end))
                parts.clear()
            parts.append(rest)

    def _receive(self, peer: socket.socket) -> bytes:
        """Return the next bytes of a connection, none at its end."""
        return peer.recv(READ_BYTES)

    def _answer(self, message: dict[str, Any]) -> dict[str, Any] | bytes | None:
        if message["kind"] == "LOAD":
            return {"kind": "200", "head": {"units": str(max(1, message["head"]["units"]))}}
        if message["kind"] == "STATS":
            return {"kind": "200"}
        if message["kind"] != "CALL":
            return None
        body = base64.b64decode(message["bytes"])
        command = body.split(b":")[0]
        if command == b"full":
            return {"kind": "503"}
        self.ran.append(message)
        if command == b"raw":
            return body[4:].replace(b"TAG", message["call"].encode())
        if command == b"die":
            self.die()
        if command in (b"die", b"hang"):
            return None
        if command == b"long":
            body = LONG_ANSWER_BYTES * b"x"
        if command == b"error":
            return {"kind": 500}
        return {"kind": 200, "head": {"ahead": "1"}, "bytes": in_base64(body[::-1])}

    def die(self) -> None:
        """Leave what a killed process leaves: no listener, and its connections reset."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for peer in self.open:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.shutdown(socket.SHUT_RD)
            peer.close()


class HoldingWorker(Worker):
    """Holds each connection before its handshake, until `accept_connections` is called."""

    def __init__(self) -> None:
        self._may_accept = threading.Event()
        super().__init__()

    def accept_connections(self) -> None:
        """Let the handshakes of the connections that wait go on."""
        self._may_accept.set()
        self._queued.close()

    def _accept(self) -> None:
        self.listener.listen(0)
        self._queued = socket.create_connection(("127.0.0.1", self.port))  # the queue is full with this one
        self._may_accept.wait()
        super()._accept()


def call_lines(*workers: Worker) -> list[dict[str, Any]]:
    """Return the calls that the workers received, run or not."""
    return [line for worker in workers for line in list(worker.lines) if line["kind"] == "CALL"]
