"""The operator's file: functions, tenants, classes, workers and limits, in TOML.

What the core needs of it is put into the platform's form, so that one parser serves both fronts."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import ConfigError, TomlTable
from maplestile.control.policy.document import AdoptedPolicy, Tables
from maplestile.control.policy.settings import PolicySettings, plan_of
from maplestile.membership.settings import MembershipSettingsError, plan_from

SEMANTICS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
SCOPES = ("all", "zone", "cell")


class OperatorError(ConfigError):
    """A file that cannot be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class Function:
    name: str
    class_name: str
    memory_mb: float
    lanes: int


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    open_most: int  # calls in hand at a time; 0 for no limit


@dataclass(slots=True, frozen=True)
class Operator:
    """What the invoke front is told; `node` is what the rest of the program is told."""

    listen: str
    functions: Mapping[str, Function]
    tenants: Mapping[str, Tenant]
    deadlines_us: Mapping[str, int]
    keyed: frozenset[str]
    records: int
    record_us: int
    body_bytes: int
    deadline_most_us: int
    connections: int
    idle_s: float
    node: Mapping[str, Any] = field(hash=False)
    policy: PolicySettings | None = None  # where the fleet decides on it
    epoch: int = 0


def load(path: Path) -> Operator:
    return from_tables(read(path))


def read(path: Path) -> Tables:
    """The tables of a file, unchecked."""
    try:
        return tables_of(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as fault:
        raise OperatorError(f"{path}: {getattr(fault, 'strerror', None) or fault}") from None


def tables_of(text: str) -> Tables:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        raise OperatorError(f"no TOML: {fault}") from None


def parse(text: str) -> Operator:
    return from_tables(tables_of(text))


def from_tables(tables: Mapping[str, Any], adopted: AdoptedPolicy | None = None) -> Operator:
    """With the policy of that epoch in the place of the file's own."""
    if adopted is not None and adopted.document is not None:
        tables = adopted.document.over(tables)
    policy, root = plan_of(tables), TomlTable(tables, "", OperatorError)
    root.values.pop("policy", None)
    name = str(root.values.pop("name", "maplestile"))
    invoke, limits, rules = root.table("invoke"), root.table("limits"), root.table("rules")
    platform, names, operation = root.table("platform"), root.table("names"), root.table("operation")
    peers = root.table("peers")
    grades = [_grade(table) for table in _unique(root.tables("class"))]
    classes = {grade["name"]: grade for grade in grades}
    functions = {f.name: f for f in (_function(t, classes) for t in _unique(root.tables("function")))}
    tenants = {t.name: t for t in (_tenant(t) for t in _unique(root.tables("tenant", needed=False)))}
    kinds = [_kind(table) for table in _unique(root.tables("kind"))]
    kind_names = tuple(kind[0] for kind in kinds)
    workers = [_worker(t, kind_names) for t in _unique(root.tables("worker", needed=False), "id")]
    node: dict[str, Any] = {
        "name": name,
        "settings": {
            "grades": grades,
            "tenants": [{"name": tenant} for tenant in tenants],
            "kinds": list(kind_names),
            "instances": rules.whole("routers", 1, least=1),
            "granularityUs": 4_000,
            "discovery": "push",
            "familyInfo": {
                "orders": rules.flag("orders", True),
                "whenAbsent": "load",
                "lingerIdleUs": int(rules.number("keep_s", 10.0, least=0.1) * 1e6),
                "machineMb": [kind[1] for kind in kinds],
                "answerWithinUs": 10_000_000,
            },
            "limits": {
                "attemptsCap": rules.whole("attempts", 5, least=1),
                "cancelling": True,
                "mayDuplicate": rules.flag("second_copies", True),
                "probes": True,
                "streamsPerConn": 32,
                "idleCloseUs": 15_000_000,
                "connectTimeoutUs": int(rules.number("connect_timeout_ms", 250.0, least=1) * 1e3),
                "maxOpen": limits.whole("open_requests", 2_000, least=1),
            },
            "guarantees": {
                "answerSlackUs": 16_000,
                "drainGraceUs": 2_000_000,
                "startCapacity": 0.16,
                "coldUs": 18_000_000,
                "fallMultiple": 4.0,
                "overloadForUs": 2_000_000,
            },
        },
        "limits": {"sockets": limits.whole("sockets", 1024, least=64)},
        "known": {"index": 0, "updates": [{"index": 0, "endpoints": {"all": True, "targets": workers}}]},
    }
    if platform.values:
        node["listen"] = platform.address("listen")
    if names.values:
        node["dns"] = names.address("server")
    if operation.values:
        node |= {"operator": operation.loopback("listen"), "folder": operation.text("folder", "")}
    if peers.values:
        node["peers"] = _peers(peers)
    if not workers and not names.values:
        raise OperatorError("worker: at least one [[worker]] or [names] server is needed")
    operator = Operator(
        listen=invoke.address("listen"),
        functions=functions,
        tenants=tenants,
        deadlines_us={grade["name"]: grade["deadlineUs"] for grade in grades},
        keyed=frozenset(grade["name"] for grade in grades if grade["semantics"] == "guarded"),
        records=limits.whole("records", 1_000, least=1),
        record_us=int(limits.number("record_s", 60.0, least=0.1) * 1e6),
        body_bytes=limits.whole("body_bytes", 16 * 1024, least=1),
        deadline_most_us=int(limits.number("deadline_most_s", 60.0, least=0.01) * 1e6),
        connections=limits.whole("connections", 300, least=1),
        idle_s=limits.number("idle_s", 30.0, least=0.1),
        node=node,
        policy=policy,
        epoch=0 if adopted is None else adopted.epoch,
    )
    for table in (invoke, limits, rules, platform, names, operation, peers, root):
        table.end()
    return operator


def _peers(table: TomlTable) -> dict[str, Any]:
    """Membership among instances: checked here by its fields, and whole by `peers.plan`."""
    told = {
        "listen": table.loopback("listen"),
        "seeds": table.values.pop("seeds", []),
        "advertise": table.loopback("advertise") if "advertise" in table.values else None,
        "periodUs": int(table.number("period_ms", 1000.0, least=10) * 1000),
        "ackUs": int(table.number("ack_ms", 400.0, least=1) * 1000),
        "lifeguard": table.flag("lifeguard", True),
        "watchUs": int(table.number("watch_ms", 1000.0) * 1000),
    }
    try:
        plan_from(told)
    except MembershipSettingsError as fault:
        raise OperatorError(str(fault)) from None
    return told


def _unique(tables: list[TomlTable], name: str = "name") -> list[TomlTable]:
    seen = set[object]()
    for table in tables:
        value = table.values.get(name)
        if isinstance(value, str) and value in seen:
            raise OperatorError(f"{table.path}.{name}: '{value}' stands twice")
        seen.add(value if isinstance(value, str) else id(table))
    return tables


def _grade(table: TomlTable) -> dict[str, Any]:
    aim = table.number("aim_ms", least=1)
    grade = {
        "name": table.text("name"),
        "aimUs": int(aim * 1e3),
        "deadlineUs": int(table.number("deadline_ms", least=aim) * 1e3),
        "semantics": SEMANTICS[table.choice("semantics", tuple(SEMANTICS))],
        "keyScope": table.choice("scope", SCOPES, "all"),
        "windowUs": int(table.number("window_ms", 0.0) * 1e3),
        "lateValue": table.number("late_priority_weight", 0.0),
    }
    table.end()
    return grade


def _function(table: TomlTable, classes: Mapping[str, object]) -> Function:
    function = Function(
        table.text("name"),
        table.choice("class", tuple(classes)),
        table.number("memory_mb", least=0.1),
        table.whole("lanes", 1, least=1),
    )
    table.end()
    return function


def _tenant(table: TomlTable) -> Tenant:
    tenant = Tenant(table.text("name"), table.whole("open_most", 0))
    table.end()
    return tenant


def _kind(table: TomlTable) -> tuple[str, float]:
    kind = table.text("name"), table.number("memory_mb", least=1)
    table.end()
    return kind


def _worker(table: TomlTable, kinds: tuple[str, ...]) -> dict[str, Any]:
    worker = {
        "uid": table.text("id"),
        "endpoint": table.address("address"),
        "az": table.text("zone", ""),
        "model": table.choice("kind", kinds, kinds[0]),
        "pod_group": table.whole("cell", 0),
        "state": "Ready",
        "capacity_hint": table.number("weight", 1.0, least=0.001),
        "boot_ms": 0,
    }
    table.end()
    return worker
