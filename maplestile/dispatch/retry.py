"""Which calls may go out again, and where: idempotency, deduplication, attempt limit, retry budget."""

from maplestile.dispatch.api import DeduplicationScope, Idempotency, Result, WorkerEntry
from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.state import Attempt, Call, Worker

RETRY_AT_SAME_WORKER = (Result.MISS, Result.FULL)  # results that do not speak against the same worker
RETRIES_PER_CALL = 0.3  # further attempts that each call adds to the budget, against retry storms
MAX_RETRY_BUDGET = 20.0  # further attempts that may be saved


class RetryPolicy:
    """The gate of repeats, and the budget of further attempts."""

    def __init__(self, context: Context, *, fleet: Fleet) -> None:
        self.context = context
        self.fleet = fleet
        self.budget = MAX_RETRY_BUDGET

    def add_to_budget(self) -> None:
        """One more call has come, and earns its part of a further attempt."""
        self.budget = min(MAX_RETRY_BUDGET, self.budget + RETRIES_PER_CALL)

    def has_budget(self) -> bool:
        """One further attempt may be taken out of the budget."""
        return self.budget >= 1.0

    def take_from_budget(self) -> None:
        """A further attempt is made."""
        self.budget -= 1.0

    def may_repeat(self, call: Call, worker: Worker) -> bool:
        """Whether a call that may have been sent before may ever go to the worker."""
        ran = call.possibly_run()
        results = [
            attempt.result
            for attempt in call.attempts
            if attempt.worker is worker and attempt.result not in RETRY_AT_SAME_WORKER
        ]
        tried = results and results != [Result.RESET]  # a broken connection says little of the worker
        if tried or len(call.attempts) >= call.settings.max_attempts or not self.fleet.is_running(worker):
            return False
        return (
            not ran
            or call.call_class.idempotency is Idempotency.IDEMPOTENT
            or self.deduplicates(call, ran, worker.entry)
        )

    def may_repeat_anywhere(self, call: Call) -> bool:
        """Whether the call may ever go to any worker of the list."""
        return any(self.may_repeat(call, worker) for worker in self.fleet.workers.values())

    def deduplicates(self, call: Call, ran: list[Attempt], target: WorkerEntry) -> bool:
        """Whether repeats of a keyed call are dropped at the worker, and are still remembered there."""
        scope = call.call_class.deduplication_scope
        first = ran[0].worker.entry
        if scope is DeduplicationScope.ZONE:
            in_scope = first.zone == target.zone
        else:
            in_scope = scope is DeduplicationScope.ALL or first.cell == target.cell
        return in_scope and self.context.now_us + call.settings.tick_us < call.dedup_until_us()
