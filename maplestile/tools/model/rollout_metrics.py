"""What is measured in a run of a rollout: steps, instances out of service, and halts."""

from dataclasses import dataclass, field

from maplestile.control.rollout import Phase, Rollout
from maplestile.tools.faults.schedule import US_PER_MS, US_PER_S


@dataclass(slots=True, frozen=True)
class RolloutMetrics:
    """The metrics of one run; None where there is nothing to measure."""

    instances: int
    budget: int
    done: int  # instances whose step is done
    ended: int  # 1 if the rollout is done, else 0
    seconds: float | None  # until the rollout ended
    most_out: int  # instances out at the same time
    most_out_planned: int  # of these, out by a step and not by an outage
    halts_by_itself: int
    last_step_after_halt_ms: float | None  # from the operator's halt until the last step began


@dataclass(slots=True)
class RolloutMeasurements:
    """What has been measured in a run so far."""

    most_out: int = 0
    most_out_planned: int = 0
    step_starts_us: list[int] = field(default_factory=list)
    last_after_halt_us: list[int] = field(default_factory=list)  # for each halt of an operator
    halts: int = 0  # by the planner
    ended_us: int | None = None

    def record_out_of_service(self, out: int, out_planned: int) -> None:
        """Record how many instances are out of service now."""
        self.most_out = max(self.most_out, out)
        self.most_out_planned = max(self.most_out_planned, out_planned)

    def record_halt(self, sent_us: int) -> None:
        """Record how long after an operator sent a halt the last step began; 0 if none did."""
        delays_us = [start_us - sent_us for start_us in self.step_starts_us if start_us > sent_us]
        self.last_after_halt_us.append(max(delays_us, default=0))

    def metrics(self, rollout: Rollout, instances: int) -> RolloutMetrics:
        """The metrics of the run, given its rollout at the end."""
        halted_us = self.last_after_halt_us
        return RolloutMetrics(
            instances=instances,
            budget=rollout.budget,
            done=len(rollout.done),
            ended=int(rollout.phase is Phase.DONE),
            seconds=None if self.ended_us is None else round(self.ended_us / US_PER_S, 3),
            most_out=self.most_out,
            most_out_planned=self.most_out_planned,
            halts_by_itself=self.halts,
            last_step_after_halt_ms=max(halted_us) / US_PER_MS if halted_us else None,
        )
