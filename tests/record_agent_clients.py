"""Records what the command line, and an agent that is no voter, ask of an agent."""

import asyncio
import contextlib
import io
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from maplestile.agent import supervisor as agent
from maplestile.control.remote_log import RemoteLog
from maplestile.control.state import ControlState
from maplestile.tools import cli
from tests.agent_doubles import PATIENCE_S, ScriptedAgent, control_after_script, without_ports
from tests.control_script import POLICY_CHANGES, REGISTRATIONS, SCRIPT
from tests.recordings import agent_plan, as_lines

INSTANCE = {"state": "running", "pid": 17, "starts": 2, "for_s": 3.5, "last_exit": "ended with 1"}
STOPPED = {"state": "stopped", "pid": None, "starts": 0, "for_s": 0.1, "last_exit": ""}
VIEW = {"isolated": False, "members": [{"name": "n1", "status": "alive", "incarnation": 2}]}
FOREIGN = {"foreign": [1]}


def _policy_status(changes: int) -> dict[str, Any]:
    """The answer to `policy status` after so many changes of policy."""
    control = ControlState()
    for command in REGISTRATIONS + POLICY_CHANGES[:changes]:
        control.apply_encoded(command)
    known = {"epoch": 0, "standing": "stale", "stale_s": 4.0, "reason": "old"}
    instances = {
        "r0": {"agent": "a0", "heard_s": 1.5, **known, **FOREIGN},
        "r1": {"agent": "a0", "heard_s": None, "stale_s": 0},
    }
    raft = {"voter": "a0", "leading": True, "leader": "a0", "term": 3, "index": 9}
    return {
        "policy": {"agreed": control.policy.encoded(), "instances": instances, "ready": True, "raft": raft}
    }


def _rollout_status(commands: int) -> dict[str, Any]:
    """The answer to `rollout status` after so many commands of the script."""
    control = ControlState()
    for command in SCRIPT[:commands]:
        control.apply_encoded(command)
    raft = {"voter": "a0", "leading": False, "leader": "a1", "term": 3, "index": 9}
    return {"rollout": {**control.encoded(), "raft": raft, "ready": True, "counters": {}, **FOREIGN}}


def command_lines(policy: Path) -> Iterator[tuple[list[str], list[object]]]:
    """The arguments, and the answers of the agent one after another."""
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


def _reply_line(reply: object) -> bytes:
    """Bytes as they are, anything else as a line of JSON."""
    return reply if isinstance(reply, bytes) else json.dumps(reply).encode() + b"\n"


def sent_by_command_line(folder: Path) -> dict[str, bytes]:
    """Each command line with what it sent to the agent, its exit code and its output."""
    policy = folder / "policy.toml"
    policy.write_text(POLICY_FILE)
    exchanges = list[object]()
    for arguments, replies in command_lines(policy):
        scripted = ScriptedAgent([_reply_line(reply) for reply in replies])
        out = io.StringIO()
        err = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.main([*arguments, "--agent", f"127.0.0.1:{scripted.port}"])
        scripted.close()
        exchanges.append(
            {
                "arguments": [argument.replace(str(policy), "POLICY") for argument in arguments],
                "asked": scripted.lines,
                "exit": code,
                "out": without_ports(out.getvalue()),
                "err": without_ports(err.getvalue()).replace(str(policy), "POLICY"),
            }
        )
    return {"command-lines.jsonl": as_lines(exchanges)}


# An agent that is no voter.


async def sent_to_voter(folder: Path) -> dict[str, bytes]:
    """The lines by which it submits a command and asks for the state."""
    control = control_after_script().encoded()
    reply = {"control": {"ready": True, "reply": {"ok": True, "rollout": 15}, "state": control, "told": {}}}
    scripted = ScriptedAgent([json.dumps(reply).encode() + b"\n"] * 2)
    try:
        plan = agent_plan(folder, f'ask = ["127.0.0.1:{scripted.port}"]').control
        assert plan is not None
        remote_log = RemoteLog(plan, agent.send_command, Counter())
        await remote_log.submit({"do": "resume", "agent": "a0"})
        running = asyncio.get_running_loop().create_task(remote_log.run())
        async with asyncio.timeout(PATIENCE_S):
            while len(scripted.lines) < 2:
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
    finally:
        scripted.close()
    return {"asked-of-voter.jsonl": as_lines(scripted.lines)}
