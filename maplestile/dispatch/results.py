"""Defines the results of attempts, health checks and load requests."""

from enum import Enum


class Result(Enum):
    """The result of an attempt, a health check or a load request."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the worker rejected it because it has no capacity left
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke after the request was written
    CANCELLED = "cancelled"  # the attempt may still have run
    SUPERSEDED = "moot"  # dropped before it ran: its time was over, or the call was already complete
    MISS = "miss"  # the worker has no copy of the function and does not load one


NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.SUPERSEDED, Result.MISS)
"""Results that prove that the attempt did not run."""

ANSWERS = (Result.OK, Result.ERROR, Result.FULL, Result.MISS, Result.SUPERSEDED)
"""Results that are answers of the worker itself."""


class Warmth(Enum):
    """The state of the function's copy at the worker when an attempt reached it."""

    UNKNOWN = 0
    WARM = 1
    STARTED_LOAD = 2
    WAITED_FOR_LOAD = 3
    LOAD_FAILED = 4
