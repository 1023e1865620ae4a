"""Counts and logs the decisions about sends to runners in their slow start."""

from collections import Counter

from maplestile.common import logs
from maplestile.dispatch.slow_start import BudgetCheck

MIN_GAP_US = 1_000_000  # between two lines about the same runner
MAX_RUNNERS = 64  # whose last lines are remembered
US_PER_MS = 1000

events = logs.events("slow_start")


class SlowStartLog:
    """Counts all decisions, and logs for each runner at times what it has got and what it may get."""

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._logged_us: dict[str, int] = {}  # time of the last line, by runner
        self._refused = Counter[str]()  # since the last line, by runner

    def record(self, check: BudgetCheck) -> None:
        """Count a decision, and log it if the runner's last line is old enough."""
        self._counters["slow_start.admitted" if check.is_admitted else "slow_start.refused"] += 1
        self._refused[check.worker] += not check.is_admitted
        last_us = self._logged_us.get(check.worker)
        if last_us is not None and check.now_us < last_us + MIN_GAP_US:
            return
        if len(self._logged_us) >= MAX_RUNNERS:
            self._logged_us.clear()
            self._refused.clear()
        self._logged_us[check.worker] = check.now_us
        events.info(
            "slow start budget",
            worker=check.worker,
            age_ms=check.age_us // US_PER_MS,
            sent_calls=round(check.sent_calls, 1),
            budget_calls=round(check.budget_calls, 1),
            carried_share=round(check.carried_share, 4),
            refused_since_last=self._refused.pop(check.worker, 0),
        )
