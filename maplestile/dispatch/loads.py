"""The loads of copies that this dispatcher knows to be under way."""

from collections.abc import Iterable

from maplestile.dispatch.context import Context
from maplestile.dispatch.state import Copy, FunctionEntry, Worker


class LoadsUnderWay:
    """Begins and ends of loads, whether requested or brought about by a call."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.loads: dict[Copy, Worker] = {}

    def __len__(self) -> int:
        return len(self.loads)

    def begin(self, entry: FunctionEntry, worker: Worker, requested: bool) -> None:
        """A load begins at the worker, by a request or by a call."""
        copy = entry.copy(worker)
        self.loads[copy] = worker
        copy.load_started_us = self.context.now_us
        copy.load_requested = requested
        entry.load_started_us = self.context.now_us

    def end(self, entry: FunctionEntry, worker: Worker, lost: bool = False) -> None:
        """A load, if any, has ended at the worker; `lost` where no copy is loaded there now."""
        copy = entry.copy(worker)
        self.loads.pop(copy, None)
        copy.load_started_us = 0
        copy.load_requested = False
        if lost:
            copy.count = 0
        entry.load_started_us = 0

    def forget(self, copies: Iterable[Copy]) -> None:
        """The records of these copies are dropped."""
        for copy in copies:
            self.loads.pop(copy, None)

    def forget_unlisted_workers(self, workers: dict[str, Worker]) -> None:
        """Keep the loads at workers that are still listed."""
        self.loads = {c: w for c, w in self.loads.items() if workers.get(w.entry.worker) is w}
