"""The calls in hand: placing them, holding them, sending, retrying and hedging, and their final answer."""

from maplestile.dispatch import api
from maplestile.dispatch.admission import AdmissionController
from maplestile.dispatch.api import Idempotency, Result
from maplestile.dispatch.context import Context
from maplestile.dispatch.estimates import expected_service_us
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.loads import LoadsUnderWay
from maplestile.dispatch.outliers import OutlierDetector, is_silent_since
from maplestile.dispatch.placement import Placement
from maplestile.dispatch.retry import RetryPolicy
from maplestile.dispatch.state import Attempt, Call, CallTable, FunctionEntry, Worker
from maplestile.dispatch.warm_copies import WarmCopies
from maplestile.dispatch.zone_failure import ZoneFailureDetector

RETRY_WAIT_LEAST_US = (
    16_000  # until held calls are tried again, whatever the tick: polling costs the processor
)
RETRY_WAIT_SERVICE_TIMES = 0.2  # the same in service times, where that is longer
RETRY_WAIT_LOAD_TIMES = 0.01  # and in load times
SILENT_SERVICE_TIMES = 3.0  # expected times without an answer from which an attempt is silent
UNKNOWN_FUNCTION_ERRORS = 3  # of a function that was never served: its name is wrong, and no worker's fault
RETRY_AFTER_US = 1_000_000  # for a refused client: at once it would meet the same overload


class CallRouter:
    """Moves each call on, from its arrival to its one final answer."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        table: CallTable,
        loads: LoadsUnderWay,
        warm_copies: WarmCopies,
        placement: Placement,
        retry: RetryPolicy,
        outliers: OutlierDetector,
        zones: ZoneFailureDetector,
        admission: AdmissionController,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.table = table
        self.loads = loads
        self.warm_copies = warm_copies
        self.placement = placement
        self.retry = retry
        self.outliers = outliers
        self.zones = zones
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
        """Let the call wait for a worker, unless that brings none or comes too late."""
        entry = call.entry
        entry.waiting[call.id] = call
        late = self.admission.is_late(call) and self.admission.may_refuse(call)
        if late or not any(self.retry.may_repeat(call, w) for w in self.fleet.workers.values()):
            self.finish(call)
        elif self.context.now_us >= entry.next_retry_us:  # one timer a function, however many calls wait
            service_us = RETRY_WAIT_SERVICE_TIMES * entry.service_us
            wait_us = int(max(RETRY_WAIT_LEAST_US, service_us, RETRY_WAIT_LOAD_TIMES * entry.load_us))
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
        copy = entry.copy(worker)
        needs_load = not self.warm_copies.is_warm(entry, worker)
        loads_now = needs_load and call.settings.loads_on_miss and not copy.load_started_us
        if loads_now and not self.warm_copies.is_inferred_warm(entry, worker):
            self.loads.begin(entry, worker, requested=False)
        dedup_until_us = call.dedup_until_us()
        attempt = Attempt(len(call.attempts), worker, now_us, needs_load)
        call.attempts.append(attempt)
        self.table.attempts[call.id, attempt.number] = (call, attempt)
        entry.waiting.pop(call.id, None)
        copy.busy += 1
        entry.busy += 1
        worker.busy += 1
        worker.sends.add(now_us, entry.service_us)
        timeout_us = call.due_us - now_us
        name = worker.entry.worker
        context.actions.append(
            api.SendAttempt(call.id, name, timeout_us, call.settings.epoch, dedup_until_us)
        )
        patience_us = SILENT_SERVICE_TIMES * expected_service_us(call) + (entry.load_us if needs_load else 0)
        if (
            now_us + patience_us < call.due_us
        ):  # else over by then: a timer would only keep the call in memory
            context.set_timer(patience_us, lambda: self.on_silent(call, attempt))

    # Retries and hedged attempts.

    def retry_after(self, call: Call, result: Result) -> None:
        """No attempt is in flight any more: one more, out of the retry budget, or the final answer."""
        unsafe = call.kind.idempotency is Idempotency.NOT_IDEMPOTENT
        unknown = call.entry.errors_before_success >= UNKNOWN_FUNCTION_ERRORS
        if unsafe and call.ran() or unknown or call.client_gone:
            self.finish(call)
        elif result is Result.MISS or not self.retry.has_budget():
            self.hold(call)
        else:
            self.retry.take_from_budget()
            self.route(call)

    def on_silent(self, call: Call, attempt: Attempt) -> None:
        """No answer in several expected times: the worker hangs or is slow; hedge or move the call."""
        if attempt.result is not None or not call.open or call.streaming:
            return
        silent = is_silent_since(attempt, call.group)
        if silent:
            self.outliers.record_failure(call, attempt.worker)
            self.zones.record_silence(attempt)
        if not self.retry.has_budget() or call.kind.idempotency is Idempotency.NOT_IDEMPOTENT:
            return
        if call.settings.may_hedge and len(call.outstanding()) < 2:
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
        call.client_gone = True
        if not call.outstanding():
            self.finish(call)

    def finish(self, call: Call) -> None:
        """Give the call up, with its final answer at once; a call whose answer streams goes on."""
        if not call.open or call.streaming:
            return
        objective_us = call.arrived_us + call.kind.latency_objective_us
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
