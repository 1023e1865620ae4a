"""Counts and logs the decisions about sends to runners in their slow start."""

from collections import Counter, OrderedDict
from dataclasses import dataclass

from maplestile.common import logs
from maplestile.dispatch.slow_start import BudgetCheck

WINDOW_US = 1_000_000
MAX_LINES_PER_WINDOW = 8  # of all runners together
MAX_RUNNERS = 64  # that are remembered
US_PER_MS = 1000

events = logs.events("slow_start")


@dataclass(slots=True)
class LoggedRunner:
    """What was logged of one runner."""

    logged_us: int  # time of its last line
    refused: int = 0  # sends refused since then


class SlowStartLog:
    """Counts all decisions, and logs for each runner at times what it has got and what it may get."""

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._runners: OrderedDict[str, LoggedRunner] = (
            OrderedDict()
        )  # by uid, the one logged last at the end
        self._window_us = 0  # start of the current window
        self._lines = 0  # in the current window

    def record(self, check: BudgetCheck) -> None:
        """Count a decision, and log it unless the runner's last line or too many others are too recent."""
        self._counters["slow_start.admitted" if check.is_admitted else "slow_start.refused"] += 1
        runner = self._runners.get(check.worker)
        if runner is not None:
            runner.refused += not check.is_admitted
            if check.now_us < runner.logged_us + WINDOW_US:
                return
        if self._has_room(check.now_us):
            self._log(check, runner.refused if runner is not None else int(not check.is_admitted))

    def _has_room(self, now_us: int) -> bool:
        """Return whether one more line may be logged in the current window."""
        if now_us >= self._window_us + WINDOW_US:
            self._window_us = now_us
            self._lines = 0
        return self._lines < MAX_LINES_PER_WINDOW

    def _log(self, check: BudgetCheck, refused: int) -> None:
        self._lines += 1
        self._runners[check.worker] = LoggedRunner(check.now_us)
        self._runners.move_to_end(check.worker)
        if len(self._runners) > MAX_RUNNERS:
            self._runners.popitem(last=False)
        events.info(
            "slow start budget",
            worker=check.worker,
            age_ms=check.age_us // US_PER_MS,
            sent_calls=round(check.sent_calls, 1),
            budget_calls=round(check.budget_calls, 1),
            carried_share=round(check.carried_share, 4),
            refused_since_last=refused,
        )
