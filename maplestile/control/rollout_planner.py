"""When the next step of a rollout may start, and when a rollout halts by itself. Free of I/O.

The leader's driver passes in the reports it received, with its own monotonic time in microseconds, and
submits the command that is returned to the log, where `state.ControlState` checks it once more. A newly
elected leader starts with an empty `RolloutPlanner`: it waits for a report of every instance before it grants
a step.
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
    """What an operator's file may set; times in microseconds."""

    fresh_us: int = 2_000_000  # a health report counts for so long
    settle_us: int = 1_000_000  # one that is back counts as out so long: its health is yet to be seen
    outage_us: int = 3_000_000  # more out than the budget for so long halts the rollout
    step_us: int = 60_000_000  # a step that takes longer halts the rollout
    grace_us: int = 5_000_000  # a new leader waits so long at most for a report of every instance
    min_calls: int = 20  # fewer calls say nothing of an instance's health
    max_failed_share: float = 0.1  # share of failed calls of a released instance over which the rollout halts


@dataclass(slots=True, frozen=True)
class ReceivedReport:
    """The last health report of an instance, and when it came."""

    report: HealthReport
    at_us: int


@dataclass(slots=True, frozen=True)
class Progress:
    """How many ended steps of a rollout have been seen."""

    rollout: int = 0
    done: int = 0
    undone: int = 0


@dataclass(slots=True)
class RolloutPlanner:
    """The leader's own memory of the rollout, and its decisions."""

    rules: RolloutRules
    began_us: int
    reports: dict[str, ReceivedReport] = field(default_factory=dict)  # by instance
    lease_seen_us: dict[int, int] = field(default_factory=dict)  # when each lease was seen first, by number
    baselines: dict[str, HealthReport] = field(default_factory=dict)  # by instance: at the end of its step
    settling_us: dict[str, int] = field(default_factory=dict)  # instances whose steps ended of late, and when
    progress: Progress = Progress()
    excess_since_us: int = 0  # since when more are out than the budget; 0 if they are not

    def record_reports(self, reports: Mapping[str, HealthReport], now_us: int) -> None:
        """Record the health reports of an agent's instances."""
        for name, report in reports.items():
            self.reports[name] = ReceivedReport(report, now_us)

    def next_command(
        self, control: ControlState, members_out: frozenset[str], term: int, now_us: int
    ) -> GrantLease | HaltRollout | None:
        """At most one command: the log answers it before the next is decided on.

        `members_out` are instances and runners that the membership finds gone, `term` is Raft's.
        """
        rollout = control.rollout
        self._track_leases(control, now_us)
        self._track_ended_steps(rollout, now_us)
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.UNDOING):
            return None
        if not self._has_enough_reports(control, now_us):
            return None
        down = self.down(control, rollout.kind, members_out, now_us)
        halt_reason = self._halt_reason(control, rollout, down, now_us)
        if halt_reason and rollout.phase is Phase.RUNNING:
            return HaltRollout(rollout=rollout.number, reason=halt_reason)
        return self._grant(control, rollout, down, term)

    def down(self, control: ControlState, kind: str, members_out: frozenset[str], now_us: int) -> list[str]:
        """The instances of a kind that are out without a lease.

        Routers: not ready, without a recent report, or out of the membership. Runners: those that the routers
        which check them find silent (`members_out` holds them, too).
        """
        if kind == RUNNERS:
            return [name for name in control.runners if name not in control.leases and name in members_out]
        unleased = [name for name in sorted(control.instances) if name not in control.leases]
        return [name for name in unleased if name in members_out or not self._serves(name, now_us)]

    def _serves(self, name: str, now_us: int) -> bool:
        received = self.reports.get(name)
        if received is None or not received.report.ready:
            return False
        return now_us - received.at_us <= self.rules.fresh_us

    def _has_enough_reports(self, control: ControlState, now_us: int) -> bool:
        """Whether an instance without a report counts as lost: not at once under a new leader."""
        all_reported = all(name in self.reports for name in control.instances)
        return all_reported or now_us - self.began_us >= self.rules.grace_us

    def _grant(
        self, control: ControlState, rollout: Rollout, down: Sequence[str], term: int
    ) -> GrantLease | None:
        step = control.next_step()
        if step is None:
            return None
        # One already out, by its own lease or by an outage, takes up no more of the budget by its step.
        counted = {*control.out(rollout.kind), *down, *self.settling_us, step.instance}
        if len(counted) > rollout.budget:
            return None
        return GrantLease(
            rollout=rollout.number,
            instance=step.instance,
            down=tuple(down),
            after=control.number,
            term=term,
        )

    # What this leader has seen.

    def _track_leases(self, control: ControlState, now_us: int) -> None:
        numbers = {lease.number for lease in control.leases.values()}
        self.lease_seen_us = {number: self.lease_seen_us.get(number, now_us) for number in numbers}

    def _track_ended_steps(self, rollout: Rollout | None, now_us: int) -> None:
        if rollout is not None:
            self._see_progress(rollout, now_us)
        self.settling_us = {
            name: ended_us
            for name, ended_us in self.settling_us.items()
            if now_us - ended_us < self.rules.settle_us
        }
        if rollout is None or rollout.phase not in (Phase.RUNNING, Phase.HALTED):
            self.baselines = {}

    def _see_progress(self, rollout: Rollout, now_us: int) -> None:
        seen = self.progress
        if seen.rollout != rollout.number:
            # A new leader does not know when they ended: as many as may be out at once count as the last.
            done = max(0, len(rollout.done) - rollout.budget)
            undone = max(0, len(rollout.undone) - rollout.budget)
            seen = Progress(rollout.number, done, undone)
        for name in (*rollout.done[seen.done :], *rollout.undone[seen.undone :]):
            self.settling_us[name] = now_us
        for name in rollout.done[seen.done :]:
            received = self.reports.get(name)
            self.baselines[name] = HealthReport(False) if received is None else received.report
        self.progress = Progress(rollout.number, len(rollout.done), len(rollout.undone))

    # Why a rollout has to halt.

    def _halt_reason(self, control: ControlState, rollout: Rollout, down: Sequence[str], now_us: int) -> str:
        """Why the rollout has to halt; "" if it need not."""
        return (
            self._outage_reason(control, rollout, down, now_us)
            or self._slow_step_reason(control, now_us)
            or self._failed_calls_reason(control)
        )

    def _outage_reason(
        self, control: ControlState, rollout: Rollout, down: Sequence[str], now_us: int
    ) -> str:
        out = len(control.out(rollout.kind)) + len(down)
        if not down or out <= rollout.budget:
            self.excess_since_us = 0
            return ""
        # One that is just back may still be out in the eyes of others: an excess has to last. No step is
        # granted meanwhile.
        self.excess_since_us = self.excess_since_us or now_us
        if now_us - self.excess_since_us < self.rules.outage_us:
            return ""
        return f"{out} out and the budget is {rollout.budget}: {', '.join(down)} without a step"

    def _slow_step_reason(self, control: ControlState, now_us: int) -> str:
        for lease in control.leases.values():
            took_us = now_us - self.lease_seen_us[lease.number]
            if lease.stage is not Stage.OUT and took_us > self.rules.step_us:
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
    """The calls served and failed since the baseline, or since the start of a new process."""
    is_same_process = report.served + report.failed >= baseline.served + baseline.failed
    if not is_same_process:
        return report.served, report.failed
    return report.served - baseline.served, report.failed - baseline.failed
