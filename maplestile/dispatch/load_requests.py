"""Requests to load copies and to keep them warm: their one gate, their ration, and the cap of loads."""

from maplestile.dispatch import api
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.loads import LoadsUnderWay
from maplestile.dispatch.slow_start import SlowStart
from maplestile.dispatch.state import FunctionEntry, Window, Worker
from maplestile.dispatch.tiers import FunctionTiers

# The cap of loads under way, for all dispatchers together: a part of the copies that the caching lists have
# room for, with at most so many for each worker, and at least one for each.
LOADS_SHARE_OF_CAPACITY = 0.06
LOADS_PER_WORKER = 4
MIN_LOADS = 2  # loads that each dispatcher may have under way, however small its part of the cap


class LoadRequests:
    """Requests loads of workers that run, within their slow start and the ration."""

    def __init__(
        self,
        context: Context,
        *,
        fleet: Fleet,
        tiers: FunctionTiers,
        loads: LoadsUnderWay,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.tiers = tiers
        self.loads = loads
        self.slow_start = slow_start
        self.arrivals = Window(0)  # calls, for the ration
        self.requests = Window(0)
        self.apply_settings(context.settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Use another policy's window."""
        self.arrivals.span_us = settings.load_request_window_us
        self.requests.span_us = settings.load_request_window_us + 1  # requests count at the edge, too

    def may_start_load(self) -> bool:
        """One more load keeps the own loads under way within this dispatcher's part of the cap."""
        workers = len(self.fleet.workers)
        by_capacity = int(LOADS_SHARE_OF_CAPACITY * self.tiers.capacity)
        fleet_cap = max(workers, min(by_capacity, LOADS_PER_WORKER * workers))
        return len(self.loads) < max(MIN_LOADS, fleet_cap // max(1, self.context.settings.router_count))

    def request_load(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Request a load of one copy, if the gate admits it; returns whether it did."""
        if not self._may_request_load(entry, worker):
            return False
        self.loads.begin(entry, worker, requested=True)
        self._request(entry, worker)
        return True

    def request_keep_warm(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Request that the worker keep its idle copy, if the gate admits it; returns whether it did."""
        if not self._may_request_load(entry, worker):
            return False
        entry.copy(worker).last_used_us = self.context.now_us
        self._request(entry, worker)
        return True

    def _may_request_load(self, entry: FunctionEntry, worker: Worker) -> bool:
        """The one gate of every such request: drains, slow start and the ration.

        All windows are brought up to date whatever the answer, so that their sums do not depend on it.
        """
        now_us = self.context.now_us
        settings = self.context.settings
        arrived = self.arrivals.total(now_us)
        ration = settings.load_requests_free + settings.load_requests_per_call * arrived
        rationed = settings.load_request_window_us > 0 and self.requests.total(now_us) + 1 > ration
        started = self.fleet.is_running(worker) and self.slow_start.slow_start_allows(
            worker, settings, entry.service_us, 0
        )
        return settings.may_request_loads and not rationed and started

    def _request(self, entry: FunctionEntry, worker: Worker) -> None:
        self.requests.add(self.context.now_us)
        worker.sends.add(self.context.now_us, entry.service_us)
        self.context.actions.append(api.RequestLoad(worker.entry.worker, entry.function, 1))
