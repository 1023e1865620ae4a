"""Stand-ins for the program's surroundings (workers, a name server, clients), and the program's process."""

import base64
import contextlib
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
ITEM = "7f3a9c21e0b4d655"
REFUSED = -32050
PATIENCE_S = 20.0  # how long a test waits for what must come; never a measure of speed


def eventually(true: Callable[[], Any], what: str = "it", patience_s: float = PATIENCE_S) -> Any:
    end = time.monotonic() + patience_s
    while not (found := true()):
        if time.monotonic() > end:
            raise AssertionError(f"waited in vain for {what}")
        time.sleep(0.01)
    return found


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


def name_bytes(name: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in name.split(".")) + b"\0"


def record(name: bytes, kind: int, data: bytes) -> bytes:
    return name + struct.pack("!HHIH", kind, 1, 0, len(data)) + data


class NameServer:
    """Answers with a whole list; `faults` says what to do with the next queries instead."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port: int = self.socket.getsockname()[1]
        self.serial, self.workers = 1, list[tuple[str, int, int]]()  # uid, port, priority
        self.started: dict[str, int] = {}  # Unix milliseconds of a late start, by uid
        self.faults: list[str] = []
        self.queries = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            query, peer = self.socket.recvfrom(512)
            self.queries += 1
            fault = self.faults.pop(0) if self.faults else ""
            if fault == "lost":
                continue
            flags = 0x8600 if fault == "cut" else 0x8400
            answer, extra = b"", b""
            for uid, port, priority in self.workers:
                host = name_bytes(f"{uid}.east.hosts")
                answer += record(b"\xc0\x0c", 33, struct.pack("!3H", priority, 40, port) + host)
                extra += record(host, 1, bytes([127, 0, 0, 1]))
                texts = b"kind=std", b"cell=2", b"started=%d" % self.started.get(uid, 0)
                extra += record(host, 16, b"".join(bytes([len(t)]) + t for t in texts))
            soa = record(b"\xc0\x0c", 6, b"\0\0" + struct.pack("!5I", self.serial, 0, 0, 0, 0))
            count = len(self.workers)
            head = struct.pack("!6H", int.from_bytes(query[:2]), flags, 1, count, 1, 2 * count)
            self.socket.sendto(head + query[12:] + answer + soa + extra, peer)


class Program:
    """The real program as a process; its log is read all the time."""

    def __init__(self, *arguments: str, **environment: str) -> None:
        self.log: list[str] = []
        self.ports: dict[str, int] = {}
        self.file = Path(arguments[-1] if arguments else "")
        env = {**os.environ, **environment, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "maplestile", *arguments],
            stderr=subprocess.PIPE,
            text=True,
            env=env,
            cwd=ROOT,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        self.log.extend(iter(self.process.stderr.readline, ""))

    def find(self, pattern: str) -> str:
        def look() -> str | None:
            found = (re.search(pattern, line) for line in list(self.log))
            return next((match[1] for match in found if match), None)

        return str(eventually(look, f"{pattern} in {self.log}"))

    def port(self, front: str) -> int:
        if front not in self.ports:  # the log may have been cleared since
            self.ports[front] = int(self.find(rf"{front} front listens on 127\.0\.0\.1:(\d+)"))
        return self.ports[front]

    def counters(self) -> dict[str, int]:
        self.log.clear()
        self.process.send_signal(signal.SIGUSR1)
        counters: dict[str, int] = json.loads(self.find(r'^(\{"counters".*)'))["counters"]
        return counters

    def stop(self) -> int:
        self.process.terminate()
        return self.process.wait(PATIENCE_S)

    def reload(self, change: Callable[[str], str]) -> dict[str, Any]:
        """Replace the configuration and send SIGHUP; what the program says of it."""
        self.log.clear()
        self.file.write_text(change(self.file.read_text()))
        self.process.send_signal(signal.SIGHUP)
        report: dict[str, Any] = json.loads(self.find(r'^(\{"reload".*)'))["reload"]
        return report

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
        if self.process.stderr is not None:
            self.process.stderr.close()


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

    def call_until_sent(self, program: "Program", class_name: str, body: bytes, **params: Any) -> int:
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


def params(**changes: Any) -> dict[str, Any]:
    """Settings in the platform's form, made up here."""
    grade = {"aimUs": 4_000_000, "deadlineUs": 15_000_000, "keyScope": "all", "windowUs": 4_000_000}
    kinds = {"review": "free", "deck-make": "guarded", "test-submit": "single_shot"}
    return {
        "grades": [grade | {"name": name, "semantics": kind} for name, kind in kinds.items()],
        "instances": 1,
        "granularityUs": 4000,
        "discovery": "push",
        "kinds": ["std"],
        "familyInfo": {
            "orders": True,
            "lingerIdleUs": 9_000_000,
            "machineMb": [8000],
            "answerWithinUs": 9_000_000,
            "whenAbsent": "load",
        },
        "limits": {
            "attemptsCap": 5,
            "cancelling": True,
            "mayDuplicate": True,
            "probes": True,
            "idleCloseUs": 15_000_000,
            "connectTimeoutUs": 2_000_000,
        },
        "guarantees": {
            "answerSlackUs": 16_000,
            "coldUs": 9_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 4.0,
            "overloadForUs": 2_000_000,
            "startCapacity": 0.16,
        },
    } | changes


def target(uid: str, port: int, state: str = "Ready") -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "east",
        "model": "std",
        "pod_group": 2,
        "state": state,
        "capacity_hint": 4,
        "boot_ms": 0,
    }


def node(
    workers: list[Worker], names: NameServer, folder: str = "", port: int = 0, **changes: Any
) -> Program:
    """The program as the platform starts it; with a folder of its own also an address for operators."""
    targets = [target(f"s-{n}", worker.port) for n, worker in enumerate(workers)]
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"all": True, "targets": targets}}]}
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "seed": os.urandom(8).hex(),
        "known": known,
        "limits": {"sockets": 256},
        "dns": f"127.0.0.1:{names.port}",
        "settings": params(**changes),
    }
    file = Path(tempfile.mkdtemp()) / "config.json"
    file.write_text(json.dumps(config))
    environment = {"TMPDIR": folder, "NODE_OPERATOR": "127.0.0.1:0"} if folder else {}
    program = Program(NODE_CONFIG=str(file), **environment)
    program.file = file
    return program
