"""`maplestile policy propose FILE | status | rollback`: the operators' side of the fleet's policy.

Exit 0 where it is committed (or, of `status`, told), 1 where the fleet refused it, gave it up, or gave no
answer, 2 for a file that cannot be used, with the field named."""

import argparse
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import ConfigError, TomlTable
from maplestile.control.policy.agreed import AgreedPolicies, Change, Phase
from maplestile.control.policy.document import Document, digest_of, document_of
from maplestile.invoke.operator_file import OperatorError, from_tables, read

WAIT_S, LOOK_S = 30.0, 0.1  # for a change to be decided: the check takes 6 s at the most, an election 2
Say = Callable[..., dict[str, Any] | None]  # the agent's answer, or None once the reason has been told


def add(commands: Any, default_agent: str) -> None:
    """The sub-commands, to argparse."""
    policy = commands.add_parser("policy", help="the policy that the fleet agrees on")
    whats = policy.add_subparsers(dest="what", required=True)
    for what, text in (
        ("propose", "have the policy of a file checked by all live routers and take hold at all, or at none"),
        ("status", "the epochs, the last change, and the epoch of every instance"),
        ("rollback", "commit the policy of an earlier epoch again, as a new epoch"),
    ):
        one = whats.add_parser(what, help=text)
        if what == "propose":
            one.add_argument("file", type=Path, help="the tables [rules], [[class]] and [limits], in TOML")
        if what == "rollback":
            one.add_argument("--to", type=int, metavar="EPOCH", help="its policy (default: the one before)")
        if what != "status":
            one.add_argument("--base", type=int, metavar="EPOCH", help="refused if it is another by then")
            one.add_argument("--no-wait", action="store_true", help="do not wait until it is decided")
        one.add_argument("--agent", default=default_agent, metavar="HOST:PORT")
        one.add_argument("--json", action="store_true", help="print the agent's whole answer")


def checked(path: Path) -> Document:
    """The policy of a file, by the checker that routers use: on this build, in a file of a router that has
    one function. Raises ConfigError naming the field."""
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


def run(asked: argparse.Namespace, say: Say) -> int:
    try:
        command: dict[str, Any] = {}
        if asked.what == "propose":
            command["document"] = checked(asked.file).tables()
    except ConfigError as fault:
        print(f"maplestile: {asked.file}: {fault}", file=sys.stderr)
        return 2
    status = _status(asked, say)
    if status is None:
        return 1
    if asked.what == "status":
        print(json.dumps(status, indent=2)) if asked.json else _print(status)
        return 0
    agreed = AgreedPolicies.of(status["agreed"])
    command["base"] = agreed.epoch.number if asked.base is None else asked.base
    if asked.what == "rollback":
        command["to"] = asked.to
    reply = say(asked.agent, "policy", [], what=asked.what, command=command)
    if reply is None:
        return 1
    if asked.no_wait:
        print(json.dumps(reply) if asked.json else f"change {reply['policy']['change']} is being checked")
        return 0
    return _decided(asked, say, int(reply["policy"]["change"]))


def _status(asked: argparse.Namespace, say: Say) -> dict[str, Any] | None:
    reply = say(asked.agent, "policy", [], what="status")
    return None if reply is None else reply["policy"]


def _decided(asked: argparse.Namespace, say: Say, number: int) -> int:
    """Wait for the end of the change, by the replica of the agent, which may be a little behind."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        status = _status(asked, say)
        if status is None:
            return 1
        agreed = AgreedPolicies.of(status["agreed"])
        change = next((one for one in (agreed.change, *agreed.history) if one and one.number == number), None)
        if change is not None and change.phase is not Phase.CHECKING:
            return _told(asked, change)
        time.sleep(LOOK_S)
    told = f"change {number} is not decided after {WAIT_S:.0f} s: see `policy status`"
    print(f"maplestile: {told}", file=sys.stderr)
    return 1


def _told(asked: argparse.Namespace, change: Change) -> int:
    committed = change.phase is Phase.COMMITTED
    if asked.json:
        told = {
            "change": change.number,
            "phase": change.phase.value,
            "reason": change.reason,
            "epoch": change.base + committed,
            "absent": change.absent,
        }
        print(json.dumps(told))
    elif committed:
        print(f"epoch {change.base + 1} is committed")
        if change.absent:
            print(f"not there, and to learn it on return: {', '.join(change.absent)}")
    if not committed:
        print(f"maplestile: change {change.number} is given up: {change.reason}", file=sys.stderr)
    return int(not committed)


def _print(status: dict[str, Any]) -> None:
    agreed, raft = AgreedPolicies.of(status["agreed"]), status["raft"]
    epoch = agreed.epoch
    policy = digest_of(document_of(epoch.document)) or "the files' own"
    back = f", of epoch {epoch.rollback} again" if epoch.rollback is not None else ""
    kept = ", ".join(str(one.number) for one in agreed.epochs)
    print(f"epoch {epoch.number}: {policy}{back}; kept: {kept}")
    cut_off = "" if status["ready"] else "; cut off: this is old"
    print(f"leader {raft['leader'] or 'unknown'}, term {raft['term']}{cut_off}")
    if (change := agreed.change) is not None:
        what = f"change {change.number} on epoch {change.base}, by {change.by}"
        print(f"{what}: {change.phase.value}", change.reason)
        if change.absent:
            print(f"not there at the commit: {', '.join(change.absent)}")
    print("instance", "agent", "epoch", "standing", "heard", "", sep="\t")
    for name, told in status["instances"].items():
        number, heard = told.get("epoch"), told["heard_s"]
        lags = number is not None and number < epoch.number
        notes = ["lags"] * lags + [f"stale for {told['stale_s']} s"] * bool(told.get("stale_s"))
        verdict = change.verdicts.get(name, "") if change is not None else ""
        notes += [reason for reason in (told.get("reason"), verdict) if reason]
        cells = "-" if number is None else number, told.get("standing", "unknown")
        ago = "never" if heard is None else f"{heard} s"
        print(name, told["agent"], *cells, ago, "; ".join(notes), sep="\t")


def is_policy_file(path: Path) -> bool:
    """Whether a file has tables of policy alone, and so is checked as such by `maplestile check`."""
    tables = TomlTable(read(path), "", OperatorError).values
    return bool(tables) and "invoke" not in tables and "function" not in tables
