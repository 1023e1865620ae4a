"""Tests that no decision takes the demand, or the running workers, for what a worker can carry.

A module of the decisions that reads a measure of the demand or of the running fleet is listed below, with
what it uses it for. New work for a worker begins in the listed places only, which count it against the budget
of a worker in its slow start.
"""

import ast
from collections.abc import Iterator

import pytest

from tests.standins import ROOT

DISPATCH = ROOT / "maplestile" / "dispatch"
MEASURES = frozenset(
    ("call_rate", "rate", "decayed_work", "decayed_calls", "total_weight", "listed_weight", "router_count")
)
NEW_WORK = frozenset(("SendAttempt", "RequestLoad", "SendHealthCheck"))
# By module and measure: why it is no estimate of a capacity.
MEASURE_USES = {
    # These define the measures.
    ("fleet.py", "total_weight"),
    ("fleet.py", "listed_weight"),
    ("load_rate.py", "decayed_work"),
    ("load_rate.py", "decayed_calls"),
    ("served_rate.py", "decayed_calls"),
    # What a dispatcher assumes that has served nothing yet: all listed workers share its calls.
    ("served_rate.py", "call_rate"),
    ("served_rate.py", "listed_weight"),
    # A worker's share of the demand, limited by what workers of its weight have served.
    ("slow_start.py", "call_rate"),
    ("slow_start.py", "total_weight"),
    # Compares one function's work with all work, to scale down the one call that each dispatcher may send.
    ("send_gate.py", "decayed_work"),
    # How many replicas a function has: more of them spread its calls, and the gate limits what each gets.
    ("placement.py", "decayed_work"),
    ("placement.py", "rate"),
    ("placement.py", "router_count"),
    # Spreads this dispatcher's calls in flight; the gate limits what a worker in its slow start gets.
    ("placement.py", "total_weight"),
    # How much one answer weighs in the ratio of late answers.
    ("admission.py", "rate"),
    # Whether other dispatchers keep a copy warm.
    ("warm_copies.py", "decayed_work"),
    ("warm_copies.py", "router_count"),
    # This dispatcher's part of the loads in progress; a load passes the gate as well.
    ("load_requests.py", "router_count"),
    # A function's own work, and the setting.
    ("state.py", "decayed_work"),
    ("settings.py", "router_count"),
}
# Where new work for a worker begins, and how it is limited there.
NEW_WORK_USES = {
    ("call_router.py", "SendAttempt"),  # placed by the gate, counted by `SlowStart.record_send`
    ("load_requests.py", "RequestLoad"),  # admitted and counted by the slow start
    ("zone_failure.py", "SendHealthCheck"),  # two a second for a lost zone, each far less than a call
}
COUNTING_MODULES = ("call_router.py", "load_requests.py")
FILES = sorted(DISPATCH.glob("*.py"))


def uses(source: str, names: frozenset[str]) -> Iterator[str]:
    """Yield the names that a module reads or defines as attributes, fields or calls."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute) and node.attr in names:
            yield node.attr
        elif (
            isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name) and node.target.id in names
        ):
            yield node.target.id


def found(names: frozenset[str]) -> set[tuple[str, str]]:
    return {(file.name, name) for file in FILES for name in uses(file.read_text(), names)}


def test_measures_of_demand_are_used_for_the_listed_purposes_only() -> None:
    """Guards against budgets that grow with the demand, or as the running workers become fewer."""
    assert found(MEASURES) == MEASURE_USES


def test_new_work_for_a_worker_begins_in_the_listed_places_only() -> None:
    """Guards against work that passes the budget of a cold worker by."""
    actions = {(file, name) for file, name in found(NEW_WORK) if file not in ("actions.py", "api.py")}
    assert actions == NEW_WORK_USES
    for name in COUNTING_MODULES:
        assert "slow_start.record_send(" in (DISPATCH / name).read_text()


@pytest.mark.parametrize("line", ["x = load_rate.call_rate()", "limit = fleet.total_weight * 2"])
def test_a_new_use_is_found(line: str) -> None:
    assert list(uses(line, MEASURES))


def test_records_of_sent_work_are_written_by_the_slow_start_only() -> None:
    """Guards against sends that are counted in another unit, or not at all."""
    writers = {
        file.name
        for file in FILES
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.Attribute)
        and node.attr == "add"
        and ast.unparse(node.value).endswith(".sends")
    }
    assert writers == {"slow_start.py"}
