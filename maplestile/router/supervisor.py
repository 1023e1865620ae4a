"""Runs background tasks, and restarts them after a failure."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable

log = logging.getLogger("maplestile")
RESTART_DELAY_S = 0.2


class TaskSupervisor:
    """The supervisor of a process's background tasks; it counts their failures in `parts.failed`."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Start a background task, which is restarted after a failure until it returns or is cancelled."""
        task = asyncio.get_running_loop().create_task(self._run(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def cancel_all(self) -> None:
        """Cancel all running tasks, without waiting for them to end."""
        for task in self.tasks:
            task.cancel()

    async def _run(self, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                return await run()
            except Exception:  # a single failure must not stop a background task permanently
                self.counters["parts.failed"] += 1
                log.exception("background task %s failed; restarting it", run.__qualname__)
                await asyncio.sleep(RESTART_DELAY_S)
