"""Decides whether a call may be sent again: idempotency, deduplication, attempt limit and retry budget."""

from maplestile.dispatch.api import UNKNOWN_CELL, DeduplicationScope, Idempotency, Result, WorkerEntry
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.state import Attempt, Call, Worker

RETRYABLE_AT_SAME_WORKER = (
    Result.MISS,
    Result.FULL,
)  # results after which the same worker may be tried again
RETRIES_PER_CALL = 0.3  # retries that each arriving call adds to the budget; the limit prevents retry storms
MAX_RETRY_BUDGET = 20.0  # maximum number of retries in the budget


class RetryPolicy:
    """The rules for sending a call again, and the budget of retries and hedged attempts."""

    def __init__(self, context: Context, *, fleet: Fleet) -> None:
        self.context = context
        self.fleet = fleet
        self.budget = MAX_RETRY_BUDGET

    def add_to_budget(self) -> None:
        """Add the fraction of a retry that an arriving call earns."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRIES_PER_CALL)

    def has_budget(self) -> bool:
        """Return whether the budget allows one more retry or hedged attempt."""
        return self.budget >= 1.0

    def take_from_budget(self) -> None:
        """Charge one retry or hedged attempt to the budget."""
        self.budget -= 1.0

    def may_repeat(self, call: Call, worker: Worker) -> bool:
        """Return whether the call may still go to the worker, given the attempts it has already had."""
        ran = call.possibly_run_attempts()
        results = [
            attempt.result
            for attempt in call.attempts
            if attempt.worker is worker and attempt.result not in RETRYABLE_AT_SAME_WORKER
        ]
        # One broken connection says little about the worker, so it may be tried once more.
        may_try_again = results == [Result.RESET] and not _is_bound_to_a_group(call)
        if (
            (results and not may_try_again)
            or len(call.attempts) >= call.settings.max_attempts
            or not self.fleet.is_running(worker)
        ):
            return False
        return (
            not ran
            or call.call_class.idempotency is Idempotency.IDEMPOTENT
            or self.deduplicates(call, ran, worker.entry)
        )

    def may_repeat_anywhere(self, call: Call) -> bool:
        """Return whether the call may still go to any listed worker."""
        return any(self.may_repeat(call, worker) for worker in self.fleet.workers.values())

    def deduplicates(self, call: Call, possibly_run: list[Attempt], target: WorkerEntry) -> bool:
        """Return whether the target worker still drops a repeat of a call with an idempotency key.

        The worker must be in the deduplication scope of the first attempt that may have run, and the
        deduplication window must still be open at the next tick.
        """
        scope = call.call_class.deduplication_scope
        first = possibly_run[0].worker.entry
        if scope is DeduplicationScope.ZONE:
            in_scope = first.zone == target.zone
        else:
            in_scope = scope is DeduplicationScope.ALL or first.cell == target.cell != UNKNOWN_CELL
        return in_scope and self.context.now_us + call.settings.tick_us < call.dedup_until_us()


def _is_bound_to_a_group(call: Call) -> bool:
    """Return whether only some workers drop a repeat of the call, those of one zone or cell.

    A process whose connection broke may have ended, and one of another group may have its address by now.
    """
    is_keyed = call.call_class.idempotency is Idempotency.WITH_KEY
    return is_keyed and call.call_class.deduplication_scope is not DeduplicationScope.ALL
