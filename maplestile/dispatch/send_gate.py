"""The one gate before every attempt: drains, backoff, memory, idempotency, attempt limit and slow start."""

import math

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.outliers import ALL_GROUPS
from maplestile.dispatch.retry import RetryPolicy
from maplestile.dispatch.slow_start import SlowStart
from maplestile.dispatch.state import Call, FunctionEntry, Worker
from maplestile.dispatch.warm_copies import WarmCopies

OTHER_WORK_CALLS = 5.0  # own work assumed besides a function's, in its calls, where a cold worker is met


class SendGate:
    """Whether one call may go to one worker."""

    def __init__(
        self,
        context: Context,
        *,
        fleet: Fleet,
        load_rate: LoadRate,
        warm_copies: WarmCopies,
        retry: RetryPolicy,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate
        self.warm_copies = warm_copies
        self.retry = retry
        self.slow_start = slow_start

    def may_send(self, call: Call, worker: Worker) -> bool:
        """Whether an attempt, be it the first, a retry or a hedged one, may begin at the worker now."""
        now_us = self.context.now_us
        if not call.takes_attempts(now_us) or not self.fleet.is_running(worker):
            return False
        entry = call.entry
        backoffs = worker.backoff_until_us
        # Evaluated only so far as needed: reading a copy's record creates it.
        has_memory = (
            now_us >= worker.memory_exhausted_until_us
            or self.warm_copies.is_warm(entry, worker)
            or entry.copy(worker).load_started_us
        )
        if now_us < max(backoffs.get(call.group, 0), backoffs.get(ALL_GROUPS, 0)) or not has_memory:
            return False
        if call.attempts:
            hedges = call.outstanding() and not call.settings.may_hedge
            if hedges or not self.retry.may_repeat(call, worker):
                return False
            work_us = math.inf
        else:
            work_us = entry.service_us
        least = self._least_calls(entry, worker)
        return self.slow_start.slow_start_allows(worker, call.settings, work_us, least)

    def _least_calls(self, entry: FunctionEntry, worker: Worker) -> float:
        """Calls that each dispatcher may send to a cold worker, however few it sends there usually.

        Where all dispatchers send one function's calls there, one call of each would grow with their number:
        it is scaled down by how far the function exceeds a mean worker's part.
        """
        least = entry.replica_count * (self.load_rate.decayed_work + OTHER_WORK_CALLS * entry.service_us)
        return min(1.0, least / entry.decayed_work * worker.entry.weight / self.fleet.total_weight)
