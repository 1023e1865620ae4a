"""Sends load and keep-warm requests, within a quota of requests and a cap on loads in progress."""

from maplestile.dispatch import api
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.loads_in_progress import LoadsInProgress
from maplestile.dispatch.slow_start import SlowStart
from maplestile.dispatch.state import FunctionEntry, Window, Worker
from maplestile.dispatch.tiers import FunctionTiers

# The cap on loads in progress for all dispatchers together is a fraction of the caching tier's capacity, but
# at least one load and at most `MAX_LOADS_PER_WORKER` loads for each worker.
LOADS_SHARE_OF_CAPACITY = 0.06
MAX_LOADS_PER_WORKER = 4
MIN_LOADS = 2  # loads in progress that each dispatcher may have, however small its share of the cap


class LoadRequests:
    """The sender of load and keep-warm requests, and the limits that they must keep."""

    def __init__(
        self,
        context: Context,
        *,
        fleet: Fleet,
        tiers: FunctionTiers,
        loads: LoadsInProgress,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.tiers = tiers
        self.loads = loads
        self.slow_start = slow_start
        self.arrivals = Window(0)  # arrived calls, which determine the quota
        self.requests = Window(0)  # sent load and keep-warm requests
        self.apply_settings(context.settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Use the load request window of a new policy."""
        self.arrivals.span_us = settings.load_request_window_us
        self.requests.span_us = settings.load_request_window_us + 1  # includes requests at the window's edge

    def may_start_load(self) -> bool:
        """Return whether one more load stays within this dispatcher's share of the cap."""
        workers = len(self.fleet.workers)
        by_capacity = int(LOADS_SHARE_OF_CAPACITY * self.tiers.capacity)
        fleet_cap = max(workers, min(by_capacity, MAX_LOADS_PER_WORKER * workers))
        return len(self.loads) < max(MIN_LOADS, fleet_cap // max(1, self.context.settings.router_count))

    def request_load(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Request a load of one copy if that is allowed; return whether it was."""
        if not self._may_request_load(entry, worker):
            return False
        self.loads.begin(entry, worker, requested=True)
        self._request(entry, worker)
        return True

    def request_keep_warm(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Request that the worker keep its idle copy, if that is allowed; return whether it was."""
        if not self._may_request_load(entry, worker):
            return False
        entry.copy(worker).last_used_us = self.context.now_us
        self._request(entry, worker)
        return True

    def _may_request_load(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Return whether a load or keep-warm request may be sent, given drains, slow start and the quota.

        All windows are updated whatever the result, so that their sums do not depend on it.
        """
        now_us = self.context.now_us
        settings = self.context.settings
        arrived = self.arrivals.total(now_us)
        quota = settings.load_requests_free + settings.load_requests_per_call * arrived
        exceeds_quota = settings.load_request_window_us > 0 and self.requests.total(now_us) + 1 > quota
        is_ready = self.fleet.is_running(worker) and self.slow_start.admits(
            worker, settings, entry.service_us, 0
        )
        return settings.may_request_loads and not exceeds_quota and is_ready

    def _request(self, entry: FunctionEntry, worker: Worker) -> None:
        self.requests.add(self.context.now_us)
        self.slow_start.record_send(worker, entry)
        self.context.actions.append(api.RequestLoad(worker.entry.worker, entry.function, 1))
