"""Rejects some calls, or gives them up early, when too many answers are late (admission control)."""

from maplestile.dispatch.api import (
    ANSWERS,
    NEVER_RAN,
    CallArrived,
    CallClass,
    DeduplicationScope,
    Idempotency,
)
from maplestile.dispatch.context import Context
from maplestile.dispatch.load_rate import LoadRate
from maplestile.dispatch.outliers import is_silent_since
from maplestile.dispatch.state import Call

REJECTION_LATE_RATIO = 0.25  # late ratio above which some calls are rejected
REJECTION_GAIN = 2.0  # increase of the rejection probability per unit of late ratio above that
MAX_REJECTION_PROBABILITY = 0.6
LATE_RATIO_TIME_CONSTANT_US = 3_000_000  # time constant of the late ratio's exponential average
MAX_LATE_RATIO_STEP = 0.1  # largest weight of one answer in the late ratio
MIN_KEPT_LATE_PRIORITY_WEIGHT = 0.25  # only classes with a lower late priority weight are given up early
# The answer margin is the time between the latest final answer to a call and the end of the call's budget. It
# is needed because a busy process answers late. It is the budget divided by `ANSWER_MARGIN_DIVISOR`, within a
# minimum and a maximum. For budgets below `FULL_MARGIN_BUDGET_US` the fraction itself shrinks with the
# budget, since the end of a short budget is worth more.
MIN_ANSWER_MARGIN_TICKS = 2
MAX_ANSWER_MARGIN_US = 120_000
ANSWER_MARGIN_DIVISOR = 10
FULL_MARGIN_BUDGET_US = 1_000_000


class AdmissionController:
    """The component that tracks the ratio of late answers, and rejects calls when it is high."""

    def __init__(self, context: Context, *, load_rate: LoadRate) -> None:
        self.context = context
        self.load_rate = load_rate
        self.late_ratio = 0.0

    def due_us(self, event: CallArrived, call_class: CallClass) -> int:
        """Return the latest time for the final answer to an arriving call."""
        budget_us = event.budget_us
        if self._gives_up_late_calls(call_class):
            budget_us = min(budget_us, call_class.latency_objective_us)
        margin_factor = min(1.0, budget_us / FULL_MARGIN_BUDGET_US)
        margin_us = min(MAX_ANSWER_MARGIN_US, int(margin_factor * budget_us) // ANSWER_MARGIN_DIVISOR)
        margin_us = max(MIN_ANSWER_MARGIN_TICKS * self.context.settings.tick_us, margin_us)
        return self.context.now_us + max(0, budget_us - margin_us)

    def rejects(self, repeat: bool) -> bool:
        """Return whether to reject an arriving call, with a probability that grows with the late ratio.

        Repeats are twice as likely to be rejected. During overload, after the loss of a zone and in retry
        storms, a few answers in time are worth more than many late ones. One random number is always drawn.
        """
        raw_probability = REJECTION_GAIN * (self.late_ratio - REJECTION_LATE_RATIO)
        probability = min(MAX_REJECTION_PROBABILITY, raw_probability) * (1 + repeat)
        return self.context.random.random() < probability

    def may_reject(self, call: Call) -> bool:
        """Return whether the client may be told to retry, which requires that a repeat is harmless."""
        if call.call_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if all(attempt.result in NEVER_RAN for attempt in call.attempts):
            return True
        return (
            call.call_class.idempotency is Idempotency.WITH_KEY
            and call.call_class.deduplication_scope is DeduplicationScope.ALL
        )

    def is_late(self, call: Call) -> bool:
        """Return whether the call's latency objective has passed."""
        return self.context.now_us > call.arrived_us + call.call_class.latency_objective_us

    def record_answer(self, call: Call, late: bool) -> None:
        """Add a call's answer to the late ratio, unless silent workers or loads may have made it late."""
        met_silence = any(a.result not in ANSWERS and is_silent_since(a) for a in call.attempts)
        if met_silence or (late and all(attempt.needs_load for attempt in call.attempts)):
            return
        weight = call.entry.service_us / (LATE_RATIO_TIME_CONSTANT_US * self.load_rate.rate())
        self.late_ratio += min(MAX_LATE_RATIO_STEP, weight) * (late - self.late_ratio)

    def _gives_up_late_calls(self, call_class: CallClass) -> bool:
        """Return whether calls of the class are given up at their latency objective.

        This is done in overload, for idempotent classes whose late answers are worth little: it leaves room
        for calls that can still be answered in time.
        """
        return (
            self.late_ratio > REJECTION_LATE_RATIO
            and call_class.idempotency is Idempotency.IDEMPOTENT
            and call_class.late_priority_weight < MIN_KEPT_LATE_PRIORITY_WEIGHT
        )
