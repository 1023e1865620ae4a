"""The explorer's events: what may happen next, to the router, to a client, to a connection or to a worker."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class EventKind(StrEnum):
    """What happens; the value is the name in files and in output. `Simulation` says what each one does."""

    SUBMIT = "submit"
    LEAVE = "leave"
    AWAY = "away"
    UP = "up"
    REFUSE = "refuse"
    RESET = "reset"
    PART = "part"
    DRAINED = "drained"
    STRAY = "stray"
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    MISS = "miss"
    AGAIN = "again"
    TIME = "time"
    DRAIN = "drain"
    GONE = "gone"
    RETURN = "return"
    STOP = "stop"
    POLICY = "policy"


class Event(NamedTuple):
    """Something that happens, and the numbers of what it happens to: a client, a worker, a link, its line."""

    kind: EventKind
    numbers: tuple[int, ...] = ()

    def __str__(self) -> str:
        """The event as it is printed."""
        return " ".join(map(str, (self.kind, *self.numbers)))


CLIENT_EVENTS = frozenset((EventKind.LEAVE, EventKind.AWAY))
ANSWERS = (EventKind.ERROR, EventKind.FULL, EventKind.MISS)  # of a worker, beside the successful one
LINE_EVENTS = frozenset((EventKind.OK, EventKind.AGAIN, *ANSWERS))  # at a line that a worker has received
LINK_EVENTS = LINE_EVENTS | {
    EventKind.UP,
    EventKind.REFUSE,
    EventKind.RESET,
    EventKind.PART,
    EventKind.DRAINED,
    EventKind.STRAY,
}
WORKER_EVENTS = frozenset((EventKind.DRAIN, EventKind.GONE, EventKind.RETURN))


def _number_count(kind: EventKind) -> int:
    if kind in LINE_EVENTS:
        return 2
    return int(kind in CLIENT_EVENTS or kind in LINK_EVENTS or kind in WORKER_EVENTS)


NUMBER_COUNTS: Mapping[EventKind, int] = {kind: _number_count(kind) for kind in EventKind}
