"""The `[control]` table of an agent's file.

    [control]
    listen = "127.0.0.1:7401"         # Raft, TCP, loopback only
    folder = "/var/lib/maplestile/a1" # its journal and snapshots outlive the process
    budget = 1                        # of a rollout that names none: a count, or a share such as "25%"
    step_s = 60                       # a step that takes longer halts the rollout
    failed_most = 0.1                 # share of failed calls of a released instance that halts it

    [[voter]]                         # three or five, this agent among them; the same at all of them
    name = "a1"
    address = "127.0.0.1:7401"
    reach = "127.0.0.1:8401"          # where this agent reaches it, if not there (a relay between)

An agent that is no voter leaves `listen` and `folder` out, names itself by `name`, and names the agents of
voters that it submits to by `ask = ["127.0.0.1:7070", ...]`.
"""

from dataclasses import dataclass
from pathlib import Path

from maplestile.common.address import Address, parse_address
from maplestile.common.errors import CommandRejected
from maplestile.common.toml_table import TomlTable
from maplestile.control.budget import budget_of
from maplestile.control.rollout_planner import RolloutRules

VOTER_COUNTS = (1, 3, 5)  # one is for trying things out: it outlives no failure
INSTANCES_FOR_CHECK = 100  # any number does: only the form of a budget is checked here
US_PER_S = 1e6


@dataclass(slots=True, frozen=True)
class Voter:
    """An agent that takes part in the consensus, and where it is reached."""

    name: str
    address: str
    reach: str


@dataclass(slots=True, frozen=True)
class ControlSettings:
    """An agent's part in the control plane."""

    name: str  # of this agent
    listen: str  # "" for one that is no voter
    folder: Path | None
    voters: tuple[Voter, ...]
    voter_agents: tuple[Address, ...]  # that an agent which is no voter submits to
    budget: int | str
    rules: RolloutRules


def control_from(table: TomlTable, voters: list[TomlTable]) -> ControlSettings:
    """The settings of a file's tables. Raises the table's own error, naming the field."""
    rules = _rules(table)
    budget = _budget(table)
    name = table.text("name")
    listen = table.loopback("listen") if "listen" in table.values else ""
    folder = Path(table.text("folder")) if listen else None
    voter_agents = _voter_agents(table)
    named = tuple(_voter(voter) for voter in voters)
    names = [voter.name for voter in named]
    if listen and (len(named) not in VOTER_COUNTS or name not in names):
        raise table.wrong("name", "must be one of one, three or five [[voter]]")
    if len(set(names)) < len(names):
        raise table.wrong("voter", "a name stands twice")
    if not listen and not voter_agents:
        raise table.wrong("ask", "must name agents of voters where there is no 'listen'")
    table.end()
    return ControlSettings(name, listen, folder, named, voter_agents, budget, rules)


def _rules(table: TomlTable) -> RolloutRules:
    return RolloutRules(
        step_us=int(table.number("step_s", 60.0, minimum=0.1) * US_PER_S),
        settle_us=int(table.number("settle_s", 1.0) * US_PER_S),
        max_failed_share=table.number("failed_most", 0.1, maximum=1.0),
        min_calls=table.whole("calls_least", 20, minimum=1),
    )


def _budget(table: TomlTable) -> int | str:
    budget: int | str = table.values.pop("budget", 1)
    try:
        budget_of(budget, INSTANCES_FOR_CHECK)
    except CommandRejected as refusal:
        raise table.error(f"{table.place('budget')}: {refusal}") from None
    return budget


def _voter_agents(table: TomlTable) -> tuple[Address, ...]:
    addresses = table.values.pop("ask", [])
    if not isinstance(addresses, list) or not all(isinstance(address, str) for address in addresses):
        raise table.wrong("ask", "must be a list of host:port")
    return tuple(_loopback_address(table, address) for address in addresses)


def _loopback_address(table: TomlTable, address: str) -> Address:
    return parse_address(TomlTable({"ask": address}, table.path, table.error).loopback("ask"))


def _voter(table: TomlTable) -> Voter:
    address = table.loopback("address")
    reach = table.loopback("reach") if "reach" in table.values else address
    voter = Voter(table.text("name"), address, reach)
    table.end()
    return voter
