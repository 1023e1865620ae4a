"""Tracks the health of single workers and whole zones, by the outcomes of attempts and by silence."""

from maplestile.dispatch.api import ANSWERS, AttemptEnded, Result
from maplestile.dispatch.outliers import OutlierDetector, is_silent_since
from maplestile.dispatch.state import Attempt, Call, Worker
from maplestile.dispatch.zone_failure import ZoneFailureDetector


class WorkerHealth:
    """The component that passes each observation to the outlier and zone failure detectors."""

    def __init__(self, *, outliers: OutlierDetector, zones: ZoneFailureDetector) -> None:
        self.outliers = outliers
        self.zones = zones

    def record_outcome(self, call: Call, attempt: Attempt, event: AttemptEnded) -> None:
        """Record how an attempt ended; any answer, even an error, shows that the zone is reachable."""
        if event.result in ANSWERS:
            self.zones.record_answer(attempt.worker.entry.zone)
        elif event.result is Result.CONNECT_FAILED:
            self.zones.record_silence(attempt)
        self.outliers.record_outcome(call, attempt, event)

    def record_overdue(self, call: Call, attempt: Attempt) -> bool:
        """Record that an attempt is overdue; return whether its worker is silent.

        A worker that has successfully answered the call's group since the attempt was sent is only slow, and
        nothing is recorded against it.
        """
        is_silent = is_silent_since(attempt, call.group)
        if is_silent:
            self.outliers.record_failure(call, attempt.worker)
            self.zones.record_silence(attempt)
        return is_silent

    def is_avoided(self, worker: Worker) -> bool:
        """Return whether calls avoid the worker: it is ejected or unreachable, or its zone is lost."""
        return self.outliers.is_ejected(worker) or self.zones.is_lost(worker.entry.zone)
