"""Stands in for a runner: the line protocol of the runners, with a record of what arrived and what ran."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from standins.record import Record

HOST = "127.0.0.1"
LINE_BYTES = 1 << 20


@dataclass
class Call:
    """One call that has arrived whole."""

    tag: str
    head: dict[str, Any]
    body: bytes
    arrived_s: float  # Unix time
    has_run: bool = False  # the work was done to its end


@dataclass
class Answer:
    """The answer to a call; one that is `lost` never leaves the runner."""

    kind: str
    body: bytes = b""
    lost: bool = False


Behaviour = Callable[[Call], Awaitable[Answer]]  # does the work of a call
Tasks = dict[str, asyncio.Task[None]]  # the calls at work on one connection, by tag


@dataclass
class Runner:
    """One runner. A call that is cancelled, or whose connection ends, stops before its work is done."""

    uid: str
    record: Record
    behaviour: Behaviour
    port: int = 0
    calls: list[Call] = field(default_factory=list)
    open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> "Runner":
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=LINE_BYTES)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def reset_connections(self) -> None:
        """Reset all connections; the case calls this while they are idle."""
        for writer in self.open:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: Tasks = {}
        self.open.add(writer)
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                self._handle(json.loads(line), writer, tasks)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self.open.discard(writer)
            writer.close()

    def _handle(self, message: dict[str, Any], writer: asyncio.StreamWriter, tasks: Tasks) -> None:
        kind, tag, head = message["kind"], message["call"], message.get("head") or {}
        match kind:
            case "CALL":
                call = Call(tag, head, base64.b64decode(message.get("bytes", "")), time.time())
                self.calls.append(call)
                key = f", key {head['once']}" if "once" in head else ""
                self.record.write(f"{self.uid}: call {tag} of class {head['class']} arrived{key}")
                tasks[tag] = asyncio.get_running_loop().create_task(self._run(call, writer))
            case "CANCEL":
                self.record.write(f"{self.uid}: cancel of {tag} arrived")
                if tag in tasks:
                    tasks[tag].cancel()
            case "LOAD":
                _write(writer, {"kind": "200", "call": tag, "head": {"units": max(1, int(head["units"]))}})
            case "PING" | "STATS":
                _write(writer, {"kind": "alive", "call": tag, "head": {"stats": "queue:0"}})

    async def _run(self, call: Call, writer: asyncio.StreamWriter) -> None:
        answer = await self.behaviour(call)
        if answer.kind == "200":
            call.has_run = True
            self.record.write(f"{self.uid}: RAN {call.tag} of class {call.head['class']}")
        if answer.lost:
            self.record.write(f"{self.uid}: the answer to {call.tag} is lost")
            return
        self.record.write(f"{self.uid}: answers {answer.kind} to {call.tag}")
        body = {"bytes": base64.b64encode(answer.body).decode()} if answer.kind == "200" else {}
        _write(writer, {"kind": answer.kind, "call": call.tag, "head": {"stats": "queue:0"}} | body)


def _write(writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
    if not writer.is_closing():
        writer.write(json.dumps(message).encode() + b"\n")
