"""Tracks the loads of copies that this dispatcher knows to be in progress."""

from collections.abc import Iterable

from maplestile.dispatch.context import Context
from maplestile.dispatch.state import Copy, FunctionEntry, Worker


class LoadsInProgress:
    """The loads in progress, whether a load request or a call has started them."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.loads: dict[Copy, Worker] = {}

    def __len__(self) -> int:
        return len(self.loads)

    def begin(self, entry: FunctionEntry, worker: Worker, requested: bool) -> None:
        """Record that a load begins at the worker; `requested` unless a call has started it."""
        copy = entry.copy(worker)
        self.loads[copy] = worker
        copy.load_started_us = self.context.now_us
        copy.load_requested = requested
        entry.load_started_us = self.context.now_us

    def end(self, entry: FunctionEntry, worker: Worker, lost: bool = False) -> None:
        """Record that a load, if any, has ended at the worker; `lost` if no copy is loaded there now."""
        copy = entry.copy(worker)
        self.loads.pop(copy, None)
        copy.load_started_us = 0
        copy.load_requested = False
        if lost:
            copy.count = 0
        entry.load_started_us = 0

    def forget(self, copies: Iterable[Copy]) -> None:
        """Forget the loads of these copies."""
        for copy in copies:
            self.loads.pop(copy, None)

    def forget_unlisted_workers(self, workers: dict[str, Worker]) -> None:
        """Forget the loads at workers that are no longer listed."""
        self.loads = {c: w for c, w in self.loads.items() if workers.get(w.entry.worker) is w}
