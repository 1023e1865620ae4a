"""The `[control]` and `[[voter]]` tables of an agent's settings file.

    [control]
    name = "a1"                       # this agent
    listen = "127.0.0.1:7401"         # TCP address for Raft, loopback only
    folder = "/var/lib/maplestile/a1" # the Raft journal and snapshots, kept across restarts
    budget = 1                        # default budget of a rollout: a count, or a share such as "25%"
    step_s = 60                       # the rollout halts if a step takes longer
    failed_most = 0.1                 # it also halts if an instance fails a larger share of its calls

    [[voter]]                         # one table for each voter, also for this agent
    name = "a1"
    address = "127.0.0.1:7401"
    reach = "127.0.0.1:8401"          # address that this agent connects to instead, such as that of a relay

There are three or five voters, and all of them list the same ones. An agent that is not a voter omits
`listen` and `folder`, and lists the agents of voters through which it submits commands:
`ask = ["127.0.0.1:7070", ...]`.
"""

from dataclasses import dataclass
from pathlib import Path

from maplestile.common.address import Address, parse_address
from maplestile.common.errors import CommandRejected
from maplestile.common.toml_table import TomlTable
from maplestile.control.budget import parse_budget
from maplestile.control.rollout_planner import RolloutRules

VOTER_COUNTS = (1, 3, 5)  # a single voter is for experiments only: it tolerates no failure
EXAMPLE_FLEET_SIZE = 100  # any positive number: only the format of the budget is checked
US_PER_S = 1e6


@dataclass(slots=True, frozen=True)
class Voter:
    """An agent that takes part in Raft, and its addresses."""

    name: str
    address: str  # host:port that identifies the voter, the same at all voters
    reach: str  # host:port that this agent connects to


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """An agent's settings for the control plane."""

    name: str  # of this agent
    listen: str  # host:port for Raft; "" for an agent that is not a voter
    folder: Path | None  # of the Raft journal and snapshots; None for an agent that is not a voter
    voters: tuple[Voter, ...]  # all voters; may be empty for an agent that is not a voter
    voter_agents: tuple[Address, ...]  # agents of voters through which a non-voter submits commands
    budget: int | str  # default of a rollout: a count, or a share such as "25%"
    rules: RolloutRules


def parse_control_settings(table: TomlTable, voters: list[TomlTable]) -> ControlSettings:
    """Parse the settings. Raises the error type of the table, naming the invalid field."""
    rules = _parse_rules(table)
    budget = _parse_budget(table)
    name = table.text("name")
    listen = table.loopback("listen") if "listen" in table.values else ""
    folder = Path(table.text("folder")) if listen else None
    voter_agents = _parse_voter_agents(table)
    parsed_voters = tuple(_parse_voter(voter) for voter in voters)
    names = [voter.name for voter in parsed_voters]
    if listen and (len(parsed_voters) not in VOTER_COUNTS or name not in names):
        raise table.field_error(
            "name", "must be the name of a [[voter]] table, of which there must be one, three or five"
        )
    if len(set(names)) < len(names):
        raise table.field_error("voter", "duplicate name")
    if not listen and not voter_agents:
        raise table.field_error("ask", "required without 'listen': the addresses of the voters' agents")
    table.reject_unknown_fields()
    return ControlSettings(name, listen, folder, parsed_voters, voter_agents, budget, rules)


def _parse_rules(table: TomlTable) -> RolloutRules:
    return RolloutRules(
        step_us=int(table.number("step_s", 60.0, minimum=0.1) * US_PER_S),
        settle_us=int(table.number("settle_s", 1.0) * US_PER_S),
        max_failed_share=table.number("failed_most", 0.1, maximum=1.0),
        min_calls=table.integer("calls_least", 20, minimum=1),
    )


def _parse_budget(table: TomlTable) -> int | str:
    budget: int | str = table.values.pop("budget", 1)
    try:
        parse_budget(budget, EXAMPLE_FLEET_SIZE)
    except CommandRejected as rejection:
        raise table.error(f"{table.field_path('budget')}: {rejection}") from None
    return budget


def _parse_voter_agents(table: TomlTable) -> tuple[Address, ...]:
    addresses = table.values.pop("ask", [])
    if not isinstance(addresses, list) or not all(isinstance(address, str) for address in addresses):
        raise table.field_error("ask", "must be a list of host:port addresses")
    return tuple(_parse_loopback_address(table, address) for address in addresses)


def _parse_loopback_address(table: TomlTable, address: str) -> Address:
    return parse_address(TomlTable({"ask": address}, table.path, table.error).loopback("ask"))


def _parse_voter(table: TomlTable) -> Voter:
    address = table.loopback("address")
    reach = table.loopback("reach") if "reach" in table.values else address
    voter = Voter(table.text("name"), address, reach)
    table.reject_unknown_fields()
    return voter
