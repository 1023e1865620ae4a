"""A state of the world as a digest: two states with one digest go on alike.

Times are told from now, names of calls by the order in which they came, workers by their rank for the
function that all calls are of (so that two that are alike but for their names are one), timers by what they
would do. Left out is what no decision reads: counters, tokens, and timers that would do nothing.
"""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

from maplestile.dispatch.context import Context
from maplestile.dispatch.dispatcher import Dispatcher
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.state import Attempt, Call, Copy, FunctionEntry, Window, Worker, Zone
from maplestile.dispatch.tiers import FunctionTiers
from maplestile.requests.attempts import AttemptTable
from maplestile.requests.control_requests import ControlRequests
from maplestile.requests.core import ControlRequest, InFlightAttempt, PendingRequest
from maplestile.requests.pool import Connection, Message, Pool, Runner
from maplestile.requests.request_intake import RequestIntake
from maplestile.requests.request_table import RequestTable
from maplestile.tools.explore.connections import Link
from maplestile.tools.explore.scenario import START
from maplestile.tools.explore.simulation import Simulation

FAR_US = 20_000_000  # what is older, or further off, is told as this: longer than any rule of a case looks
# Parts that are told elsewhere, or that no decision reads.
SKIP = {
    RequestTable: {"_tick_us", "answers"},
    AttemptTable: {"_counters"},
    ControlRequests: {"_counters", "limits"},
    RequestIntake: {"_counters", "limits"},
    Context: {"settings", "actions", "classes", "random", "salt", "timers", "last_token", "now_us"},
    Fleet: {"index", "draining"},
    FunctionTiers: {"kind_memory_mb", "by_age"},
    FunctionEntry: {"salt", "preferred", "workers_with_copies", "settled"},
    Worker: {"salt"},
    Call: {"settings", "kind"},
    Pool: {"limits", "clock", "counters", "move", "core", "world", "calls_written", "all"},
    Runner: {"connections"},
    Message: {"line", "request"},
}


class Reader:
    """Reads the state of one world into tuples and lists that do not depend on names and absolute times."""

    def __init__(self, world: Simulation) -> None:
        self.world, self.now = world, world.now
        function = world.core.dispatcher.tiers.functions.get("f")
        rank = [worker.entry.worker for worker in function.ranking] if function is not None else []
        names = [*rank, *(name for name in sorted(world.incarnations) if name not in rank)]
        self.ranks = {name: f"#{number}" for number, name in enumerate(names)}
        self.calls = {client.number: f"call {n}" for n, client in enumerate(world.clients)}
        self.links = {id(link.connection): f"link {link.number}" for link in world.links}

    def digest(self) -> bytes:
        """The digest of the whole state."""
        world = self.world
        told = (
            self.fields(world.core.requests, RequestTable),
            self.fields(world.core.attempts, AttemptTable),
            self.fields(world.core.control, ControlRequests),
            self.fields(world.core.intake, RequestIntake),
            self.dispatcher(world.core.dispatcher),
            self.fields(world.pool, Pool),
            [self.link(link) for link in world.links if link.open],
            [
                (one.class_name, self.of(one.due_us), len(one.outcomes), one.left, one.away)
                for one in world.clients
            ],
            [(self.of(name), self.of(us)) for name, us in sorted(world.unavailable_since_us.items())],
            [(self.of(name), state.value) for name, state in sorted(world.state.items())],
            [
                (line.call, self.of(line.link.worker), line.never_ran, self.of(line.at_us))
                for line in sorted(world.arrivals, key=lambda line: str(line.call))
            ],
            self.timers(),
            world.faults,
            world.steps,
            world.stopped,
            world.epoch,
            len(world.problems),
            [one.epoch for one in world.clients],
        )
        return hashlib.blake2b(repr(told).encode(), digest_size=12).digest()

    def of(self, value: Any) -> Any:  # noqa: C901, PLR0911, PLR0912 -- one case for each type
        """Anything, by what it is; things that have a life of their own by their names."""
        match value:
            case None | bool() | bytes():
                return value
            case int():
                if value < START // 2:
                    return self.calls.get(value, value)
                return "t", max(-FAR_US, min(FAR_US, value - self.now))
            case float():
                return round(value, 6)
            case str():
                return self.ranks.get(value, value)
            case Enum():
                return value.value
            case Connection():
                return self.links[id(value)]
            case Worker():
                return "worker", self.ranks.get(value.entry.worker), self.of(value.entry.started_us)
            case FunctionEntry():
                return "function", value.function
            case Call():
                return "call", self.calls.get(value.id), value.open
            case Attempt():
                return "attempt", value.number, self.of(value.worker), self.of(value.result)
            case Window():
                return self.of(list(value.amounts)), self.of(value.sum)
            case dict():
                return sorted(((self.of(key), self.inside(one)) for key, one in value.items()), key=repr)
            case set() | frozenset():
                return sorted((self.of(one) for one in value), key=repr)
            case _ if isinstance(value, Iterable):
                return [self.inside(one) for one in value]
            case _ if is_dataclass(value):
                return self.fields(value, type(value))
        return type(value).__name__

    def inside(self, value: Any) -> Any:
        """A part of a collection: the collections are where each thing is told whole, once."""
        if isinstance(
            value,
            FunctionEntry
            | Worker
            | Call
            | Copy
            | Zone
            | PendingRequest
            | InFlightAttempt
            | ControlRequest
            | Runner
            | Message,
        ):
            return self.fields(value, type(value))
        return self.of(value)

    def fields(self, value: Any, kind: type) -> list[Any]:
        """The attributes of a record by name, without those skipped for its type."""
        names = [f.name for f in fields(value)] if is_dataclass(value) else sorted(vars(value))
        skipped = SKIP.get(kind, set())
        return [(name, self.of(getattr(value, name))) for name in names if name not in skipped]

    def dispatcher(self, dispatcher: Dispatcher) -> list[Any]:
        """Each part by its own state; a part's references to others come out as their types' names."""
        return [(name, self.fields(part, type(part))) for name, part in sorted(vars(dispatcher).items())]

    def link(self, link: Link) -> Any:
        """One connection to a worker: what is in flight on it, and the state of both ends."""
        connection = link.connection
        state = [(name, self.of(value)) for name, value in self.parts(connection)]
        lines = [(line.kind, line.call, line.answers) for line in link.lines]
        return link.number, self.of(link.worker), link.part, link.held, lines, state

    def parts(self, connection: Connection) -> list[tuple[str, Any]]:
        """The router's end of a connection."""
        told = [f.name for f in fields(connection) if f.name not in ("runner", "socket", "partial", "queue")]
        parts = [(name, getattr(connection, name)) for name in told]
        queue = [self.inside(message) for message in connection.queue]
        partial = None if connection.partial is None else self.inside(connection.partial)
        return [*parts, ("up", connection.socket is not None), ("queue", queue), ("partial", partial)]

    # Timers.

    def timers(self) -> list[Any]:
        """The timers that would do something, with their due times."""
        core, found = self.world.core, []
        for tick, actions in core.timers.items():
            due = self.of(tick * core.settings.tick_us)
            found += [(due, told) for then in actions if (told := self.timer(then)) is not None]
        return sorted(found, key=repr)

    def timer(self, then: Callable[[], object]) -> Any:  # noqa: PLR0911 -- one return for each kind
        """What it would do; None if nothing."""
        core = self.world.core
        name, cells = then.__qualname__, dict(_cells(then))
        if "token" in cells:
            inner = core.dispatcher.context.timers.get(cells["token"])
            return None if inner is None else self.timer(inner)
        for cell in cells.values():
            if isinstance(cell, Call) and not cell.open:
                return None
            if isinstance(cell, Attempt) and cell.result is not None:
                return None
        if name.startswith("RequestIntake.submit") and cells.get("call") not in core.open:
            return None
        if name.startswith("AttemptTable.send") and cells.get("attempt") not in core.flights:
            return None
        if name.startswith("ControlRequests._start") and cells.get("tag") not in core.control_requests:
            return None
        return name, sorted((key, self.of(one)) for key, one in cells.items() if key not in ("self", "ended"))


def _cells(then: Callable[[], object]) -> Iterable[tuple[str, Any]]:
    code, closure = getattr(then, "__code__", None), getattr(then, "__closure__", None)
    if code is None or closure is None:
        return ()
    return zip(code.co_freevars, (cell.cell_contents for cell in closure), strict=True)


def digest(world: Simulation) -> bytes:
    """The digest of a world's state."""
    return Reader(world).digest()
