"""Logs what each endpoint list that a router applies changes for the runners."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from maplestile.common import logs
from maplestile.dispatch.api import Settings, WorkerEntry, WorkerState

MAX_NAMES = 8  # names of runners that a line gives for each kind of change
US_PER_MS = 1000

events = logs.events("endpoints")


@dataclass(slots=True)
class EndpointChanges:
    """The uids of the runners that differ between two endpoint lists, by the kind of change."""

    added: list[str] = field(default_factory=list)
    restarted: list[str] = field(default_factory=list)
    draining: list[str] = field(default_factory=list)
    resumed: list[str] = field(default_factory=list)  # ready again, without a later start time
    removed: list[str] = field(default_factory=list)

    def by_kind(self) -> dict[str, list[str]]:
        """Return the changes of each kind that occurred."""
        kinds = {
            "added": self.added,
            "restarted": self.restarted,
            "draining": self.draining,
            "resumed": self.resumed,
            "removed": self.removed,
        }
        return {kind: uids for kind, uids in kinds.items() if uids}


class EndpointLog:
    """The list that was logged last; `record` logs what the next one changes."""

    def __init__(self) -> None:
        self._known: dict[str, WorkerEntry] = {}

    def record(
        self, version: int, entries: Iterable[WorkerEntry], now_us: int, settings: Settings
    ) -> EndpointChanges:
        """Log the changes of a list as one event, unless there are none; return them."""
        listed = {entry.worker: entry for entry in entries}
        is_first = not self._known
        changes = _changes(self._known, listed)
        self._known = listed
        by_kind = changes.by_kind()
        if not by_kind:
            return changes
        running = [entry for entry in listed.values() if entry.state is WorkerState.RUNNING]
        in_slow_start = [entry for entry in running if _is_in_slow_start(entry, now_us, settings)]
        fields: dict[str, object] = {kind: len(uids) for kind, uids in by_kind.items()}
        if not is_first:
            fields |= {f"{kind}_runners": uids[:MAX_NAMES] for kind, uids in by_kind.items()}
        started = [uid for uid in changes.added + changes.restarted if listed[uid].started_us]
        events.info(
            "endpoint list applied",
            version=version,
            unix_us=now_us,
            listed=len(listed),
            running=len(running),
            in_slow_start=len(in_slow_start),
            ages_ms={uid: (now_us - listed[uid].started_us) // US_PER_MS for uid in started[:MAX_NAMES]},
            **fields,
        )
        return changes


def _changes(before: dict[str, WorkerEntry], after: dict[str, WorkerEntry]) -> EndpointChanges:
    changes = EndpointChanges(removed=[uid for uid in before if uid not in after])
    for uid, entry in after.items():
        known = before.get(uid)
        if known is None:
            changes.added.append(uid)
        elif entry.started_us > known.started_us:
            changes.restarted.append(uid)
        elif entry.state is not known.state:
            is_ready = entry.state is WorkerState.RUNNING
            (changes.resumed if is_ready else changes.draining).append(uid)
    return changes


def _is_in_slow_start(entry: WorkerEntry, now_us: int, settings: Settings) -> bool:
    return bool(entry.started_us) and now_us < entry.started_us + settings.slow_start_us
