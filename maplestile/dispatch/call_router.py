"""The pending calls: placing them, holding them, sending, retrying and hedging, and their final answer."""

from maplestile.dispatch import api
from maplestile.dispatch.admission import AdmissionController
from maplestile.dispatch.api import Idempotency, Result
from maplestile.dispatch.context import Context
from maplestile.dispatch.copy_records import CopyRecords
from maplestile.dispatch.estimates import expected_service_us
from maplestile.dispatch.placement import Placement
from maplestile.dispatch.retry import RetryPolicy
from maplestile.dispatch.state import Attempt, Call, CallTable, FunctionEntry, Worker
from maplestile.dispatch.worker_health import WorkerHealth

# Until held calls are tried again: the longest of the three. Shorter waits cost the processor more than
# they bring, whatever the tick of the timers.
MIN_RETRY_WAIT_US = 16_000
RETRY_WAIT_SERVICE_TIMES = 0.2
RETRY_WAIT_LOAD_TIMES = 0.01
OVERDUE_SERVICE_TIMES = 3.0  # expected service times without an answer from which an attempt is overdue
# Errors of a function that was never served, from which no call of it is retried: its name is wrong, which
# is no worker's fault.
UNKNOWN_FUNCTION_ERRORS = 3
RETRY_AFTER_US = 1_000_000  # for a refused client: at once it would meet the same overload
MAX_HEDGED_ATTEMPTS = 2  # attempts of one call that are in flight together


class CallRouter:
    """Moves each call on, from its arrival to its one final answer."""

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
    ) -> None:
        self.context = context
        self.table = table
        self.copy_records = copy_records
        self.placement = placement
        self.retry = retry
        self.health = health
        self.admission = admission

    # Placing and holding.

    def route(self, call: Call) -> None:
        """Begin the call's next attempt, or hold the call; nothing where one is in flight."""
        if not call.open or call.outstanding():
            return
        worker = self.placement.choose(call)
        if worker is None:
            self.hold(call)
        else:
            self.send(call, worker)

    def hold(self, call: Call) -> None:
        """Let the call wait for a worker; it is given up where none may ever take it.

        A call past its latency objective is given up too if its client may try again: the place goes to a
        call that can still be in time.
        """
        entry = call.entry
        entry.waiting[call.id] = call
        too_late = self.admission.is_late(call) and self.admission.may_refuse(call)
        if too_late or not self.retry.may_repeat_anywhere(call):
            self.finish(call)
        elif self.context.now_us >= entry.next_retry_us:  # one timer a function, however many calls wait
            service_us = RETRY_WAIT_SERVICE_TIMES * entry.service_us
            load_us = RETRY_WAIT_LOAD_TIMES * entry.load_us
            wait_us = int(max(MIN_RETRY_WAIT_US, service_us, load_us))
            entry.next_retry_us = self.context.now_us + wait_us
            self.context.set_timer(wait_us, lambda: self.wake(entry))

    def wake(self, entry: FunctionEntry) -> None:
        """Try the function's waiting calls again, until one has to wait on."""
        for held in list(entry.waiting.values()):
            entry.waiting.pop(held.id, None)
            self.route(held)
            if held.id in entry.waiting:
                return  # back at the end: one try a wake, and it must not block others

    # Sending.

    def send(self, call: Call, worker: Worker) -> None:
        """Begin an attempt that the send gate has admitted."""
        context = self.context
        now_us = context.now_us
        entry = call.entry
        needs_load = self.copy_records.record_send(call, worker)
        dedup_until_us = call.dedup_until_us()  # of the attempts before this one
        attempt = Attempt(len(call.attempts), worker, now_us, needs_load)
        call.attempts.append(attempt)
        self.table.attempts[call.id, attempt.number] = (call, attempt)
        entry.waiting.pop(call.id, None)
        entry.copy(worker).busy += 1
        entry.busy += 1
        worker.busy += 1
        worker.sends.add(now_us, entry.service_us)
        timeout_us = call.due_us - now_us
        name = worker.entry.worker
        context.actions.append(
            api.SendAttempt(call.id, name, timeout_us, call.settings.epoch, dedup_until_us)
        )
        load_us = entry.load_us if needs_load else 0
        overdue_us = OVERDUE_SERVICE_TIMES * expected_service_us(call) + load_us
        # A call that ends before needs no timer: it would only keep the call in memory.
        if now_us + overdue_us < call.due_us:
            context.set_timer(overdue_us, lambda: self.on_overdue(call, attempt))

    # Retries and hedged attempts.

    def retry_after(self, call: Call, result: Result) -> None:
        """No attempt is in flight any more: one more, out of the retry budget, or the final answer.

        A call that is not idempotent is never sent again once an attempt of it may have run. A miss costs
        no budget: the call waits for the copy.
        """
        unsafe = call.call_class.idempotency is Idempotency.NOT_IDEMPOTENT and bool(call.possibly_run())
        unknown_function = call.entry.errors_before_success >= UNKNOWN_FUNCTION_ERRORS
        if unsafe or unknown_function or call.client_disconnected:
            self.finish(call)
        elif result is Result.MISS or not self.retry.has_budget():
            self.hold(call)
        else:
            self.retry.take_from_budget()
            self.route(call)

    def on_overdue(self, call: Call, attempt: Attempt) -> None:
        """No answer in several expected times: the worker hangs or is slow; hedge or move the call.

        The call is moved, by cancelling the attempt, only off a silent worker and where hedging is not
        allowed. The budget is taken from also where no worker may take the hedged attempt.
        """
        if attempt.result is not None or not call.open or call.streaming:
            return
        silent = self.health.record_overdue(call, attempt)
        if not self.retry.has_budget() or call.call_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return
        if call.settings.may_hedge and len(call.outstanding()) < MAX_HEDGED_ATTEMPTS:
            self.retry.take_from_budget()
            self._hedge(call)
        elif call.settings.may_cancel and silent and not call.settings.may_hedge:
            self.context.actions.append(api.CancelAttempt(call.id, attempt.number))

    def _hedge(self, call: Call) -> None:
        worker = self.placement.choose(call)
        if worker is not None:
            self.send(call, worker)

    # The end of a call.

    def abandon(self, call: Call) -> None:
        """Its client has disconnected: nothing more begins; what is in flight may end, and is its answer."""
        call.client_disconnected = True
        if not call.outstanding():
            self.finish(call)

    def finish(self, call: Call) -> None:
        """Give the call up, with its final answer at once; a call whose answer streams goes on.

        The client is invited to try again where a repeat is harmless, and gets an error otherwise.
        """
        if not call.open or call.streaming:
            return
        objective_us = call.arrived_us + call.call_class.latency_objective_us
        if self.context.now_us >= min(call.due_us, objective_us):
            self.admission.record_answer(call, late=True)
        if self.admission.may_refuse(call):
            self.context.actions.append(api.RejectCall(call.id, RETRY_AFTER_US))
        else:
            self.context.actions.append(api.FailCall(call.id))
        self.close(call)

    def close(self, call: Call) -> None:
        """The call has its answer: forget it, and cancel what is in flight for it."""
        if self.table.calls.pop(call.id, None) is None:
            return
        call.open = False
        call.entry.waiting.pop(call.id, None)
        if call.settings.may_cancel and not call.streaming:
            cancelled = [api.CancelAttempt(call.id, attempt.number) for attempt in call.outstanding()]
            self.context.actions.extend(cancelled)
