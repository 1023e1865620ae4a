"""Admission control: by the share of late answers a part of the calls is refused, or given up early."""

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

REFUSAL_LATE_RATIO = 0.25  # share of late answers from which calls are refused
REFUSAL_GAIN = 2.0  # probability of a refusal for each part of the late ratio above that
MAX_REFUSAL_PROBABILITY = 0.6
LATE_RATIO_TIME_CONSTANT_US = 3_000_000  # over which the late ratio is learned
MAX_LATE_RATIO_STEP = 0.1  # weight of one sample, at most
KEPT_LATE_PRIORITY_WEIGHT = 0.25  # priority weight of a late answer, from which no call is given up early
# The answer margin: how long before the end of a call's budget its final answer goes out at the latest, since
# busy processes are late. One part in `ANSWER_MARGIN_SHARE` of the budget, within the two bounds; for budgets
# under `FULL_MARGIN_BUDGET_US` the part shrinks with the budget, since their end is worth more.
ANSWER_MARGIN_TICKS = 2
MAX_ANSWER_MARGIN_US = 120_000
ANSWER_MARGIN_SHARE = 10
FULL_MARGIN_BUDGET_US = 1_000_000


class AdmissionController:
    """Learns how many answers come late, and refuses calls by that."""

    def __init__(self, context: Context, *, load_rate: LoadRate) -> None:
        self.context = context
        self.load_rate = load_rate
        self.late_ratio = 0.0

    def due_us(self, event: CallArrived, call_class: CallClass) -> int:
        """When the final answer to an arriving call goes out at the latest."""
        budget_us = event.budget_us
        if self._gives_up_late_calls(call_class):
            budget_us = min(budget_us, call_class.latency_objective_us)
        shrinking = min(1.0, budget_us / FULL_MARGIN_BUDGET_US)
        margin_us = min(MAX_ANSWER_MARGIN_US, int(shrinking * budget_us) // ANSWER_MARGIN_SHARE)
        margin_us = max(ANSWER_MARGIN_TICKS * self.context.settings.tick_us, margin_us)
        return self.context.now_us + max(0, budget_us - margin_us)

    def refuses(self, repeat: bool) -> bool:
        """Whether to refuse an arriving call, by one draw that is always taken.

        Repeats are refused twice as often. In overload, after the loss of a zone and in storms of repeats a
        few answers in time are worth more than all of them late.
        """
        excess = REFUSAL_GAIN * (self.late_ratio - REFUSAL_LATE_RATIO)
        probability = min(MAX_REFUSAL_PROBABILITY, excess) * (1 + repeat)
        return self.context.random.random() < probability

    def may_refuse(self, call: Call) -> bool:
        """Whether the client may be invited to retry: only where a repeat is harmless."""
        if call.call_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if all(attempt.result in NEVER_RAN for attempt in call.attempts):
            return True
        return (
            call.call_class.idempotency is Idempotency.WITH_KEY
            and call.call_class.deduplication_scope is DeduplicationScope.ALL
        )

    def is_late(self, call: Call) -> bool:
        """The call's latency objective has passed."""
        return self.context.now_us > call.arrived_us + call.call_class.latency_objective_us

    def record_answer(self, call: Call, late: bool) -> None:
        """Take a call's answer into the late ratio, unless silent workers or loads made it late."""
        silent = any(a.result not in ANSWERS and is_silent_since(a) for a in call.attempts)
        if silent or (late and all(attempt.needs_load for attempt in call.attempts)):
            return
        weight = call.entry.service_us / (LATE_RATIO_TIME_CONSTANT_US * self.load_rate.rate())
        self.late_ratio += min(MAX_LATE_RATIO_STEP, weight) * (late - self.late_ratio)

    def _gives_up_late_calls(self, call_class: CallClass) -> bool:
        """In overload a late answer's place goes to a call that can still be in time."""
        return (
            self.late_ratio > REFUSAL_LATE_RATIO
            and call_class.idempotency is Idempotency.IDEMPOTENT
            and call_class.late_priority_weight < KEPT_LATE_PRIORITY_WEIGHT
        )
