"""Tests that each container of the data path that may grow has a bound, and each timer an end.

Guards against the faults of issue 64: input, records or timers that are bounded for each connection or by the
time of a caller, but not for all of them together. A new container has to be listed with its bound.
"""

import ast
from collections.abc import Iterator

from tests.bounded_containers import BOUNDS
from tests.standins import ROOT

PACKAGES = ("net", "requests", "dispatch", "wire", "invoke")
CONTAINER_TYPES = frozenset(("dict", "list", "set", "deque", "bytearray", "Counter", "defaultdict"))
DISPLAYS = (ast.Dict, ast.List, ast.Set, ast.DictComp, ast.ListComp, ast.SetComp)
TIMER_METHODS = frozenset(("call_at", "_call_at", "set_timer"))
# By module and function: why a timer that is set there need not be cancelled.
ENDLESS_TIMERS = {
    ("requests/attempts.py", "_end_unwritten_soon"),  # due in the next tick
    ("requests/request_intake.py", "prepare_exit"),  # once in a process
    ("requests/timers.py", "run_due"),  # due in the next tick
    ("dispatch/dispatcher.py", "_on_worker_list"),  # one at a time
    ("dispatch/dispatcher.py", "_sweep"),  # one at a time
    ("dispatch/call_router.py", "hold"),  # one for each function, due soon
    ("invoke/record_journal.py", "_retry_later"),  # one at a time
}


def nodes_of_data_path() -> Iterator[tuple[str, ast.AST]]:
    """Yield each syntax node of the data path, with its module as `package/module.py`."""
    for package in PACKAGES:
        for file in sorted((ROOT / "maplestile" / package).glob("*.py")):
            for node in ast.walk(ast.parse(file.read_text())):
                yield f"{package}/{file.name}", node


def is_container(node: ast.expr | None) -> bool:
    """Return whether an expression makes a container that may grow."""
    if isinstance(node, DISPLAYS):
        return True
    if not isinstance(node, ast.Call):
        return False
    if name_of(node.func) != "field":
        return name_of(node.func) in CONTAINER_TYPES
    factories = [keyword.value for keyword in node.keywords if keyword.arg == "default_factory"]
    return any(name_of(factory) in CONTAINER_TYPES for factory in factories)


def name_of(node: ast.expr) -> str:
    """Return the name of a type, also of one with parameters; empty if it is no name."""
    node = node.value if isinstance(node, ast.Subscript) else node
    return node.id if isinstance(node, ast.Name) else ""


def containers() -> Iterator[str]:
    """Yield each container of a class of the data path, as `package/module.py:Class.name`."""
    for module, node in nodes_of_data_path():
        if isinstance(node, ast.ClassDef):
            for name in container_attributes(node):
                yield f"{module}:{node.name}.{name}"


def container_attributes(cls: ast.ClassDef) -> Iterator[str]:
    """Yield the attributes of a class that are containers, from its body and its `__init__`."""
    for node in cls.body:
        if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name) and is_container(node.value):
            yield node.target.id
        if isinstance(node, ast.FunctionDef) and node.name == "__init__":
            yield from assigned_containers(node)


def assigned_containers(function: ast.FunctionDef) -> Iterator[str]:
    """Yield the attributes to which a function assigns a new container."""
    for node in ast.walk(function):
        match node:
            case ast.Assign(targets=[ast.Attribute(attr=name)], value=value) if is_container(value):
                yield name
            case ast.AnnAssign(target=ast.Attribute(attr=name), value=value) if is_container(value):
                yield name


def uncancelled_timers() -> Iterator[tuple[str, str]]:
    """Yield the module and function of each timer that is not kept, so that it cannot be cancelled."""
    for module, function in nodes_of_data_path():
        if isinstance(function, ast.FunctionDef) and any(map(sets_timer_only, ast.walk(function))):
            yield module, function.name


def sets_timer_only(node: ast.AST) -> bool:
    """Return whether a statement sets a timer, and drops what would cancel it."""
    match node:
        case ast.Expr(value=ast.Call(func=ast.Attribute(attr=method))):
            return method in TIMER_METHODS
    return False


def test_each_container_of_the_data_path_is_listed_with_its_bound() -> None:
    assert sorted(containers()) == sorted(BOUNDS)
    assert all(BOUNDS.values())


def test_each_timer_that_is_not_kept_is_listed() -> None:
    assert set(uncancelled_timers()) == ENDLESS_TIMERS
