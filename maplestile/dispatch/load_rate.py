"""The rate of work that this dispatcher's own calls bring, as an exponentially decayed sum."""

import math

from maplestile.dispatch.context import Context
from maplestile.dispatch.state import FunctionEntry

HALF_LIFE_KEEP_ALIVES = 1.5  # keep-alives in which the work recorded halves
STARTUP_US = 2_000_000  # added to a dispatcher's age, so that its first calls do not read as a rush


class LoadRate:
    """Service time of own calls, by function and in all."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.decayed_work = 0.0  # microseconds of service time
        self.updated_us = 0
        self.first_call_us = 0

    def record_call(self, entry: FunctionEntry) -> None:
        """Count one call at its function's mean service time, and note it as the function's last."""
        context = self.context
        now_us = context.now_us
        self.first_call_us = self.first_call_us or now_us
        faded = context.decay_factor(entry.last_call_us, HALF_LIFE_KEEP_ALIVES)
        entry.decayed_work = entry.decayed_work * faded + entry.service_us
        faded = context.decay_factor(self.updated_us, HALF_LIFE_KEEP_ALIVES)
        self.decayed_work = self.decayed_work * faded + entry.service_us
        entry.last_call_us = now_us
        self.updated_us = now_us

    def rate(self) -> float:
        """Microseconds of work that come in one microsecond."""
        age_us = self.context.now_us - self.first_call_us + STARTUP_US
        return self.decayed_work / min(
            age_us, HALF_LIFE_KEEP_ALIVES * self.context.keep_alive_us / math.log(2)
        )
