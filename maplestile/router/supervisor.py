"""Background tasks that start again after a failure."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable

log = logging.getLogger("maplestile")
RESTART_DELAY_S = 0.2


class TaskSupervisor:
    """Runs the background tasks of one process; counts failures in `parts.failed`."""

    def __init__(self, counters: Counter[str]) -> None:
        self.counters = counters
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Start a task that runs until it returns or is cancelled."""
        task = asyncio.get_running_loop().create_task(self._run(run))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def cancel_all(self) -> None:
        """Cancel each task that still runs, without awaiting its end."""
        for task in self.tasks:
            task.cancel()

    async def _run(self, run: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                return await run()
            except Exception:  # one failure must not end a background task for good
                self.counters["parts.failed"] += 1
                log.exception("a part has failed, and begins anew: %s", run.__qualname__)
                await asyncio.sleep(RESTART_DELAY_S)
