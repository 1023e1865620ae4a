"""Stand-in runners that speak the line protocol of PROTOCOL-maplestile.md and record what they get."""

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

LINE_LIMIT = 1 << 19


@dataclass(slots=True)
class Received:
    """One CALL that has arrived whole at a runner."""

    at_s: float  # by the monotonic clock
    runner: str
    cell: int
    tag: str
    class_name: str
    function: str
    once: str
    answer: str = ""  # the kind of the answer; empty if none was given
    answered_s: float = 0.0


@dataclass(slots=True)
class Runner:
    """One runner: a listening socket, and how it answers.

    `work` returns the kind of the answer and its body, after the time that the call takes. An empty kind
    gives no answer.
    """

    uid: str
    zone: str
    cell: int
    work: Callable[["Runner", dict[str, Any]], Awaitable[tuple[str, bytes]]]
    boot_ms: int = 0
    state: str = "Ready"
    weight: int = 4
    kind: str = "quad-std"
    port: int = 0
    calls: list[Received] = field(default_factory=list)
    loads: list[tuple[float, str]] = field(default_factory=list)  # arrival and function of each order to load
    held: dict[str, int] = field(default_factory=dict)  # calls held now, by function
    draining: bool = False  # answers new calls with 503, as a runner that drains
    server: asyncio.Server | None = None
    peers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=LINE_LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]

    def target(self) -> dict[str, Any]:
        """Return the runner as an entry of `known`."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": self.kind,
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": self.weight,
            "boot_ms": self.boot_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[str, asyncio.Task[None]] = {}
        self.peers.add(writer)
        try:
            while line := await reader.readline():
                self._receive(json.loads(line), tasks, writer)
        except (OSError, ValueError, asyncio.CancelledError):
            pass  # the connection or the case has ended
        finally:
            for task in list(tasks.values()):
                task.cancel()  # closing a connection gives up everything that is open on it
            self.peers.discard(writer)
            writer.close()

    def _receive(
        self, message: dict[str, Any], tasks: dict[str, asyncio.Task[None]], writer: asyncio.StreamWriter
    ) -> None:
        now_s = time.monotonic()
        kind, tag = message["kind"], str(message["call"])
        head = message.get("head") or {}
        if kind == "CANCEL":
            if task := tasks.pop(tag, None):
                task.cancel()
        elif kind == "CALL":
            once = str(head.get("once", ""))
            received = Received(now_s, self.uid, self.cell, tag, str(head["class"]), str(head["key"]), once)
            self.calls.append(received)
            task = asyncio.get_running_loop().create_task(self._run(received, message, writer))
            tasks[tag] = task
            task.add_done_callback(lambda _: tasks.pop(tag, None))
        elif kind == "LOAD":
            if int(head.get("units", 0)):
                self.loads.append((now_s, str(head["key"])))
            self._send(writer, {"kind": "200", "call": tag, "head": {"units": max(1, int(head["units"]))}})
        elif kind in ("PING", "STATS"):
            self._send(writer, {"kind": "alive", "call": tag, "stats": self._report()})

    async def _run(self, received: Received, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        function = received.function
        ahead = self.held.get(function, 0)
        self.held[function] = ahead + 1
        try:
            kind, body = ("503", b"") if self.draining else await self.work(self, message)
        finally:
            self.held[function] -= 1
        if not kind:
            return
        received.answer, received.answered_s = kind, time.monotonic()
        answer: dict[str, Any] = {"kind": kind, "call": received.tag}
        answer["head"] = {"stats": self._report()} | ({"ahead": ahead} if ahead else {})
        if body:
            answer["bytes"] = base64.b64encode(body).decode()
        self._send(writer, answer)

    def _report(self) -> str:
        return f"queue:{max(0, sum(self.held.values()) - self.weight)}"

    @staticmethod
    def _send(writer: asyncio.StreamWriter, answer: dict[str, Any]) -> None:
        with contextlib.suppress(OSError):
            writer.write(json.dumps(answer).encode() + b"\n")
