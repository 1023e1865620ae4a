"""The endpoint list: runners with their addresses, by the latest events or the latest whole list."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from maplestile.common.address import Address
from maplestile.dispatch import api

SERIAL_NUMBERS = 1 << 32  # how many there are
US_PER_MS = 1000
MIN_WEIGHT = 0.01
STATES = {
    "Ready": api.WorkerState.RUNNING,
    "Terminating": api.WorkerState.DRAINING,
    "Gone": api.WorkerState.GONE,
}


class EndpointListError(Exception):
    """An event that cannot be used; the text names the field."""


@dataclass(slots=True)
class EndpointList:
    """The runners by uid; `version` is the serial of the last list or event that was applied, -1 before.

    A list that is no newer than the version is out of date. The uids in `suspended` are shown as draining.
    """

    version: int = -1
    entries: dict[str, api.WorkerEntry] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    suspended: frozenset[str] = frozenset()

    def apply_known(self, known: Mapping[str, Any]) -> None:
        """Apply the events of the start: the first one holds the whole list, later ones what has changed.

        Raises EndpointListError if one cannot be used.
        """
        try:
            for update in known["updates"]:
                self._apply_update(update)
            self.version = max(self.version, int(known.get("index", self.version)))
        except KeyError as missing:
            raise EndpointListError(f"known: field {missing} is missing or unknown") from None
        except (TypeError, ValueError, AttributeError) as fault:
            raise EndpointListError(f"known: {fault}") from None

    def is_newer_than(self, serial: int) -> bool:
        """Return whether the version is newer than a serial, by the wrapping serial numbers of RFC 1982."""
        return self.version >= 0 and 0 < (self.version - serial) % SERIAL_NUMBERS < SERIAL_NUMBERS // 2

    def apply_whole(
        self, version: int, listed: Iterable[tuple[api.WorkerEntry, Address]], replaces: bool = False
    ) -> bool:
        """Apply a whole list; return false if it is out of date: a late reply must not bring back the dead.

        With `replaces` it is applied whatever its version: the numbers have started again, or the list that
        was applied under that version lacked something.
        """
        is_outdated = version == self.version or self.is_newer_than(version)
        if is_outdated and not replaces:
            return False
        self.version = version
        self._clear()
        for entry, address in listed:
            self._put(entry, address)
        return True

    def drain(self, uids: Iterable[str]) -> None:
        """Mark these runners as draining. Raises KeyError if one is not listed."""
        for uid in uids:
            self.entries[uid] = replace(self.entries[uid], state=api.WorkerState.DRAINING)

    def replace(self, other: "EndpointList") -> None:
        """Take the list of another configuration; the version never falls, since the numbers go on."""
        self.version = max(self.version, other.version)
        self.entries = dict(other.entries)
        self.addresses = dict(other.addresses)

    def visible_entries(self) -> tuple[api.WorkerEntry, ...]:
        """Return the list as decisions and pool see it: a suspended runner drains, whatever is listed."""
        draining = api.WorkerState.DRAINING
        return tuple(
            replace(entry, state=draining) if uid in self.suspended else entry
            for uid, entry in self.entries.items()
        )

    def event(self, kind: api.ListKind = api.ListKind.FULL) -> api.WorkerListReceived:
        """Return the event by which the decisions get the list."""
        return api.WorkerListReceived(kind, self.version, self.visible_entries())

    def _apply_update(self, update: Mapping[str, Any]) -> None:
        """Apply one event. Raises KeyError, TypeError, ValueError or AttributeError if it cannot be used."""
        endpoints = update["endpoints"]
        if endpoints.get("all"):
            self._clear()
        for target in endpoints["targets"]:
            self._put(*_decode_target(target))
        self.version = max(self.version, int(update["index"]))

    def _clear(self) -> None:
        self.entries.clear()
        self.addresses.clear()

    def _put(self, entry: api.WorkerEntry, address: Address) -> None:
        """Add or change an entry; one that is gone is removed."""
        if entry.state is api.WorkerState.GONE:
            self.entries.pop(entry.worker, None)
            self.addresses.pop(entry.worker, None)
            return
        # A weight of none, or of less, would end every draw among replicas: it is a very small one.
        weight = entry.weight if MIN_WEIGHT < entry.weight < math.inf else MIN_WEIGHT
        self.entries[entry.worker] = replace(entry, weight=weight)
        self.addresses[entry.worker] = address


def _decode_target(target: Mapping[str, Any]) -> tuple[api.WorkerEntry, Address]:
    """Decode one runner of an event, with its address."""
    host, _, port = str(target.get("endpoint", "")).rpartition(":")
    entry = api.WorkerEntry(
        worker=target["uid"],
        zone=target.get("az", ""),
        kind=target.get("model", ""),
        cell=int(target.get("pod_group", 0)),
        state=STATES[target.get("state", "Ready")],
        weight=float(target.get("capacity_hint", 1.0)),
        started_us=int(target.get("boot_ms", 0)) * US_PER_MS,
    )
    return entry, (host, int(port or 0))
