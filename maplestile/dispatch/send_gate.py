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

# Own work of other functions, in calls of the function, assumed besides when the least sent to a worker in
# its slow start is reckoned: the first calls after a start do not make one function the whole load.
OTHER_WORK_CALLS = 5.0


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
        """Whether an attempt, be it the first, a retry or a hedged one, may begin at the worker now.

        No other rule may send a call past this one: not to a draining worker, nor during a backoff, nor
        again where a repeat could do harm.
        """
        now_us = self.context.now_us
        if not call.takes_attempts(now_us) or not self.fleet.is_running(worker):
            return False
        entry = call.entry
        backoffs = worker.backoff_until_us
        has_memory = now_us >= worker.memory_exhausted_until_us or self._needs_no_load(entry, worker)
        if now_us < max(backoffs.get(call.group, 0), backoffs.get(ALL_GROUPS, 0)) or not has_memory:
            return False
        if call.attempts:
            hedges_unduly = call.outstanding() and not call.settings.may_hedge
            if hedges_unduly or not self.retry.may_repeat(call, worker):
                return False
            work_us = math.inf  # never to a worker in its slow start
        else:
            work_us = entry.service_us
        least = self._least_calls(entry, worker)
        return self.slow_start.slow_start_allows(worker, call.settings, work_us, least)

    def _needs_no_load(self, entry: FunctionEntry, worker: Worker) -> bool:
        """A copy is loaded there or being loaded. To ask this creates the copy's record."""
        return self.warm_copies.is_warm(entry, worker) or entry.copy(worker).load_started_us > 0

    def _least_calls(self, entry: FunctionEntry, worker: Worker) -> float:
        """Calls that each dispatcher may send to a cold worker, however few it sends there usually.

        Where all dispatchers send one function's calls there, one call of each would grow with their number:
        it is scaled down by how far the function exceeds a mean worker's part.
        """
        least = entry.replica_count * (self.load_rate.decayed_work + OTHER_WORK_CALLS * entry.service_us)
        return min(1.0, least / entry.decayed_work * worker.entry.weight / self.fleet.total_weight)
