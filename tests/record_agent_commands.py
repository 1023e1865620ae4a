"""Records an agent's answers to commands, and what it asks of a router on the way."""

import asyncio
import json
import re
from collections import Counter
from pathlib import Path

from maplestile.agent import supervisor as agent
from maplestile.agent.control_plane import ControlPlane
from maplestile.agent.policy_controller import PolicyController
from maplestile.agent.rollout_controller import RolloutController
from tests.agent_doubles import (
    LINE_BYTES,
    PATIENCE_S,
    RecordingLog,
    RouterFront,
    control_after_script,
    serving,
    without_ports,
)
from tests.control_script import DOCUMENT
from tests.recordings import NOBODY, agent_plan, as_lines

AGE = re.compile(r'"for_s": [0-9.]+')
COMMANDS: list[object] = [
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


def reread(name: str) -> agent.InstanceSettings:
    raise AssertionError(f"'{name}' is not read anew here")


async def command_answers(folder: Path) -> dict[str, bytes]:
    front = RouterFront()
    replicated_log = RecordingLog(control_after_script())
    lines = [json.dumps(command).encode() + b"\n" for command in COMMANDS] + RAW_LINES
    async with serving(front.serve) as router_port:
        plan = agent_plan(folder, f'ask = ["{NOBODY}"]', operator=f"127.0.0.1:{router_port}")
        control = plan.control
        assert control is not None
        supervisor = agent.Supervisor(plan, reread)
        async with serving(supervisor.command_server.serve) as port:
            without_control = [
                await exchange(port, lines[COMMANDS.index(command)])
                for command in COMMANDS
                if _of_control(command)
            ]
            routers = {"r0": supervisor.instances["r0"]}
            rollouts = RolloutController(control, replicated_log, routers, {}, Counter())
            policies = PolicyController(control, replicated_log, routers)
            supervisor.command_server.enable_control(ControlPlane(rollouts, policies))
            replies = [await exchange(port, line) for line in lines]
            replicated_log.fault = "no leader within 5 s: it was not taken"
            without_leader = [
                await exchange(port, lines[COMMANDS.index(command)])
                for command in COMMANDS
                if _of_control(command)
            ]
        pairs = zip(lines, replies, strict=True)
    return {
        "agent-answers.jsonl": as_lines(
            {"asked": line.decode("latin-1"), "answer": answer} for line, answer in pairs
        ),
        "agent-answers-without-control.jsonl": as_lines(without_control),
        "agent-answers-without-leader.jsonl": as_lines(without_leader),
        "router-requests.jsonl": as_lines(front.requests),
        "agent-submitted.jsonl": as_lines(replicated_log.submitted),
    }


def _of_control(command: object) -> bool:
    return isinstance(command, dict) and command.get("do") in ("rollout", "policy", "control")
