"""Detects the loss of a whole zone: several of its workers are silent, and none has answered since."""

from maplestile.dispatch import api
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.state import Attempt, Zone

LOST_ZONE_SILENT_WORKERS = 4  # a zone is lost once this many workers are silent since its last answer
PROBE_INTERVAL_US = 500_000  # time between health checks in a lost zone


class ZoneFailureDetector:
    """The detector of lost zones; detecting the loss worker by worker would cost a call for each worker."""

    def __init__(self, context: Context, *, fleet: Fleet) -> None:
        self.context = context
        self.fleet = fleet
        self.zones: dict[str, Zone] = {}  # by name

    def record_silence(self, attempt: Attempt) -> None:
        """Record that a worker accepted no connection, or gave no answer for a long time."""
        zone = self.zones[attempt.worker.entry.zone]
        if zone.last_answer_us > attempt.sent_us or not self.context.settings.may_probe:
            return
        zone.silent_workers.add(attempt.worker.entry.worker)
        self._update(zone)

    def record_answer(self, name: str) -> None:
        """Record that a worker of the zone has answered or started."""
        zone = self.zones.get(name) or self.zones.setdefault(name, Zone(name))
        zone.last_answer_us = self.context.now_us
        zone.silent_workers.clear()
        self._update(zone)

    def is_lost(self, name: str) -> bool:
        """Return whether the zone counts as lost."""
        return self.zones[name].lost

    def probe_lost_zones(self) -> None:
        """Send a health check to a random worker of each lost zone whose next check is due."""
        now_us = self.context.now_us
        for zone in [z for z in self.zones.values() if z.lost and now_us >= z.next_probe_us]:
            zone.next_probe_us = now_us + PROBE_INTERVAL_US
            candidates = [
                worker
                for worker in self.fleet.workers.values()
                if worker.entry.zone == zone.name and self.fleet.is_running(worker)
            ]
            if candidates:
                probed = self.context.random.choice(candidates)
                self.context.actions.append(api.SendHealthCheck(probed.entry.worker))

    def _update(self, zone: Zone) -> None:
        if zone.lost == (len(zone.silent_workers) >= LOST_ZONE_SILENT_WORKERS):
            return
        zone.lost = not zone.lost
        self.fleet.set_lost_zones({other.name for other in self.zones.values() if other.lost})
        state = "is silent" if zone.lost else "is heard again"
        self.context.actions.append(api.WriteLog(f"zone {zone.name} {state}"))
