"""Which workers have a warm copy of a function: known, or inferred from other dispatchers' traffic."""

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_rate import HALF_LIFE_KEEP_ALIVES, LoadRate
from maplestile.dispatch.state import FunctionEntry, Worker

INFERRED_WARM_CALLS = 2.0  # others' calls expected at a replica in one keep-alive, to infer a copy there
LOAD_REQUEST_DELIVERY_TICKS = 4  # ticks until a load request has surely reached its worker


class WarmCopies:
    """What is known and inferred of copies."""

    def __init__(self, context: Context, *, fleet: Fleet, load_rate: LoadRate) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate

    def is_warm(self, entry: FunctionEntry, worker: Worker) -> bool:
        """A copy is known to be loaded there: in use, or used within the keep-alive."""
        copy = entry.copy(worker)
        return copy.count > 0 and (
            copy.busy > 0 or self.context.now_us < copy.last_used_us + self.context.keep_alive_us
        )

    def is_inferred_warm(self, entry: FunctionEntry, worker: Worker) -> bool:
        """A copy is known to be loaded there, or the other dispatchers' calls must have loaded one."""
        if self.is_warm(entry, worker):
            return True
        now_us = self.context.now_us
        keep_alive_us = self.context.keep_alive_us
        copy = entry.copy(worker)
        if copy.missing_since_us and now_us < copy.missing_since_us + keep_alive_us:
            return False
        # A dispatcher that has just started knows of no copy, and must not hold calls until it has loaded
        # what is loaded already.
        just_started = now_us < self.load_rate.first_call_us + keep_alive_us and not entry.home
        if just_started and worker is self.fleet.ranked(entry)[0] and not copy.load_started_us:
            return True
        if worker not in entry.ranking[: entry.replica_count]:
            return False  # the others' calls rarely overflow to it
        # At a replica of a new list their calls have had little time to load it.
        since_us: float = keep_alive_us
        if copy.replica_since_us:
            since_us = now_us - copy.replica_since_us - entry.load_us
        return self.is_used_by_others(entry, max(0.0, min(1.0, since_us / keep_alive_us)))

    def is_used_by_others(self, entry: FunctionEntry, keep_alives: float = 1.0) -> bool:
        """The other dispatchers' calls load and renew each replica's copy within so many keep-alives."""
        others = self.context.settings.router_count - 1
        calls = others * entry.decayed_work / (HALF_LIFE_KEEP_ALIVES * entry.service_us)
        return keep_alives * calls > INFERRED_WARM_CALLS * entry.replica_count

    def is_loading(self, entry: FunctionEntry, worker: Worker) -> bool:
        """A load is under way, and its request, if any, has reached the worker: calls wait there."""
        copy = entry.copy(worker)
        if copy.load_started_us <= 0:
            return False
        delivery_us = (
            LOAD_REQUEST_DELIVERY_TICKS * self.context.settings.tick_us if copy.load_requested else 0
        )
        return self.context.now_us >= copy.load_started_us + delivery_us
