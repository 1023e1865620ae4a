"""The idle timeout: how long a connection may be idle before it is not used again, learned from breaks.

A device between router and runner may drop idle connections sooner than the settings say, which shows only as
a reset when the next request is sent.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from maplestile.wire.limits import RunnerLimits

TIMEOUT_SHARE = 0.8  # new timeout, as a share of the idle time after which a connection broke
# If so many connections recently survived an idle time at least as long, a break is not blamed on it.
MIN_SURVIVORS_TO_BLAME_RUNNER = 3
MAX_SURVIVED = 64  # survived idle times that are remembered


class BreakCause(Enum):
    """The supposed cause of a break at the first request after an idle time."""

    OTHER = "other"  # the break came too long after the request
    RUNNER = "runner"  # the runner or its zone failed: other connections survived such an idle time
    IDLE_TIME = "idle time"  # the connection was dropped while it was idle


@dataclass(slots=True)
class SurvivedIdle:
    """An idle time after which a connection still worked."""

    at_us: int  # when the connection next received input
    idle_us: int  # how long it had been idle


@dataclass(slots=True)
class IdleTimeout:
    """The timeout in force, when it last changed, and the recent idle times that connections survived."""

    timeout_us: int
    changed_us: int = 0  # 0 if it has never changed
    survived: deque[SurvivedIdle] = field(default_factory=lambda: deque(maxlen=MAX_SURVIVED))

    def recover(self, now_us: int, limits: RunnerLimits) -> None:
        """Double the timeout after a time without a break, up to the configured timeout."""
        # The cause of the breaks may be gone.
        if now_us - self.changed_us > limits.learned_idle_recovery_us:
            self.timeout_us = min(2 * self.timeout_us, limits.idle_timeout_us)
            self.changed_us = now_us

    def record_survival(self, now_us: int, idle_us: int) -> None:
        """Record that a connection received input after such an idle time."""
        self.survived.append(SurvivedIdle(now_us, idle_us))

    def learn_from_break(
        self, now_us: int, written_us: int, idle_us: int, limits: RunnerLimits
    ) -> BreakCause:
        """Shorten the timeout if a break was due to an idle time, and return its cause.

        The connection was idle for `idle_us`, a request was written at `written_us`, and it broke before any
        input. If it broke right after the request, the idle time is assumed to be the cause.
        """
        min_timeout_us = limits.min_learned_idle_us
        if now_us - written_us > min_timeout_us:
            return BreakCause.OTHER
        since_us = now_us - limits.learned_idle_recovery_us
        survivors = sum(idle.at_us > since_us and idle.idle_us >= idle_us for idle in self.survived)
        if survivors >= MIN_SURVIVORS_TO_BLAME_RUNNER:
            return BreakCause.RUNNER
        self.timeout_us = max(min_timeout_us, min(self.timeout_us, int(TIMEOUT_SHARE * idle_us)))
        self.changed_us = now_us
        return BreakCause.IDLE_TIME
