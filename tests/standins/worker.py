"""A fake worker: a TCP server that speaks the runners' line protocol and records what it receives."""

import base64
import json
import socket
import threading
from collections.abc import Iterator
from typing import Any

from tests.standins.resets import reset_on_close

LONG_ANSWER_BYTES = 230_000
READ_BYTES = 1 << 16


def in_base64(data: bytes) -> str:
    """Encode bytes in base64, as clients and workers encode bodies and results."""
    return base64.b64encode(data).decode()


class Worker:
    """Accepts connections of routers, each in a thread, and answers their messages.

    The part of a call's body before the first colon says what to do: `full` rejects the call, `error` fails
    it, `hang` never answers, `die` closes all sockets as if the process had been killed, `long` answers with
    `LONG_ANSWER_BYTES` bytes, and `raw` sends the rest of the body, with the call's tag in place of `TAG`.
    Any other body is sent back reversed. `ran` lists the calls that were run, `lines` all messages.
    """

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port: int = self.listener.getsockname()[1]
        self.ran: list[dict[str, Any]] = []
        self.lines: list[dict[str, Any]] = []
        self.open: list[socket.socket] = []
        self._reading_allowed = threading.Event()
        self._reading_allowed.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def pause(self) -> None:
        """Stop handling lines, and stop reading once the reads in progress have returned."""
        self._reading_allowed.clear()

    def resume(self) -> None:
        """Handle and read lines again after `pause`."""
        self._reading_allowed.set()

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
                self._reading_allowed.wait()
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
        """Yield each complete line of a connection until the connection ends."""
        parts = list[bytes]()  # of a line that is not complete yet
        while True:
            self._reading_allowed.wait()
            data = self._receive(peer)
            if not data:
                return
            *line_tails, rest = data.split(b"\n")
            for line_tail in line_tails:
                yield b"".join((*parts, line_tail))
                parts.clear()
            parts.append(rest)

    def _receive(self, peer: socket.socket) -> bytes:
        """Return the next bytes of a connection, empty at its end."""
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
        """Close the listener and reset all connections, as the system does when a process is killed."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for peer in self.open:
            reset_on_close(peer)
            peer.shutdown(socket.SHUT_RD)
            peer.close()


class HoldingWorker(Worker):
    """A worker that lets no TCP handshake complete until `accept_connections` is called."""

    def __init__(self) -> None:
        self._accepting_allowed = threading.Event()
        super().__init__()

    def accept_connections(self) -> None:
        """Let the waiting connections complete their handshakes."""
        self._accepting_allowed.set()
        self._queue_filler.close()

    def _accept(self) -> None:
        self.listener.listen(0)
        # This connection fills the accept queue, which has a backlog of 0.
        self._queue_filler = socket.create_connection(("127.0.0.1", self.port))
        self._accepting_allowed.wait()
        super()._accept()


def call_lines(*workers: Worker) -> list[dict[str, Any]]:
    """Return the call messages that the workers received, including those of calls that were not run."""
    return [line for worker in workers for line in list(worker.lines) if line["kind"] == "CALL"]
