"""The `[policy]` table of an operator's file, which makes a router follow the fleet's policy.

[policy]                          # requires [operation] listen, where the agent announces committed epochs
folder = "/var/lib/maplestile/r1" # holds the last committed epoch
stale_s = 5                       # without an announcement for this long, the router reports a stale policy
wait_s = 10                       # a router that starts cut off applies its stored epoch after this time
trace = false                     # logs an event for each attempt with its epoch, for tools that check them
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
    """A router's settings for the fleet's policy."""

    folder: Path  # holds the last committed epoch
    timeouts: FollowerTimeouts
    trace: bool = False  # whether to log an event for each attempt with its epoch


def parse_policy_settings(tables: Mapping[str, Any]) -> PolicySettings | None:
    """Parse the settings of an operator's file; return None if it has no `[policy]` table.

    Raises PolicyError, which names the invalid field.
    """
    if "policy" not in tables:
        return None
    table = TomlTable(tables["policy"], "policy", PolicyError)
    operation = TomlTable(tables.get("operation", {}), "operation", PolicyError)
    if "listen" not in operation.values:
        raise PolicyError("policy: needs [operation] listen: there its agent tells what is committed")
    settings = PolicySettings(
        Path(table.text("folder")), _parse_timeouts(table), table.boolean("trace", False)
    )
    table.reject_unknown_fields()
    return settings


def _parse_timeouts(table: TomlTable) -> FollowerTimeouts:
    return FollowerTimeouts(
        stale_us=int(table.number("stale_s", 5.0, minimum=0.5) * US_PER_S),
        wait_us=int(table.number("wait_s", 10.0, minimum=0.1) * US_PER_S),
    )
