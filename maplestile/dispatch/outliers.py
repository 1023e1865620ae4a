"""Detects outliers among the workers by failure scores and slowness, and backs off from failing workers."""

from collections.abc import Collection

from maplestile.dispatch.api import AttemptEnded, Result, Warmth
from maplestile.dispatch.context import Context
from maplestile.dispatch.state import Attempt, Call, Worker

FAILURES = (Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED)  # symptoms of an unhealthy worker
FAILURE_STEP = 0.5  # fraction of the distance to 1 by which a failure raises the score of its group
RESET_STEP = 0.2  # the same for a broken connection, which may just as well be the network's fault
ALL_GROUPS_FACTOR = 0.5  # fraction of a step that also counts against the worker for all groups
EJECTION_SCORE = 0.45  # failure score at and above which calls avoid a worker
# Half-life of a failure score, in keep-alive times. Once a score has decayed, calls try the worker again.
SCORE_HALF_LIFE_KEEP_ALIVES = 0.7
RESET_COALESCING_TICKS = 2  # broken connections to a worker within this many timer ticks count as one
# A worker is slow if the logarithm of its latency ratio (answer time over expected time) exceeds the fleet's
# median by more than this; e**1.1 is three times as long.
SLOW_WORKER_LOG_RATIO = 1.1
CONNECT_BACKOFF_US = 1_000_000  # first backoff after a failed connection attempt
FULL_BACKOFF_SERVICE_TIMES = 0.5  # first backoff after a "full" answer, in service times
MAX_BACKOFF_DOUBLINGS = 5  # the longest backoff is 2**5 = 32 times the first
MEMORY_EXHAUSTED_LOAD_TIMES = 0.2  # pause in loads at a worker that had no memory for one, in load times

ALL_GROUPS = ""  # the key of scores and backoffs that apply to every group of calls


class OutlierDetector:
    """The component that decides which workers calls avoid, and for how long."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.fleet_log_ratio = 0.0  # median of the workers' logarithmic latency ratios

    def record_outcome(self, call: Call, attempt: Attempt, event: AttemptEnded) -> None:
        """Record how an attempt ended, for its worker and its group of calls."""
        worker = attempt.worker
        entry = call.entry
        result = event.result
        if result is Result.FULL and attempt.needs_load:
            # The worker has no memory for another copy: this blocks loads there, not calls of loaded copies.
            pause_us = int(MEMORY_EXHAUSTED_LOAD_TIMES * entry.load_us)
            worker.memory_exhausted_until_us = self.context.now_us + pause_us
            entry.home = ""
        elif result is Result.FULL:
            self.back_off(worker, call.group, FULL_BACKOFF_SERVICE_TIMES * entry.service_us)
            entry.home = ""
        elif result is Result.ERROR and not entry.ever_served:
            entry.errors_before_success += 1  # there may be no such function, so the worker is not blamed
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
        """Raise the worker's failure scores; the function loses its home if that has become unhealthy."""
        for group, group_step in ((call.group, step), (ALL_GROUPS, step * ALL_GROUPS_FACTOR)):
            score = group_step + (1 - group_step) * self.failure_score(worker, group)
            worker.failure_scores[group] = (score, self.context.now_us)
        if call.entry.home == worker.entry.worker and not self.is_healthy(call, worker):
            call.entry.home = ""

    def back_off(self, worker: Worker, group: str, first_us: float) -> None:
        """Send the worker no calls of the group for a while, and twice as long each time until it answers.

        A backoff in progress is not extended: all failures on one connection count as one symptom.
        """
        if self.context.now_us < worker.backoff_until_us.get(group, 0):
            return
        doublings = min(MAX_BACKOFF_DOUBLINGS, worker.backoff_doublings.get(group, -1) + 1)
        worker.backoff_doublings[group] = doublings
        worker.backoff_until_us[group] = self.context.now_us + int(first_us * 2**doublings)

    def failure_score(self, worker: Worker, group: str) -> float:
        """Return the decayed failure score of a group at a worker, from 0 to 1."""
        score, since_us = worker.failure_scores.get(group, (0.0, 0))
        return score * self.context.decay_factor(since_us, SCORE_HALF_LIFE_KEEP_ALIVES)

    def is_healthy(self, call: Call, worker: Worker) -> bool:
        """Return whether the worker is healthy for the call's group.

        A slow worker counts as unhealthy while it has a call in flight, so that it gets one call at a time.
        """
        if worker.busy and worker.latency_log_ratio > self.fleet_log_ratio + SLOW_WORKER_LOG_RATIO:
            return False
        if not worker.failure_scores:
            return True
        return (
            self.failure_score(worker, call.group) < EJECTION_SCORE
            and self.failure_score(worker, ALL_GROUPS) < EJECTION_SCORE
        )

    def is_ejected(self, worker: Worker) -> bool:
        """Return whether all calls avoid the worker: its score is too high, or connections to it fail."""
        if self.failure_score(worker, ALL_GROUPS) >= EJECTION_SCORE:
            return True
        return self.context.now_us < worker.backoff_until_us.get(ALL_GROUPS, 0)

    def update_fleet_latency(self, workers: Collection[Worker]) -> None:
        """Update the fleet's median latency ratio, the reference for finding slow workers."""
        log_ratios = sorted([0.0, *(worker.latency_log_ratio for worker in workers)])
        self.fleet_log_ratio = log_ratios[(len(workers) + 1) // 2]

    def _record_reset(self, call: Call, worker: Worker) -> None:
        coalescing_us = RESET_COALESCING_TICKS * self.context.settings.tick_us
        if self.context.now_us >= worker.last_reset_us + coalescing_us:
            # A broken connection counts once, however many attempts it carried. The copies stay loaded.
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
    """Return whether no call of the group has succeeded at the worker since the attempt was sent."""
    return attempt.worker.last_answer_us.get(group, 0) <= attempt.sent_us
