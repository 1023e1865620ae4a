"""Test doubles around an agent: its replicated log, its processes and routers, and agents that it asks."""

import asyncio
import contextlib
import json
import re
import socket
import threading
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from maplestile.agent.router_client import ListedRunner, OperatorReply
from maplestile.control.commands import Command, EncodedCommand, EncodedReply, Heartbeat, as_encoded, decode
from maplestile.control.errors import LogError
from maplestile.control.log_view import ReceivedHeartbeat, RouterStatus, VoterStatus
from maplestile.control.rollout_planner import HealthReport
from maplestile.control.state import ControlState
from tests.control_script import SCRIPT

PATIENCE_S = 30.0
PORT = re.compile(r"127\.0\.0\.1:[0-9]+")
LINE_BYTES = 1 << 20
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def without_ports(text: str) -> str:
    return PORT.sub("127.0.0.1:PORT", text)


class RecordingLog:
    """An agreed state with no cluster behind it, which keeps the commands that were put into it."""

    def __init__(self, control: ControlState) -> None:
        self.control = control
        self.heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.router_status: dict[str, RouterStatus] = {
            "a0": RouterStatus(1.5, {"r0": {"epoch": 2, "standing": "current"}})
        }
        self.submitted: list[dict[str, Any]] = []
        self.leads = False
        self.fault = ""

    def ready(self) -> bool:
        return True

    def status(self) -> VoterStatus:
        return VoterStatus(voter="a0", leading=self.leads, leader="a0", term=3, index=9)

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        if self.fault:
            raise LogError(self.fault)
        return self._apply(as_encoded(command))

    def _apply(self, command: EncodedCommand) -> EncodedReply:
        if command not in self.submitted:
            self.submitted.append(json.loads(json.dumps(command)))
        decoded = decode(command) if command["do"] == "word" else None
        if isinstance(decoded, Heartbeat):
            last = self.heartbeats.get(decoded.agent)
            number = 1 if last is None else last.number + 1
            self.heartbeats[decoded.agent] = ReceivedHeartbeat(number, decoded.reports)
            return {"ok": True}
        return self.control.apply_encoded(command)


def control_after_script() -> ControlState:
    control = ControlState()
    for command in SCRIPT:
        control.apply_encoded(command)
    return control


@contextlib.asynccontextmanager
async def serving(handler: Handler) -> Any:
    server = await asyncio.start_server(handler, "127.0.0.1", 0, limit=LINE_BYTES)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


ROUTER_ANSWERS = {
    "GET /v1/readyz": (200, ""),
    "GET /v1/metrics": (200, 'svc_success_total{class="safe"} 5\n'),
    "GET /v1/members": (501, '{"detail": "membership is off"}'),
    "PUT /v1/runners/w0/suspend": (204, ""),
    "PUT /v1/runners/w%200%2F%C3%A9/resume": (204, ""),
}


class RouterFront:
    """A router's operators' front: keeps the requests as they came."""

    def __init__(self) -> None:
        self.requests = list[str]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: ([0-9]+)", head)
        body = await reader.readexactly(int(length[1])) if length else b""
        self.requests.append(without_ports((head + body).decode()))
        line = head.split(b" HTTP/")[0].decode()
        status, answer = ROUTER_ANSWERS.get(line, (404, '{"detail": "there is no such runner"}'))
        length_line = "" if status == 204 else f"Content-Length: {len(answer.encode())}\r\n"
        writer.write(f"HTTP/1.1 {status} X\r\n{length_line}Connection: close\r\n\r\n{answer}".encode())
        await writer.drain()
        writer.close()


class ScriptedAgent:
    """Answers each connection with the next of the given lines, and keeps the lines that it was sent."""

    def __init__(self, answers: list[bytes]) -> None:
        self.answers = answers
        self.lines = list[str]()
        self.socket = socket.create_server(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self) -> None:
        for answer in self.answers:
            try:
                peer, _ = self.socket.accept()
            except OSError:
                return
            with peer, peer.makefile("rb") as file:
                self.lines.append(file.readline().decode())
                peer.sendall(answer)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.thread.join()


class RecordingProcess:
    """A process, a router and a runner's process alike, in which each step succeeds."""

    def __init__(self) -> None:
        self.adopted = False
        self.starts = 1
        self.up = True
        self.suspended = {"w0": False}
        self.requests = list[object]()
        self.fetch = False

    async def drain(self) -> str:
        self.up = False
        return ""

    def start(self) -> None:
        self.up = True

    def running(self) -> bool:
        return self.up

    def renew(self) -> None:
        pass

    def restore(self) -> None:
        pass

    async def ready(self) -> bool:
        return self.up

    async def health_report(self) -> HealthReport:
        return HealthReport(True, 5, 1)

    async def lost_members(self) -> set[str]:
        return set()

    async def runners(self) -> dict[str, ListedRunner] | None:
        return {runner: ListedRunner(out, 0) for runner, out in self.suspended.items()}

    async def suspend(self, runner: str, out: bool) -> bool:
        self.suspended[runner] = out
        return True

    async def operate(
        self, method: str, path: str, content: bytes = b"", wait_s: float = PATIENCE_S
    ) -> OperatorReply:
        self.requests.append({"method": method, "path": path, "content": content.decode()})
        report = {"epoch": json.loads(content).get("epoch"), "standing": "current"}
        fetch = {"fetch": True} if self.fetch else {}
        self.fetch = False
        return OperatorReply(True, json.dumps(report | fetch), 200)


@dataclass(slots=True, frozen=True)
class RecordingRouter:
    """A router whose process and operators' front are one recording."""

    process: RecordingProcess
    client: RecordingProcess


def recording_router() -> RecordingRouter:
    process = RecordingProcess()
    return RecordingRouter(process, process)
