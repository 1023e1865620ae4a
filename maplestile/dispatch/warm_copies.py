"""Finds which workers have a warm copy of a function, known or inferred from other dispatchers' calls."""

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_rate import HALF_LIFE_KEEP_ALIVES, LoadRate
from maplestile.dispatch.state import FunctionEntry, Worker

# A copy is inferred at a replica if other dispatchers are expected to send more than this many calls there
# within the keep-alive time.
INFERRED_WARM_CALLS = 2.0
LOAD_REQUEST_DELIVERY_TICKS = 4  # timer ticks after which a load request has certainly reached its worker


class WarmCopies:
    """A view of which workers have a warm copy of a function or are loading one, as known or inferred."""

    def __init__(self, context: Context, *, fleet: Fleet, load_rate: LoadRate) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate

    def is_warm(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Return whether a copy is known to be loaded there and was used within the keep-alive time."""
        copy = entry.copy(worker)
        return copy.count > 0 and (
            copy.busy > 0 or self.context.now_us < copy.last_used_us + self.context.keep_alive_us
        )

    def is_inferred_warm(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Return whether a warm copy is known there, or other dispatchers' calls should have loaded one."""
        if self.is_warm(entry, worker):
            return True
        now_us = self.context.now_us
        keep_alive_us = self.context.keep_alive_us
        copy = entry.copy(worker)
        if copy.missing_since_us and now_us < copy.missing_since_us + keep_alive_us:
            return False
        # A dispatcher that has just started knows of no copies. It must not hold calls until it has loaded
        # copies that already exist.
        just_started = now_us < self.load_rate.first_call_us + keep_alive_us and not entry.home
        if just_started and worker is self.fleet.ranked(entry)[0] and not copy.load_started_us:
            return True
        if worker not in entry.ranking[: entry.replica_count]:
            return False  # the calls of other dispatchers rarely overflow to it
        # If a change of the worker list made it a replica, other dispatchers' calls have had little time to
        # load a copy there.
        since_us: float = keep_alive_us
        if copy.replica_since_us:
            since_us = now_us - copy.replica_since_us - entry.load_us
        return self.is_used_by_others(entry, max(0.0, min(1.0, since_us / keep_alive_us)))

    def is_used_by_others(self, entry: FunctionEntry, keep_alives: float = 1.0) -> bool:
        """Return whether calls of other dispatchers can be expected to keep the copies at all replicas warm.

        This holds if enough such calls are expected at each replica within `keep_alives` keep-alive times.
        """
        others = self.context.settings.router_count - 1
        calls = others * entry.decayed_work / (HALF_LIFE_KEEP_ALIVES * entry.service_us)
        return keep_alives * calls > INFERRED_WARM_CALLS * entry.replica_count

    def is_loading(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Return whether a load is in progress and its request, if any, has reached the worker.

        Calls sent there wait for the load.
        """
        copy = entry.copy(worker)
        if copy.load_started_us <= 0:
            return False
        delivery_us = (
            LOAD_REQUEST_DELIVERY_TICKS * self.context.settings.tick_us if copy.load_requested else 0
        )
        return self.context.now_us >= copy.load_started_us + delivery_us
