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

An agent that is no voter leaves `listen` and `folder` out, names itself by `name`, and tells the agents it
asks by `ask = ["127.0.0.1:7070", ...]`."""

from dataclasses import dataclass
from pathlib import Path

from maplestile.common.address import Address, parse_address
from maplestile.common.errors import CommandRejected
from maplestile.common.toml_table import TomlTable
from maplestile.control.rollout_planner import Rules
from maplestile.control.state import budget_of

VOTERS = (1, 3, 5)  # one is for trying things out: it outlives no failure


@dataclass(slots=True, frozen=True)
class Voter:
    name: str
    address: str
    reach: str


@dataclass(slots=True, frozen=True)
class ControlSettings:
    name: str  # of this agent
    listen: str  # "" for one that is no voter
    folder: Path | None
    voters: tuple[Voter, ...]
    ask: tuple[Address, ...]  # agents of voters, by those that are none themselves
    budget: int | str
    rules: Rules


def control_from(table: TomlTable, voters: list[TomlTable]) -> ControlSettings:
    """Raises the table's own error, naming the field."""
    rules = Rules(
        step_us=int(table.number("step_s", 60.0, least=0.1) * 1e6),
        settle_us=int(table.number("settle_s", 1.0) * 1e6),
        failed_most=table.number("failed_most", 0.1, most=1.0),
        calls_least=table.whole("calls_least", 20, least=1),
    )
    budget = table.values.pop("budget", 1)
    try:
        budget_of(budget, 100)
    except CommandRejected as refusal:
        raise table.error(f"{table.place('budget')}: {refusal}") from None
    name, listen = table.text("name"), table.loopback("listen") if "listen" in table.values else ""
    folder = Path(table.text("folder")) if listen else None
    asked = table.values.pop("ask", [])
    if not isinstance(asked, list) or not all(isinstance(one, str) for one in asked):
        raise table.wrong("ask", "must be a list of host:port")
    ask = tuple(
        parse_address(TomlTable({"ask": one}, table.path, table.error).loopback("ask")) for one in asked
    )
    named = tuple(_voter(voter) for voter in voters)
    if listen and (len(named) not in VOTERS or name not in [voter.name for voter in named]):
        raise table.wrong("name", "must be one of one, three or five [[voter]]")
    if len({voter.name for voter in named}) < len(named):
        raise table.wrong("voter", "a name stands twice")
    if not listen and not ask:
        raise table.wrong("ask", "must name agents of voters where there is no 'listen'")
    table.end()
    return ControlSettings(name, listen, folder, named, ask, budget, rules)


def _voter(table: TomlTable) -> Voter:
    address = table.loopback("address")
    reach = table.loopback("reach") if "reach" in table.values else address
    voter = Voter(table.text("name"), address, reach)
    table.end()
    return voter
