"""Limits the work that all dispatchers together send to a worker that has just started (slow start)."""

from collections.abc import Callable
from dataclasses import dataclass

from maplestile.dispatch.api import Settings
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.hashing import digest, unit_hash
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.state import Worker

# Fraction of the overload limit that the work sent by all dispatchers to a worker in its slow start may reach
# on average. The rest absorbs random bursts.
SLOW_START_SAFETY = 0.45


@dataclass(slots=True, frozen=True)
class BudgetCheck:
    """One decision whether work may be sent to a worker in its slow start, for logs and counters."""

    worker: str
    now_us: int
    age_us: int  # time since the start of the worker
    is_admitted: bool
    sent_us: float  # work sent there in the overload window
    budget_us: float  # work that this dispatcher may send there in an overload window
    running_weight: float  # of all workers that may get calls


class SlowStart:
    """This dispatcher's share of the limit on the work that a worker may get during its slow start."""

    def __init__(self, context: Context, *, fleet: Fleet, load_rate: LoadRate) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate
        self.on_check: Callable[[BudgetCheck], None] = _ignore_check  # called with each decision

    def admits(self, worker: Worker, settings: Settings, work_us: float, min_calls: float) -> bool:
        """Return whether `work_us` more microseconds of work may be sent to the worker now.

        In each overload window, a dispatcher may send a fraction of its usual work there, or of the work of
        `min_calls` calls if that is more. Whether the last call still fits is decided by a random number that
        is fixed for the dispatcher, the worker and the window, so that on average the limits of any number of
        dispatchers add up to the intended sum. Load requests pass 0 as `min_calls`, as they are repeated
        until they are admitted. Retries pass infinite work, and are never admitted.
        """
        context = self.context
        warming_us = max(0, context.now_us - worker.entry.started_us)
        progress = warming_us / max(1, settings.slow_start_us)  # the capacity rises at least linearly
        if not worker.entry.started_us or progress >= 1:
            return True
        capacity_share = settings.slow_start_share + (1 - settings.slow_start_share) * progress
        allowed_fraction = SLOW_START_SAFETY * settings.overload_multiple * capacity_share
        window_work_us = self.load_rate.rate() * settings.overload_window_us
        usual_us = window_work_us * worker.entry.weight / self.fleet.total_weight
        window = (context.now_us + context.salt) // max(1, settings.overload_window_us)
        random_fraction = unit_hash(context.salt ^ worker.salt, digest(str(window)))
        sent_us = worker.sends.total(context.now_us)
        budget_us = allowed_fraction * max(min_calls * work_us, usual_us)
        is_admitted = sent_us + random_fraction * work_us < budget_us
        self.on_check(
            BudgetCheck(
                worker.entry.worker,
                context.now_us,
                warming_us,
                is_admitted,
                sent_us,
                allowed_fraction * usual_us,
                self.fleet.total_weight,
            )
        )
        return is_admitted


def _ignore_check(_check: BudgetCheck) -> None:
    """Ignore a decision."""
