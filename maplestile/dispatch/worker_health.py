"""The health of workers: what outcomes and silence say against one worker, or against a whole zone."""

from maplestile.dispatch.api import ANSWERS, AttemptEnded, Result
from maplestile.dispatch.outliers import OutlierDetector, is_silent_since
from maplestile.dispatch.state import Attempt, Call, Worker
from maplestile.dispatch.zone_failure import ZoneFailureDetector


class WorkerHealth:
    """Passes each observation to the outlier detector and to the zone failure detector."""

    def __init__(self, *, outliers: OutlierDetector, zones: ZoneFailureDetector) -> None:
        self.outliers = outliers
        self.zones = zones

    def record_outcome(self, call: Call, attempt: Attempt, event: AttemptEnded) -> None:
        """Take in how an attempt ended; any answer, also an error, shows that the zone is reachable."""
        if event.result in ANSWERS:
            self.zones.record_answer(attempt.worker.entry.zone)
        elif event.result is Result.CONNECT_FAILED:
            self.zones.record_silence(attempt)
        self.outliers.record_outcome(call, attempt, event)

    def record_overdue(self, call: Call, attempt: Attempt) -> bool:
        """Take in that an attempt is overdue; returns whether its worker is silent.

        A worker that has answered the call's group since the attempt was sent is merely slow, and nothing is
        recorded against it.
        """
        silent = is_silent_since(attempt, call.group)
        if silent:
            self.outliers.record_failure(call, attempt.worker)
            self.zones.record_silence(attempt)
        return silent

    def avoids(self, worker: Worker) -> bool:
        """Calls avoid the worker by choice: it is ejected, takes no connection, or its zone is lost."""
        return self.outliers.is_ejected(worker) or self.zones.is_lost(worker.entry.zone)
