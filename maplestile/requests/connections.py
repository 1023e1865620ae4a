"""The pool's records: lines to runners, connections, and runners."""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from maplestile.common.address import Address
from maplestile.requests.records import AttemptId
from maplestile.requests.states import AttemptState, ConnectionState
from maplestile.wire.messages import Request

MAX_REJECTED_TAGS = 64  # that a connection remembers


class Socket(Protocol):
    """One connection, as the driver has it."""

    def write(self, line: bytes) -> bool:
        """Return whether the system has all of it; if not, `Pool.write_completed` is called once it has."""
        ...

    def holds(self) -> bool:
        """Return whether some of what was written is not with the system yet."""
        ...

    def abort(self) -> None:
        """Close at once, whatever is not with the system yet."""
        ...


@dataclass(slots=True)
class Message:
    """One line to a runner. `is_new_work` marks what may not go to a runner that drains: all but a CANCEL.

    A call's line is made when it is written, from `request` and `due_us`: the runner is to know how
    long the client still waits, and it may have waited for its connection since it was decided.
    """

    line: bytes
    is_new_work: bool
    attempt: AttemptId | None = None
    tag: str = ""
    control_number: int = 0  # of a load request or a health check; 0 for all else
    is_health_check: bool = False
    written_us: int = 0
    until_us: int = 0  # not to be written from then on, if over 0
    state: AttemptState = AttemptState.QUEUED  # of the attempt, or of the control request
    request: Request | None = None
    due_us: int = 0  # when the attempt times out


@dataclass(slots=True)
class ControlTag:
    """What the tag of a load request or a health check stands for: its number at the core, and its kind."""

    number: int
    is_health_check: bool


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to a runner, with what waits for it and what has been written there."""

    runner: "Runner"
    opened_us: int
    used_us: int
    state: ConnectionState = ConnectionState.OPENING
    socket: Socket | None = None  # from the moment it is up
    queue: deque[Message] = field(default_factory=deque)
    open: dict[str, AttemptId] = field(default_factory=dict)  # attempts written, by tag
    control_tags: dict[str, ControlTag] = field(default_factory=dict)  # control requests written, by tag
    rejected_tags: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_REJECTED_TAGS))
    partial: Message | None = None  # the last one written, while not all of it is with the system
    heard_us: int = 0
    idle_us: int = 0  # how long it was idle before the first request that it carries, until it is heard

    def closed(self) -> bool:
        """Return whether it is over."""
        return self.state is ConnectionState.CLOSED

    def streams(self) -> int:
        """Count what is written and not answered, and what is queued."""
        return len(self.open) + len(self.control_tags) + len(self.queue)


@dataclass(slots=True, eq=False)
class Runner:
    """A runner as listed, with the connections to it; it stays while it has any."""

    uid: str
    address: Address
    started_us: int
    takes_new: bool
    listed: bool = True
    connections: list[Connection] = field(default_factory=list)
