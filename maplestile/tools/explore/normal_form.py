"""The normal form of a simulation's records: equal for states that differ only in names and in the date.

Times become relative to now, calls are named by their order of arrival, and workers by their rank for the one
function that is called. What no decision reads is left out: counters, tokens, indexes.
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

HORIZON_US = 20_000_000  # times further off count as equal: no rule that a case meets reaches so far
FIRST_TIME_US = START_US // 2  # a number from here on is a time, a smaller one a count or a call's number
DECIMALS = 6  # of a float, since the last digits depend on the order of additions
# Fields that have a form elsewhere, or that no decision reads.
LEFT_OUT: dict[type, frozenset[str]] = {
    RequestTable: frozenset(("_tick_us", "answers")),
    AttemptTable: frozenset(("_counters",)),
    ControlRequests: frozenset(("_counters", "limits")),
    RequestIntake: frozenset(("_counters", "limits")),
    Context: frozenset(
        ("settings", "actions", "classes", "random", "salt", "timers", "last_token", "now_us")
    ),
    Fleet: frozenset(("index", "draining")),
    FunctionTiers: frozenset(("kind_memory_mb", "by_age")),
    FunctionEntry: frozenset(("salt", "preferred", "workers_with_copies", "settled")),
    Worker: frozenset(("salt",)),
    Call: frozenset(("settings", "kind")),
    Pool: frozenset(("limits", "clock", "counters", "move", "core", "environment", "calls_written")),
    Runner: frozenset(("connections",)),
    Message: frozenset(("line", "request")),
    # The socket, the queue and the line on its way have forms of their own.
    Connection: frozenset(("runner", "socket", "partial", "queue")),
}
# Records that appear with all fields in the collection that holds them, and by their names elsewhere.
RECORDS = frozenset(
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
    """Brings the values of one simulation into tuples, lists and plain values, compared by their `repr`."""

    def __init__(self, simulation: Simulation) -> None:
        self._now_us = simulation.now_us
        self._workers = _worker_names(simulation)
        self._calls = {client.number: f"call {n}" for n, client in enumerate(simulation.clients)}
        self._links = {id(link.connection): f"link {link.number}" for link in simulation.links}

    def value(self, value: object) -> Any:
        """The form of any value by its type; that of a record is its name, and of all else its contents."""
        kind: type = type(value)
        return _form_for(kind)(self, value)

    def element(self, value: Any) -> Any:
        """The form of an element of a collection, where records appear with all fields."""
        return self.record(value) if type(value) in RECORDS else self.value(value)

    def record(self, value: Any) -> list[Any]:
        """The fields of a record by name, without those left out for its type."""
        kind = type(value)
        names = _field_names(kind) if is_dataclass(kind) else _kept_names(kind, sorted(vars(value)))
        return [(name, self.value(getattr(value, name))) for name in names]

    def connection(self, connection: Connection) -> list[tuple[str, Any]]:
        """The form of a connection at the router's end."""
        partial = connection.partial
        return [
            *((name, self.value(getattr(connection, name))) for name in _field_names(Connection)),
            ("up", connection.socket is not None),
            ("queue", [self.element(message) for message in connection.queue]),
            ("partial", None if partial is None else self.element(partial)),
        ]

    # One method for each type, as `FORMS` lists them.

    def plain(self, value: object) -> object:
        """A value that is its own form."""
        return value

    def number(self, value: int) -> Any:
        """A time as the distance from now; a call's number as its name; a count as it is."""
        if value < FIRST_TIME_US:
            return self._calls.get(value, value)
        return "time", max(-HORIZON_US, min(HORIZON_US, value - self._now_us))

    def real(self, value: float) -> float:
        """A float, rounded."""
        return round(value, DECIMALS)

    def text(self, value: str) -> str:
        """A worker's name as its rank; any other text as it is."""
        return self._workers.get(value, value)

    def member(self, value: Enum) -> Any:
        """A member of an enumeration."""
        return value.value

    def connection_name(self, value: Connection) -> str:
        """A connection, by its link."""
        return self._links[id(value)]

    def worker(self, value: Worker) -> Any:
        """A worker, and which of the processes at its address it is."""
        return "worker", self._workers.get(value.entry.worker), self.value(value.entry.started_us)

    def function(self, value: FunctionEntry) -> Any:
        """A function's entry."""
        return "function", value.function

    def call(self, value: Call) -> Any:
        """A call, and whether it is open."""
        return "call", self._calls.get(value.id), value.open

    def attempt(self, value: Attempt) -> Any:
        """An attempt, with what became of it."""
        return "attempt", value.number, self.value(value.worker), self.value(value.result)

    def window(self, value: Window) -> Any:
        """A sliding window: its amounts and their sum."""
        return self.iterable(value.amounts), self.value(value.sum)

    def mapping(self, value: dict[Any, Any]) -> Any:
        """A dict, without regard to its order."""
        return sorted(((self.value(key), self.element(one)) for key, one in value.items()), key=repr)

    def collection(self, value: Iterable[Any]) -> Any:
        """A set, without regard to its order."""
        return sorted((self.value(one) for one in value), key=repr)

    def iterable(self, value: Iterable[Any]) -> Any:
        """A list or the like, in its order."""
        return [self.element(one) for one in value]

    def type_name(self, value: object) -> str:
        """Any other object: its state, if any, has a form elsewhere."""
        return type(value).__name__


# The first entry whose type the value has, or derives from, applies.
FORMS: tuple[tuple[type, Callable[[NormalForm, Any], Any]], ...] = (
    (NoneType, NormalForm.plain),
    (bool, NormalForm.plain),
    (bytes, NormalForm.plain),
    (int, NormalForm.number),
    (float, NormalForm.real),
    (str, NormalForm.text),
    (Enum, NormalForm.member),
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


@functools.cache  # of few types; each state has thousands of values
def _form_for(kind: type) -> Callable[[NormalForm, Any], Any]:
    for base, form in FORMS:
        if issubclass(kind, base):
            return form
    return NormalForm.record if is_dataclass(kind) else NormalForm.type_name


@functools.cache
def _field_names(kind: Any) -> tuple[str, ...]:
    """The names of a dataclass's fields, without those left out."""
    return _kept_names(kind, (field.name for field in fields(kind)))


def _kept_names(kind: type, names: Iterable[str]) -> tuple[str, ...]:
    left_out = _left_out(kind)
    return tuple(name for name in names if name not in left_out)


@functools.cache
def _left_out(kind: type) -> frozenset[str]:
    """The fields left out for a type, or for the nearest type that it derives from."""
    return next((LEFT_OUT[base] for base in kind.__mro__ if base in LEFT_OUT), frozenset())


def _worker_names(simulation: Simulation) -> dict[str, str]:
    """A name for each worker by its rank, so that workers that are alike are one; the unranked come last."""
    function = simulation.core.dispatcher.tiers.functions.get(FUNCTION)
    ranked = [worker.entry.worker for worker in function.ranking] if function is not None else []
    unranked = [name for name in sorted(simulation.workers.incarnations) if name not in ranked]
    return {name: f"#{rank}" for rank, name in enumerate([*ranked, *unranked])}
