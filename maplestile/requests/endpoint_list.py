"""The list of runners as told so far, by start-up events or by whole lists, with their addresses."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from maplestile.common.address import Address
from maplestile.dispatch import api

SERIALS = 1 << 32  # serial numbers there are
LEAST_WEIGHT = 0.01
STATES = {
    "Ready": api.WorkerState.RUNNING,
    "Terminating": api.WorkerState.DRAINING,
    "Gone": api.WorkerState.GONE,
}


class EndpointListError(Exception):
    """An event that cannot be used; the text names the field."""


@dataclass(slots=True)
class EndpointList:
    """`version` counts the events of the name server; a list no newer than it is old news."""

    version: int = -1
    entries: dict[str, api.WorkerEntry] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    suspended: frozenset[str] = frozenset()

    def apply_known(self, known: Mapping[str, Any]) -> None:
        """The events of the start: the first one holds the whole list, later ones what has changed."""
        try:
            for update in known["updates"]:
                told = update["endpoints"]
                if told.get("all"):
                    self.entries.clear()
                    self.addresses.clear()
                for target in told["targets"]:
                    self._put(*_target(target))
                self.version = max(self.version, int(update["index"]))
            self.version = max(self.version, int(known.get("index", self.version)))
        except KeyError as missing:
            raise EndpointListError(f"known: field {missing} is missing or unknown") from None
        except (TypeError, ValueError, AttributeError) as fault:
            raise EndpointListError(f"known: {fault}") from None

    def behind(self, serial: int) -> bool:
        """A serial is older than the list at hand, in the serial numbers of RFC 1982: they wrap."""
        return self.version >= 0 and 0 < (self.version - serial) % SERIALS < SERIALS // 2

    def apply_whole(
        self, version: int, listed: Iterable[tuple[api.WorkerEntry, Address]], anew: bool = False
    ) -> bool:
        """A whole list; true if it was news. A late reply to an older query must not bring back the dead;
        with `anew` the numbers have begun again, or the list at hand lacked something."""
        if not anew and (version == self.version or self.behind(version)):
            return False
        self.version = version
        self.entries.clear()
        self.addresses.clear()
        for entry, address in listed:
            self._put(entry, address)
        return True

    def drain(self, drained: Iterable[str]) -> None:
        for uid in drained:
            self.entries[uid] = replace(self.entries[uid], state=api.WorkerState.DRAINING)

    def replace(self, other: "EndpointList") -> None:
        """The list of another configuration; its number never falls, since the numbers go on."""
        self.version = max(self.version, other.version)
        self.entries, self.addresses = dict(other.entries), dict(other.addresses)

    def _put(self, entry: api.WorkerEntry, address: Address) -> None:
        if entry.state is api.WorkerState.GONE:
            self.entries.pop(entry.worker, None)
            self.addresses.pop(entry.worker, None)
        else:
            # A weight of none, or of less, would end every draw among seats: it is a very small one.
            weight = entry.weight if LEAST_WEIGHT < entry.weight < math.inf else LEAST_WEIGHT
            self.entries[entry.worker] = replace(entry, weight=weight)
            self.addresses[entry.worker] = address

    def shown(self) -> tuple[api.WorkerEntry, ...]:
        """The list as decisions and pool are to see it: who is suspended drains, whatever was told."""
        draining = api.WorkerState.DRAINING
        return tuple(
            replace(entry, state=draining) if uid in self.suspended else entry
            for uid, entry in self.entries.items()
        )

    def event(self, kind: api.ListKind = api.ListKind.FULL) -> api.WorkerListReceived:
        return api.WorkerListReceived(kind, self.version, self.shown())


def _target(told: Mapping[str, Any]) -> tuple[api.WorkerEntry, Address]:
    host, _, port = str(told.get("endpoint", "")).rpartition(":")
    entry = api.WorkerEntry(
        worker=told["uid"],
        zone=told.get("az", ""),
        kind=told.get("model", ""),
        cell=int(told.get("pod_group", 0)),
        state=STATES[told.get("state", "Ready")],
        weight=float(told.get("capacity_hint", 1.0)),
        started_us=int(told.get("boot_ms", 0)) * 1000,
    )
    return entry, (host, int(port or 0))
