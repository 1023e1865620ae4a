"""A list of workers, or its changes, taken over into the records kept of them."""

from collections.abc import Mapping

from maplestile.dispatch.api import ListKind, WorkerListReceived, WorkerState
from maplestile.dispatch.hashing import digest
from maplestile.dispatch.state import Window, Worker


def relisted(
    workers: Mapping[str, Worker], event: WorkerListReceived, overload_window_us: int
) -> tuple[dict[str, Worker], list[Worker]]:
    """The workers after a list or its changes, and those that have come up; the others keep their records."""
    kept, started = dict(workers), list[Worker]()
    if event.kind is not ListKind.DELTA:
        named = {entry.worker for entry in event.entries}
        kept = {name: worker for name, worker in workers.items() if name in named}
    for entry in event.entries:
        known = kept.pop(entry.worker, None)
        if entry.state is WorkerState.GONE:
            continue
        # A restarted worker is a new record: it is empty, and its old symptoms say nothing of it.
        if known is None or entry.started_us > known.entry.started_us:
            known = Worker(entry, Window(overload_window_us), digest(entry.worker))
            started.append(known)
        known.entry = entry
        kept[entry.worker] = known
    return kept, started
