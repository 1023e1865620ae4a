"""Converts a simulation's records to a normal form, equal for states that differ only in names and in time.

Times become relative to the current time, calls are named by their order of submission, and workers by their
rank for the one function that is called. Values that affect no decision are left out, such as counters,
tokens and indexes.
"""

import functools
from collections.abc import Callable, Iterable
from dataclasses import fields, is_dataclass
from enum import Enum
from types import NoneType
from typing import Any

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.state import Attempt, Call, Copy, FunctionEntry, Window, Worker, Zone
from maplestile.dispatch.tiers import FunctionTiers
from maplestile.requests.attempts import AttemptTable
from maplestile.requests.control_requests import ControlRequests
from maplestile.requests.core import ControlRequest, InFlightAttempt, PendingRequest
from maplestile.requests.pool import Connection, Message, Pool, Runner
from maplestile.requests.request_intake import RequestIntake
from maplestile.requests.request_table import RequestTable
from maplestile.tools.explore.scenario import FUNCTION, START_US
from maplestile.tools.explore.simulation import Simulation

HORIZON_US = 20_000_000  # times further away count as equal; no rule that a case exercises looks that far
FIRST_TIME_US = START_US // 2  # numbers from here on are times; smaller ones are counts or calls' numbers
DECIMALS = 6  # floats are rounded, since their last digits depend on the order of additions
# Fields that are represented elsewhere in the normal form, or that affect no decision.
IGNORED_FIELDS: dict[type, frozenset[str]] = {
    RequestTable: frozenset(("_tick_us", "_timers", "answers")),
    AttemptTable: frozenset(("_counters", "on_repeated")),
    ControlRequests: frozenset(("_counters", "limits")),
    RequestIntake: frozenset(("_counters", "limits")),
    Context: frozenset(
        (
            "settings",
            "actions",
            "classes",
            "random",
            "salt",
            "timers",
            "cancelled_timers",
            "last_token",
            "now_us",
        )
    ),
    Fleet: frozenset(("index", "draining")),
    FunctionTiers: frozenset(("kind_memory_mb", "by_age")),
    FunctionEntry: frozenset(("salt", "preferred", "workers_with_copies", "settled")),
    Worker: frozenset(("salt",)),
    Call: frozenset(("settings", "kind", "deadline_timer")),
    Attempt: frozenset(("overdue_timer",)),
    Pool: frozenset(("limits", "clock", "counters", "transition", "core", "environment", "calls_written")),
    PendingRequest: frozenset(("accepted_us", "first_attempt_us", "last_result", "deadline_timer")),
    InFlightAttempt: frozenset(("timeout_timer",)),
    ControlRequest: frozenset(("timeout_timer",)),
    Runner: frozenset(("connections",)),
    Message: frozenset(("line", "request")),
    # `NormalForm.connection` represents the socket, the queue and the partly written line.
    Connection: frozenset(("runner", "socket", "partial", "queue")),
}
# Records that appear with all their fields in the collection that owns them, and by name everywhere else.
RECORD_TYPES = frozenset(
    (
        FunctionEntry,
        Worker,
        Call,
        Copy,
        Zone,
        PendingRequest,
        InFlightAttempt,
        ControlRequest,
        Runner,
        Message,
    )
)


class NormalForm:
    """Converts the values of one simulation to tuples, lists and plain values that are compared by `repr`."""

    def __init__(self, simulation: Simulation) -> None:
        self._now_us = simulation.now_us
        self._workers = _worker_names(simulation)
        self._calls = {client.number: f"call {n}" for n, client in enumerate(simulation.clients)}
        self._links = {id(link.connection): f"link {link.number}" for link in simulation.links}

    def value(self, value: object) -> Any:
        """Return the normal form of a value by its type: the name of a record, the contents of all else."""
        kind: type = type(value)
        return _form_for(kind)(self, value)

    def element(self, value: Any) -> Any:
        """Return the normal form of a collection's element; here records appear with all their fields."""
        return self.record(value) if type(value) in RECORD_TYPES else self.value(value)

    def record(self, value: Any) -> list[Any]:
        """Return the name and value of each field of a record, except the fields ignored for its type."""
        kind = type(value)
        names = _field_names(kind) if is_dataclass(kind) else _kept_names(kind, sorted(vars(value)))
        return [(name, self.value(getattr(value, name))) for name in names]

    def connection(self, connection: Connection) -> list[tuple[str, Any]]:
        """Return the normal form of the router's end of a connection."""
        partial = connection.partial
        return [
            *((name, self.value(getattr(connection, name))) for name in _field_names(Connection)),
            ("up", connection.socket is not None),
            ("queue", [self.element(message) for message in connection.queue]),
            ("partial", None if partial is None else self.element(partial)),
        ]

    # The conversions that `FORMS` assigns to the types.

    def plain(self, value: object) -> object:
        """Return a value unchanged."""
        return value

    def number(self, value: int) -> Any:
        """Return a time relative to the current time, a call's number as its name, and a count unchanged."""
        if value < FIRST_TIME_US:
            return self._calls.get(value, value)
        return "time", max(-HORIZON_US, min(HORIZON_US, value - self._now_us))

    def float_number(self, value: float) -> float:
        """Return a rounded float."""
        return round(value, DECIMALS)

    def text(self, value: str) -> str:
        """Return a worker's name as its rank, and any other text unchanged."""
        return self._workers.get(value, value)

    def enum_member(self, value: Enum) -> Any:
        """Return the value of an enum member."""
        return value.value

    def connection_name(self, value: Connection) -> str:
        """Return the name of a connection's link."""
        return self._links[id(value)]

    def worker(self, value: Worker) -> Any:
        """Return a worker's name and its start time, which differs between processes at one address."""
        return "worker", self._workers.get(value.entry.worker), self.value(value.entry.started_us)

    def function(self, value: FunctionEntry) -> Any:
        """Return the name of a function's entry."""
        return "function", value.function

    def call(self, value: Call) -> Any:
        """Return a call's name and whether the call is open."""
        return "call", self._calls.get(value.id), value.open

    def attempt(self, value: Attempt) -> Any:
        """Return an attempt's number, worker and result."""
        return "attempt", value.number, self.value(value.worker), self.value(value.result)

    def window(self, value: Window) -> Any:
        """Return the amounts of a sliding window and their sum."""
        return self.iterable(value.amounts), self.value(value.sum)

    def mapping(self, value: dict[Any, Any]) -> Any:
        """Return the sorted items of a dict, whose order does not matter."""
        return sorted(((self.value(key), self.element(item)) for key, item in value.items()), key=repr)

    def collection(self, value: Iterable[Any]) -> Any:
        """Return the sorted elements of a set, whose order does not matter."""
        return sorted((self.value(item) for item in value), key=repr)

    def iterable(self, value: Iterable[Any]) -> Any:
        """Return the elements of a list or other ordered iterable, in order."""
        return [self.element(item) for item in value]

    def type_name(self, value: object) -> str:
        """Return the type name of any other object, whose state, if any, is represented elsewhere."""
        return type(value).__name__


# The conversion for each type; the first entry that matches a value's type or one of its bases applies.
FORMS: tuple[tuple[type, Callable[[NormalForm, Any], Any]], ...] = (
    (NoneType, NormalForm.plain),
    (bool, NormalForm.plain),
    (bytes, NormalForm.plain),
    (int, NormalForm.number),
    (float, NormalForm.float_number),
    (str, NormalForm.text),
    (Enum, NormalForm.enum_member),
    (Connection, NormalForm.connection_name),
    (Worker, NormalForm.worker),
    (FunctionEntry, NormalForm.function),
    (Call, NormalForm.call),
    (Attempt, NormalForm.attempt),
    (Window, NormalForm.window),
    (dict, NormalForm.mapping),
    (set, NormalForm.collection),
    (frozenset, NormalForm.collection),
    (Iterable, NormalForm.iterable),
)


@functools.cache  # there are few types, but thousands of values in each state
def _form_for(kind: type) -> Callable[[NormalForm, Any], Any]:
    for base, form in FORMS:
        if issubclass(kind, base):
            return form
    return NormalForm.record if is_dataclass(kind) else NormalForm.type_name


@functools.cache
def _field_names(kind: Any) -> tuple[str, ...]:
    """Return the names of a dataclass's fields, except the ignored ones."""
    return _kept_names(kind, (field.name for field in fields(kind)))


def _kept_names(kind: type, names: Iterable[str]) -> tuple[str, ...]:
    ignored = _ignored_fields(kind)
    return tuple(name for name in names if name not in ignored)


@functools.cache
def _ignored_fields(kind: type) -> frozenset[str]:
    """Return the fields ignored for a type, or for the nearest of its bases that has an entry."""
    return next((IGNORED_FIELDS[base] for base in kind.__mro__ if base in IGNORED_FIELDS), frozenset())


def _worker_names(simulation: Simulation) -> dict[str, str]:
    """Return a name for each worker by rank, so that equivalent workers match; unranked ones come last."""
    function = simulation.core.dispatcher.tiers.functions.get(FUNCTION)
    ranked = [worker.entry.worker for worker in function.ranking] if function is not None else []
    unranked = [name for name in sorted(simulation.workers.incarnations) if name not in ranked]
    return {name: f"#{rank}" for rank, name in enumerate([*ranked, *unranked])}
