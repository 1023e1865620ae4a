"""Slow start: what a worker that has just started may get from all dispatchers together."""

from maplestile.dispatch.api import Settings
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.hashing import digest, unit_hash
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.state import Worker

# Part of the overload limit that the sends of all dispatchers to a worker in its slow start may fill on the
# mean: the rest is for the chance in when they come.
SLOW_START_SAFETY = 0.45


class SlowStart:
    """The budget of a cold worker, kept by each dispatcher for its part."""

    def __init__(self, context: Context, *, fleet: Fleet, load_rate: LoadRate) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate

    def slow_start_allows(self, worker: Worker, settings: Settings, work_us: float, least: float) -> bool:
        """So much more work may go to the worker now.

        Each dispatcher sends a part of its usual calls there, or of `least` calls, rounded by a draw of its
        own for each window: the sum over any number of dispatchers is the sum of the parts. Loads have no
        least; they are requested until they may go. Infinite work stands for a retry, which never goes there.
        """
        context = self.context
        warming_us = max(0, context.now_us - worker.entry.started_us)
        risen = warming_us / max(1, settings.slow_start_us)  # the capacity rises evenly, at the slowest
        if not worker.entry.started_us or risen >= 1:
            return True
        capacity_share = settings.slow_start_share + (1 - settings.slow_start_share) * risen
        part = SLOW_START_SAFETY * settings.overload_multiple * capacity_share
        window_work_us = self.load_rate.rate() * settings.overload_window_us
        usual_us = window_work_us * worker.entry.weight / self.fleet.total_weight
        window = (context.now_us + context.salt) // max(1, settings.overload_window_us)
        drawn = unit_hash(context.salt ^ worker.salt, digest(str(window)))
        sent_us = worker.sends.total(context.now_us)
        return sent_us + drawn * work_us < part * max(least * work_us, usual_us)
