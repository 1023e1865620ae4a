"""Test doubles for what an agent works with: the replicated log, processes, routers and other agents."""

import asyncio
import contextlib
import json
import re
import socket
import threading
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from maplestile.agent.router_client import ListedRunner, OperatorReply
from maplestile.common.stream_server import start_stream_server
from maplestile.control.commands import Command, EncodedCommand, EncodedReply, Heartbeat, as_encoded, decode
from maplestile.control.errors import LogError
from maplestile.control.log_view import ReceivedHeartbeat, RouterStatus, VoterStatus
from maplestile.control.rollout_planner import HealthReport
from maplestile.control.state import ControlState
from tests.control_script import SCRIPT

PATIENCE_S = 30.0  # timeout of a wait in a test
PORT = re.compile(r"127\.0\.0\.1:[0-9]+")
MAX_LINE_BYTES = 1 << 20
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def without_ports(text: str) -> str:
    """Return the text with each loopback port replaced by PORT."""
    return PORT.sub("127.0.0.1:PORT", text)


class RecordingLog:
    """A replicated log without voters: it applies each command at once and records it."""

    def __init__(self, state: ControlState) -> None:
        self.state = state
        self.heartbeats: dict[str, ReceivedHeartbeat] = {}
        self.router_status: dict[str, RouterStatus] = {
            "a0": RouterStatus(1.5, {"r0": {"epoch": 2, "standing": "current"}})
        }
        self.submitted: list[dict[str, Any]] = []  # each command once
        self.is_leader = False
        self.error = ""  # text of the LogError that `submit` raises; "" for none

    def is_ready(self) -> bool:
        """Return True: the log can always be used."""
        return True

    def status(self) -> VoterStatus:
        """Return the status of voter a0."""
        return VoterStatus(voter="a0", leading=self.is_leader, leader="a0", term=3, index=9)

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await asyncio.Event().wait()

    async def submit(self, command: Command | EncodedCommand) -> EncodedReply:
        """Apply and record a command, or raise LogError if the test has set an error."""
        if self.error:
            raise LogError(self.error)
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
        return self.state.apply_encoded(command)


def control_after_script() -> ControlState:
    """Return the replicated state after all commands of the script."""
    control = ControlState()
    for command in SCRIPT:
        control.apply_encoded(command)
    return control


@contextlib.asynccontextmanager
async def serving(handler: Handler) -> AsyncIterator[int]:
    """Serve connections with the handler on a free port, and yield the port."""
    server = await start_stream_server(handler, "127.0.0.1", 0, MAX_LINE_BYTES)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


class RouterAnswer(NamedTuple):
    """The HTTP status and the body of a router's answer."""

    status: int
    body: str


ROUTER_ANSWERS = {  # by HTTP method and path
    "GET /v1/readyz": RouterAnswer(200, ""),
    "GET /v1/metrics": RouterAnswer(200, 'svc_success_total{class="safe"} 5\n'),
    "GET /v1/members": RouterAnswer(501, '{"detail": "membership is off"}'),
    "PUT /v1/runners/w0/suspend": RouterAnswer(204, ""),
    "PUT /v1/runners/w%200%2F%C3%A9/resume": RouterAnswer(204, ""),
}
NO_SUCH_RUNNER = RouterAnswer(404, '{"detail": "there is no such runner"}')


class RouterFront:
    """A router's operators' front that gives fixed answers and records the requests."""

    def __init__(self) -> None:
        self.requests = list[str]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request and close the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: ([0-9]+)", head)
        body = await reader.readexactly(int(length[1])) if length else b""
        self.requests.append(without_ports((head + body).decode()))
        line = head.split(b" HTTP/")[0].decode()
        status, answer = ROUTER_ANSWERS.get(line, NO_SUCH_RUNNER)
        length_line = "" if status == 204 else f"Content-Length: {len(answer.encode())}\r\n"
        writer.write(f"HTTP/1.1 {status} X\r\n{length_line}Connection: close\r\n\r\n{answer}".encode())
        await writer.drain()
        writer.close()


class ScriptedAgent:
    """An agent that answers each connection with the next of the given lines and records the requests."""

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
        """Stop accepting connections and wait until the thread has ended."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.thread.join()


class RecordingProcess:
    """Double of a router or runner process and of the router's client; every operation succeeds."""

    def __init__(self) -> None:
        self.is_adopted = False
        self.starts = 1
        self.has_process = True
        self.suspended_runners = {"w0": False}  # by runner id: whether the runner is suspended
        self.requests = list[object]()
        self.wants_document = False  # whether the next answer requests the policy's document

    async def drain(self) -> str:
        """End the process; return "" for a clean exit."""
        self.has_process = False
        return ""

    def start(self) -> None:
        """Start the process."""
        self.has_process = True

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.has_process

    def reload_settings(self) -> None:
        """Do nothing: there is no file to reload."""

    def restore_settings(self) -> None:
        """Do nothing: there are no earlier settings."""

    async def is_ready(self) -> bool:
        """Return whether the process runs."""
        return self.has_process

    async def fetch_health_report(self) -> HealthReport:
        """Return the report of a ready router that has served five calls and failed one."""
        return HealthReport(True, 5, 1)

    async def fetch_lost_members(self) -> set[str]:
        """Return an empty set: no member is lost."""
        return set()

    async def fetch_runners(self) -> dict[str, ListedRunner] | None:
        """Return the runners, none of which has an attempt in flight."""
        return {runner: ListedRunner(suspended, 0) for runner, suspended in self.suspended_runners.items()}

    async def set_suspended(self, runner: str, suspended: bool) -> bool:
        """Suspend or resume a runner."""
        self.suspended_runners[runner] = suspended
        return True

    async def send_request(
        self, method: str, path: str, content: bytes = b"", timeout_s: float = PATIENCE_S
    ) -> OperatorReply:
        """Record a request to the operators' front, and answer like a router that has applied the policy."""
        self.requests.append({"method": method, "path": path, "content": content.decode()})
        report = {"epoch": json.loads(content).get("epoch"), "standing": "current"}
        document_request = {"fetch": True} if self.wants_document else {}
        self.wants_document = False
        return OperatorReply(True, json.dumps(report | document_request), 200)


@dataclass(slots=True, frozen=True)
class RecordingRouter:
    """A router whose process and client are the same double."""

    process: RecordingProcess
    client: RecordingProcess


def recording_router() -> RecordingRouter:
    """Create a router with a new double."""
    process = RecordingProcess()
    return RecordingRouter(process, process)
