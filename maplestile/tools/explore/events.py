"""The explorer's events, each of which concerns the router, a client, a connection or a worker."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class EventKind(StrEnum):
    """The kind of an event; the value is its name in files and output.

    The module `simulation` describes what each kind does.
    """

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
    """An event, and the numbers of its client, its worker, or its link and the line on that link."""

    kind: EventKind
    numbers: tuple[int, ...] = ()

    def __str__(self) -> str:
        """Return the event as it is printed."""
        return " ".join(map(str, (self.kind, *self.numbers)))


CLIENT_EVENTS = frozenset((EventKind.LEAVE, EventKind.AWAY))
ANSWERS = (EventKind.ERROR, EventKind.FULL, EventKind.MISS)  # unsuccessful answers of a worker
LINE_EVENTS = frozenset((EventKind.OK, EventKind.AGAIN, *ANSWERS))  # a worker's answers to a line
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
