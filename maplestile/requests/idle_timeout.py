"""How long a connection may be idle and still carry a request: learned from connections that broke.

Something between router and runner may drop an idle connection sooner than the settings say, and shows it
only by a reset when the next request comes.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from maplestile.wire.limits import RunnerLimits

TIMEOUT_SHARE = 0.8  # of the idle time that broke a connection: the timeout of the next ones
SURVIVORS_TO_ACQUIT = 3  # recent requests after an idle time as long by which a break is not due to it
MAX_SURVIVED = 64  # requests after an idle time that are remembered


class BreakCause(Enum):
    """What a connection's break, at its first request after an idle time, is put down to."""

    OTHER = "other"  # it came too late to be the idle time's
    RUNNER = "runner"  # others survived such an idle time of late: that runner went, or its zone
    IDLE_TIME = "idle time"


@dataclass(slots=True)
class SurvivedIdle:
    """A connection that was idle so long and was heard afterwards, at that time."""

    at_us: int
    idle_us: int


@dataclass(slots=True)
class IdleTimeout:
    """The timeout in force, when it last changed, and the idle times that connections survived."""

    timeout_us: int
    changed_us: int = 0
    survived: deque[SurvivedIdle] = field(default_factory=lambda: deque(maxlen=MAX_SURVIVED))

    def relax(self, now_us: int, limits: RunnerLimits) -> None:
        """Double the timeout after a time without a break, up to that of the settings."""
        # What dropped connections may have passed.
        if now_us - self.changed_us > limits.learned_idle_recovery_us:
            self.timeout_us = min(2 * self.timeout_us, limits.idle_timeout_us)
            self.changed_us = now_us

    def learn_survival(self, now_us: int, idle_us: int) -> None:
        """Take note of a connection that was heard after such an idle time."""
        self.survived.append(SurvivedIdle(now_us, idle_us))

    def learn_break(self, now_us: int, written_us: int, idle_us: int, limits: RunnerLimits) -> BreakCause:
        """Shorten the timeout if a break was due to an idle time, and return its cause.

        The connection was idle for `idle_us`, a request was written at `written_us`, and it broke before it
        was heard. Where that came at once, the idle time is to blame.
        """
        least_us = limits.min_learned_idle_us
        if now_us - written_us > least_us:
            return BreakCause.OTHER
        since_us = now_us - limits.learned_idle_recovery_us
        survivors = sum(one.at_us > since_us and one.idle_us >= idle_us for one in self.survived)
        if survivors >= SURVIVORS_TO_ACQUIT:
            return BreakCause.RUNNER
        self.timeout_us = max(least_us, min(self.timeout_us, int(TIMEOUT_SHARE * idle_us)))
        self.changed_us = now_us
        return BreakCause.IDLE_TIME
