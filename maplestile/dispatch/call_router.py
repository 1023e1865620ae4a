"""Handles pending calls: places, holds, sends, retries and hedges them, and gives the final answer."""

from maplestile.dispatch import api
from maplestile.dispatch.admission import AdmissionController
from maplestile.dispatch.api import Idempotency, Result
from maplestile.dispatch.context import Context
from maplestile.dispatch.copy_records import CopyRecords
from maplestile.dispatch.estimates import expected_service_us
from maplestile.dispatch.placement import Placement
from maplestile.dispatch.retry import RetryPolicy
from maplestile.dispatch.slow_start import SlowStart
from maplestile.dispatch.state import Attempt, Call, CallTable, FunctionEntry, Worker
from maplestile.dispatch.worker_health import WorkerHealth

# Waiting calls are tried again after the longest of these three times. Shorter ones cost more processor time
# than they gain, whatever the tick of the timers.
MIN_RETRY_WAIT_US = 16_000
RETRY_WAIT_SERVICE_TIMES = 0.2
RETRY_WAIT_LOAD_TIMES = 0.01
OVERDUE_SERVICE_TIMES = 3.0  # expected service times after which an attempt without an answer is overdue
# After this many errors of a function that has never succeeded, its calls are no longer retried: its name is
# probably wrong, and no worker is to blame.
UNKNOWN_FUNCTION_ERRORS = 3
# Delay before a rejected client should try again; an immediate retry would meet the same overload.
RETRY_AFTER_US = 1_000_000
MAX_HEDGED_ATTEMPTS = 2  # attempts of one call in flight at the same time, the first one included


class CallRouter:
    """The component that takes each call from its arrival to its single final answer."""

    def __init__(
        self,
        context: Context,
        *,
        table: CallTable,
        copy_records: CopyRecords,
        placement: Placement,
        retry: RetryPolicy,
        health: WorkerHealth,
        admission: AdmissionController,
        slow_start: SlowStart,
    ) -> None:
        self.context = context
        self.table = table
        self.copy_records = copy_records
        self.placement = placement
        self.retry = retry
        self.health = health
        self.admission = admission
        self.slow_start = slow_start

    # Placing and holding calls.

    def route(self, call: Call) -> None:
        """Begin the call's next attempt or hold the call; do nothing while an attempt is in flight."""
        if not call.open or call.attempts_in_flight():
            return
        worker = self.placement.choose(call)
        if worker is None:
            self.hold(call)
        else:
            self.send(call, worker)

    def hold(self, call: Call) -> None:
        """Let the call wait for a worker, or give it up if no worker may ever take it.

        A call past its latency objective is also given up if its client may safely retry: its place goes to
        a call that can still be answered in time.
        """
        entry = call.entry
        entry.waiting[call.id] = call
        too_late = self.admission.is_late(call) and self.admission.may_reject(call)
        if too_late or not self.retry.may_repeat_anywhere(call):
            self.finish(call)
        elif self.context.now_us >= entry.next_retry_us:  # one timer per function, however many calls wait
            service_us = RETRY_WAIT_SERVICE_TIMES * entry.service_us
            load_us = RETRY_WAIT_LOAD_TIMES * entry.load_us
            wait_us = int(max(MIN_RETRY_WAIT_US, service_us, load_us))
            entry.next_retry_us = self.context.now_us + wait_us
            self.context.set_timer(wait_us, lambda: self.wake(entry))

    def wake(self, entry: FunctionEntry) -> None:
        """Try the function's waiting calls again, until one of them still has to wait."""
        for call in list(entry.waiting.values()):
            entry.waiting.pop(call.id, None)
            self.route(call)
            if call.id in entry.waiting:
                return  # it is now last in the queue, so the next wake tries another call first

    # Sending attempts.

    def send(self, call: Call, worker: Worker) -> None:
        """Send the call to a worker, after the send gate has allowed it."""
        context = self.context
        now_us = context.now_us
        entry = call.entry
        needs_load = self.copy_records.record_send(call, worker)
        dedup_until_us = call.dedup_until_us()  # read before this attempt is added: only earlier ones count
        attempt = Attempt(len(call.attempts), worker, now_us, needs_load)
        call.attempts.append(attempt)
        self.table.attempts[call.id, attempt.number] = (call, attempt)
        entry.waiting.pop(call.id, None)
        entry.copy(worker).busy += 1
        entry.busy += 1
        worker.busy += 1
        self.slow_start.record_send(worker, entry)
        timeout_us = call.due_us - now_us
        name = worker.entry.worker
        context.actions.append(
            api.SendAttempt(call.id, name, timeout_us, call.settings.epoch, dedup_until_us)
        )
        load_us = entry.load_us if needs_load else 0
        overdue_us = OVERDUE_SERVICE_TIMES * expected_service_us(call) + load_us
        # If the call ends before that, a timer would only keep the call in memory.
        if now_us + overdue_us < call.due_us:
            attempt.overdue_timer = context.set_timer(overdue_us, lambda: self.on_overdue(call, attempt))

    # Retries and hedged attempts.

    def retry_or_finish(self, call: Call, result: Result) -> None:
        """Retry a call that has no attempt left in flight, or give its final answer.

        A retry is taken from the retry budget. A call that is not idempotent is never sent again once one of
        its attempts may have run. After a miss, the call waits for a copy without using the budget.
        """
        is_unsafe = call.call_class.idempotency is Idempotency.NOT_IDEMPOTENT and bool(
            call.possibly_run_attempts()
        )
        is_unknown_function = call.entry.errors_before_success >= UNKNOWN_FUNCTION_ERRORS
        if is_unsafe or is_unknown_function or call.client_disconnected:
            self.finish(call)
        elif result is Result.MISS or not self.retry.has_budget():
            self.hold(call)
        else:
            self.retry.take_from_budget()
            self.route(call)

    def on_overdue(self, call: Call, attempt: Attempt) -> None:
        """Hedge a call whose attempt is overdue, or move it to another worker.

        The call is moved by cancelling the attempt. This is done only if the worker is silent and hedging is
        not allowed. A hedged attempt is charged to the retry budget even if no worker can take it.
        """
        if attempt.result is not None or not call.open or call.streaming:
            return
        is_silent = self.health.record_overdue(call, attempt)
        if not self.retry.has_budget() or call.call_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return
        if call.settings.may_hedge and len(call.attempts_in_flight()) < MAX_HEDGED_ATTEMPTS:
            self.retry.take_from_budget()
            self._hedge(call)
        elif call.settings.may_cancel and is_silent and not call.settings.may_hedge:
            self.context.actions.append(api.CancelAttempt(call.id, attempt.number))

    def _hedge(self, call: Call) -> None:
        worker = self.placement.choose(call)
        if worker is not None:
            self.send(call, worker)

    # Ending calls.

    def abandon(self, call: Call) -> None:
        """Begin no more attempts for a call whose client has disconnected.

        If attempts are still in flight, the call ends with their outcome; otherwise it ends now.
        """
        call.client_disconnected = True
        if not call.attempts_in_flight():
            self.finish(call)

    def finish(self, call: Call) -> None:
        """Give the call up and send its final answer now, unless an answer is already streaming.

        The client is told to retry if a repeat is harmless, and gets an error otherwise.
        """
        if not call.open or call.streaming:
            return
        objective_us = call.arrived_us + call.call_class.latency_objective_us
        if self.context.now_us >= min(call.due_us, objective_us):
            self.admission.record_answer(call, late=True)
        if self.admission.may_reject(call):
            self.context.actions.append(api.RejectCall(call.id, RETRY_AFTER_US))
        else:
            self.context.actions.append(api.FailCall(call.id))
        self.close(call)

    def close(self, call: Call) -> None:
        """Forget a call that has been answered, and cancel its attempts in flight."""
        if self.table.calls.pop(call.id, None) is None:
            return
        call.open = False
        self.context.cancel_timer(call.deadline_timer)
        call.entry.waiting.pop(call.id, None)
        if call.settings.may_cancel and not call.streaming:
            cancellations = [
                api.CancelAttempt(call.id, attempt.number) for attempt in call.attempts_in_flight()
            ]
            self.context.actions.extend(cancellations)
