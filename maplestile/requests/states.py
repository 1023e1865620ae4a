"""The lives of a call, of an attempt on its way to a runner, and of a connection to one.

The core and the pool move them by `Move` alone, so a transition that is not in the table cannot pass unseen:
it is counted (`states.forbidden`) and logged, and the state moves on, since a router must not fall over it;
`maplestile explore` shows that none is ever met. `docs/attempt-states.md` says why each one is as it is."""

import logging
from collections import Counter
from enum import Enum
from typing import Protocol, TypeVar

log = logging.getLogger(__name__)


class State(Enum):
    """One of a life; `then` are those that may follow, a tuple, since a member's hash is slow."""

    then: tuple["State", ...]


class Call(State):
    """A request of a client's."""

    OWED = "owed"  # its one final answer
    ANSWERED = "answered"
    WITHDRAWN = "withdrawn"  # its client waits no longer


class Attempt(State):
    """A line to a runner: a call's attempt, an order to load, a probe."""

    QUEUED = "queued"  # behind its connection, or what is written there: not a byte is out
    PART = "part"  # the system has taken some of it, perhaps all
    WRITTEN = "written"  # the system has all of it: from here on it may run
    ANSWERED = "answered"
    UNSENT = "unsent"  # never whole at the runner: it did not run
    BROKEN = "broken"  # its connection ended, and it may have run
    CALLED_OFF = "called off"


class Link(State):
    """A connection to a runner."""

    OPENING = "opening"
    UP = "up"
    DOUBTFUL = "doubtful"  # silent for longer than its requests could wait: carries nothing new until heard
    CLOSED = "closed"


MOVES: dict[State, tuple[State, ...]] = {
    Call.OWED: (Call.ANSWERED, Call.WITHDRAWN),
    # Queued again from PART: its connection broke before the system had it all, and it goes by another.
    Attempt.QUEUED: (Attempt.PART, Attempt.UNSENT, Attempt.CALLED_OFF),
    Attempt.PART: (Attempt.WRITTEN, Attempt.QUEUED, Attempt.ANSWERED, Attempt.UNSENT, Attempt.BROKEN,
                   Attempt.CALLED_OFF),
    Attempt.WRITTEN: (Attempt.ANSWERED, Attempt.BROKEN, Attempt.CALLED_OFF),
    Link.OPENING: (Link.UP, Link.CLOSED),
    Link.UP: (Link.DOUBTFUL, Link.CLOSED),
    Link.DOUBTFUL: (Link.UP, Link.CLOSED),
}  # fmt: skip
for one in (*Call, *Attempt, *Link):
    one.then = MOVES.get(one, ())
Life = TypeVar("Life", bound=State)


class Has(Protocol[Life]):
    state: Life


class Move:
    """The one way from state to state."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters

    def __call__(self, thing: Has[Life], to: Life) -> None:
        if to not in thing.state.then:
            self.counters["states.forbidden"] += 1
            kind = type(to).__name__
            log.error("%s: %s to %s is no transition", kind, thing.state.value, to.value)
        thing.state = to
