"""The array tables of the operator's file: classes, functions, tenants, kinds of machine, and workers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from maplestile.common.toml_table import ConfigError, TomlTable

# The names of a class's `semantics` in the router's settings.
SEMANTICS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
KEYED_SEMANTICS = SEMANTICS["keyed"]
KEY_SCOPES = ("all", "zone", "cell")


class OperatorError(ConfigError):
    """A file that cannot be used; the text names the field."""


@dataclass(slots=True, frozen=True)
class FunctionSettings:
    """A function that the invoke API offers."""

    name: str
    class_name: str
    memory_mb: float
    lanes: int


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """A tenant and its quota."""

    name: str
    max_open: int  # calls in flight at a time; 0 for no limit


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of calls."""

    name: str
    latency_objective_us: int
    deadline_us: int
    semantics: str  # as in the router's settings
    key_scope: str
    key_window_us: int
    late_value: float

    def router_settings(self) -> dict[str, Any]:
        """Return the class in the form of the router's settings."""
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
    memory_mb: float


@dataclass(slots=True, frozen=True)
class ArrayTables:
    """The array tables of a file; workers in the form of the endpoint list."""

    classes: tuple[ServiceClass, ...]
    functions: Mapping[str, FunctionSettings]
    tenants: Mapping[str, TenantSettings]
    kinds: tuple[MachineKind, ...]
    workers: tuple[dict[str, Any], ...]


def read_array_tables(root: TomlTable) -> ArrayTables:
    """Take the array tables out of a file. Raises OperatorError."""
    classes = tuple(_service_class(table) for table in _unique(root.tables("class")))
    class_names = tuple(service_class.name for service_class in classes)
    functions = [_function(table, class_names) for table in _unique(root.tables("function"))]
    tenants = [_tenant(table) for table in _unique(root.tables("tenant", needed=False))]
    kinds = tuple(_kind(table) for table in _unique(root.tables("kind")))
    kind_names = tuple(kind.name for kind in kinds)
    workers = tuple(
        _worker(table, kind_names) for table in _unique(root.tables("worker", needed=False), "id")
    )
    return ArrayTables(
        classes=classes,
        functions={function.name: function for function in functions},
        tenants={tenant.name: tenant for tenant in tenants},
        kinds=kinds,
        workers=workers,
    )


def _unique(tables: list[TomlTable], field: str = "name") -> list[TomlTable]:
    """Return the tables. Raises OperatorError where two have the same text in the field."""
    seen = set[str]()
    for table in tables:
        value = table.values.get(field)
        if not isinstance(value, str):
            continue
        if value in seen:
            raise OperatorError(f"{table.path}.{field}: '{value}' stands twice")
        seen.add(value)
    return tables


def _service_class(table: TomlTable) -> ServiceClass:
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
    table.end()
    return service_class


def _function(table: TomlTable, class_names: tuple[str, ...]) -> FunctionSettings:
    function = FunctionSettings(
        name=table.text("name"),
        class_name=table.choice("class", class_names),
        memory_mb=table.number("memory_mb", minimum=0.1),
        lanes=table.whole("lanes", 1, minimum=1),
    )
    table.end()
    return function


def _tenant(table: TomlTable) -> TenantSettings:
    tenant = TenantSettings(table.text("name"), table.whole("open_most", 0))
    table.end()
    return tenant


def _kind(table: TomlTable) -> MachineKind:
    kind = MachineKind(table.text("name"), table.number("memory_mb", minimum=1))
    table.end()
    return kind


def _worker(table: TomlTable, kind_names: tuple[str, ...]) -> dict[str, Any]:
    worker = {
        "uid": table.text("id"),
        "endpoint": table.address("address"),
        "az": table.text("zone", ""),
        "model": table.choice("kind", kind_names, kind_names[0]),
        "pod_group": table.whole("cell", 0),
        "state": "Ready",
        "capacity_hint": table.number("weight", 1.0, minimum=0.001),
        "boot_ms": 0,
    }
    table.end()
    return worker
