"""What the stand-ins of a trial saw; times are of the monotonic clock, in seconds."""

from dataclasses import dataclass, field
from enum import Enum


class Answer(Enum):
    """The kind of an answer to a client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class SentRequest:
    """A request of a client."""

    tag: str
    class_name: str
    router: str  # name of the process
    body: bytes
    sent_s: float
    limit_s: float
    answers: list[tuple[float, Answer]] = field(default_factory=list)
    body_returned: bytes = b""
    given_up_s: float = 0.0  # when the client interrupted it or closed its connection; 0 if it did neither
    connection_ended_s: float = 0.0  # when the router ended the connection; 0 if it did not


@dataclass(slots=True)
class Arrival:
    """An attempt that has arrived whole at a worker."""

    tag: str
    class_name: str
    worker: str
    arrived_s: float
    never_ran_s: float = 0.0  # when the worker answered that it never ran; 0 if it did not


@dataclass(slots=True)
class Drain:
    """A time during which the name server listed a worker as draining."""

    worker: str
    told_s: float
    ended_s: float


@dataclass(slots=True)
class ProcessEnd:
    """The end of a router that was told to stop."""

    router: str
    told_s: float
    ended_s: float
    exit_code: int | None  # None if it had to be killed
    log: list[str]


@dataclass(slots=True)
class TrialRecord:
    """Everything that a trial saw."""

    requests: dict[str, SentRequest] = field(default_factory=dict)  # by tag
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    unexpected_answers: list[str] = field(default_factory=list)
    served_unsound: list[str] = field(default_factory=list)  # results of requests of bad clients
    longest_stall_s: float = 0.0  # for how long the event loop of the stand-ins stood still at most
