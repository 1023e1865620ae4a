"""The lives of a call, of an attempt on its way to a runner, and of a connection to one.

The core and the pool move them by `Transition` alone, so a transition that is not in the table is counted
(`states.forbidden`) and logged. The state moves on all the same, since a router must not fall over it;
`maplestile explore` shows that none is ever met. `docs/attempt-states.md` says why each one is as it is."""

import logging
from collections import Counter
from enum import Enum
from typing import Protocol, TypeVar

log = logging.getLogger(__name__)


class State(Enum):
    """One of a life; `then` are those that may follow, a tuple, since a member's hash is slow."""

    then: tuple["State", ...]


class CallState(State):
    """A request of a client's."""

    PENDING = "owed"  # its one final answer
    ANSWERED = "answered"
    WITHDRAWN = "withdrawn"  # its client waits no longer


class AttemptState(State):
    """A line to a runner: a call's attempt, an order to load, a probe."""

    QUEUED = "queued"  # behind its connection, or what is written there: not a byte is out
    PARTIALLY_WRITTEN = "part"  # the system has taken some of it, perhaps all
    WRITTEN = "written"  # the system has all of it: from here on it may run
    ANSWERED = "answered"
    UNSENT = "unsent"  # never whole at the runner: it did not run
    CONNECTION_LOST = "broken"  # its connection ended, and it may have run
    CANCELLED = "called off"


class ConnectionState(State):
    """A connection to a runner."""

    OPENING = "opening"
    UP = "up"
    UNVERIFIED = "doubtful"  # silent for longer than its requests could wait: carries nothing new until heard
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
for one in (*CallState, *AttemptState, *ConnectionState):
    one.then = TRANSITIONS.get(one, ())
StateType = TypeVar("StateType", bound=State)


class Stateful(Protocol[StateType]):
    state: StateType


class Transition:
    """The one way from state to state."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters

    def __call__(self, thing: Stateful[StateType], to: StateType) -> None:
        if to not in thing.state.then:
            self.counters["states.forbidden"] += 1
            kind = type(to).__name__
            log.error("%s: %s to %s is no transition", kind, thing.state.value, to.value)
        thing.state = to
