"""A fake worker: a TCP server that speaks the lines of a runner, and records what it gets."""

import base64
import json
import socket
import struct
import threading
from typing import Any


class Worker:
    """Runs what the command before the first colon of the body says: fail, hang, die, send raw bytes.

    Any other body is sent back in reverse. `ran` lists the calls that were run, `lines` every message.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self.ran: list[dict[str, Any]] = []
        self.lines: list[dict[str, Any]] = []
        self.open: list[socket.socket] = []
        self.pause = threading.Event()  # cleared, the worker reads nothing
        self.pause.set()
        threading.Thread(target=self._accept, daemon=True).start()

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
            for line in peer.makefile("rb"):
                self.pause.wait()
                if not line.endswith(b"\n"):
                    return  # cut off
                message = json.loads(line)
                self.lines.append(message)
                answer = self._answer(message)
                if isinstance(answer, bytes):
                    peer.sendall(answer)
                elif answer is not None:
                    peer.sendall(json.dumps(answer | {"call": message["call"]}).encode() + b"\n")
        except OSError:
            return

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
            body = 230_000 * b"x"
        if command == b"error":
            return {"kind": 500}
        return {"kind": 200, "head": {"ahead": "1"}, "bytes": base64.b64encode(body[::-1]).decode()}

    def die(self) -> None:
        """What a killed process leaves: no listener, and its connections reset."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for peer in self.open:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.shutdown(socket.SHUT_RD)
            peer.close()
