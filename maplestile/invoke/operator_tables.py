"""The array tables of the operator's file: classes, functions, tenants, kinds of machine, and workers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from maplestile.common.toml_table import ConfigError, TomlTable

# The values of a class's `semantics`: from the operator's file to the platform's settings.
SEMANTICS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
KEYED_SEMANTICS = SEMANTICS["keyed"]
KEY_SCOPES = ("all", "zone", "cell")


class OperatorError(ConfigError):
    """An error in an operator's file; the message names the field."""


@dataclass(slots=True, frozen=True)
class FunctionSettings:
    """A function that the invoke API offers."""

    name: str
    class_name: str
    memory_mb: float  # of one copy
    lanes: int  # calls that one copy may run at a time


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """A tenant and its quota."""

    name: str
    max_open: int  # maximum number of open calls; 0 for no limit


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of calls, with its latency objective, deadline and rules for repeats."""

    name: str
    latency_objective_us: int
    deadline_us: int
    semantics: str  # a value of `SEMANTICS`
    key_scope: str  # deduplication scope: one of `KEY_SCOPES`
    key_window_us: int  # deduplication window
    late_value: float  # weight of an answer after the latency objective, against 1 for one in time

    def router_settings(self) -> dict[str, Any]:
        """Return the class in the form of the platform's settings."""
        return {
            "name": self.name,
            "aimUs": self.latency_objective_us,
            "deadlineUs": self.deadline_us,
            "semantics": self.semantics,
            "keyScope": self.key_scope,
            "windowUs": self.key_window_us,
            "lateValue": self.late_value,
        }


@dataclass(slots=True, frozen=True)
class MachineKind:
    """A kind of machine that workers run on."""

    name: str
    memory_mb: float  # for copies of functions


@dataclass(slots=True, frozen=True)
class ArrayTables:
    """The array tables of a file."""

    classes: tuple[ServiceClass, ...]
    functions: Mapping[str, FunctionSettings]
    tenants: Mapping[str, TenantSettings]
    kinds: tuple[MachineKind, ...]
    workers: tuple[dict[str, Any], ...]  # in the form of the endpoint list


def read_array_tables(root: TomlTable) -> ArrayTables:
    """Read the array tables of a file and remove them from `root`. Raises OperatorError."""
    classes = tuple(_parse_service_class(table) for table in _unique(root.tables("class")))
    class_names = tuple(service_class.name for service_class in classes)
    functions = [_parse_function(table, class_names) for table in _unique(root.tables("function"))]
    tenants = [_parse_tenant(table) for table in _unique(root.tables("tenant", needed=False))]
    kinds = tuple(_parse_kind(table) for table in _unique(root.tables("kind")))
    kind_names = tuple(kind.name for kind in kinds)
    workers = tuple(
        _parse_worker(table, kind_names) for table in _unique(root.tables("worker", needed=False), "id")
    )
    return ArrayTables(
        classes=classes,
        functions={function.name: function for function in functions},
        tenants={tenant.name: tenant for tenant in tenants},
        kinds=kinds,
        workers=workers,
    )


def _unique(tables: list[TomlTable], field: str = "name") -> list[TomlTable]:
    """Return the tables unchanged. Raises OperatorError if two have the same text in `field`."""
    seen = set[str]()
    for table in tables:
        value = table.values.get(field)
        if not isinstance(value, str):
            continue
        if value in seen:
            raise OperatorError(f"{table.path}.{field}: '{value}' stands twice")
        seen.add(value)
    return tables


def _parse_service_class(table: TomlTable) -> ServiceClass:
    objective_ms = table.number("aim_ms", minimum=1)
    service_class = ServiceClass(
        name=table.text("name"),
        latency_objective_us=int(objective_ms * 1e3),
        deadline_us=int(table.number("deadline_ms", minimum=objective_ms) * 1e3),
        semantics=SEMANTICS[table.choice("semantics", tuple(SEMANTICS))],
        key_scope=table.choice("scope", KEY_SCOPES, "all"),
        key_window_us=int(table.number("window_ms", 0.0) * 1e3),
        late_value=table.number("late_priority_weight", 0.0),
    )
    table.reject_unknown_fields()
    return service_class


def _parse_function(table: TomlTable, class_names: tuple[str, ...]) -> FunctionSettings:
    function = FunctionSettings(
        name=table.text("name"),
        class_name=table.choice("class", class_names),
        memory_mb=table.number("memory_mb", minimum=0.1),
        lanes=table.integer("lanes", 1, minimum=1),
    )
    table.reject_unknown_fields()
    return function


def _parse_tenant(table: TomlTable) -> TenantSettings:
    tenant = TenantSettings(table.text("name"), table.integer("open_most", 0))
    table.reject_unknown_fields()
    return tenant


def _parse_kind(table: TomlTable) -> MachineKind:
    kind = MachineKind(table.text("name"), table.number("memory_mb", minimum=1))
    table.reject_unknown_fields()
    return kind


def _parse_worker(table: TomlTable, kind_names: tuple[str, ...]) -> dict[str, Any]:
    worker = {
        "uid": table.text("id"),
        "endpoint": table.address("address"),
        "az": table.text("zone", ""),
        "model": table.choice("kind", kind_names, kind_names[0]),
        "pod_group": table.integer("cell", 0),
        "state": "Ready",
        "capacity_hint": table.number("weight", 1.0, minimum=0.001),
        "boot_ms": 0,
    }
    table.reject_unknown_fields()
    return worker
