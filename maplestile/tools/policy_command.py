"""`maplestile policy propose FILE | status | rollback`: change the fleet's policy, or print its status.

The exit code is 0 if the change was committed (with `--no-wait`: proposed) or the status was printed, 1 if
the fleet rejected or aborted the change or no agent answered, and 2 for an invalid file; the error names the
field.
"""

import argparse
import json
import sys
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import ConfigError, TomlTable
from maplestile.control.policy.agreed import AgreedPolicies, Change, ChangePhase, Epoch
from maplestile.control.policy.document import Document, decode_document, policy_digest
from maplestile.invoke.operator_file import OperatorError, read_tables, settings_from_tables
from maplestile.tools.agent_client import AgentReply, add_agent_options, request_agent

DECISION_TIMEOUT_S = 30.0  # for a change: its check takes at most 6 s, a leader election 2 s
POLL_INTERVAL_S = 0.1
EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_FILE = 2


@dataclass(slots=True, frozen=True)
class InstancePolicy:
    """The policy of one instance, as its agent last reported it."""

    name: str
    agent: str
    epoch: int | None  # None without a report
    standing: str
    report_age_s: float | None  # None without a report
    stale_s: float  # time since the epoch was last known to be the committed one; 0 while it is known
    reason: str  # empty if there is none

    @classmethod
    def decode(cls, name: str, encoded: Mapping[str, Any]) -> "InstancePolicy":
        """Decode the entry of an instance in an agent's reply."""
        return cls(
            name=name,
            agent=encoded["agent"],
            epoch=encoded.get("epoch"),
            standing=encoded.get("standing", "unknown"),
            report_age_s=encoded["heard_s"],
            stale_s=encoded.get("stale_s") or 0,
            reason=encoded.get("reason") or "",
        )


def add(commands: Any) -> None:
    """Add the command and its sub-commands to argparse's sub-parsers."""
    policy = commands.add_parser("policy", help="the policy that the fleet agrees on")
    policy.set_defaults(run=run)
    operations = policy.add_subparsers(dest="what", required=True)
    propose = operations.add_parser(
        "propose",
        help="have the policy of a file checked by all live routers and take hold at all, or at none",
    )
    propose.add_argument("file", type=Path, help="the tables [rules], [[class]] and [limits], in TOML")
    _add_change_options(propose)
    add_agent_options(propose)
    status = operations.add_parser(
        "status", help="the epochs, the last change, and the epoch of every instance"
    )
    add_agent_options(status)
    rollback = operations.add_parser(
        "rollback", help="commit the policy of an earlier epoch again, as a new epoch"
    )
    rollback.add_argument("--to", type=int, metavar="EPOCH", help="its policy (default: the one before)")
    _add_change_options(rollback)
    add_agent_options(rollback)


def _add_change_options(operation: argparse.ArgumentParser) -> None:
    operation.add_argument("--base", type=int, metavar="EPOCH", help="refused if it is another by then")
    operation.add_argument("--no-wait", action="store_true", help="do not wait until it is decided")


def load_policy(path: Path) -> Document:
    """Read a policy file and check it as routers of this build do.

    The policy is checked together with a minimal router file that has one function. Raises ConfigError, which
    names the invalid field.
    """
    document = Document.from_tables(read_tables(path))
    router = {
        "invoke": {"listen": "127.0.0.1:0"},
        "kind": [{"name": "k", "memory_mb": 1}],
        "worker": [{"id": "w", "address": "127.0.0.1:1"}],
        "function": [{"name": "f", "class": _first_class_name(document) or "?", "memory_mb": 1}],
    }
    settings_from_tables(document.applied_to(router))
    return document


def _first_class_name(document: Document) -> str | None:
    classes = document.tables().get("class")
    first = classes[0] if isinstance(classes, list) and classes else None
    return first.get("name") if isinstance(first, dict) else None


def run(arguments: argparse.Namespace) -> int:
    """Run a sub-command and return its exit code."""
    match arguments.what:
        case "propose":
            return _propose(arguments)
        case "rollback":
            return _roll_back(arguments)
    return _show_status(arguments)


def _propose(arguments: argparse.Namespace) -> int:
    try:
        document = load_policy(arguments.file).tables()
    except ConfigError as error:
        print(f"maplestile: {arguments.file}: {error}", file=sys.stderr)
        return EXIT_BAD_FILE
    base = _base_epoch(arguments)
    if base is None:
        return EXIT_FAILED
    return _submit(arguments, {"document": document, "base": base})


def _roll_back(arguments: argparse.Namespace) -> int:
    base = _base_epoch(arguments)
    if base is None:
        return EXIT_FAILED
    return _submit(arguments, {"base": base, "to": arguments.to})


def _show_status(arguments: argparse.Namespace) -> int:
    status = _request_status(arguments)
    if status is None:
        return EXIT_FAILED
    if arguments.json:
        print(json.dumps(status, indent=2))
    else:
        _print_status(status)
    return EXIT_DONE


def _base_epoch(arguments: argparse.Namespace) -> int | None:
    """Return the epoch that a change is based on: `--base` or the committed one; None if no agent answers."""
    status = _request_status(arguments)
    if status is None:
        return None
    policies = AgreedPolicies.decode(status["agreed"])
    return policies.epoch.number if arguments.base is None else int(arguments.base)


def _submit(arguments: argparse.Namespace, command: Mapping[str, Any]) -> int:
    """Propose a change, wait for the decision unless `--no-wait` is given, and return the exit code."""
    reply = request_agent(arguments.agent, "policy", [], what=arguments.what, command=command)
    if reply is None:
        return EXIT_FAILED
    if not arguments.no_wait:
        return _wait_until_decided(arguments, int(reply["policy"]["change"]))
    print(json.dumps(reply) if arguments.json else f"change {reply['policy']['change']} is being checked")
    return EXIT_DONE


def _request_status(arguments: argparse.Namespace) -> AgentReply | None:
    """Return the agent's policy status; if it does not answer, print the reason and return None."""
    reply = request_agent(arguments.agent, "policy", [], what="status")
    return None if reply is None else reply["policy"]


def _wait_until_decided(arguments: argparse.Namespace, number: int) -> int:
    """Poll the agent until a change is decided, and return the exit code.

    The agent answers from its own replica, which may lag behind the leader.
    """
    end_s = time.monotonic() + DECISION_TIMEOUT_S
    while time.monotonic() < end_s:
        status = _request_status(arguments)
        if status is None:
            return EXIT_FAILED
        change = _find_change(AgreedPolicies.decode(status["agreed"]), number)
        if change is not None and change.phase is not ChangePhase.CHECKING:
            return _print_decision(arguments, change)
        time.sleep(POLL_INTERVAL_S)
    text = (
        f"change {number} was not decided within {DECISION_TIMEOUT_S:.0f} s: see `maplestile policy status`"
    )
    print(f"maplestile: {text}", file=sys.stderr)
    return EXIT_FAILED


def _find_change(policies: AgreedPolicies, number: int) -> Change | None:
    changes = (policies.change, *policies.history)
    return next((change for change in changes if change is not None and change.number == number), None)


def _print_decision(arguments: argparse.Namespace, change: Change) -> int:
    is_committed = change.phase is ChangePhase.COMMITTED
    epoch = change.base + 1 if is_committed else change.base
    if arguments.json:
        print(json.dumps(_decision_json(change, epoch)))
    elif is_committed:
        print(f"epoch {epoch} is committed")
        if change.absent:
            print(f"not there, and to learn it on return: {', '.join(change.absent)}")
    if is_committed:
        return EXIT_DONE
    print(f"maplestile: change {change.number} is given up: {change.reason}", file=sys.stderr)
    return EXIT_FAILED


def _decision_json(change: Change, epoch: int) -> dict[str, Any]:
    return {
        "change": change.number,
        "phase": change.phase.value,
        "reason": change.reason,
        "epoch": epoch,
        "absent": change.absent,
    }


def _print_status(status: AgentReply) -> None:
    policies = AgreedPolicies.decode(status["agreed"])
    raft = status["raft"]
    _print_epoch(policies.epoch, policies.epochs)
    cut_off = "" if status["ready"] else "; cut off: this is old"
    print(f"leader {raft['leader'] or 'unknown'}, term {raft['term']}{cut_off}")
    if policies.change is not None:
        _print_change(policies.change)
    print("instance", "agent", "epoch", "standing", "heard", "", sep="\t")
    for name, instance in status["instances"].items():
        _print_instance(InstancePolicy.decode(name, instance), policies)


def _print_epoch(epoch: Epoch, kept: list[Epoch]) -> None:
    policy = policy_digest(decode_document(epoch.document)) or "the files' own"
    rollback = f", of epoch {epoch.rollback} again" if epoch.rollback is not None else ""
    numbers = ", ".join(str(kept_epoch.number) for kept_epoch in kept)
    print(f"epoch {epoch.number}: {policy}{rollback}; kept: {numbers}")


def _print_change(change: Change) -> None:
    proposal = f"change {change.number} on epoch {change.base}, by {change.by}"
    print(f"{proposal}: {change.phase.value}", change.reason)
    if change.absent:
        print(f"not there at the commit: {', '.join(change.absent)}")


def _print_instance(instance: InstancePolicy, policies: AgreedPolicies) -> None:
    epoch = "-" if instance.epoch is None else instance.epoch
    age = "never" if instance.report_age_s is None else f"{instance.report_age_s} s"
    notes = "; ".join(_notes(instance, policies))
    print(instance.name, instance.agent, epoch, instance.standing, age, notes, sep="\t")


def _notes(instance: InstancePolicy, policies: AgreedPolicies) -> Iterator[str]:
    """Yield the notes in the last column of an instance: lagging, stale, its reason and its verdict."""
    if instance.epoch is not None and instance.epoch < policies.epoch.number:
        yield "lags"
    if instance.stale_s:
        yield f"stale for {instance.stale_s} s"
    if instance.reason:
        yield instance.reason
    verdict = policies.change.verdicts.get(instance.name, "") if policies.change is not None else ""
    if verdict:
        yield verdict


def is_policy_file(path: Path) -> bool:
    """Return whether `maplestile check` takes a file for a policy: it has no `invoke` or `function` table."""
    tables = TomlTable(read_tables(path), "", OperatorError).values
    return bool(tables) and "invoke" not in tables and "function" not in tables
