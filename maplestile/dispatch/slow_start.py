"""Limits the work that all dispatchers together send to a worker that has just started (slow start)."""

from collections.abc import Callable
from dataclasses import dataclass

from maplestile.dispatch.api import Settings
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.hashing import digest, unit_hash
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.served_rate import ServedRate
from maplestile.dispatch.state import FunctionEntry, Worker

# Fraction of the overload limit that the calls sent by all dispatchers to a worker in its slow start may
# reach on average. The rest absorbs random bursts.
SLOW_START_SAFETY = 0.45


@dataclass(slots=True, frozen=True)
class BudgetCheck:
    """One decision whether work may be sent to a worker in its slow start, for logs and counters."""

    worker: str
    now_us: int
    age_us: int  # time since the start of the worker
    is_admitted: bool
    sent_calls: float  # sent there in the overload window, in calls of mean work
    budget_calls: float  # that this dispatcher may send there in an overload window
    carried_share: float  # share of this dispatcher's calls that the worker could carry if it were warm


class SlowStart:
    """This dispatcher's share of the limit on the work that a worker may get during its slow start."""

    def __init__(
        self, context: Context, *, fleet: Fleet, load_rate: LoadRate, served_rate: ServedRate
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate
        self.served_rate = served_rate
        self.on_check: Callable[[BudgetCheck], None] = _ignore_check  # called with each decision

    def admits(self, worker: Worker, settings: Settings, work_us: float, min_calls: float) -> bool:
        """Return whether `work_us` more microseconds of work may be sent to the worker now.

        In each overload window, a dispatcher may send a fraction of the calls there that the worker would
        carry if it were warm, or of `min_calls` calls if that is more. Whether the last call still fits is
        decided by a random number that is fixed for the dispatcher, the worker and the window, so that on
        average the limits of any number of dispatchers add up to the intended sum. Load requests pass 0 as
        `min_calls`, as they are repeated until they are admitted. Retries pass infinite work, and are never
        admitted.
        """
        context = self.context
        progress = worker.slow_start_progress(context.now_us, settings.slow_start_us)
        if progress >= 1:
            return True
        capacity_share = settings.slow_start_share + (1 - settings.slow_start_share) * progress
        allowed_fraction = SLOW_START_SAFETY * settings.overload_multiple * capacity_share
        carried_share = self.carried_share(worker)
        window_calls = self.load_rate.call_rate() * settings.overload_window_us * carried_share
        calls = self.load_rate.in_mean_calls(work_us)
        window = (context.now_us + context.salt) // max(1, settings.overload_window_us)
        random_fraction = unit_hash(context.salt ^ worker.salt, digest(str(window)))
        sent_calls = worker.sends.total(context.now_us)
        limit_calls = allowed_fraction * max(min_calls * calls, window_calls)
        is_admitted = sent_calls + random_fraction * calls < limit_calls
        self.on_check(
            BudgetCheck(
                worker=worker.entry.worker,
                now_us=context.now_us,
                age_us=max(0, context.now_us - worker.entry.started_us),
                is_admitted=is_admitted,
                sent_calls=sent_calls,
                budget_calls=allowed_fraction * window_calls,
                carried_share=carried_share,
            )
        )
        return is_admitted

    def carried_share(self, worker: Worker) -> float:
        """Return the share of this dispatcher's calls that the worker could carry if it were warm.

        It is the worker's share of the running weight, but no more than what workers of its weight have
        served: if few workers run, or more calls come than the fleet can serve, the running workers cannot
        carry all calls.
        """
        weight = worker.entry.weight
        call_rate = self.load_rate.call_rate()
        if not call_rate:
            return weight / self.fleet.total_weight
        return min(
            weight / self.fleet.total_weight, weight * self.served_rate.calls_per_weight_us() / call_rate
        )

    def record_send(self, worker: Worker, entry: FunctionEntry) -> None:
        """Count a call of the function, or a request to load it, that is sent to the worker now."""
        worker.sends.add(self.context.now_us, self.load_rate.in_mean_calls(entry.service_us))


def _ignore_check(_check: BudgetCheck) -> None:
    """Ignore a decision."""
