"""The `[policy]` table of an operator's file: this router's policy is the fleet's matter.

[policy]                          # needs [operation], by which its agent tells it what is committed
folder = "/var/lib/maplestile/r1" # the last committed epoch is kept there
stale_s = 5                       # nothing heard for so long: cut off, and its epoch may be old
wait_s = 10                       # a router that starts cut off serves by its record after so long
trace = false                     # an event for each attempt, with its epoch, for checkers"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import TomlTable
from maplestile.control.policy.document import PolicyError
from maplestile.control.policy.follower import Rules


@dataclass(slots=True, frozen=True)
class PolicySettings:
    folder: Path
    rules: Rules
    trace: bool = False


def plan_of(tables: Mapping[str, Any]) -> PolicySettings | None:
    """Of an operator's file; None where it has no such table. Raises PolicyError naming the field."""
    if "policy" not in tables:
        return None
    table = TomlTable(tables["policy"], "policy", PolicyError)
    if "listen" not in TomlTable(tables.get("operation", {}), "operation", PolicyError).values:
        raise PolicyError("policy: needs [operation] listen: there its agent tells what is committed")
    plan = PolicySettings(
        Path(table.text("folder")),
        Rules(
            stale_us=int(table.number("stale_s", 5.0, least=0.5) * 1e6),
            wait_us=int(table.number("wait_s", 10.0, least=0.1) * 1e6),
        ),
        table.flag("trace", False),
    )
    table.end()
    return plan
