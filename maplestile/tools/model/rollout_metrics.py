"""The measurements and metrics of the rollout model: steps, instances out of service, and halts."""

from dataclasses import dataclass, field

from maplestile.control.rollout import Phase, Rollout
from maplestile.tools.faults.schedule import US_PER_MS, US_PER_S


@dataclass(slots=True, frozen=True)
class RolloutMetrics:
    """The metrics of one run; None if there was nothing to measure."""

    instances: int  # number of instances
    budget: int  # number of instances that the rollout may take out of service at the same time
    done: int  # number of instances whose step is done
    ended: int  # 1 if the rollout is done, else 0
    seconds: float | None  # simulated time until the rollout ended; None if it did not end
    most_out: int  # maximum number of instances out of service at the same time
    most_out_planned: int  # the same, without instances in an outage
    halts_by_itself: int  # number of halts by the planner
    last_step_after_halt_ms: float | None  # from an operator's halt until the last step began


@dataclass(slots=True)
class RolloutMeasurements:
    """The measurements of a run so far."""

    most_out: int = 0  # maximum number of instances out of service at the same time
    most_out_planned: int = 0  # the same, without instances in an outage
    step_starts_us: list[int] = field(default_factory=list)  # simulated times
    # For each halt by an operator: the time until the last step that began after it; 0 if none did.
    last_after_halt_us: list[int] = field(default_factory=list)
    halts: int = 0  # number of halts by the planner
    ended_us: int | None = None  # when the rollout ended; None if it has not

    def record_out_of_service(self, out: int, out_planned: int) -> None:
        """Record how many instances are out of service now, in all and without those in an outage."""
        self.most_out = max(self.most_out, out)
        self.most_out_planned = max(self.most_out_planned, out_planned)

    def record_halt(self, sent_us: int) -> None:
        """Record the time from an operator's halt until the last step began; 0 if no step began after it."""
        delays_us = [start_us - sent_us for start_us in self.step_starts_us if start_us > sent_us]
        self.last_after_halt_us.append(max(delays_us, default=0))

    def metrics(self, rollout: Rollout, instances: int) -> RolloutMetrics:
        """Compute the metrics of the run from the final state of its rollout."""
        delays_us = self.last_after_halt_us
        return RolloutMetrics(
            instances=instances,
            budget=rollout.budget,
            done=len(rollout.done),
            ended=int(rollout.phase is Phase.DONE),
            seconds=None if self.ended_us is None else round(self.ended_us / US_PER_S, 3),
            most_out=self.most_out,
            most_out_planned=self.most_out_planned,
            halts_by_itself=self.halts,
            last_step_after_halt_ms=max(delays_us) / US_PER_MS if delays_us else None,
        )
