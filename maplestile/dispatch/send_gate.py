"""Checks every attempt before it is sent: drains, backoff, memory, idempotency, attempt limit, slow start."""

import math

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.outliers import ALL_GROUPS
from maplestile.dispatch.retry import RetryPolicy
from maplestile.dispatch.slow_start import SlowStart
from maplestile.dispatch.state import Call, FunctionEntry, Worker
from maplestile.dispatch.warm_copies import WarmCopies

# Work of other functions that is assumed in addition to the recorded work, in calls of the function that is
# considered. Without it, the first calls after a dispatcher's start would make one function appear to be the
# whole load.
OTHER_WORK_CALLS = 5.0


class SendGate:
    """The check that a call must pass before it is sent to a worker."""

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
        """Return whether an attempt of the call may begin at the worker now.

        This covers first attempts, retries and hedged attempts. No other rule may bypass this check: no call
        is sent to a draining worker, during a backoff, or again where a repeat could do harm.
        """
        now_us = self.context.now_us
        if not call.accepts_attempts(now_us) or not self.fleet.is_running(worker):
            return False
        entry = call.entry
        backoffs = worker.backoff_until_us
        has_memory = now_us >= worker.memory_exhausted_until_us or self._needs_no_load(entry, worker)
        if now_us < max(backoffs.get(call.group, 0), backoffs.get(ALL_GROUPS, 0)) or not has_memory:
            return False
        if call.attempts:
            is_forbidden_hedge = call.attempts_in_flight() and not call.settings.may_hedge
            if is_forbidden_hedge or not self.retry.may_repeat(call, worker):
                return False
        if worker.slow_start_progress(now_us, call.settings.slow_start_us) >= 1:
            return True
        # Retries and hedged attempts never go to a worker in its slow start.
        work_us = math.inf if call.attempts else entry.service_us
        min_calls = self._min_calls(entry, worker)
        return self.slow_start.admits(worker, call.settings, work_us, min_calls)

    def _needs_no_load(self, entry: FunctionEntry, worker: Worker) -> bool:
        """Return whether a copy is loaded or loading at the worker; this creates the copy's record."""
        return self.warm_copies.is_warm(entry, worker) or entry.copy(worker).load_started_us > 0

    def _min_calls(self, entry: FunctionEntry, worker: Worker) -> float:
        """Return the minimum number of calls per window to assume as this dispatcher's usual traffic there.

        The slow-start limit is a fraction of the usual traffic. The result, which is 1 at most, lets
        dispatchers that usually send less send some calls too. If each dispatcher sent one call of the same
        function there, the sum would grow with the number of dispatchers. So the result is scaled down where
        the function's work per replica exceeds the share of all work that the worker could carry.
        """
        scaled_work = entry.replica_count * (
            self.load_rate.decayed_work + OTHER_WORK_CALLS * entry.service_us
        )
        return min(1.0, scaled_work / entry.decayed_work * self.slow_start.carried_share(worker))
