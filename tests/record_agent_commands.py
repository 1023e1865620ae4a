"""Records an agent's answers to commands, and the requests that the agent sends to a router for them."""

import asyncio
import json
import re
from collections import Counter
from pathlib import Path

from maplestile.agent.control_plane import ControlPlane
from maplestile.agent.policy_controller import PolicyController
from maplestile.agent.rollout_controller import RolloutController
from maplestile.agent.supervisor import InstanceSettings, Supervisor
from maplestile.control.settings import ControlSettings
from tests.agent_doubles import (
    MAX_LINE_BYTES,
    PATIENCE_S,
    RecordingLog,
    RouterFront,
    control_after_script,
    serving,
    without_ports,
)
from tests.control_recordings import UNUSED_ADDRESS, agent_settings, as_lines
from tests.control_script import DOCUMENT

STATE_DURATION = re.compile(r'"for_s": [0-9.]+')
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
    """Send a line to an agent, and return its answer with ports and durations masked."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=MAX_LINE_BYTES)
    writer.write(line)
    writer.write_eof()
    try:
        async with asyncio.timeout(PATIENCE_S):
            answer = (await reader.read()).decode()
    finally:
        writer.close()
    return STATE_DURATION.sub('"for_s": 0.0', without_ports(answer))


def read_settings(name: str) -> InstanceSettings:
    """Fail: no command in this file makes the agent reload the settings of an instance."""
    raise AssertionError(f"the settings of '{name}' were reloaded")


LINES = [json.dumps(command).encode() + b"\n" for command in COMMANDS] + RAW_LINES


async def command_answers(folder: Path) -> dict[str, bytes]:
    """Return the answers without a control plane, with one, and with one that has no leader."""
    front = RouterFront()
    replicated_log = RecordingLog(control_after_script())
    async with serving(front.serve) as router_port:
        settings = agent_settings(folder, f'ask = ["{UNUSED_ADDRESS}"]', operator=f"127.0.0.1:{router_port}")
        assert settings.control is not None
        supervisor = Supervisor(settings, read_settings)
        async with serving(supervisor.command_server.serve) as port:
            without_control = await control_answers(port)
            enable_control(supervisor, settings.control, replicated_log)
            answers = [await exchange(port, line) for line in LINES]
            replicated_log.error = "no leader within 5 s: it was not taken"
            without_leader = await control_answers(port)
    exchanges = [
        {"asked": line.decode("latin-1"), "answer": answer}
        for line, answer in zip(LINES, answers, strict=True)
    ]
    return {
        "agent-answers.jsonl": as_lines(exchanges),
        "agent-answers-without-control.jsonl": as_lines(without_control),
        "agent-answers-without-leader.jsonl": as_lines(without_leader),
        "router-requests.jsonl": as_lines(front.requests),
        "agent-submitted.jsonl": as_lines(replicated_log.submitted),
    }


def enable_control(supervisor: Supervisor, control: ControlSettings, replicated_log: RecordingLog) -> None:
    """Give the supervisor's command server a control plane with this log and the router r0."""
    routers = {"r0": supervisor.instances["r0"]}
    rollouts = RolloutController(control, replicated_log, routers, {}, Counter())
    policies = PolicyController(control, replicated_log, routers)
    supervisor.command_server.enable_control(ControlPlane(rollouts, policies))


async def control_answers(port: int) -> list[str]:
    """Return the answers to all commands for the control plane."""
    lines = [LINES[COMMANDS.index(command)] for command in COMMANDS if is_control_command(command)]
    return [await exchange(port, line) for line in lines]


def is_control_command(command: object) -> bool:
    """Return whether the command is for the control plane."""
    return isinstance(command, dict) and command.get("do") in ("rollout", "policy", "control")
