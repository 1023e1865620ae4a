"""The operator's file: functions, tenants, classes, workers and limits, in TOML.

The settings of the rest of the router are converted to the form of the platform's settings, so that both
kinds of configuration share one parser.
"""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from maplestile.common.toml_table import TomlTable
from maplestile.control.policy.document import AdoptedPolicy, Tables
from maplestile.control.policy.settings import PolicySettings, parse_policy_settings
from maplestile.invoke.operator_tables import (
    KEYED_SEMANTICS,
    ArrayTables,
    FunctionSettings,
    OperatorError,
    TenantSettings,
    read_array_tables,
)
from maplestile.membership.settings import MembershipSettingsError, membership_settings_from

__all__ = [
    "OperatorSettings",
    "OperatorError",
    "load_settings",
    "parse_settings",
    "parse_tables",
    "read_tables",
    "settings_from_tables",
]

DEFAULT_NAME = "maplestile"
TIMER_TICK_US = 4_000
LOAD_TIMEOUT_US = 10_000_000
STREAMS_PER_CONNECTION = 32  # attempts in flight on one connection to a worker
RECORDS_FOLDER = "records"  # in the folder of the operators' front
CONNECTION_IDLE_US = 15_000_000  # after this idle time a worker closes a connection
# The guarantees of every router with an operator's file; the file cannot change them.
GUARANTEES = {
    "answerSlackUs": 16_000,
    "drainGraceUs": 2_000_000,
    "startCapacity": 0.16,
    "coldUs": 18_000_000,
    "fallMultiple": 4.0,
    "overloadForUs": 2_000_000,
}


@dataclass(slots=True, frozen=True)
class OperatorSettings:
    """The settings in an operator's file: of the invoke front and, in `node`, of the rest of the router."""

    listen: str  # `host:port` of the invoke front
    functions: Mapping[str, FunctionSettings]
    tenants: Mapping[str, TenantSettings]
    deadlines_us: Mapping[str, int]  # default deadlines by class
    keyed: frozenset[str]  # classes whose calls are idempotent by their key
    records: int  # maximum number of invocation records
    record_us: int  # how long a record is kept after its deadline
    body_bytes: int  # maximum size of a request body
    max_deadline_us: int  # maximum deadline of a call
    connections: int  # maximum number of connections to the invoke front
    idle_s: float  # silence after which a connection without a request is closed
    node: Mapping[str, Any] = field(hash=False)  # in the form of the platform's settings
    policy: PolicySettings | None = None  # None if the policy is that of this file
    epoch: int = 0  # of the adopted policy; 0 if none was adopted
    records_folder: Path | None = None  # of the invocation records; None for memory alone


@dataclass(slots=True, frozen=True)
class SingleTables:
    """The tables that occur at most once in a file."""

    invoke: TomlTable
    limits: TomlTable
    rules: TomlTable
    platform: TomlTable
    names: TomlTable
    operation: TomlTable
    peers: TomlTable

    def reject_unknown_fields(self) -> None:
        """Check that no unknown field is left in any table. Raises OperatorError."""
        for table_field in fields(self):
            getattr(self, table_field.name).reject_unknown_fields()


def load_settings(path: Path) -> OperatorSettings:
    """Return the settings in a file. Raises ConfigError."""
    return settings_from_tables(read_tables(path))


def parse_settings(text: str) -> OperatorSettings:
    """Return the settings in the text of a file. Raises ConfigError."""
    return settings_from_tables(parse_tables(text))


def read_tables(path: Path) -> Tables:
    """Return the tables of a file without checking their fields. Raises OperatorError."""
    try:
        return parse_tables(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: {getattr(error, 'strerror', None) or error}") from None


def parse_tables(text: str) -> Tables:
    """Return the tables in the text of a file without checking their fields. Raises OperatorError."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(f"no TOML: {error}") from None


def settings_from_tables(tables: Mapping[str, Any], adopted: AdoptedPolicy | None = None) -> OperatorSettings:
    """Return the settings in the tables of a file. Raises ConfigError.

    An adopted policy replaces the policy of the file.
    """
    if adopted is not None and adopted.document is not None:
        tables = adopted.document.applied_to(tables)
    policy = parse_policy_settings(tables)
    root = TomlTable(tables, "", OperatorError)
    root.values.pop("policy", None)
    name = str(root.values.pop("name", DEFAULT_NAME))
    single = _read_single_tables(root)
    arrays = read_array_tables(root)
    node = _router_config(name, single, arrays)
    operator = _invoke_settings(single, arrays, node, policy, 0 if adopted is None else adopted.epoch)
    single.reject_unknown_fields()
    root.reject_unknown_fields()
    return operator


def _read_single_tables(root: TomlTable) -> SingleTables:
    return SingleTables(
        invoke=root.table("invoke"),
        limits=root.table("limits"),
        rules=root.table("rules"),
        platform=root.table("platform"),
        names=root.table("names"),
        operation=root.table("operation"),
        peers=root.table("peers"),
    )


def _invoke_settings(
    single: SingleTables,
    arrays: ArrayTables,
    node: Mapping[str, Any],
    policy: PolicySettings | None,
    epoch: int,
) -> OperatorSettings:
    limits = single.limits
    keyed = (call_class.name for call_class in arrays.classes if call_class.semantics == KEYED_SEMANTICS)
    return OperatorSettings(
        listen=single.invoke.address("listen"),
        functions=arrays.functions,
        tenants=arrays.tenants,
        deadlines_us={call_class.name: call_class.deadline_us for call_class in arrays.classes},
        keyed=frozenset(keyed),
        records=limits.integer("records", 1_000, minimum=1),
        record_us=int(limits.number("record_s", 60.0, minimum=0.1) * 1e6),
        body_bytes=limits.integer("body_bytes", 16 * 1024, minimum=1),
        max_deadline_us=int(limits.number("deadline_most_s", 60.0, minimum=0.01) * 1e6),
        connections=limits.integer("connections", 300, minimum=1),
        idle_s=limits.number("idle_s", 30.0, minimum=0.1),
        node=node,
        policy=policy,
        epoch=epoch,
        records_folder=_records_folder(single.invoke, node),
    )


def _records_folder(invoke: TomlTable, node: Mapping[str, Any]) -> Path | None:
    if folder := invoke.text("folder", ""):
        return Path(folder)
    return Path(node["folder"]) / RECORDS_FOLDER if node.get("folder") else None


# The configuration of the rest of the router, in the form of the platform's settings.


def _router_config(name: str, single: SingleTables, arrays: ArrayTables) -> dict[str, Any]:
    endpoints = {"all": True, "targets": list(arrays.workers)}
    config: dict[str, Any] = {
        "name": name,
        "settings": _router_settings(single, arrays),
        "limits": {"sockets": single.limits.integer("sockets", 1024, minimum=64)},
        "known": {"index": 0, "updates": [{"index": 0, "endpoints": endpoints}]},
    }
    if single.platform.values:
        config["listen"] = single.platform.address("listen")
    if single.names.values:
        config["dns"] = single.names.address("server")
    if single.operation.values:
        config["operator"] = single.operation.loopback("listen")
        config["folder"] = single.operation.text("folder", "")
    if single.peers.values:
        config["peers"] = _membership_table(single.peers)
    # `address()` above removed `server` from its table. So a file with a name server and no worker is
    # rejected too, although the error text says otherwise.
    if not arrays.workers and not single.names.values:
        raise OperatorError("worker: at least one [[worker]] or [names] server is needed")
    return config


def _router_settings(single: SingleTables, arrays: ArrayTables) -> dict[str, Any]:
    return {
        "grades": [service_class.router_settings() for service_class in arrays.classes],
        "tenants": [{"name": tenant} for tenant in arrays.tenants],
        "kinds": [kind.name for kind in arrays.kinds],
        "instances": single.rules.integer("routers", 1, minimum=1),
        "granularityUs": TIMER_TICK_US,
        "discovery": "push",
        "familyInfo": _family_info(single.rules, arrays),
        "limits": _router_limits(single.rules, single.limits),
        "guarantees": dict(GUARANTEES),
    }


def _family_info(rules: TomlTable, arrays: ArrayTables) -> dict[str, Any]:
    return {
        "orders": rules.boolean("orders", True),
        "whenAbsent": "load",
        "lingerIdleUs": int(rules.number("keep_s", 10.0, minimum=0.1) * 1e6),
        "machineMb": [kind.memory_mb for kind in arrays.kinds],
        "answerWithinUs": LOAD_TIMEOUT_US,
    }


def _router_limits(rules: TomlTable, limits: TomlTable) -> dict[str, Any]:
    return {
        "attemptsCap": rules.integer("attempts", 5, minimum=1),
        "cancelling": True,
        "mayDuplicate": rules.boolean("second_copies", True),
        "probes": True,
        "streamsPerConn": STREAMS_PER_CONNECTION,
        "idleCloseUs": CONNECTION_IDLE_US,
        "connectTimeoutUs": int(rules.number("connect_timeout_ms", 250.0, minimum=1) * 1e3),
        "maxOpen": limits.integer("open_requests", 2_000, minimum=1),
    }


def _membership_table(table: TomlTable) -> dict[str, Any]:
    """Return the `[peers]` table in the form of the platform's settings, checked by `membership.settings`."""
    config = {
        "listen": table.loopback("listen"),
        "seeds": table.values.pop("seeds", []),
        "advertise": table.loopback("advertise") if "advertise" in table.values else None,
        "periodUs": int(table.number("period_ms", 1000.0, minimum=10) * 1000),
        "ackUs": int(table.number("ack_ms", 400.0, minimum=1) * 1000),
        "lifeguard": table.boolean("lifeguard", True),
        "watchUs": int(table.number("watch_ms", 1000.0) * 1000),
    }
    try:
        membership_settings_from(config)
    except MembershipSettingsError as error:
        raise OperatorError(str(error)) from None
    return config
