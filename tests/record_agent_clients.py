"""Records the requests that an agent receives from the command line and from an agent without a vote."""

import asyncio
import contextlib
import io
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from maplestile.agent.supervisor import send_command
from maplestile.control.remote_log import RemoteLog
from maplestile.control.state import ControlState
from maplestile.tools import cli
from tests.agent_doubles import PATIENCE_S, ScriptedAgent, control_after_script, without_ports
from tests.control_recordings import as_lines, control_settings
from tests.control_script import POLICY_CHANGES, REGISTRATIONS, SCRIPT
from tests.standins import wait_until

RUNNING_INSTANCE = {"state": "running", "pid": 17, "starts": 2, "for_s": 3.5, "last_exit": "ended with 1"}
STOPPED_INSTANCE = {"state": "stopped", "pid": None, "starts": 0, "for_s": 0.1, "last_exit": ""}
MEMBERS_VIEW = {"isolated": False, "members": [{"name": "n1", "status": "alive", "incarnation": 2}]}
UNKNOWN_FIELD = {"foreign": [1]}  # an example of a field that a later version may add to a reply
REQUESTS = 2  # from an agent without a vote: a command, and a poll of the state


def _policy_status(changes: int) -> dict[str, Any]:
    """Return the answer to `policy status` after the first `changes` commands of the policy script."""
    control = ControlState()
    for command in REGISTRATIONS + POLICY_CHANGES[:changes]:
        control.apply_encoded(command)
    router_report = {"epoch": 0, "standing": "stale", "stale_s": 4.0, "reason": "old"}
    instances = {
        "r0": {"agent": "a0", "heard_s": 1.5, **router_report, **UNKNOWN_FIELD},
        "r1": {"agent": "a0", "heard_s": None, "stale_s": 0},
    }
    raft = {"voter": "a0", "leading": True, "leader": "a0", "term": 3, "index": 9}
    return {
        "policy": {"agreed": control.policy.encoded(), "instances": instances, "ready": True, "raft": raft}
    }


def _rollout_status(commands: int) -> dict[str, Any]:
    """Return the answer to `rollout status` after the first `commands` commands of the script."""
    control = ControlState()
    for command in SCRIPT[:commands]:
        control.apply_encoded(command)
    raft = {"voter": "a0", "leading": False, "leader": "a1", "term": 3, "index": 9}
    return {"rollout": {**control.encoded(), "raft": raft, "ready": True, "counters": {}, **UNKNOWN_FIELD}}


class CommandLine(NamedTuple):
    """The arguments of a command, and the agent's replies to its requests, in order."""

    arguments: list[str]
    replies: list[object]


def command_lines(policy: Path) -> Iterator[CommandLine]:
    """Yield all command lines that are recorded; `policy` is the policy file that is proposed."""
    yield from instance_command_lines()
    yield from rollout_command_lines()
    yield from policy_command_lines(policy)
    yield CommandLine(["status"], [{"error": "no command 'status'"}])
    yield CommandLine(["status"], [b""])
    yield CommandLine(["status"], [b"no JSON\n"])


def instance_command_lines() -> Iterator[CommandLine]:
    """Yield commands on an agent's instances."""
    instances = {"instances": {"r0": RUNNING_INSTANCE, "w0": STOPPED_INSTANCE}, **UNKNOWN_FIELD}
    yield CommandLine(["status"], [instances])
    yield CommandLine(["status", "r0", "--json"], [instances])
    yield CommandLine(["stop", "w0"], [{"instances": {"w0": STOPPED_INSTANCE}}])
    yield CommandLine(["restart", "r0"], [{"instances": {"r0": RUNNING_INSTANCE}}])
    yield CommandLine(["counters"], [{"counters": {"r0": {"calls": 5}, "w0": None}}])
    yield CommandLine(["reload"], [{"reload": {"r0": {"ok": True}, "w0": None}}])
    yield CommandLine(["reload", "r0"], [{"reload": {"r0": {"ok": False, "reason": "rules: no"}}}])
    yield CommandLine(["ready"], [{"ready": {"r0": {"ok": True, "told": "", "status": 200}}}])
    yield CommandLine(["ready"], [{"ready": {"w0": {"ok": False, "told": "it has no operators' front"}}}])
    yield CommandLine(["figures", "r0"], [{"figures": {"r0": {"ok": True, "told": "x 1", "status": 200}}}])
    yield CommandLine(["suspend", "w0", "r0"], [{"suspend": {"r0": {"ok": True, "told": "", "status": 204}}}])
    yield CommandLine(
        ["resume", "w0"], [{"resume": {"r0": {"ok": False, "told": "no such runner", "status": 404}}}]
    )
    views = {"r0": {"ok": True, "told": json.dumps(MEMBERS_VIEW)}, "w0": {"ok": False, "told": "no front"}}
    yield CommandLine(["members"], [{"members": views}])


def rollout_command_lines() -> Iterator[CommandLine]:
    """Yield commands on rollouts, and `rollout status` at three places of the script."""
    started = {"rollout": {"ok": True, "rollout": 4, "budget": 1}}
    yield CommandLine(["rollout", "start", "--action", "drain", "--budget", "25%", "r0"], [started])
    yield CommandLine(["rollout", "start", "--runners"], [{"error": "nothing to roll out to"}])
    yield CommandLine(["rollout", "start", "--json"], [started])
    yield CommandLine(["rollout", "halt", "--reason", "no more"], [{"rollout": {"ok": True, "rollout": 4}}])
    yield CommandLine(["rollout", "resume"], [{"rollout": {"ok": True, "rollout": 4}}])
    yield CommandLine(["rollout", "undo"], [{"rollout": {"ok": True}}])
    yield CommandLine(["rollout", "release", "r0"], [{"rollout": {"ok": True, "lease": 5}}])
    for commands in (5, 16, len(SCRIPT)):
        yield CommandLine(["rollout", "status"], [_rollout_status(commands)])


def policy_command_lines(policy: Path) -> Iterator[CommandLine]:
    """Yield commands on the policy.

    A command that changes the policy first requests the policy's status. Unless it has `--no-wait`, it then
    waits until the change is decided.
    """
    yield CommandLine(["policy", "status"], [_policy_status(0)])
    yield CommandLine(["policy", "status"], [_policy_status(len(POLICY_CHANGES))])
    yield CommandLine(["policy", "status", "--json"], [_policy_status(8)])
    proposed = {"policy": {"ok": True, "change": 1, "base": 0}}
    yield CommandLine(["policy", "propose", str(policy), "--no-wait"], [_policy_status(0), proposed])
    yield CommandLine(["policy", "propose", str(policy)], [_policy_status(0), proposed, _policy_status(15)])
    yield CommandLine(
        ["policy", "propose", str(policy), "--json"], [_policy_status(0), proposed, _policy_status(15)]
    )
    yield CommandLine(
        ["policy", "propose", str(policy), "--base", "3"], [_policy_status(0), {"error": "made on epoch 3"}]
    )
    rolled_back = {"policy": {"ok": True, "change": 3, "base": 1}}
    yield CommandLine(
        ["policy", "rollback", "--to", "0"], [_policy_status(20), rolled_back, _policy_status(22)]
    )
    yield CommandLine(
        ["policy", "rollback"], [_policy_status(20), {"error": "there is nothing before to go back to"}]
    )


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
    """Return bytes unchanged, and anything else as a line of JSON."""
    return reply if isinstance(reply, bytes) else json.dumps(reply).encode() + b"\n"


def sent_by_command_line(folder: Path) -> dict[str, bytes]:
    """Return the record of each command line: what it sent to the agent, its exit code and its output."""
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


async def sent_to_voter(folder: Path) -> dict[str, bytes]:
    """Return the lines that an agent without a vote sends to submit a command and to request the state."""
    control = control_after_script().encoded()
    reply = {"control": {"ready": True, "reply": {"ok": True, "rollout": 15}, "state": control, "told": {}}}
    scripted = ScriptedAgent([json.dumps(reply).encode() + b"\n"] * REQUESTS)
    try:
        settings = control_settings(folder, f'ask = ["127.0.0.1:{scripted.port}"]')
        remote_log = RemoteLog(settings, send_command, Counter())
        await remote_log.submit({"do": "resume", "agent": "a0"})
        log_task = asyncio.get_running_loop().create_task(remote_log.run())
        await wait_until(lambda: len(scripted.lines) >= REQUESTS, PATIENCE_S)
        log_task.cancel()
        await asyncio.gather(log_task, return_exceptions=True)
    finally:
        scripted.close()
    return {"voter-requests.jsonl": as_lines(scripted.lines)}
