"""Outlier detection: failure scores by worker and group of calls, slow workers, and backoff."""

from collections.abc import Collection

from maplestile.dispatch.api import AttemptEnded, Result, Warmth
from maplestile.dispatch.context import Context
from maplestile.dispatch.state import Attempt, Call, Worker

FAILURES = (Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED)  # symptoms of an unhealthy worker
FAILURE_STEP = 0.5  # part of what is missing to 1 that a failure adds to the score of its group
RESET_STEP = 0.2  # the same for a broken connection, which is as likely the network's fault
ALL_GROUPS_FACTOR = 0.5  # part of a step that counts against the worker for all groups
EJECTION_SCORE = 0.45  # score from which calls avoid a worker
SCORE_HALF_LIFE_KEEP_ALIVES = 0.7  # keep-alives in which a score halves; calls then try the worker again
RESET_COALESCING_TICKS = 2  # ticks of the timer in which all ends of one broken connection count as one
# A worker is slow from this natural logarithm on: its answer times over the expected ones, relative to the
# fleet's median of that ratio; e**1.1 is three times as long.
SLOW_WORKER_LOG_RATIO = 1.1
CONNECT_BACKOFF_US = 1_000_000  # first backoff at a worker that takes no connection
FULL_BACKOFF_SERVICE_TIMES = 0.5  # first backoff after a full answer, in service times
MAX_BACKOFF_DOUBLINGS = 5  # how often a further backoff doubles the one before: 32 times the first, at most
MEMORY_EXHAUSTED_LOAD_TIMES = 0.2  # pause of loads at a worker without memory for one, in load times

ALL_GROUPS = ""


class OutlierDetector:
    """Which workers calls avoid by choice, and for how long."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.fleet_log_ratio = 0.0  # median of the workers' latency ratios

    def record_outcome(self, call: Call, attempt: Attempt, event: AttemptEnded) -> None:
        """Take in how an attempt ended, for its worker and its group of calls."""
        worker = attempt.worker
        entry = call.entry
        result = event.result
        if result is Result.FULL and attempt.needs_load:
            # No memory for one more load there: that keeps loads away, and no call of a loaded copy.
            pause_us = int(MEMORY_EXHAUSTED_LOAD_TIMES * entry.load_us)
            worker.memory_exhausted_until_us = self.context.now_us + pause_us
            entry.home = ""
        elif result is Result.FULL:
            self.back_off(worker, call.group, FULL_BACKOFF_SERVICE_TIMES * entry.service_us)
            entry.home = ""
        elif result is Result.ERROR and not entry.ever_served:
            entry.errors_before_success += 1  # the name may be no function's: no fault of the worker
        elif result in FAILURES and event.warmth is not Warmth.LOAD_FAILED:
            self.record_failure(call, worker)
            if result is Result.CONNECT_FAILED:
                self.back_off(worker, ALL_GROUPS, CONNECT_BACKOFF_US)
        elif result is Result.RESET:
            self._record_reset(call, worker)
        elif result is Result.OK:
            entry.ever_served = True
            entry.errors_before_success = 0
            self._record_success(worker, call.group)

    def record_failure(self, call: Call, worker: Worker, step: float = FAILURE_STEP) -> None:
        """Raise the worker's failure score; a function leaves a home that has become unhealthy for it."""
        for group, part in ((call.group, step), (ALL_GROUPS, step * ALL_GROUPS_FACTOR)):
            score = part + (1 - part) * self.failure_score(worker, group)
            worker.failure_scores[group] = (score, self.context.now_us)
        if call.entry.home == worker.entry.worker and not self.is_healthy(call, worker):
            call.entry.home = ""

    def back_off(self, worker: Worker, group: str, first_us: float) -> None:
        """Send the group nothing for a while, twice as long each time until an answer resets it.

        While it is backed off nothing is added, since all that one connection carried counts as one symptom.
        """
        if self.context.now_us < worker.backoff_until_us.get(group, 0):
            return
        doublings = min(MAX_BACKOFF_DOUBLINGS, worker.backoff_doublings.get(group, -1) + 1)
        worker.backoff_doublings[group] = doublings
        worker.backoff_until_us[group] = self.context.now_us + int(first_us * 2**doublings)

    def failure_score(self, worker: Worker, group: str) -> float:
        """The decayed score of a group at a worker, from 0 to 1."""
        score, since_us = worker.failure_scores.get(group, (0.0, 0))
        return score * self.context.decay_factor(since_us, SCORE_HALF_LIFE_KEEP_ALIVES)

    def is_healthy(self, call: Call, worker: Worker) -> bool:
        """The worker is no outlier for the call; a slow worker gets one call at a time."""
        if worker.busy and worker.latency_log_ratio > self.fleet_log_ratio + SLOW_WORKER_LOG_RATIO:
            return False
        if not worker.failure_scores:
            return True
        return (
            self.failure_score(worker, call.group) < EJECTION_SCORE
            and self.failure_score(worker, ALL_GROUPS) < EJECTION_SCORE
        )

    def is_ejected(self, worker: Worker) -> bool:
        """All calls avoid the worker: by its score, or since it takes no connection."""
        if self.failure_score(worker, ALL_GROUPS) >= EJECTION_SCORE:
            return True
        return self.context.now_us < worker.backoff_until_us.get(ALL_GROUPS, 0)

    def update_fleet_latency(self, workers: Collection[Worker]) -> None:
        """Learn the fleet's median latency ratio, against which a worker is slow."""
        log_ratios = sorted([0.0, *(worker.latency_log_ratio for worker in workers)])
        self.fleet_log_ratio = log_ratios[(len(workers) + 1) // 2]

    def _record_reset(self, call: Call, worker: Worker) -> None:
        coalescing_us = RESET_COALESCING_TICKS * self.context.settings.tick_us
        if self.context.now_us >= worker.last_reset_us + coalescing_us:
            # One symptom, whatever the connection carried; the worker's copies stay loaded.
            worker.last_reset_us = self.context.now_us
            self.record_failure(call, worker, RESET_STEP)

    def _record_success(self, worker: Worker, group: str) -> None:
        worker.last_answer_us[group] = self.context.now_us
        worker.last_answer_us[ALL_GROUPS] = self.context.now_us
        for group_name in (group, ALL_GROUPS):
            worker.backoff_doublings.pop(group_name, None)
            worker.backoff_until_us.pop(group_name, None)
            worker.failure_scores.pop(group_name, None)


def is_silent_since(attempt: Attempt, group: str = ALL_GROUPS) -> bool:
    """The worker has answered no call of the group since the attempt was sent."""
    return attempt.worker.last_answer_us.get(group, 0) <= attempt.sent_us
