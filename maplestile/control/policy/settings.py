"""The `[policy]` table of an operator's file: this router's policy is agreed on by the fleet.

[policy]                          # needs [operation], by which its agent announces what is committed
folder = "/var/lib/maplestile/r1" # the last committed epoch is kept there
stale_s = 5                       # no announcement for so long: cut off, and its epoch may be old
wait_s = 10                       # a router that starts cut off serves by its record after so long
trace = false                     # an event for each attempt, with its epoch, for checkers
"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import TomlTable
from maplestile.control.policy.document import PolicyError
from maplestile.control.policy.follower import FollowerTimeouts

US_PER_S = 1e6


@dataclass(slots=True, frozen=True)
class PolicySettings:
    """A router's part in the agreed policy."""

    folder: Path
    timeouts: FollowerTimeouts
    trace: bool = False


def policy_settings_of(tables: Mapping[str, Any]) -> PolicySettings | None:
    """The settings of an operator's file; None where it has no such table.

    Raises PolicyError naming the field.
    """
    if "policy" not in tables:
        return None
    table = TomlTable(tables["policy"], "policy", PolicyError)
    operation = TomlTable(tables.get("operation", {}), "operation", PolicyError)
    if "listen" not in operation.values:
        raise PolicyError("policy: needs [operation] listen: there its agent tells what is committed")
    settings = PolicySettings(Path(table.text("folder")), _timeouts(table), table.flag("trace", False))
    table.end()
    return settings


def _timeouts(table: TomlTable) -> FollowerTimeouts:
    return FollowerTimeouts(
        stale_us=int(table.number("stale_s", 5.0, minimum=0.5) * US_PER_S),
        wait_us=int(table.number("wait_s", 10.0, minimum=0.1) * US_PER_S),
    )
