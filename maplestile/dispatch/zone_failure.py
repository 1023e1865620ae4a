"""Zone failure: a zone with several silent workers and no answer since is taken to be lost as a whole."""

from maplestile.dispatch import api
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.state import Attempt, Zone

SILENT_WORKERS_OF_LOST_ZONE = 4  # so many, with no answer from the zone since, and the zone is lost
PROBE_INTERVAL_US = 500_000  # between health checks of a lost zone


class ZoneFailureDetector:
    """Guards calls against a zone lost as a whole: worker by worker it would cost a call each."""

    def __init__(self, context: Context, *, fleet: Fleet) -> None:
        self.context = context
        self.fleet = fleet
        self.zones: dict[str, Zone] = {}

    def record_silence(self, attempt: Attempt) -> None:
        """A worker took no connection, or gave no answer for long."""
        zone = self.zones[attempt.worker.entry.zone]
        if zone.last_answer_us > attempt.sent_us or not self.context.settings.may_probe:
            return
        zone.silent_workers.add(attempt.worker.entry.worker)
        self._update(zone)

    def record_answer(self, name: str) -> None:
        """A worker of the zone has answered, or has come up there."""
        zone = self.zones.get(name) or self.zones.setdefault(name, Zone(name))
        zone.last_answer_us = self.context.now_us
        zone.silent_workers.clear()
        self._update(zone)

    def is_lost(self, name: str) -> bool:
        """The zone is taken to be lost as a whole."""
        return self.zones[name].lost

    def probe_lost_zones(self) -> None:
        """Check one random worker of each lost zone whose next check is due."""
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
        if zone.lost == (len(zone.silent_workers) >= SILENT_WORKERS_OF_LOST_ZONE):
            return
        zone.lost = not zone.lost
        self.fleet.set_lost_zones({other.name for other in self.zones.values() if other.lost})
        state = "is silent" if zone.lost else "is heard again"
        self.context.actions.append(api.WriteLog(f"zone {zone.name} {state}"))
