"""Estimates of service and load times, learned as running means of what answers took."""

import math

from maplestile.dispatch.api import CallClass
from maplestile.dispatch.state import Call, FunctionEntry, Worker

SMOOTHING = 0.2  # share of a new sample in every running mean: about the last ten samples count
INITIAL_SERVICE_OBJECTIVES = 0.25  # service time before any was seen, in latency objectives
INITIAL_LOAD_OBJECTIVES = 1.0  # load time before any was seen, in latency objectives
HINT_FACTOR = 2.0  # a call is expected to take up to so many times the work that its client hinted


def expected_service_us(call: Call) -> float:
    """The call's expected service time.

    A long call is no sign of a slow or silent worker: its own hint counts where it says more than the mean.
    """
    return max(call.entry.service_us, HINT_FACTOR * call.hinted_us)


def learn_load_time(entry: FunctionEntry, elapsed_us: float) -> None:
    """Take in how long a load took."""
    entry.load_us += SMOOTHING * (elapsed_us - entry.load_us)


class ServiceTimeEstimates:
    """Mean service times of each class, for functions that have not been seen."""

    def __init__(self) -> None:
        self.class_service_us: dict[str, float] = {}

    def initial_service_us(self, call_class: CallClass) -> float:
        """The service time assumed for a new function of the class."""
        return self.class_service_us.get(
            call_class.name, INITIAL_SERVICE_OBJECTIVES * call_class.latency_objective_us
        )

    def initial_load_us(self, call_class: CallClass) -> float:
        """The load time assumed for a new function of the class."""
        return INITIAL_LOAD_OBJECTIVES * call_class.latency_objective_us

    def learn_service_time(self, call: Call, worker: Worker, elapsed_us: int) -> None:
        """Take in how long an answer from a warm copy took, for its worker, its function and its class."""
        entry = call.entry
        name = call.call_class.name
        usual_us = call.hinted_us or entry.service_us
        log_ratio = math.log(max(1, elapsed_us) / usual_us)
        worker.latency_log_ratio += SMOOTHING * (log_ratio - worker.latency_log_ratio)
        entry.service_us += SMOOTHING * (elapsed_us - entry.service_us)
        before_us = self.class_service_us.get(name, entry.service_us)
        self.class_service_us[name] = (1 - SMOOTHING) * before_us + SMOOTHING * elapsed_us
