"""Records the lines of an agent: what the command line and other agents ask of it and its answers, and what
it asks of its routers and puts into the replicated log."""

import asyncio
import contextlib
import io
import json
import re
import socket
import tempfile
import threading
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

from maplestile.agent import supervisor as agent
from maplestile.agent.policy_controller import Known, PolicyController
from maplestile.agent.rollout_controller import RolloutController
from maplestile.control.policy.document import PolicyError
from maplestile.control.raft_log import LogError
from maplestile.control.remote_log import RemoteLog
from maplestile.control.rollout_planner import HealthReport
from maplestile.control.state import ControlState, Phase
from maplestile.router.policy_driver import monotonic_us
from maplestile.tools import cli
from tests.control_script import DOCUMENT, POLICY_CHANGES, REGISTRATIONS, SCRIPT
from tests.recordings import NOBODY, agent_plan, as_lines
from tests.test_policy import Rig

PATIENCE_S = 30.0
PORT = re.compile(r"127\.0\.0\.1:[0-9]+")
AGE = re.compile(r'"for_s": [0-9.]+')
STALE = re.compile(r'"stale_s": [0-9.]+')
LINE_BYTES = 1 << 20
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def without_ports(text: str) -> str:
    return PORT.sub("127.0.0.1:PORT", text)


class RecordingPlane:
    """An agreed state with no cluster behind it, which keeps the commands that were put into it."""

    def __init__(self, control: ControlState) -> None:
        self.control = control
        self.words: dict[str, tuple[int, dict[str, Any]]] = {}
        self.told: dict[str, tuple[float, dict[str, Any]]] = {
            "a0": (1.5, {"r0": {"epoch": 2, "standing": "current"}})
        }
        self.submitted: list[dict[str, Any]] = []
        self.leads, self.fault = False, ""

    def ready(self) -> bool:
        return True

    def status(self) -> dict[str, Any]:
        return {"voter": "a0", "leading": self.leads, "leader": "a0", "term": 3, "index": 9}

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def submit(self, command: dict[str, Any]) -> dict[str, Any]:
        if self.fault:
            raise LogError(self.fault)
        if command not in self.submitted:
            self.submitted.append(json.loads(json.dumps(command)))
        if command["do"] == "word":
            number, _ = self.words.get(command["agent"], (0, {}))
            self.words[command["agent"]] = number + 1, command["words"]
            return {"ok": True}
        return self.control.apply(command)


def control_after_script() -> ControlState:
    control = ControlState()
    for command in SCRIPT:
        control.apply(command)
    return control


@contextlib.asynccontextmanager
async def serving(handler: Handler) -> Any:
    server = await asyncio.start_server(handler, "127.0.0.1", 0, limit=LINE_BYTES)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


# An agent's answers, and what it asks of a router on the way.

ASKED: list[object] = [
    {"do": "status", "instances": []},
    {"do": "status", "instances": ["w0"], "foreign": {"a": 1}},
    {"do": "status"},
    {"do": "stop", "instances": ["w0"]},
    {"do": "counters", "instances": []},
    {"do": "reload", "instances": ["r0"]},
    {"do": "ready", "instances": []},
    {"do": "figures", "instances": ["r0"]},
    {"do": "members", "instances": ["r0"]},
    {"do": "suspend", "instances": ["r0"], "runner": "w0"},
    {"do": "resume", "instances": ["r0"], "runner": "w 0/é"},
    {"do": "suspend", "instances": ["r0"], "runner": "w9"},
    {"do": "suspend", "instances": ["r0"]},
    {"do": "resume", "instances": ["r0"], "runner": 5},
    {"do": "rollout", "instances": [], "what": "status", "command": {}},
    {"do": "rollout", "instances": [], "what": "status"},
    {"do": "rollout", "instances": [], "what": "halt", "command": {"reason": "no more"}},
    {"do": "rollout", "instances": [], "what": "halt", "command": {"reason": "no more"}},
    {"do": "rollout", "instances": [], "what": "resume", "command": {}},
    {"do": "rollout", "instances": [], "what": "undo", "command": {"reason": ""}},
    {"do": "rollout", "instances": [], "what": "release", "command": {"instance": "w1"}},
    {"do": "rollout", "instances": [], "what": "release", "command": {"instance": "w2"}},
    {"do": "rollout", "instances": [], "what": "release", "command": {}},
    {"do": "rollout", "what": "start", "command": {"action": "restart", "targets": [], "budget": None}},
    {"do": "rollout", "what": "start", "command": {"action": "restart", "targets": [], "budget": "2"}},
    {"do": "rollout", "what": "start", "command": {"budget": "2"}},
    {"do": "rollout", "what": "fly"},
    {"do": "rollout"},
    {"do": "policy", "instances": [], "what": "status"},
    {"do": "policy", "what": "propose", "command": {"document": DOCUMENT, "base": 2}},
    {"do": "policy", "what": "propose", "command": {"base": 2}},
    {"do": "policy", "what": "rollback", "command": {"base": 2, "to": None}},
    {"do": "policy", "what": "read"},
    {"do": "policy"},
    {"do": "control", "instances": [], "command": None},
    {"do": "control", "instances": [], "command": {"do": "resume", "agent": "a2"}},
    {"do": "control", "instances": [], "command": {"do": "fly"}},
    {"do": "control", "command": "fly"},
    {"do": "fly"},
    {"do": None},
    {"do": ["status"]},
    {"do": "status", "instances": ["r9"]},
    {"do": "status", "instances": 5},
    {"instances": []},
    [],
    None,
    "status",
]
RAW_LINES = [b"\n", b"status\n", b'{"do":"status"', b"{\n", b'\xff{"do":"status"}\n']
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
        status, told = ROUTER_ANSWERS.get(line, (404, '{"detail": "there is no such runner"}'))
        length_line = "" if status == 204 else f"Content-Length: {len(told.encode())}\r\n"
        writer.write(f"HTTP/1.1 {status} X\r\n{length_line}Connection: close\r\n\r\n{told}".encode())
        await writer.drain()
        writer.close()


async def exchange(port: int, line: bytes) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=LINE_BYTES)
    writer.write(line)
    writer.write_eof()
    try:
        async with asyncio.timeout(PATIENCE_S):
            answer = (await reader.read()).decode()
    finally:
        writer.close()
    return AGE.sub('"for_s": 0.0', without_ports(answer))


def reread(name: str) -> agent.Spec:
    raise AssertionError(f"'{name}' is not read anew here")


async def answers(folder: Path) -> dict[str, bytes]:
    front, plane = RouterFront(), RecordingPlane(control_after_script())
    lines = [json.dumps(asked).encode() + b"\n" for asked in ASKED] + RAW_LINES
    async with serving(front.serve) as router_port:
        plan = agent_plan(folder, f'ask = ["{NOBODY}"]', operator=f"127.0.0.1:{router_port}")
        control = plan.control
        assert control is not None
        one = agent.Agent(plan, reread)
        async with serving(one._serve) as port:
            alone = [await exchange(port, lines[ASKED.index(asked)]) for asked in ASKED if _of_control(asked)]
            hands = {"r0": one.instances["r0"]}
            one.steward = RolloutController(control, plane, hands, {}, Counter())
            one.herald = PolicyController(control, plane, hands, Counter())
            told = [await exchange(port, line) for line in lines]
            plane.fault = "no leader within 5 s: it was not taken"
            cut_off = [
                await exchange(port, lines[ASKED.index(asked)]) for asked in ASKED if _of_control(asked)
            ]
        pairs = zip(lines, told, strict=True)
    return {
        "agent-answers.jsonl": as_lines(
            {"asked": line.decode("latin-1"), "answer": answer} for line, answer in pairs
        ),
        "agent-answers-without-control.jsonl": as_lines(alone),
        "agent-answers-without-leader.jsonl": as_lines(cut_off),
        "router-requests.jsonl": as_lines(front.requests),
        "agent-submitted.jsonl": as_lines(plane.submitted),
    }


def _of_control(asked: object) -> bool:
    return isinstance(asked, dict) and asked.get("do") in ("rollout", "policy", "control")


# The command line.


class StandingAgent:
    """Answers each connection with the next of the given lines, and keeps what it was asked."""

    def __init__(self, answers: list[bytes]) -> None:
        self.answers, self.asked = answers, list[str]()
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
                self.asked.append(file.readline().decode())
                peer.sendall(answer)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        self.thread.join()


INSTANCE = {"state": "running", "pid": 17, "starts": 2, "for_s": 3.5, "last_exit": "ended with 1"}
STOPPED = {"state": "stopped", "pid": None, "starts": 0, "for_s": 0.1, "last_exit": ""}
VIEW = {"isolated": False, "members": [{"name": "n1", "status": "alive", "incarnation": 2}]}
FOREIGN = {"foreign": [1]}


def _policy_status(changes: int) -> dict[str, Any]:
    control = ControlState()
    for command in REGISTRATIONS + POLICY_CHANGES[:changes]:
        control.apply(command)
    known = {"epoch": 0, "standing": "stale", "stale_s": 4.0, "reason": "old"}
    instances = {
        "r0": {"agent": "a0", "heard_s": 1.5, **known, **FOREIGN},
        "r1": {"agent": "a0", "heard_s": None, "stale_s": 0},
    }
    raft = {"voter": "a0", "leading": True, "leader": "a0", "term": 3, "index": 9}
    return {"policy": {"agreed": control.policy.told(), "instances": instances, "ready": True, "raft": raft}}


def _rollout_status(commands: int) -> dict[str, Any]:
    control = ControlState()
    for command in SCRIPT[:commands]:
        control.apply(command)
    raft = {"voter": "a0", "leading": False, "leader": "a1", "term": 3, "index": 9}
    return {"rollout": {**control.told(), "raft": raft, "ready": True, "counters": {}, **FOREIGN}}


def command_lines(policy: Path) -> Iterator[tuple[list[str], list[object]]]:
    """What is asked, and the answers of the agent one after another."""
    instances = {"instances": {"r0": INSTANCE, "w0": STOPPED}, **FOREIGN}
    yield ["status"], [instances]
    yield ["status", "r0", "--json"], [instances]
    yield ["stop", "w0"], [{"instances": {"w0": STOPPED}}]
    yield ["restart", "r0"], [{"instances": {"r0": INSTANCE}}]
    yield ["counters"], [{"counters": {"r0": {"calls": 5}, "w0": None}}]
    yield ["reload"], [{"reload": {"r0": {"ok": True}, "w0": None}}]
    yield ["reload", "r0"], [{"reload": {"r0": {"ok": False, "reason": "rules: no"}}}]
    yield ["ready"], [{"ready": {"r0": {"ok": True, "told": "", "status": 200}}}]
    yield ["ready"], [{"ready": {"w0": {"ok": False, "told": "it has no operators' front"}}}]
    yield ["figures", "r0"], [{"figures": {"r0": {"ok": True, "told": "x 1", "status": 200}}}]
    yield ["suspend", "w0", "r0"], [{"suspend": {"r0": {"ok": True, "told": "", "status": 204}}}]
    yield ["resume", "w0"], [{"resume": {"r0": {"ok": False, "told": "no such runner", "status": 404}}}]
    views = {"r0": {"ok": True, "told": json.dumps(VIEW)}, "w0": {"ok": False, "told": "no front"}}
    yield ["members"], [{"members": views}]
    yield (
        ["rollout", "start", "--action", "drain", "--budget", "25%", "r0"],
        [{"rollout": {"ok": True, "rollout": 4, "budget": 1}}],
    )
    yield ["rollout", "start", "--runners"], [{"error": "nothing to roll out to"}]
    yield ["rollout", "start", "--json"], [{"rollout": {"ok": True, "rollout": 4, "budget": 1}}]
    yield ["rollout", "halt", "--reason", "no more"], [{"rollout": {"ok": True, "rollout": 4}}]
    yield ["rollout", "resume"], [{"rollout": {"ok": True, "rollout": 4}}]
    yield ["rollout", "undo"], [{"rollout": {"ok": True}}]
    yield ["rollout", "release", "r0"], [{"rollout": {"ok": True, "lease": 5}}]
    for commands in (5, 16, len(SCRIPT)):
        yield ["rollout", "status"], [_rollout_status(commands)]
    yield ["policy", "status"], [_policy_status(0)]
    yield ["policy", "status"], [_policy_status(len(POLICY_CHANGES))]
    yield ["policy", "status", "--json"], [_policy_status(8)]
    proposed = {"policy": {"ok": True, "change": 1, "base": 0}}
    yield ["policy", "propose", str(policy), "--no-wait"], [_policy_status(0), proposed]
    yield ["policy", "propose", str(policy)], [_policy_status(0), proposed, _policy_status(15)]
    yield ["policy", "propose", str(policy), "--json"], [_policy_status(0), proposed, _policy_status(15)]
    yield ["policy", "propose", str(policy), "--base", "3"], [_policy_status(0), {"error": "made on epoch 3"}]
    back = {"policy": {"ok": True, "change": 3, "base": 1}}
    yield ["policy", "rollback", "--to", "0"], [_policy_status(20), back, _policy_status(22)]
    yield ["policy", "rollback"], [_policy_status(20), {"error": "there is nothing before to go back to"}]
    yield ["status"], [{"error": "no command 'status'"}]
    yield ["status"], [b""]
    yield ["status"], [b"no JSON\n"]


POLICY_FILE = """
[limits]
open_requests = 64
[[class]]
name = "safe"
semantics = "safe"
aim_ms = 1000
deadline_ms = 1000
"""


def asked_by_command_line(folder: Path) -> dict[str, bytes]:
    policy = folder / "policy.toml"
    policy.write_text(POLICY_FILE)
    told = list[object]()
    for arguments, replies in command_lines(policy):
        lines = [one if isinstance(one, bytes) else json.dumps(one).encode() + b"\n" for one in replies]
        standing, out, err = StandingAgent(lines), io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.main([*arguments, "--agent", f"127.0.0.1:{standing.port}"])
        standing.close()
        told.append(
            {
                "arguments": [one.replace(str(policy), "POLICY") for one in arguments],
                "asked": standing.asked,
                "exit": code,
                "out": without_ports(out.getvalue()),
                "err": without_ports(err.getvalue()).replace(str(policy), "POLICY"),
            }
        )
    return {"command-lines.jsonl": as_lines(told)}


# An agent that is no voter.


async def asked_of_voter(folder: Path) -> dict[str, bytes]:
    control = control_after_script().told()
    reply = {"control": {"ready": True, "reply": {"ok": True, "rollout": 15}, "state": control, "told": {}}}
    standing = StandingAgent([json.dumps(reply).encode() + b"\n"] * 2)
    try:
        plan = agent_plan(folder, f'ask = ["127.0.0.1:{standing.port}"]').control
        assert plan is not None
        asked = RemoteLog(plan, agent.ask, Counter())
        await asked.submit({"do": "resume", "agent": "a0"})
        running = asyncio.get_running_loop().create_task(asked.run())
        async with asyncio.timeout(PATIENCE_S):
            while len(standing.asked) < 2:
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    finally:
        standing.close()
    return {"asked-of-voter.jsonl": as_lines(standing.asked)}


# What the steward and the herald put into the log, and what the herald tells routers.


class RecordingProcess:
    """A process, a router and a runner's process alike, in which each step succeeds."""

    def __init__(self) -> None:
        self.adopted, self.starts, self.up = False, 1, True
        self.suspended = {"w0": False}
        self.asked = list[object]()
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

    async def word(self) -> HealthReport:
        return HealthReport(True, 5, 1)

    async def gone(self) -> set[str]:
        return set()

    async def runners(self) -> dict[str, tuple[bool, int]] | None:
        return {runner: (out, 0) for runner, out in self.suspended.items()}

    async def suspend(self, runner: str, out: bool) -> bool:
        self.suspended[runner] = out
        return True

    async def operate(
        self, method: str, path: str, content: bytes = b"", wait_s: float = PATIENCE_S
    ) -> dict[str, Any]:
        self.asked.append({"method": method, "path": path, "content": content.decode()})
        told = {"epoch": json.loads(content).get("epoch"), "standing": "current"}
        fetch = {"fetch": True} if self.fetch else {}
        self.fetch = False
        return {"ok": True, "told": json.dumps(told | fetch), "status": 200}


async def submitted_by_steward(folder: Path) -> dict[str, bytes]:
    plan = agent_plan(folder, f'ask = ["{NOBODY}"]').control
    assert plan is not None
    plane = RecordingPlane(ControlState())
    plane.leads = True
    steward = RolloutController(
        plan, plane, {"r0": RecordingProcess()}, {"w0": RecordingProcess()}, Counter()
    )
    running = asyncio.get_running_loop().create_task(steward.run())

    async def until(true: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not true():
                await asyncio.sleep(0.01)

    async def follow(what: str, command: dict[str, Any], phase: Phase) -> None:
        await steward.asked(what, command)
        await until(lambda: plane.control.rollout is not None and plane.control.rollout.phase is phase)

    try:
        await until(lambda: bool(plane.control.runners))
        for action in ("restart", "replace", "drain"):
            await follow("start", {"action": action, "targets": ["r0"], "budget": None}, Phase.DONE)
        await follow("undo", {"reason": ""}, Phase.UNDONE)
        runners = {"targets": ["w0"], "budget": "1", "kind": "runners"}
        for action in ("replace", "drain"):
            await follow("start", {"action": action, **runners}, Phase.DONE)
        await follow("undo", {"reason": ""}, Phase.UNDONE)
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    return {"steward-submitted.jsonl": as_lines(plane.submitted)}


async def told_by_herald(folder: Path) -> dict[str, bytes]:
    plan = agent_plan(folder, f'ask = ["{NOBODY}"]').control
    assert plan is not None
    plane, router = RecordingPlane(ControlState()), RecordingProcess()
    plane.control.apply({"do": "register", "agent": "a0", "instances": ["r0"]})
    plane.leads = True
    herald = PolicyController(plan, plane, {"r0": router}, Counter())
    known = herald.known["r0"] = Known(1)
    await herald._read(["r0"])
    await herald._tell("r0", router, known, (0, 500, 0))
    await herald._read(["r0"])
    for what, command in (
        ("propose", {"document": DOCUMENT, "base": 0}),
        ("rollback", {"base": 1, "to": None}),
    ):
        await herald.asked(what, command)
        change = plane.control.policy.checking()
        assert change is not None
        await herald._tell("r0", router, known, (known.epoch, 600, change.number))
        await herald._judge("r0", router, known, change)
        herald._lead()
        assert herald.deciding is not None
        await herald.deciding
        router.fetch = what == "rollback"
        await herald._tell("r0", router, known, (plane.control.policy.epoch.number, 700, 0))
    return {
        "herald-submitted.jsonl": as_lines(plane.submitted),
        "herald-told-routers.jsonl": as_lines(router.asked),
    }


# A router's answers to what the herald tells it.

ROUTER_WORDS: list[object] = [
    {"epoch": 0, "checking": 0},
    {"epoch": 0, "checking": 0, "document": None},
    {"epoch": 1, "checking": 0, "foreign": [1]},
    {"epoch": 1, "checking": 0, "document": "policy"},
    {"epoch": 0, "checking": 0, "document": None},
    {"epoch": 2, "checking": 0, "document": {"rules": {"newer": 1}}},
    {"epoch": 2, "checking": 0, "document": {"listen": {}}},
    {"epoch": 2, "checking": 0, "document": [1]},
    {"epoch": -1, "checking": 0},
    {"epoch": True, "checking": 0},
    {"epoch": 2},
    {"checking": 0},
    {},
    [],
    None,
]
ROUTER_CHECKS: list[object] = [
    {"change": 4, "document": "policy"},
    {"change": 5, "document": None},
    {"change": 6},
    {"change": 6, "document": {"rules": {"newer": 1}}},
    {"change": 6, "document": {"limits": {"listeners": 1}}},
    {"change": "6", "document": None},
    {"document": None},
    {},
    None,
]


def _policy_in(told: object, rig: Rig) -> object:
    """The word with the rig's own policy, changed a little, where it stands for one."""
    if isinstance(told, dict) and told.get("document") == "policy":
        return told | {"document": rig.policy(attempts=2)}
    return told


def answered_by_router(folder: Path) -> dict[str, bytes]:
    rig, words, checks = Rig(folder), list[object](), list[object]()
    for word in ROUTER_WORDS:
        answers = list[object]()
        timed = word | {"fenced_us": monotonic_us()} if isinstance(word, dict) else word
        try:
            rig.driver.hear(_policy_in(timed, rig), answers.append)
        except PolicyError as fault:
            answers.append({"refused": str(fault)})
        words.append({"word": _policy_in(word, rig), "answers": answers})
    for check in ROUTER_CHECKS:
        asked = _policy_in(check, rig)
        try:
            checks.append({"check": asked, "answer": rig.driver.check(asked)})
        except PolicyError as fault:
            checks.append({"check": asked, "refused": str(fault)})
    told = STALE.sub('"stale_s": 0.0', as_lines(words).decode())
    return {"router-words.jsonl": told.encode(), "router-checks.jsonl": as_lines(checks)}


def agent_lines() -> dict[str, bytes]:
    files = dict[str, bytes]()
    with tempfile.TemporaryDirectory() as told:
        folder = Path(told)
        for make in (answers, asked_of_voter, submitted_by_steward, told_by_herald):
            files.update(asyncio.run(make(folder)))
        files.update(asked_by_command_line(folder))
        files.update(answered_by_router(folder / "router"))
    return files
