"""The ends of attempts and of load requests: what they teach, and how the calls go on."""

from maplestile.dispatch import api
from maplestile.dispatch.admission import AdmissionController
from maplestile.dispatch.api import ANSWERS, Result, Warmth
from maplestile.dispatch.call_router import CallRouter
from maplestile.dispatch.context import Context
from maplestile.dispatch.estimates import ServiceTimeEstimates, expected_service_us, learn_load_time
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.loads import LoadsUnderWay
from maplestile.dispatch.outliers import OutlierDetector
from maplestile.dispatch.state import Attempt, Call, CallTable, FunctionEntry
from maplestile.dispatch.tiers import FunctionTiers
from maplestile.dispatch.warm_copies import WarmCopies
from maplestile.dispatch.zone_failure import ZoneFailureDetector

SLOW_ANSWER_SERVICE_TIMES = 2.0  # expected times from which a warm answer sends the function's home elsewhere


class OutcomeRecorder:
    """Takes outcomes in, and has the call router move the calls on."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        table: CallTable,
        tiers: FunctionTiers,
        loads: LoadsUnderWay,
        estimates: ServiceTimeEstimates,
        warm_copies: WarmCopies,
        load_requests: LoadRequests,
        outliers: OutlierDetector,
        zones: ZoneFailureDetector,
        admission: AdmissionController,
        router: CallRouter,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.table = table
        self.tiers = tiers
        self.loads = loads
        self.estimates = estimates
        self.warm_copies = warm_copies
        self.load_requests = load_requests
        self.outliers = outliers
        self.zones = zones
        self.admission = admission
        self.router = router

    def on_attempt_ended(self, event: api.AttemptEnded) -> None:
        """One attempt has ended; an end that is late, repeated or from before a restart does nothing."""
        in_flight = self.table.attempts.pop((event.call, event.attempt), None)
        if in_flight is None:
            return
        call, attempt = in_flight
        entry = call.entry
        worker = attempt.worker
        copy = entry.copy(worker)
        attempt.result = event.result
        copy.busy -= 1
        entry.busy -= 1
        worker.busy -= 1
        if event.result in ANSWERS:
            self.zones.record_answer(worker.entry.zone)
        elif event.result is Result.CONNECT_FAILED:
            self.zones.record_silence(attempt)
        self.outliers.record_outcome(call, attempt, event)
        if event.result is Result.OK:
            self._learn(call, attempt, event)
        elif event.result is Result.MISS or event.warmth is Warmth.LOAD_FAILED:
            self._on_miss(entry, attempt, event)
        elif event.result is Result.CONNECT_FAILED or not copy.load_requested:
            self.loads.end(entry, worker, lost=event.result is Result.CONNECT_FAILED)
        if event.call_ended:
            self.router.close(call)
        elif call.open and not call.outstanding():
            self.router.retry_after(call, event.result)
        self.router.wake(entry)

    def on_load_request_ended(self, event: api.LoadRequestEnded) -> None:
        """A load request has ended: take in how many copies are loaded now, and try waiting calls."""
        entry = self.tiers.functions.get(event.function)
        worker = self.fleet.workers.get(event.worker)
        if entry is None or worker is None:
            return
        copy = entry.copy(worker)
        if copy.load_requested and (event.copies or event.result is not Result.OK):
            if event.result is Result.OK:
                learn_load_time(entry, event.elapsed_us)
            self.loads.end(entry, worker)
            if event.copies:
                entry.home = event.worker
            else:
                entry.load_started_us = self.context.now_us  # no new request at once where no copy fits
        if event.result is Result.OK:
            if not self.warm_copies.is_warm(entry, worker):
                copy.last_used_us = self.context.now_us
            copy.count = event.copies
            copy.missing_since_us = 0 if event.copies else self.context.now_us
        self.router.wake(entry)

    def _on_miss(self, entry: FunctionEntry, attempt: Attempt, event: api.AttemptEnded) -> None:
        """The worker has no copy: request one there, under the cap of loads; the call waits or moves on."""
        copy = entry.copy(attempt.worker)
        copy.missing_since_us = self.context.now_us
        copy.count = 0
        entry.home = ""
        overtook_request = copy.load_requested and attempt.sent_us > copy.load_started_us
        if event.warmth is Warmth.LOAD_FAILED or overtook_request:
            self.loads.end(entry, attempt.worker, lost=True)
        elif not copy.load_started_us and self.load_requests.may_start_load():
            self.load_requests.request_load(entry, attempt.worker)

    def _learn(self, call: Call, attempt: Attempt, event: api.AttemptEnded) -> None:
        """A good answer: learn service or load time, the copy, and the function's home."""
        entry = call.entry
        worker = attempt.worker
        copy = entry.copy(worker)
        reported_warm = event.warmth is Warmth.WARM
        warm = not attempt.needs_load if event.warmth is Warmth.UNKNOWN else reported_warm
        slow = warm and event.elapsed_us > SLOW_ANSWER_SERVICE_TIMES * expected_service_us(call)
        self.admission.record_answer(call, self.admission.is_late(call))
        if warm:
            self.estimates.learn_service_time(call, worker, event.elapsed_us)
        elif event.warmth is not Warmth.UNKNOWN or copy.load_started_us:
            learn_load_time(entry, max(0.0, event.elapsed_us - entry.service_us))
        copy.count = max(1, copy.count)
        copy.last_used_us = self.context.now_us
        copy.missing_since_us = 0
        self.loads.end(entry, worker)
        entry.home = "" if slow else worker.entry.worker
