"""Measures the rate of calls that warm workers have served, as a guide to what a worker can carry."""

import math

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_rate import HALF_LIFE_KEEP_ALIVES, STARTUP_US, LoadRate
from maplestile.dispatch.state import Worker

PEAK_HALF_LIFE_US = 24 * 3_600_000_000
MIN_PEAK_EVIDENCE = 0.5  # of the weight that the decayed sum reaches while the same workers run


class ServedRate:
    """The rate of this dispatcher's calls that a running, warm worker has served, per unit of weight.

    It is the ratio of two decayed sums: the served calls, and the weight of the workers that could serve
    them, integrated over time. Unlike the demand, it cannot exceed the workers' capacity. Its peak is kept
    for some days, since a low rate at a quiet time says nothing about what the workers can carry.
    """

    def __init__(self, context: Context, *, fleet: Fleet, load_rate: LoadRate) -> None:
        self.context = context
        self.fleet = fleet
        self.load_rate = load_rate
        self.decayed_calls = 0.0
        self.decayed_weight_us = 0.0
        self.warm_weight = 0.0  # of the running workers past their slow start, since the last update
        self.updated_us = 0
        self._peak = 0.0  # highest rate, at `_peak_us`; it decays from then on
        self._peak_us = 0

    def update_weight(self) -> None:
        """Use the present weight of the running, warm workers from now on; to be called regularly."""
        self._advance()
        self._update_peak()
        self.warm_weight = self.fleet.warm_weight()

    def record_answer(self, worker: Worker) -> None:
        """Count a served call, unless its worker is in its slow start or no longer runs."""
        if self.fleet.is_running(worker) and not self.fleet.is_in_slow_start(worker):
            self._advance()
            self.decayed_calls += 1

    def calls_per_weight_us(self) -> float:
        """Return the calls per microsecond that a unit of weight has been seen to serve.

        A dispatcher that has just started has served nothing. It assumes at first that all listed workers,
        also those that drain, share its calls; this assumption decays as the sums do.
        """
        return max(self._decayed_peak(), self._present_rate())

    def _present_rate(self) -> float:
        self._advance()
        age_factor = self.context.decay_factor(self.load_rate.first_call_us, HALF_LIFE_KEEP_ALIVES)
        assumed_us = STARTUP_US * age_factor
        weight_us = self.decayed_weight_us + assumed_us * self.fleet.listed_weight
        if weight_us <= 0:
            return self.load_rate.call_rate() / self.fleet.listed_weight
        return (self.decayed_calls + assumed_us * self.load_rate.call_rate()) / weight_us

    def _decayed_peak(self) -> float:
        return float(self._peak * 0.5 ** ((self.context.now_us - self._peak_us) / PEAK_HALF_LIFE_US))

    def _update_peak(self) -> None:
        """Raise the peak to the present rate, once that is the mean of a long enough time."""
        has_evidence = (
            self.decayed_weight_us >= MIN_PEAK_EVIDENCE * self.warm_weight * self._time_constant_us()
        )
        if not self.warm_weight or not has_evidence:
            return
        rate = self.decayed_calls / self.decayed_weight_us
        if rate > self._decayed_peak():
            self._peak = rate
            self._peak_us = self.context.now_us

    def _time_constant_us(self) -> float:
        return HALF_LIFE_KEEP_ALIVES * self.context.keep_alive_us / math.log(2)

    def _advance(self) -> None:
        """Decay the sums, and add the weight of the time since the last update; count none before a call."""
        now_us = self.context.now_us
        if self.load_rate.first_call_us and now_us > self.updated_us:
            since_us = max(self.updated_us, self.load_rate.first_call_us)
            remaining = self.context.decay_factor(since_us, HALF_LIFE_KEEP_ALIVES)
            self.decayed_calls *= remaining
            self.decayed_weight_us *= remaining
            self.decayed_weight_us += self.warm_weight * self._time_constant_us() * (1 - remaining)
        self.updated_us = now_us
