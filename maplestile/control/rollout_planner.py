"""Decides when the next step of a rollout may start and when a rollout halts by itself. Does no I/O.

The leading agent passes in the health reports that it received, with its own monotonic time in microseconds,
and submits the returned command to the log, where `state.ControlState` checks it again. A newly elected
leader starts with an empty `RolloutPlanner` and waits for a report on every instance before it grants a step.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from maplestile.control.commands import (
    RUNNERS,
    GrantLease,
    HaltRollout,
    HealthReport,
)
from maplestile.control.rollout import Phase, Rollout, Stage
from maplestile.control.state import ControlState

__all__ = ["HealthReport", "RolloutPlanner", "RolloutRules"]

US_PER_S = 1_000_000


@dataclass(slots=True, frozen=True)
class RolloutRules:
    """The timeouts and thresholds of rollouts; times in microseconds."""

    report_max_age_us: int = 2_000_000  # an instance with an older last report counts as out of service
    settle_us: int = 1_000_000  # an instance counts as out for this long after its step: health unknown
    outage_us: int = 3_000_000  # the rollout halts if the budget is exceeded for this long
    step_us: int = 60_000_000  # the rollout halts if a step takes longer
    grace_us: int = 5_000_000  # the longest that a new leader waits for reports on every instance
    min_calls: int = 20  # `max_failed_share` applies to an instance only after this many calls
    # The rollout halts if an instance whose step has ended fails a larger share of its calls since then.
    max_failed_share: float = 0.1


@dataclass(slots=True, frozen=True)
class ReceivedReport:
    """The last health report on an instance and the time of its arrival."""

    report: HealthReport
    at_us: int  # by the leader's monotonic clock


@dataclass(slots=True, frozen=True)
class Progress:
    """How many completed steps of a rollout the planner has already processed."""

    rollout: int = 0  # the rollout's number; 0 before the first rollout
    done: int = 0  # the processed entries of `Rollout.done`
    undone: int = 0  # the processed entries of `Rollout.undone`


@dataclass(slots=True)
class RolloutPlanner:
    """Plans the steps of a rollout for one leader, from what that leader has observed."""

    rules: RolloutRules
    started_us: int  # when this leader began to lead
    reports: dict[str, ReceivedReport] = field(default_factory=dict)  # by instance
    lease_seen_us: dict[int, int] = field(default_factory=dict)  # by lease number: when it was first seen
    baselines: dict[str, HealthReport] = field(default_factory=dict)  # by instance: report at its step's end
    settling_us: dict[str, int] = field(default_factory=dict)  # by instance: when its step ended, if recently
    progress: Progress = Progress()
    over_budget_since_us: int = 0  # since when more are out than the budget allows; 0 if they are not

    def record_reports(self, reports: Mapping[str, HealthReport], now_us: int) -> None:
        """Record the health reports on an agent's instances."""
        for name, report in reports.items():
            self.reports[name] = ReceivedReport(report, now_us)

    def next_command(
        self, control: ControlState, members_out: frozenset[str], term: int, now_us: int
    ) -> GrantLease | HaltRollout | None:
        """Return the next command for the log, or None.

        The caller waits for the reply before it asks for another command. `members_out` are the instances and
        runners that the membership considers gone, `term` is the Raft term.
        """
        rollout = control.rollout
        self._track_leases(control, now_us)
        self._track_ended_steps(rollout, now_us)
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.UNDOING):
            return None
        if not self._has_enough_reports(control, now_us):
            return None
        down = self.down_instances(control, rollout.kind, members_out, now_us)
        halt_reason = self._halt_reason(control, rollout, down, now_us)
        if halt_reason and rollout.phase is Phase.RUNNING:
            return HaltRollout(rollout=rollout.number, reason=halt_reason)
        return self._grant(control, rollout, down, term)

    def down_instances(
        self, control: ControlState, kind: str, members_out: frozenset[str], now_us: int
    ) -> list[str]:
        """Return the instances of a kind that are out of service without a lease.

        A router is out of service if it is not ready, has no recent report or is in `members_out`. A runner
        is out of service if it is in `members_out`, which includes runners that fail their health checks.
        """
        if kind == RUNNERS:
            return [name for name in control.runners if name not in control.leases and name in members_out]
        unleased = [name for name in sorted(control.instances) if name not in control.leases]
        return [name for name in unleased if name in members_out or not self._is_serving(name, now_us)]

    def _is_serving(self, name: str, now_us: int) -> bool:
        received = self.reports.get(name)
        if received is None or not received.report.ready:
            return False
        return now_us - received.at_us <= self.rules.report_max_age_us

    def _has_enough_reports(self, control: ControlState, now_us: int) -> bool:
        """Return whether an instance without a report may be counted as out of service.

        A new leader first waits up to `grace_us` for a report on every instance.
        """
        all_reported = all(name in self.reports for name in control.instances)
        return all_reported or now_us - self.started_us >= self.rules.grace_us

    def _grant(
        self, control: ControlState, rollout: Rollout, down: Sequence[str], term: int
    ) -> GrantLease | None:
        step = control.next_step()
        if step is None:
            return None
        # An instance that is already out, by its own lease or by an outage, is not counted twice.
        would_be_out = {*control.leased_instances(rollout.kind), *down, *self.settling_us, step.instance}
        if len(would_be_out) > rollout.budget:
            return None
        return GrantLease(
            rollout=rollout.number,
            instance=step.instance,
            down=tuple(down),
            after=control.number,
            term=term,
        )

    # Observations of this leader.

    def _track_leases(self, control: ControlState, now_us: int) -> None:
        numbers = {lease.number for lease in control.leases.values()}
        self.lease_seen_us = {number: self.lease_seen_us.get(number, now_us) for number in numbers}

    def _track_ended_steps(self, rollout: Rollout | None, now_us: int) -> None:
        if rollout is not None:
            self._track_progress(rollout, now_us)
        self.settling_us = {
            name: ended_us
            for name, ended_us in self.settling_us.items()
            if now_us - ended_us < self.rules.settle_us
        }
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.HALTED):
            self.baselines = {}

    def _track_progress(self, rollout: Rollout, now_us: int) -> None:
        seen = self.progress
        if seen.rollout != rollout.number:
            # A new leader does not know when the steps ended. It treats the last ones, as many as the budget
            # allows at once, as having just ended.
            done = max(0, len(rollout.done) - rollout.budget)
            undone = max(0, len(rollout.undone) - rollout.budget)
            seen = Progress(rollout.number, done, undone)
        for name in (*rollout.done[seen.done :], *rollout.undone[seen.undone :]):
            self.settling_us[name] = now_us
        for name in rollout.done[seen.done :]:
            received = self.reports.get(name)
            self.baselines[name] = HealthReport(False) if received is None else received.report
        self.progress = Progress(rollout.number, len(rollout.done), len(rollout.undone))

    # Reasons to halt a rollout.

    def _halt_reason(self, control: ControlState, rollout: Rollout, down: Sequence[str], now_us: int) -> str:
        """Return why the rollout must halt; "" if it may go on."""
        return (
            self._outage_reason(control, rollout, down, now_us)
            or self._slow_step_reason(control, now_us)
            or self._failed_calls_reason(control)
        )

    def _outage_reason(
        self, control: ControlState, rollout: Rollout, down: Sequence[str], now_us: int
    ) -> str:
        out_count = len(control.leased_instances(rollout.kind)) + len(down)
        if not down or out_count <= rollout.budget:
            self.over_budget_since_us = 0
            return ""
        # An instance that has just come back may still be reported as out, so the rollout halts only if the
        # excess lasts. No step is granted meanwhile.
        self.over_budget_since_us = self.over_budget_since_us or now_us
        if now_us - self.over_budget_since_us < self.rules.outage_us:
            return ""
        return f"{out_count} out and the budget is {rollout.budget}: {', '.join(down)} without a step"

    def _slow_step_reason(self, control: ControlState, now_us: int) -> str:
        for lease in control.leases.values():
            duration_us = now_us - self.lease_seen_us[lease.number]
            if lease.stage is not Stage.OUT and duration_us > self.rules.step_us:
                return f"the step of {lease.instance} takes over {self.rules.step_us // US_PER_S} s"
        return ""

    def _failed_calls_reason(self, control: ControlState) -> str:
        for name, baseline in self.baselines.items():
            received = self.reports.get(name)
            if received is None or name in control.leases:
                continue
            served, failed = _calls_since(baseline, received.report)
            calls = served + failed
            if calls >= self.rules.min_calls and failed > self.rules.max_failed_share * calls:
                return f"{name} fails {failed} of {calls} calls since its release"
        return ""


def _calls_since(baseline: HealthReport, report: HealthReport) -> tuple[int, int]:
    """Return the calls served and failed since the baseline, or since a restart that came after it."""
    is_same_process = report.served + report.failed >= baseline.served + baseline.failed
    if not is_same_process:
        return report.served, report.failed
    return report.served - baseline.served, report.failed - baseline.failed
