"""The workers of the endpoint list, and their weighted rendezvous ranking for each function."""

from maplestile.dispatch.api import Settings, WorkerListReceived, WorkerState
from maplestile.dispatch.context import Context
from maplestile.dispatch.ranking import RankingIndex
from maplestile.dispatch.state import FunctionEntry, Worker
from maplestile.dispatch.worker_list import apply_worker_list


class Fleet:
    """The listed workers, and which of them calls may be placed at."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.workers: dict[str, Worker] = {}
        self.draining: set[str] = set()
        self.lost_zones: set[str] = set()
        self.total_weight = 0.0  # of the running workers; 1 where there are none
        self.ranked_us = 0  # when the workers that may be ranked last changed
        self.index: RankingIndex[Worker] = RankingIndex()

    def apply_settings(self, settings: Settings) -> None:
        """Use another policy's window for what was sent to each worker."""
        for worker in self.workers.values():
            worker.sends.span_us = settings.overload_window_us

    def take_list(self, event: WorkerListReceived) -> list[Worker]:
        """Take over a list or its changes; returns the workers that have come up."""
        self.workers, started = apply_worker_list(
            self.workers, event, self.context.settings.overload_window_us
        )
        return started

    def set_lost_zones(self, names: set[str]) -> None:
        """Rank no worker of these zones, as long as there are others."""
        self.lost_zones = names
        self.update_ranking()

    def update_ranking(self) -> None:
        """Compare who may be ranked with before; a function's ranking follows at its next call.

        A deploy brings many lists, so that only the functions in use pay for them.
        """
        running = [w for w in self.workers.values() if w.entry.state is WorkerState.RUNNING]
        self.draining = {n for n, w in self.workers.items() if w.entry.state is not WorkerState.RUNNING}
        self.total_weight = sum([w.entry.weight for w in running]) or 1.0
        self.ranked_us = self.context.now_us
        self.index.update([w for w in running if w.entry.zone not in self.lost_zones] or running)

    def ranked(self, entry: FunctionEntry, count: int = 1) -> list[Worker]:
        """The function's preferred workers, at least `count` of them or all, the most preferred first.

        The hash is of the function's and the worker's name without a seed, so all dispatchers rank alike.
        """
        before = entry.ranking[: entry.replica_count]
        changed = entry.preferred.seen != self.index.version
        self.index.refresh(entry.preferred, max(count, entry.replica_count))
        if changed:
            entry.forget_unlisted_workers(self.workers)
        for replica in entry.ranking[: entry.replica_count] if changed and before else []:
            if replica not in before:
                entry.copy(replica).replica_since_us = self.ranked_us
        return entry.ranking

    def is_running(self, worker: Worker) -> bool:
        """The worker may get new work: nothing begins there once its drain is notified, even in its grace."""
        return worker.entry.state is WorkerState.RUNNING and self.workers.get(worker.entry.worker) is worker
