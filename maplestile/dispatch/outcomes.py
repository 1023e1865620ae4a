"""Handles the ends of attempts and load requests: records the outcome and continues the affected calls."""

from maplestile.dispatch import api
from maplestile.dispatch.admission import AdmissionController
from maplestile.dispatch.api import Result, Warmth
from maplestile.dispatch.call_router import CallRouter
from maplestile.dispatch.copy_records import CopyRecords
from maplestile.dispatch.estimates import ServiceTimeEstimates, expected_service_us, update_load_time
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.served_rate import ServedRate
from maplestile.dispatch.state import Attempt, Call, CallTable
from maplestile.dispatch.tiers import FunctionTiers
from maplestile.dispatch.worker_health import WorkerHealth

# After an answer of a warm copy that took longer than this many expected service times, the worker no longer
# is the function's home.
SLOW_ANSWER_SERVICE_TIMES = 2.0


class OutcomeRecorder:
    """The component that records outcomes, and has the call router retry, wake or close the calls."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        table: CallTable,
        tiers: FunctionTiers,
        estimates: ServiceTimeEstimates,
        copy_records: CopyRecords,
        health: WorkerHealth,
        admission: AdmissionController,
        router: CallRouter,
        served_rate: ServedRate,
    ) -> None:
        self.fleet = fleet
        self.table = table
        self.tiers = tiers
        self.estimates = estimates
        self.copy_records = copy_records
        self.health = health
        self.admission = admission
        self.router = router
        self.served_rate = served_rate

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """Handle the end of an attempt; ignore one that is late, repeated or from before a restart."""
        in_flight = self.table.attempts.pop((event.call, event.attempt), None)
        if in_flight is None:
            return
        call, attempt = in_flight
        entry = call.entry
        attempt.result = event.result
        self.router.context.cancel_timer(attempt.overdue_timer)
        entry.copy(attempt.worker).busy -= 1
        entry.busy -= 1
        attempt.worker.busy -= 1
        self.health.record_outcome(call, attempt, event)
        if event.result is Result.OK:
            self._record_success(call, attempt, event)
        else:
            self.copy_records.record_failure(entry, attempt, event)
        if event.call_ended:
            self.router.close(call)
        elif call.open and not call.attempts_in_flight():
            self.router.retry_or_finish(call, event.result)
        self.router.wake(entry)

    def on_load_request_ended(self, event: api.LoadRequestEnded) -> None:
        """Handle the end of a load request, and try the function's waiting calls again."""
        entry = self.tiers.functions.get(event.function)
        worker = self.fleet.workers.get(event.worker)
        if entry is None or worker is None:
            return
        self.copy_records.record_load_request(entry, worker, event)
        self.router.wake(entry)

    def _record_success(self, call: Call, attempt: Attempt, event: api.AttemptEnded) -> None:
        """Update the late ratio, the service or load time, the copy and the function's home."""
        entry = call.entry
        worker = attempt.worker
        is_reported = event.warmth is not Warmth.UNKNOWN
        was_warm = event.warmth is Warmth.WARM if is_reported else not attempt.needs_load
        was_slow = was_warm and event.elapsed_us > SLOW_ANSWER_SERVICE_TIMES * expected_service_us(call)
        self.admission.record_answer(call, self.admission.is_late(call))
        self.served_rate.record_answer(worker)
        if was_warm:
            self.estimates.update_service_time(call, worker, event.elapsed_us)
        elif is_reported or entry.copy(worker).load_started_us:
            update_load_time(entry, max(0.0, event.elapsed_us - entry.service_us))
        self.copy_records.record_answer(entry, worker)
        entry.home = "" if was_slow else worker.entry.worker
