"""Applies a received worker list, or its changes, to the records of the workers."""

from collections.abc import Callable, Mapping

from maplestile.dispatch.api import ListKind, WorkerEntry, WorkerListReceived, WorkerState
from maplestile.dispatch.hashing import digest
from maplestile.dispatch.state import Window, Worker


def apply_worker_list(
    workers: Mapping[str, Worker], event: WorkerListReceived, recent_sends: Callable[[str], Window]
) -> tuple[dict[str, Worker], list[Worker]]:
    """Return the updated workers by name, and those of them that have started.

    Other workers keep their records. `recent_sends` returns what was sent lately to a worker of that name.
    """
    updated = _still_listed(workers, event)
    started = list[Worker]()
    for entry in event.entries:
        worker = updated.pop(entry.worker, None)
        if entry.state is WorkerState.GONE:
            continue
        if worker is None or _has_restarted(worker, entry):
            worker = Worker(entry, recent_sends(entry.worker), digest(entry.worker))
            started.append(worker)
        worker.entry = entry
        updated[entry.worker] = worker
    return updated, started


def _still_listed(workers: Mapping[str, Worker], event: WorkerListReceived) -> dict[str, Worker]:
    """Return the workers without those that a complete list no longer contains."""
    if event.kind is ListKind.DELTA:
        return dict(workers)
    listed = {entry.worker for entry in event.entries}
    return {name: worker for name, worker in workers.items() if name in listed}


def _has_restarted(worker: Worker, entry: WorkerEntry) -> bool:
    """Return whether the entry is of a new process of the worker.

    A new process holds no copies, and the symptoms of the old one say nothing about it.
    """
    return entry.started_us > worker.entry.started_us
