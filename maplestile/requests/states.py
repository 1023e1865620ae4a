"""The states of calls, of attempts and other messages to a runner, and of connections to runners.

The core and the pool change states only through `Transition`. A change that is not in `TRANSITIONS` is a bug:
it is logged and counted (`states.invalid_transitions`), and still carried out so that the router keeps
serving. `maplestile explore` checks that none occurs. `docs/attempt-states.md` explains each state.
"""

import logging
from collections import Counter
from enum import Enum
from typing import Protocol, TypeVar

log = logging.getLogger(__name__)


class State(Enum):
    """A state; `successors` are the states that may follow, as a tuple since hashing members is slow."""

    successors: tuple["State", ...]


class CallState(State):
    """The states of a client's request."""

    PENDING = "pending"  # has no final answer yet
    ANSWERED = "answered"
    WITHDRAWN = "withdrawn"  # given up by its client


class AttemptState(State):
    """The states of a message to a runner: an attempt of a call, a load request, a health check."""

    QUEUED = "queued"  # waits for its connection or behind other messages; no byte is written
    PARTIALLY_WRITTEN = "partially written"  # the system has accepted a part of it, perhaps all
    WRITTEN = "written"  # the system has accepted all of it, so it may run
    ANSWERED = "answered"
    UNSENT = "unsent"  # never reached the runner completely, so it did not run
    CONNECTION_LOST = "connection lost"  # may have run; its connection ended before the answer
    CANCELLED = "cancelled"


class ConnectionState(State):
    """The states of a connection to a runner."""

    OPENING = "opening"
    UP = "up"
    # Silent for so long that a request on it was cancelled: nothing new is sent on it until it has input.
    UNVERIFIED = "unverified"
    CLOSED = "closed"


TRANSITIONS: dict[State, tuple[State, ...]] = {
    CallState.PENDING: (CallState.ANSWERED, CallState.WITHDRAWN),
    # From PARTIALLY_WRITTEN back to QUEUED: the connection broke before the system had accepted all of it, so
    # it is sent over another one.
    AttemptState.QUEUED: (AttemptState.PARTIALLY_WRITTEN, AttemptState.UNSENT, AttemptState.CANCELLED),
    AttemptState.PARTIALLY_WRITTEN: (
        AttemptState.WRITTEN,
        AttemptState.QUEUED,
        AttemptState.ANSWERED,
        AttemptState.UNSENT,
        AttemptState.CONNECTION_LOST,
        AttemptState.CANCELLED,
    ),
    AttemptState.WRITTEN: (AttemptState.ANSWERED, AttemptState.CONNECTION_LOST, AttemptState.CANCELLED),
    ConnectionState.OPENING: (ConnectionState.UP, ConnectionState.CLOSED),
    ConnectionState.UP: (ConnectionState.UNVERIFIED, ConnectionState.CLOSED),
    ConnectionState.UNVERIFIED: (ConnectionState.UP, ConnectionState.CLOSED),
}
for _state in (*CallState, *AttemptState, *ConnectionState):
    _state.successors = TRANSITIONS.get(_state, ())
StateType = TypeVar("StateType", bound=State)


class Stateful(Protocol[StateType]):
    """A record that has a state."""

    state: StateType


class Transition:
    """Changes states; all state changes pass through it."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters

    def __call__(self, record: Stateful[StateType], to: StateType) -> None:
        """Set the state of a record; log and count a transition that is not in the table."""
        if to not in record.state.successors:
            self.counters["states.invalid_transitions"] += 1
            kind = type(to).__name__
            log.error(
                "%s: invalid transition from %s to %s, carried out anyway", kind, record.state.value, to.value
            )
        record.state = to
