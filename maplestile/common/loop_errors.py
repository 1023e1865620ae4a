"""Reports errors that escape from the callbacks and tasks of an event loop.

Such an error has ended one callback or one task, for instance that of a single connection. The loop goes on.
"""

import asyncio
import logging
from collections import Counter
from typing import Any

log = logging.getLogger(__name__)


class LoopErrorReporter:
    """An exception handler for an event loop, which counts the errors and logs them within the rate limit."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters

    def install(self) -> None:
        """Report the errors of the running event loop from now on."""
        asyncio.get_running_loop().set_exception_handler(self.report)

    def report(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Count and log one error; `context` is the description that asyncio passes to such handlers."""
        error: BaseException | None = context.get("exception")
        if isinstance(error, asyncio.CancelledError):  # of a connection that is still open at the exit
            return
        self.counters["loop.errors"] += 1
        log.warning("event loop: %s; only that callback or task ends", context["message"], exc_info=error)
