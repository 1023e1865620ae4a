"""`maplestile policy propose FILE | status | rollback`: the operators' side of the fleet's policy.

Exit 0 where it is committed (of `status`: printed), 1 where the fleet refused it, gave it up, or gave no
answer, 2 for a file that cannot be used, with the field named.
"""

import argparse
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import ConfigError, TomlTable
from maplestile.control.policy.agreed import AgreedPolicies, Change, Epoch, Phase
from maplestile.control.policy.document import Document, digest_of, document_of
from maplestile.invoke.operator_file import OperatorError, from_tables, read

DECISION_TIMEOUT_S = 30.0  # of a change: its check takes 6 s at the most, an election 2
POLL_INTERVAL_S = 0.1
EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_BAD_FILE = 2
# The agent's reply, or None once the reason has been printed.
AskAgent = Callable[..., dict[str, Any] | None]


def add(commands: Any, default_agent: str) -> None:
    """Add the sub-commands to argparse."""
    policy = commands.add_parser("policy", help="the policy that the fleet agrees on")
    operations = policy.add_subparsers(dest="what", required=True)
    propose = operations.add_parser(
        "propose",
        help="have the policy of a file checked by all live routers and take hold at all, or at none",
    )
    propose.add_argument("file", type=Path, help="the tables [rules], [[class]] and [limits], in TOML")
    _add_change_options(propose)
    _add_agent_options(propose, default_agent)
    status = operations.add_parser(
        "status", help="the epochs, the last change, and the epoch of every instance"
    )
    _add_agent_options(status, default_agent)
    rollback = operations.add_parser(
        "rollback", help="commit the policy of an earlier epoch again, as a new epoch"
    )
    rollback.add_argument("--to", type=int, metavar="EPOCH", help="its policy (default: the one before)")
    _add_change_options(rollback)
    _add_agent_options(rollback, default_agent)


def _add_change_options(operation: argparse.ArgumentParser) -> None:
    operation.add_argument("--base", type=int, metavar="EPOCH", help="refused if it is another by then")
    operation.add_argument("--no-wait", action="store_true", help="do not wait until it is decided")


def _add_agent_options(operation: argparse.ArgumentParser, default_agent: str) -> None:
    operation.add_argument("--agent", default=default_agent, metavar="HOST:PORT")
    operation.add_argument("--json", action="store_true", help="print the agent's whole answer")


def checked(path: Path) -> Document:
    """The policy of a file, by the checker that routers use.

    It is checked on this build, in the file of a router that has one function. Raises ConfigError, which
    names the field.
    """
    document = Document.of(read(path))
    classes = document.tables().get("class")
    first = classes[0] if isinstance(classes, list) and classes else {}
    name = first.get("name") if isinstance(first, dict) else None
    router = {
        "invoke": {"listen": "127.0.0.1:0"},
        "kind": [{"name": "k", "memory_mb": 1}],
        "worker": [{"id": "w", "address": "127.0.0.1:1"}],
        "function": [{"name": "f", "class": name or "?", "memory_mb": 1}],
    }
    from_tables(document.over(router))
    return document


def run(arguments: argparse.Namespace, ask_agent: AskAgent) -> int:
    """Run a sub-command; the exit code."""
    command: dict[str, Any] = {}
    if arguments.what == "propose":
        try:
            command["document"] = checked(arguments.file).tables()
        except ConfigError as fault:
            print(f"maplestile: {arguments.file}: {fault}", file=sys.stderr)
            return EXIT_BAD_FILE
    status = _status(arguments, ask_agent)
    if status is None:
        return EXIT_REFUSED
    if arguments.what == "status":
        if arguments.json:
            print(json.dumps(status, indent=2))
        else:
            _print_status(status)
        return EXIT_DONE
    agreed = AgreedPolicies.decode(status["agreed"])
    command["base"] = agreed.epoch.number if arguments.base is None else arguments.base
    if arguments.what == "rollback":
        command["to"] = arguments.to
    return _submit(arguments, ask_agent, command)


def _submit(arguments: argparse.Namespace, ask_agent: AskAgent, command: dict[str, Any]) -> int:
    """Propose a change, and wait until it is decided if that is wanted."""
    reply = ask_agent(arguments.agent, "policy", [], what=arguments.what, command=command)
    if reply is None:
        return EXIT_REFUSED
    if not arguments.no_wait:
        return _wait_until_decided(arguments, ask_agent, int(reply["policy"]["change"]))
    print(json.dumps(reply) if arguments.json else f"change {reply['policy']['change']} is being checked")
    return EXIT_DONE


def _status(arguments: argparse.Namespace, ask_agent: AskAgent) -> dict[str, Any] | None:
    reply = ask_agent(arguments.agent, "policy", [], what="status")
    return None if reply is None else reply["policy"]


def _wait_until_decided(arguments: argparse.Namespace, ask_agent: AskAgent, number: int) -> int:
    """Wait for the end of a change, by the replica of the agent, which may be a little behind."""
    end_s = time.monotonic() + DECISION_TIMEOUT_S
    while time.monotonic() < end_s:
        status = _status(arguments, ask_agent)
        if status is None:
            return EXIT_REFUSED
        change = _find_change(AgreedPolicies.decode(status["agreed"]), number)
        if change is not None and change.phase is not Phase.CHECKING:
            return _print_decision(arguments, change)
        time.sleep(POLL_INTERVAL_S)
    text = f"change {number} is not decided after {DECISION_TIMEOUT_S:.0f} s: see `policy status`"
    print(f"maplestile: {text}", file=sys.stderr)
    return EXIT_REFUSED


def _find_change(agreed: AgreedPolicies, number: int) -> Change | None:
    changes = (agreed.change, *agreed.history)
    return next((change for change in changes if change is not None and change.number == number), None)


def _print_decision(arguments: argparse.Namespace, change: Change) -> int:
    is_committed = change.phase is Phase.COMMITTED
    epoch = change.base + 1 if is_committed else change.base
    if arguments.json:
        decision = {
            "change": change.number,
            "phase": change.phase.value,
            "reason": change.reason,
            "epoch": epoch,
            "absent": change.absent,
        }
        print(json.dumps(decision))
    elif is_committed:
        print(f"epoch {epoch} is committed")
        if change.absent:
            print(f"not there, and to learn it on return: {', '.join(change.absent)}")
    if is_committed:
        return EXIT_DONE
    print(f"maplestile: change {change.number} is given up: {change.reason}", file=sys.stderr)
    return EXIT_REFUSED


def _print_status(status: dict[str, Any]) -> None:
    agreed = AgreedPolicies.decode(status["agreed"])
    raft = status["raft"]
    _print_epoch(agreed.epoch, agreed.epochs)
    cut_off = "" if status["ready"] else "; cut off: this is old"
    print(f"leader {raft['leader'] or 'unknown'}, term {raft['term']}{cut_off}")
    if agreed.change is not None:
        _print_change(agreed.change)
    print("instance", "agent", "epoch", "standing", "heard", "", sep="\t")
    for name, instance in status["instances"].items():
        _print_instance(name, instance, agreed)


def _print_epoch(epoch: Epoch, kept: list[Epoch]) -> None:
    policy = digest_of(document_of(epoch.document)) or "the files' own"
    rollback = f", of epoch {epoch.rollback} again" if epoch.rollback is not None else ""
    numbers = ", ".join(str(one.number) for one in kept)
    print(f"epoch {epoch.number}: {policy}{rollback}; kept: {numbers}")


def _print_change(change: Change) -> None:
    proposal = f"change {change.number} on epoch {change.base}, by {change.by}"
    print(f"{proposal}: {change.phase.value}", change.reason)
    if change.absent:
        print(f"not there at the commit: {', '.join(change.absent)}")


def _print_instance(name: str, instance: dict[str, Any], agreed: AgreedPolicies) -> None:
    number = instance.get("epoch")
    heard_s = instance["heard_s"]
    lags = number is not None and number < agreed.epoch.number
    verdict = agreed.change.verdicts.get(name, "") if agreed.change is not None else ""
    notes = ["lags"] * lags + [f"stale for {instance['stale_s']} s"] * bool(instance.get("stale_s"))
    notes += [reason for reason in (instance.get("reason"), verdict) if reason]
    epoch = "-" if number is None else number
    heard = "never" if heard_s is None else f"{heard_s} s"
    standing = instance.get("standing", "unknown")
    print(name, instance["agent"], epoch, standing, heard, "; ".join(notes), sep="\t")


def is_policy_file(path: Path) -> bool:
    """Whether a file has tables of policy alone, and so is checked as such by `maplestile check`."""
    tables = TomlTable(read(path), "", OperatorError).values
    return bool(tables) and "invoke" not in tables and "function" not in tables
