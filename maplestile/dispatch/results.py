"""How attempts, health checks and load requests end."""

from enum import Enum


class Result(Enum):
    """How an attempt, a health check or a load request ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected by a worker that is at its capacity
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke after the request was written
    CANCELLED = "cancelled"  # it may have run
    SUPERSEDED = "moot"  # dropped before it ran: its time was over, or the call was complete already
    MISS = "miss"  # the worker has no copy of the function and loads none


NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.SUPERSEDED, Result.MISS)
"""Results that prove that the attempt has not run."""

ANSWERS = (Result.OK, Result.ERROR, Result.FULL, Result.MISS, Result.SUPERSEDED)
"""Results that the worker itself answered with."""


class Warmth(Enum):
    """The state of the function's copy at the worker when an attempt reached it."""

    UNKNOWN = 0
    WARM = 1
    STARTED_LOAD = 2
    WAITED_FOR_LOAD = 3
    LOAD_FAILED = 4
