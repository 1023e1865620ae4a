"""The pool's records: messages to runners, connections, and runners."""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from maplestile.common.address import Address
from maplestile.requests.records import AttemptId
from maplestile.requests.states import AttemptState, ConnectionState
from maplestile.wire.messages import Request

MAX_ENDED_TAGS = 64  # remembered for each connection


class Socket(Protocol):
    """The driver's side of one connection."""

    def write(self, line: bytes) -> bool:
        """Write a line; return whether the system accepted all of it.

        If not, the driver calls `Pool.write_completed` once it has.
        """
        ...

    def has_unwritten_data(self) -> bool:
        """Return whether a part of what was written has not been accepted by the system yet."""
        ...

    def abort(self) -> None:
        """Close at once, and drop what the system has not accepted."""
        ...


@dataclass(slots=True)
class Message:
    """A message to a runner: one line of its protocol.

    The line of a call is encoded from `request` and `due_us` when it is written, since it tells the
    runner how long the client still waits, and the message may have waited for its connection by then.
    """

    line: bytes  # empty for a call until it is written
    is_new_work: bool  # must not be sent to a draining runner; false only for a CANCEL
    attempt: AttemptId | None = None  # None unless the message is a call
    tag: str = ""  # identifies the answer; empty if none is expected
    control_number: int = 0  # of a load request or a health check; 0 for other messages
    is_health_check: bool = False
    written_us: int = 0  # 0 until it is written
    until_us: int = 0  # time from which it must not be written; 0 if there is none
    state: AttemptState = AttemptState.QUEUED
    request: Request | None = None  # None unless the message is a call
    due_us: int = 0  # when the attempt times out; 0 unless the message is a call


@dataclass(slots=True)
class ControlTag:
    """The control request that a tag on the wire stands for: its number at the core, and its kind."""

    number: int
    is_health_check: bool


class EndedTags:
    """The tags of a connection's latest attempts that were answered, or cancelled after they were written.

    An answer to a cancelled attempt, or a second copy of an answer, may still come.
    """

    __slots__ = ("_tags",)

    def __init__(self) -> None:
        self._tags: dict[str, None] = {}  # an ordered set, oldest first

    def __contains__(self, tag: str) -> bool:
        return tag in self._tags

    def add(self, tag: str) -> None:
        """Remember a tag, and forget the oldest one if there are more than `MAX_ENDED_TAGS`."""
        self._tags.pop(tag, None)
        self._tags[tag] = None
        if len(self._tags) > MAX_ENDED_TAGS:
            del self._tags[next(iter(self._tags))]


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to a runner, with its queued messages and its open requests."""

    runner: "Runner"
    opened_us: int
    last_used_us: int  # last write or input
    state: ConnectionState = ConnectionState.OPENING
    socket: Socket | None = None  # None until the connection is established
    queue: deque[Message] = field(default_factory=deque)  # messages not written yet
    open: dict[str, AttemptId] = field(default_factory=dict)  # attempts written and not answered, by tag
    # Control requests written and not answered, by tag.
    control_tags: dict[str, ControlTag] = field(default_factory=dict)
    ended_tags: EndedTags = field(default_factory=EndedTags)
    partial: Message | None = None  # being written, and not accepted completely by the system
    last_input_us: int = 0  # 0 before the first input
    # How long it was idle before the first request that it now carries; reset to 0 by the next input.
    idle_us: int = 0

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self.state is ConnectionState.CLOSED

    def has_tag(self, tag: str) -> bool:
        """Return whether an answer under this tag may come that belongs to a message of this connection.

        Tags of calls are chosen by clients, so two calls can have the same one.
        """
        if tag in self.open or tag in self.ended_tags:
            return True
        return bool(self.queue) and any(message.tag == tag for message in self.queue)

    def stream_count(self) -> int:
        """Return the number of requests that are written and not answered, and of queued messages."""
        return len(self.open) + len(self.control_tags) + len(self.queue)


@dataclass(slots=True, eq=False)
class Runner:
    """A runner of the endpoint list and its connections; kept until it is unlisted and has none left."""

    uid: str
    address: Address
    started_us: int
    accepts_new_work: bool  # may be sent new work
    listed: bool = True  # is on the endpoint list
    connections: list[Connection] = field(default_factory=list)
