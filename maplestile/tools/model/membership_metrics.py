"""Measurements and metrics of the membership model: detection, false positives, traffic, convergence."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass, field

from maplestile.membership.tuning import Tuning
from maplestile.tools.faults.schedule import US_PER_S, Fault, FaultKind, Schedule
from maplestile.tools.model.experiment import Experiment
from maplestile.tools.model.report import Metrics, TimeSeries

US_PER_MINUTE = 60e6
DIGITS = 6  # after the decimal point of every metric


@dataclass(slots=True, frozen=True)
class MembershipMetrics:
    """The metrics of one run; None if there was nothing to measure. A period is a protocol period."""

    members: int
    seconds: float  # simulated duration
    lifeguard: bool
    loss: float  # share of datagrams that the network loses
    detection_median_periods: float | None  # from a kill until a live member declares the victim dead
    detection_p99_periods: float | None
    undetected: int  # number of pairs of a killed member and a live member that did not declare it dead
    false_positives: int  # declarations of death that no recent fault explains
    false_positives_per_1000_member_minutes: float
    messages_per_member_per_period: float
    probes_per_duty_per_period: float | None  # a duty is a target of shared health checks
    longest_gap_of_a_duty_periods: float | None  # between consecutive checks of one target
    ever_isolated: int  # number of members
    isolated_at_end: int  # number of members
    converged_after_heal_s: float | None  # the longest time after any split
    not_converged: int  # number of splits after which the views did not converge

    def by_name(self) -> Metrics:
        """Return the metrics as they are printed: rounded numbers, by name."""
        return {
            name: None if value is None else round(float(value), DIGITS)
            for name, value in asdict(self).items()
        }


@dataclass(slots=True)
class Measurements:
    """The measurements of a run so far."""

    sent: int = 0  # number of messages
    health_checks: int = 0  # number of checks made
    longest_gap_us: int = 0  # between consecutive checks of one target
    checked_us: dict[str, int] = field(default_factory=dict)  # time of the last check of each target
    # When an observer first declared a member dead, by (observer, member).
    confirmed_us: dict[tuple[int, int], int] = field(default_factory=dict)
    false_positives: int = 0
    isolated: int = 0  # number of members that are isolated now
    ever_isolated: set[int] = field(default_factory=set)  # numbers of the members
    converged_us: list[int] = field(default_factory=list)  # from the healing of each split to convergence
    series: TimeSeries = field(default_factory=TimeSeries)

    def record_check(self, target: str, now_us: int) -> None:
        """Record a health check of a shared target."""
        self.health_checks += 1
        gap_us = now_us - self.checked_us.get(target, now_us)
        self.longest_gap_us = max(self.longest_gap_us, gap_us)
        self.checked_us[target] = now_us

    def record_isolation(self, observer: int, is_isolated: bool) -> None:
        """Record that a member has become isolated, or no longer is."""
        self.isolated += 1 if is_isolated else -1
        self.ever_isolated.add(observer)


def is_explained_by_fault(
    schedule: Schedule, tuning: Tuning, observer: int, member: int, now_us: int
) -> bool:
    """Return whether a recent fault explains that an observer declared a member dead."""
    detection_us = tuning.suspicion_us(schedule.members, 0) * tuning.local_health_max
    return any(
        _affects(fault, observer, member)
        for fault in schedule.faults
        if fault.at_us <= now_us <= fault.until_us + detection_us
    )


def _affects(fault: Fault, observer: int, member: int) -> bool:
    match fault.kind:
        case FaultKind.KILL | FaultKind.PAUSE:
            return member in fault.members
        case FaultKind.SPLIT:
            return fault.side(observer) != fault.side(member)
    return bool({observer, member} & (fault.members | fault.others))


def compute_metrics(
    experiment: Experiment, measurements: Measurements, live_members: Sequence[int]
) -> MembershipMetrics:
    """Compute the metrics of a finished run."""
    schedule = experiment.schedule
    kills = [fault for fault in schedule.faults if fault.kind is FaultKind.KILL]
    splits = [fault for fault in schedule.faults if fault.kind is FaultKind.SPLIT]
    detection_periods = _detection_periods(experiment, measurements, kills, live_members)
    member_minutes = schedule.members * experiment.duration_us / US_PER_MINUTE
    periods = experiment.duration_us / experiment.period_us
    targets = experiment.health_check_targets
    return MembershipMetrics(
        members=schedule.members,
        seconds=experiment.duration_us / US_PER_S,
        lifeguard=experiment.lifeguard,
        loss=schedule.net.loss,
        detection_median_periods=_quantile(detection_periods, 0.5),
        detection_p99_periods=_quantile(detection_periods, 0.99),
        undetected=len(live_members) * len(kills) - len(detection_periods),
        false_positives=measurements.false_positives,
        false_positives_per_1000_member_minutes=1000 * measurements.false_positives / member_minutes,
        messages_per_member_per_period=measurements.sent / schedule.members / periods,
        probes_per_duty_per_period=measurements.health_checks / targets / periods if targets else None,
        longest_gap_of_a_duty_periods=measurements.longest_gap_us / experiment.period_us if targets else None,
        ever_isolated=len(measurements.ever_isolated),
        isolated_at_end=measurements.isolated,
        converged_after_heal_s=max(measurements.converged_us) / US_PER_S
        if measurements.converged_us
        else None,
        not_converged=len(splits) - len(measurements.converged_us),
    )


def _detection_periods(
    experiment: Experiment, measurements: Measurements, kills: Sequence[Fault], live_members: Sequence[int]
) -> list[float]:
    """Return the periods from each kill until each live member that detected it declared the victim dead."""
    detection_periods = []
    for fault in kills:
        (victim,) = fault.members
        for observer in live_members:
            confirmed_us = measurements.confirmed_us.get((observer, victim))
            if confirmed_us is not None:
                detection_periods.append((confirmed_us - fault.at_us) / experiment.period_us)
    return detection_periods


def _quantile(values: Sequence[float], share: float) -> float | None:
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
