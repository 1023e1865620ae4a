"""The states of a call, of an attempt on its way to a runner, and of a connection to one.

The core and the pool change them by `Transition` alone, so one that is not in the table is logged and
counted (`states.invalid_transitions`). The state changes all the same, since a router must not fall over it;
`maplestile explore` shows that none is ever met. `docs/attempt-states.md` says why each one is as it is.
"""

import logging
from collections import Counter
from enum import Enum
from typing import Protocol, TypeVar

log = logging.getLogger(__name__)


class State(Enum):
    """A state; `successors` are those that may follow: a tuple, since a member's hash is slow."""

    successors: tuple["State", ...]


class CallState(State):
    """The states of a client's request."""

    PENDING = "pending"  # without its one final answer
    ANSWERED = "answered"
    WITHDRAWN = "withdrawn"  # its client waits no longer


class AttemptState(State):
    """The states of a line to a runner: a call's attempt, a load request, a health check."""

    QUEUED = "queued"  # behind its connection, or what is written there: not a byte is out
    PARTIALLY_WRITTEN = "partially written"  # the system has taken some of it, perhaps all
    WRITTEN = "written"  # the system has all of it: from here on it may run
    ANSWERED = "answered"
    UNSENT = "unsent"  # never whole at the runner: it did not run
    CONNECTION_LOST = "connection lost"  # its connection ended, and it may have run
    CANCELLED = "cancelled"


class ConnectionState(State):
    """The states of a connection to a runner."""

    OPENING = "opening"
    UP = "up"
    # Silent for longer than its requests could wait: it carries nothing new until it is heard.
    UNVERIFIED = "unverified"
    CLOSED = "closed"


TRANSITIONS: dict[State, tuple[State, ...]] = {
    CallState.PENDING: (CallState.ANSWERED, CallState.WITHDRAWN),
    # Queued again from PARTIALLY_WRITTEN: its connection broke before the system had it all, and it goes by
    # another.
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
    """The one way from state to state."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters

    def __call__(self, record: Stateful[StateType], to: StateType) -> None:
        """Set the state of a record; count and log a transition that is not in the table."""
        if to not in record.state.successors:
            self.counters["states.invalid_transitions"] += 1
            kind = type(to).__name__
            log.error("%s: %s to %s is no transition", kind, record.state.value, to.value)
        record.state = to
