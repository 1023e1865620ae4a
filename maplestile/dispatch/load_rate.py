"""Measures the rate at which this dispatcher's calls bring work, by an exponentially decayed sum."""

import math

from maplestile.dispatch.context import Context
from maplestile.dispatch.state import FunctionEntry

HALF_LIFE_KEEP_ALIVES = 1.5  # half-life of the recorded work, in keep-alive times
STARTUP_US = 2_000_000  # added to the dispatcher's age, so that its first calls do not look like a burst


class LoadRate:
    """The service time and the number of this dispatcher's calls: the demand, whether served or not."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.decayed_work = 0.0  # microseconds of service time
        self.decayed_calls = 0.0
        self.updated_us = 0
        self.first_call_us = 0

    def record_call(self, entry: FunctionEntry) -> None:
        """Add one call's expected service time, and record the call as the function's last."""
        context = self.context
        now_us = context.now_us
        self.first_call_us = self.first_call_us or now_us
        remaining = context.decay_factor(entry.last_call_us, HALF_LIFE_KEEP_ALIVES)
        entry.decayed_work = entry.decayed_work * remaining + entry.service_us
        remaining = context.decay_factor(self.updated_us, HALF_LIFE_KEEP_ALIVES)
        self.decayed_work = self.decayed_work * remaining + entry.service_us
        self.decayed_calls = self.decayed_calls * remaining + 1
        entry.last_call_us = now_us
        self.updated_us = now_us

    def rate(self) -> float:
        """Return the microseconds of work that arrive per microsecond."""
        return self.decayed_work / self._averaging_time_us()

    def call_rate(self) -> float:
        """Return the calls that arrive per microsecond."""
        return self.decayed_calls / self._averaging_time_us()

    def in_mean_calls(self, work_us: float) -> float:
        """Return work as a number of calls of mean work; at least 1, however little work it is.

        Estimates of service times rise and fall with the load, and the mean follows late. The minimum keeps
        a limit in calls from growing when the estimates fall.
        """
        if not self.decayed_work:
            return 1.0
        return max(1.0, work_us * self.decayed_calls / self.decayed_work)

    def _averaging_time_us(self) -> float:
        age_us = self.context.now_us - self.first_call_us + STARTUP_US
        return min(age_us, HALF_LIFE_KEEP_ALIVES * self.context.keep_alive_us / math.log(2))
