"""The endpoint list: the runners with their addresses, from update events or complete lists."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from maplestile.common.address import Address
from maplestile.dispatch import api
from maplestile.requests.start_times import StartTimes

SERIAL_NUMBERS = 1 << 32  # count of distinct serial numbers
US_PER_MS = 1000
MIN_WEIGHT = 0.01
STATES = {
    "Ready": api.WorkerState.RUNNING,
    "Terminating": api.WorkerState.DRAINING,
    "Gone": api.WorkerState.GONE,
}


class EndpointListError(Exception):
    """An update event that cannot be used; the error text names the field."""


@dataclass(slots=True)
class EndpointList:
    """The runners by uid.

    `version` is the serial of the last list or event that was applied, -1 before the first; a list that is
    not newer than it is out of date. Cordoned runners, whose uids are in `suspended`, appear as draining.
    """

    version: int = -1
    entries: dict[str, api.WorkerEntry] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    suspended: frozenset[str] = frozenset()
    start_times: StartTimes = field(default_factory=StartTimes)

    def apply_updates(self, known: Mapping[str, Any]) -> None:
        """Apply the update events in the settings: a complete list first, then changes to it.

        Raises EndpointListError if an event cannot be used.
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
        """Return whether the version is newer than a serial, in the serial number arithmetic of RFC 1982."""
        return self.version >= 0 and 0 < (self.version - serial) % SERIAL_NUMBERS < SERIAL_NUMBERS // 2

    def apply_list(
        self, version: int, listed: Iterable[tuple[api.WorkerEntry, Address]], replaces: bool = False
    ) -> bool:
        """Apply a complete list; return false, and change nothing, if it is out of date.

        Otherwise a late reply could restore runners that were removed since. With `replaces` the list is
        applied whatever its version: the server's serials have started again, or the list that was applied
        under that version was incomplete.
        """
        is_outdated = version == self.version or self.is_newer_than(version)
        if is_outdated and not replaces:
            return False
        self.version = version
        self._clear()
        for entry, address in listed:
            self._set_entry(entry, address)
        return True

    def drain(self, uids: Iterable[str]) -> None:
        """Mark these runners as draining. Raises KeyError if one is not listed."""
        for uid in uids:
            self.entries[uid] = replace(self.entries[uid], state=api.WorkerState.DRAINING)

    def replace(self, other: "EndpointList") -> None:
        """Replace the list by that of a new configuration; the version never decreases."""
        self.version = max(self.version, other.version)
        self.entries = dict(other.entries)
        self.addresses = dict(other.addresses)

    def adopt(self, other: "EndpointList") -> bool:
        """Apply the list of a predecessor if it is newer, else its drains; return whether anything changed.

        A process that drains never serves again, so the drains of an older list hold too.
        """
        if self.version != other.version and not self.is_newer_than(other.version):
            self.replace(other)
            self.version = other.version  # which is lower after the serials have wrapped
            return True
        draining = [uid for uid, entry in other.entries.items() if self._has_drained(entry)]
        self.drain(draining)
        return bool(draining)

    def as_updates(self) -> dict[str, Any]:
        """Return the list in the form of the configuration's `known`, as one update event."""
        targets = [_encode_target(entry, self.addresses[uid]) for uid, entry in self.entries.items()]
        update = {"index": self.version, "endpoints": {"all": True, "targets": targets}}
        return {"index": self.version, "updates": [update]}

    def visible_entries(self) -> tuple[api.WorkerEntry, ...]:
        """Return the entries for dispatcher and pool, with start times by the router's clock.

        Cordoned runners are draining, whatever is listed.
        """
        return tuple(self._visible_entry(entry) for entry in self.entries.values())

    def event(self, kind: api.ListKind = api.ListKind.FULL) -> api.WorkerListReceived:
        """Return the event that passes the list to the dispatcher."""
        return api.WorkerListReceived(kind, self.version, self.visible_entries())

    def _visible_entry(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        state = api.WorkerState.DRAINING if entry.worker in self.suspended else entry.state
        started_us = self.start_times.estimate(entry)
        if state is entry.state and started_us == entry.started_us:
            return entry
        return replace(entry, state=state, started_us=started_us)

    def _apply_update(self, update: Mapping[str, Any]) -> None:
        """Apply one update event.

        Raises KeyError, TypeError, ValueError or AttributeError if it cannot be used.
        """
        endpoints = update["endpoints"]
        if endpoints.get("all"):
            self._clear()
        for target in endpoints["targets"]:
            self._set_entry(*_decode_target(target))
        self.version = max(self.version, int(update["index"]))

    def _has_drained(self, other: api.WorkerEntry) -> bool:
        """Return whether a process that is listed here as running drains by an entry of another list."""
        known = self.entries.get(other.worker)
        if known is None or known.started_us != other.started_us:
            return False
        return known.state is api.WorkerState.RUNNING and other.state is api.WorkerState.DRAINING

    def _clear(self) -> None:
        self.entries.clear()
        self.addresses.clear()

    def _set_entry(self, entry: api.WorkerEntry, address: Address) -> None:
        """Add or replace an entry, or remove it if its state is GONE."""
        if entry.state is api.WorkerState.GONE:
            self.entries.pop(entry.worker, None)
            self.addresses.pop(entry.worker, None)
            return
        # A weight that is not positive and finite would break the weighted choice among replicas.
        weight = entry.weight if MIN_WEIGHT < entry.weight < math.inf else MIN_WEIGHT
        self.entries[entry.worker] = replace(entry, weight=weight)
        self.addresses[entry.worker] = address


def _encode_target(entry: api.WorkerEntry, address: Address) -> dict[str, Any]:
    """Return one runner of an update event; see `_decode_target`."""
    return {
        "uid": entry.worker,
        "endpoint": f"{address[0]}:{address[1]}",
        "az": entry.zone,
        "model": entry.kind,
        "pod_group": entry.cell,
        "state": next(name for name, state in STATES.items() if state is entry.state),
        "capacity_hint": entry.weight,
        "boot_ms": entry.started_us // US_PER_MS,
    }


def _decode_target(target: Mapping[str, Any]) -> tuple[api.WorkerEntry, Address]:
    """Decode one runner of an update event; return its entry and address."""
    host, _, port = str(target.get("endpoint", "")).rpartition(":")
    entry = api.WorkerEntry(
        worker=target["uid"],
        zone=target.get("az", ""),
        kind=target.get("model", ""),
        cell=int(target.get("pod_group", api.UNKNOWN_CELL)),
        state=STATES[target.get("state", "Ready")],
        weight=float(target.get("capacity_hint", 1.0)),
        started_us=int(target.get("boot_ms", 0)) * US_PER_MS,
    )
    return entry, (host, int(port or 0))
