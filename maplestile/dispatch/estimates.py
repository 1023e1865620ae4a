"""Estimates service and load times by running means of measured times."""

import math

from maplestile.dispatch.api import CallClass
from maplestile.dispatch.state import Call, FunctionEntry, Worker

SMOOTHING = 0.2  # weight of a new sample in every running mean: about the last ten samples count
INITIAL_SERVICE_OBJECTIVES = 0.25  # service time assumed before the first sample, in latency objectives
INITIAL_LOAD_OBJECTIVES = 1.0  # load time assumed before the first sample, in latency objectives
HINT_FACTOR = 2.0  # a call may be expected to take this many times the service time hinted by its client


def expected_service_us(call: Call) -> float:
    """Return the call's expected service time, in microseconds.

    The client's hint is used if it gives a longer time than the function's mean, so that a long call is not
    mistaken for a sign of a slow or silent worker.
    """
    return max(call.entry.service_us, HINT_FACTOR * call.hinted_us)


def update_load_time(entry: FunctionEntry, elapsed_us: float) -> None:
    """Update the function's mean load time with a new sample."""
    entry.load_us += SMOOTHING * (elapsed_us - entry.load_us)


class ServiceTimeEstimates:
    """The mean service times, with initial estimates for new functions of each class."""

    def __init__(self) -> None:
        self.class_service_us: dict[str, float] = {}  # mean service time by class name

    def initial_service_us(self, call_class: CallClass) -> float:
        """Return the service time to assume for a new function of the class."""
        return self.class_service_us.get(
            call_class.name, INITIAL_SERVICE_OBJECTIVES * call_class.latency_objective_us
        )

    def initial_load_us(self, call_class: CallClass) -> float:
        """Return the load time to assume for a new function of the class."""
        return INITIAL_LOAD_OBJECTIVES * call_class.latency_objective_us

    def update_service_time(self, call: Call, worker: Worker, elapsed_us: int) -> None:
        """Update the means of the worker, function and class with the time of an answer from a warm copy."""
        entry = call.entry
        name = call.call_class.name
        usual_us = call.hinted_us or entry.service_us
        log_ratio = math.log(max(1, elapsed_us) / usual_us)
        worker.latency_log_ratio += SMOOTHING * (log_ratio - worker.latency_log_ratio)
        entry.service_us += SMOOTHING * (elapsed_us - entry.service_us)
        before_us = self.class_service_us.get(name, entry.service_us)
        self.class_service_us[name] = (1 - SMOOTHING) * before_us + SMOOTHING * elapsed_us
