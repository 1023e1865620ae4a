"""`maplestile rollout`: start, watch and control the rollout of a fleet.

The exit code is 0 if the command succeeded. It is 1, with the reason on standard error, if the command was
rejected or no agent answered.
"""

import argparse
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from maplestile.control.state import ACTIONS
from maplestile.tools.agent_client import AgentReply, add_agent_options, request_agent

COMMANDS = (
    ("start", "begin a rollout to the named instances, or to all"),
    ("status", "the rollout, the leases, and who leads"),
    ("halt", "no new step; what is under way finishes"),
    ("resume", "go on after a halt"),
    ("undo", "what was taken out comes back, in reverse order"),
    ("release", "count an instance in again whose step will not end by itself"),
)


@dataclass(slots=True, frozen=True)
class RolloutSummary:
    """The fields of a rollout that are printed."""

    number: int
    action: str
    kind: str  # of the instances: routers or runners
    phase: str
    reason: str  # for a halt or an undo; empty without one
    done: int  # number of instances that are done
    targets: int  # number of instances in the rollout
    budget: int  # how many instances may be out at once

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> "RolloutSummary":
        """Decode a rollout in an agent's reply; fields that are not printed are ignored."""
        return cls(
            number=encoded["number"],
            action=encoded["action"],
            kind=encoded["kind"],
            phase=encoded["phase"],
            reason=encoded["reason"],
            done=len(encoded["done"]),
            targets=len(encoded["targets"]),
            budget=encoded["budget"],
        )


@dataclass(slots=True, frozen=True)
class LeaseSummary:
    """The fields of a lease that are printed."""

    instance: str
    action: str
    stage: str
    holder: str

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> "LeaseSummary":
        """Decode a lease in an agent's reply; fields that are not printed are ignored."""
        return cls(encoded["instance"], encoded["action"], encoded["stage"], encoded["holder"])


def add(commands: Any) -> None:
    """Add the command and its sub-commands to argparse's sub-parsers."""
    rollout = commands.add_parser("rollout", help="drain, restart or replace instances under a budget")
    rollout.set_defaults(run=run)
    sub_commands = rollout.add_subparsers(dest="what", required=True)
    for name, text in COMMANDS:
        command = sub_commands.add_parser(name, help=text)
        if name == "start":
            _add_start_options(command)
        if name in ("halt", "undo"):
            command.add_argument("--reason", default="")
        if name == "release":
            command.add_argument("instance")
        add_agent_options(command)


def _add_start_options(start: argparse.ArgumentParser) -> None:
    start.add_argument("--action", choices=ACTIONS, default="restart")
    start.add_argument("--budget", help="the most out at once: a count, or a share such as 25%%")
    start.add_argument("--runners", action="store_true", help="the names are runners' ids")
    start.add_argument("instance", nargs="*")


def run(arguments: argparse.Namespace) -> int:
    """Send the sub-command to the agent and print its reply."""
    command = _command_fields(arguments)
    reply = request_agent(arguments.agent, "rollout", [], what=arguments.what, command=command)
    if reply is None:
        return 1
    if arguments.json:
        print(json.dumps(reply, indent=2))
    elif arguments.what == "status":
        _print_status(reply["rollout"])
    else:
        print(_format_outcome(reply["rollout"]))
    return 0


def _command_fields(arguments: argparse.Namespace) -> dict[str, Any]:
    """Return the fields of the command for the replicated log; its type is sent separately, as `what`."""
    match arguments.what:
        case "start":
            return {
                "action": arguments.action,
                "targets": arguments.instance,
                "budget": arguments.budget,
                "kind": "runners" if arguments.runners else "routers",
            }
        case "halt" | "undo":
            return {"reason": arguments.reason}
        case "release":
            return {"instance": arguments.instance}
    return {}


def _format_outcome(outcome: Mapping[str, Any]) -> str:
    fields = (f"{key} {value}" for key, value in outcome.items() if key != "ok")
    return ", ".join(fields) or "done"


def _print_status(status: AgentReply) -> None:
    raft = status["raft"]
    print(f"voter {raft['voter']}", f"leader {raft['leader']}", f"term {raft['term']}", sep="\t")
    rollout = status["rollout"]
    if rollout is None:
        print("no rollout")
    else:
        _print_rollout(RolloutSummary.decode(rollout))
    for lease in status["leases"]:
        _print_lease(LeaseSummary.decode(lease))


def _print_rollout(rollout: RolloutSummary) -> None:
    number = f"rollout {rollout.number}"
    action = f"{rollout.action} {rollout.kind}"
    reason = f": {rollout.reason}" if rollout.reason else ""
    phase = f"{rollout.phase}{reason}"
    progress = f"{rollout.done} of {rollout.targets} done"
    print(number, action, phase, progress, f"budget {rollout.budget}", sep="\t")


def _print_lease(lease: LeaseSummary) -> None:
    holder = f"held by {lease.holder or 'no agent'}"
    print(f"out: {lease.instance}", lease.action, lease.stage, holder, sep="\t")
