"""The simulated connections: the shipped pool, with sockets that the explorer moves instead of the system."""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from maplestile.requests.pool import Connection, Pool
from maplestile.tools.explore.worker_lines import Command, CommandKind, decode
from maplestile.wire.limits import RunnerLimits


@dataclass(slots=True, eq=False)
class Line:
    """A line that a worker has received complete."""

    command: Command
    link: "Link"
    at_us: int
    answers: int = 0
    never_ran: bool = False  # the router has received the proof

    def may_run(self) -> bool:
        """Whether the worker may have run a call for this line."""
        return self.command.kind is CommandKind.CALL and not self.never_ran


class Environment(Protocol):
    """What simulated connections need of the simulation that they are in."""

    now_us: int  # on the simulated clock
    counters: Counter[str]
    links: list["Link"]  # in the order in which they were dialled

    def link_of(self, connection: Connection) -> "Link":
        """Return the simulated socket of a connection of the pool."""

    def on_write_started(self, link: "Link", command: Command) -> None:
        """Check a command whose first byte goes out now."""

    def on_line_received(self, line: Line) -> None:
        """Check and keep a line that a worker has received complete."""


class Link:
    """One connection to a worker; to the pool it is the connection's socket."""

    def __init__(self, environment: Environment, number: int, connection: Connection) -> None:
        self._environment = environment
        self.number = number
        self.connection = connection
        self.worker = connection.runner.uid
        self.lines: list[Line] = []
        self.accepts_part = False  # of the next line only a part is accepted at once
        self.unaccepted = b""  # a line whose rest has not been accepted yet
        self.open = True

    def write(self, line: bytes) -> bool:
        """Accept a line; False where only a part of it has been accepted."""
        self._environment.on_write_started(self, decode(line))
        if self.accepts_part:
            self.accepts_part = False
            self.unaccepted = line
            return False
        self.deliver(line)
        return True

    def deliver(self, data: bytes) -> None:
        """Have the worker receive a complete line."""
        line = Line(decode(data), self, self._environment.now_us)
        self.lines.append(line)
        self._environment.on_line_received(line)

    def holds(self) -> bool:
        """Whether a part of a line has not been accepted yet."""
        return bool(self.unaccepted)

    def abort(self) -> None:
        """Close the connection at once."""
        self.open = False


class SimulatedPool(Pool):
    """The shipped pool of connections, which dials simulated ones."""

    def __init__(self, environment: Environment, limits: RunnerLimits) -> None:
        super().__init__(limits, lambda: environment.now_us, environment.counters)
        self.environment = environment

    def dial(self, connection: Connection) -> None:
        """Begin to open a connection; an event `up` or `refuse` decides on it."""
        links = self.environment.links
        links.append(Link(self.environment, len(links), connection))

    def disconnect(self, connection: Connection) -> None:
        """Close a connection."""
        self.environment.link_of(connection).open = False
