"""Simulated connections: the shipped pool, over sockets that the explorer controls instead of the kernel."""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol

from maplestile.requests.pool import Connection, Pool
from maplestile.tools.explore.worker_lines import Command, CommandKind, decode
from maplestile.wire.limits import RunnerLimits


@dataclass(slots=True, eq=False)
class ReceivedLine:
    """A complete line that a worker has received."""

    command: Command
    link: "Link"
    received_us: int  # simulated time of receipt
    answers: int = 0  # number of answers that the worker has sent to this line
    never_ran: bool = False  # the worker has answered that it did not run the call

    def may_have_run(self) -> bool:
        """Return whether this line is a call that the worker may have run."""
        return self.command.kind is CommandKind.CALL and not self.never_ran


class Environment(Protocol):
    """The parts of a simulation that its connections use."""

    now_us: int  # simulated time
    counters: Counter[str]
    links: list["Link"]  # in the order in which they were opened

    def link_of(self, connection: Connection) -> "Link":
        """Return the simulated socket of one of the pool's connections."""

    def on_write_started(self, link: "Link", command: Command) -> None:
        """Check a command whose first byte is about to be written."""

    def on_line_received(self, line: ReceivedLine) -> None:
        """Check and record a complete line that a worker has received."""


class Link:
    """A simulated connection to a worker; the pool uses it as the connection's socket."""

    def __init__(self, environment: Environment, number: int, connection: Connection) -> None:
        self._environment = environment
        self.number = number
        self.connection = connection
        self.worker = connection.runner.uid
        self.lines: list[ReceivedLine] = []
        self.accepts_part = False  # the next line is accepted only in part
        self.unaccepted = b""  # the line of which only a part is accepted; empty if there is none
        self.open = True

    def write(self, line: bytes) -> bool:
        """Accept a line; return False if only a part of it was accepted."""
        self._environment.on_write_started(self, decode(line))
        if self.accepts_part:
            self.accepts_part = False
            self.unaccepted = line
            return False
        self.deliver(line)
        return True

    def deliver(self, data: bytes) -> None:
        """Deliver a complete line to the worker."""
        line = ReceivedLine(decode(data), self, self._environment.now_us)
        self.lines.append(line)
        self._environment.on_line_received(line)

    def has_unwritten_data(self) -> bool:
        """Return whether part of a line has not been accepted yet."""
        return bool(self.unaccepted)

    def abort(self) -> None:
        """Close the connection at once."""
        self.open = False


class SimulatedPool(Pool):
    """The shipped connection pool, which opens simulated connections."""

    def __init__(self, environment: Environment, limits: RunnerLimits) -> None:
        super().__init__(limits, lambda: environment.now_us, environment.counters)
        self.environment = environment

    def dial(self, connection: Connection) -> None:
        """Start opening a connection; a later event, `up` or `refuse`, establishes or refuses it."""
        links = self.environment.links
        links.append(Link(self.environment, len(links), connection))

    def disconnect(self, connection: Connection) -> None:
        """Close a simulated connection."""
        self.environment.link_of(connection).open = False
