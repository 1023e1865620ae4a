"""Keeps the workers of the current worker list, and ranks them for each function by rendezvous hashing."""

from maplestile.dispatch.api import Settings, WorkerListReceived, WorkerState
from maplestile.dispatch.context import Context
from maplestile.dispatch.ranking import RankingIndex
from maplestile.dispatch.state import FunctionEntry, Window, Worker
from maplestile.dispatch.worker_list import apply_worker_list


class Fleet:
    """The listed workers, and which of them may get calls."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.workers: dict[str, Worker] = {}  # by name
        # What was sent lately, by name of the worker. It outlives the worker's record: a process may have got
        # calls before its start was announced, or before a list left it out for a moment.
        self._sends: dict[str, Window] = {}
        self.draining: set[str] = set()  # names of the listed workers that are not running
        self.lost_zones: set[str] = set()
        self.total_weight = 1.0  # of the running workers; 1 if there are none
        self.listed_weight = 1.0  # of all listed workers, also those that drain; 1 if there are none
        self.cold_workers: list[Worker] = []  # running ones that were in their slow start at the last update
        self._has_running_workers = False
        self.ranking_updated_us = 0  # when the set of workers that may be ranked was last updated
        self.index: RankingIndex[Worker] = RankingIndex()

    def apply_settings(self, settings: Settings) -> None:
        """Use the overload window of a new policy for each worker's record of sent work."""
        for sends in self._sends.values():
            sends.span_us = settings.overload_window_us

    def apply_list(self, event: WorkerListReceived) -> list[Worker]:
        """Apply a worker list or its changes; return the workers that have started."""
        self.workers, started = apply_worker_list(self.workers, event, self._recent_sends)
        self._forget_old_sends()
        return started

    def _recent_sends(self, name: str) -> Window:
        return self._sends.setdefault(name, Window(self.context.settings.overload_window_us))

    def _forget_old_sends(self) -> None:
        """Drop the records of unlisted workers that were sent nothing within the overload window."""
        now_us = self.context.now_us
        unlisted = [name for name in self._sends if name not in self.workers]
        for name in unlisted:
            if not self._sends[name].total(now_us):
                del self._sends[name]

    def set_lost_zones(self, names: set[str]) -> None:
        """Set the lost zones; their workers are not ranked as long as there are others."""
        self.lost_zones = names
        self.update_ranking()

    def update_ranking(self) -> None:
        """Update the set of workers that may be ranked.

        Each function's ranking is updated only at its next call. A deployment brings many lists, and only the
        functions in use should pay for them.
        """
        running = [w for w in self.workers.values() if w.entry.state is WorkerState.RUNNING]
        self.draining = {n for n, w in self.workers.items() if w.entry.state is not WorkerState.RUNNING}
        self.total_weight = sum([w.entry.weight for w in running]) or 1.0
        self.listed_weight = sum([w.entry.weight for w in self.workers.values()]) or 1.0
        self.cold_workers = [w for w in running if w.entry.started_us and self.is_in_slow_start(w)]
        self._has_running_workers = bool(running)
        self.ranking_updated_us = self.context.now_us
        self.index.update([w for w in running if w.entry.zone not in self.lost_zones] or running)

    def ranked(self, entry: FunctionEntry, count: int = 1) -> list[Worker]:
        """Return the function's preferred workers, best first: at least `count`, or all if there are fewer.

        The hash of the function's and the worker's names has no seed, so the ranking is the same at all
        dispatchers.
        """
        before = entry.ranking[: entry.replica_count]
        changed = entry.preferred.seen_version != self.index.version
        self.index.refresh(entry.preferred, max(count, entry.replica_count))
        if changed:
            entry.forget_unlisted_workers(self.workers)
        for replica in entry.ranking[: entry.replica_count] if changed and before else []:
            if replica not in before:
                entry.copy(replica).replica_since_us = self.ranking_updated_us
        return entry.ranking

    def warm_weight(self) -> float:
        """Return the weight of the running workers that are past their slow start."""
        if not self._has_running_workers:
            return 0.0
        self.cold_workers = [worker for worker in self.cold_workers if self.is_in_slow_start(worker)]
        return max(0.0, self.total_weight - sum([w.entry.weight for w in self.cold_workers]))

    def is_in_slow_start(self, worker: Worker) -> bool:
        """Return whether the worker has started so recently that it does not have its full capacity."""
        context = self.context
        return worker.slow_start_progress(context.now_us, context.settings.slow_start_us) < 1

    def is_running(self, worker: Worker) -> bool:
        """Return whether the worker may get new work.

        Nothing new begins there once its drain has been announced, even during the grace period.
        """
        return worker.entry.state is WorkerState.RUNNING and self.workers.get(worker.entry.worker) is worker
