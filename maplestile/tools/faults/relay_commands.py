"""The typed commands and replies of the relay's control port, and their JSON encoding."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from maplestile.common.address import Address, parse_address
from maplestile.common.toml_table import TomlTable
from maplestile.tools.faults.schedule import FaultKind, Net, Schedule, ScheduleError, schedule_from

COMMANDS = ("udp", "tcp", "begin", "heal", "counts")
NO_DELAY = Net(loss=0.0, delay_us=0, jitter_us=0)


@dataclass(slots=True, frozen=True)
class RegisterMember:
    """`udp`: register the address of a member's real socket."""

    member: int
    address: Address


@dataclass(slots=True, frozen=True)
class OpenLink:
    """`tcp`: open a front for connections from one member to the listener of another at `address`."""

    origin: int
    target: int
    address: Address


@dataclass(slots=True, frozen=True)
class Begin:
    """`begin`: start a schedule."""

    schedule: Schedule


@dataclass(slots=True, frozen=True)
class Heal:
    """`heal`: end all faults."""


@dataclass(slots=True, frozen=True)
class ReadCounts:
    """`counts`: read the counters of datagrams, chunks and connections."""


Command = RegisterMember | OpenLink | Begin | Heal | ReadCounts


@dataclass(slots=True, frozen=True)
class Done:
    """The reply to a command that returns no data."""


@dataclass(slots=True, frozen=True)
class LinkOpened:
    """The reply to `tcp`."""

    front: Address


@dataclass(slots=True, frozen=True)
class ScheduleStarted:
    """The reply to `begin`."""

    not_played: tuple[FaultKind, ...]  # the kind of each fault that the relay does not carry out


@dataclass(slots=True, frozen=True)
class Counts:
    """The reply to `counts`."""

    counts: Mapping[str, int]


Reply = Done | LinkOpened | ScheduleStarted | Counts


def parse(line: bytes) -> TomlTable:
    """Parse a line into a table of fields. Raises `ScheduleError`."""
    try:
        values = json.loads(line)
    except ValueError:
        raise ScheduleError("not JSON") from None
    return TomlTable(values, "", ScheduleError)


def decode(table: TomlTable, default: Schedule) -> Command:
    """Decode the command in a table, and remove its fields from the table.

    `default` is the schedule with which the relay was started. Raises `ScheduleError`, which names the field.
    """
    last_member = default.members - 1
    match table.choice("do", COMMANDS):
        case "udp":
            member = table.integer("member", maximum=last_member)
            return RegisterMember(member, parse_address(table.loopback("address")))
        case "tcp":
            origin = table.integer("from", maximum=last_member)
            target = table.integer("to", maximum=last_member)
            return OpenLink(origin, target, parse_address(table.loopback("address")))
        case "begin":
            return Begin(_decode_schedule(table, default))
        case "heal":
            return Heal()
    return ReadCounts()


def encode(reply: Reply) -> dict[str, Any]:
    """Return the JSON object of a reply."""
    match reply:
        case LinkOpened((host, port)):
            return {"ok": True, "front": f"{host}:{port}"}
        case ScheduleStarted(not_played):
            return {"ok": True, "not_played": [kind.value for kind in not_played]}
        case Counts(counts):
            return {"ok": True, "counts": dict(sorted(counts.items()))}
    return {"ok": True}


def _decode_schedule(command: TomlTable, default: Schedule) -> Schedule:
    if "schedule" not in command.values:
        return default
    table = command.table("schedule")
    has_net = "net" in table.values
    table.values = {"seed": default.seed, **table.values, "members": default.members}
    schedule = schedule_from(table)
    table.reject_unknown_fields()
    # A schedule without a `net` table delays and loses nothing on the links.
    return schedule if has_net else replace(schedule, net=NO_DELAY)
