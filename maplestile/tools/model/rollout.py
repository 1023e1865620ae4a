"""The model of rollouts: the shipped `ControlState` and `RolloutPlanner` on simpy, with many instances.

`rollout_experiment.py` reads the experiments, and `rollout_metrics.py` computes the metrics. Raft, lost
messages and calls are not simulated; a command is committed after a delay.
"""

from dataclasses import asdict

import simpy

from maplestile.control.commands import (
    BeginStep,
    FinishStep,
    GrantLease,
    HaltRollout,
    HealthReport,
    Rejected,
    ResumeRollout,
    StartRollout,
)
from maplestile.control.rollout_planner import RolloutPlanner, RolloutRules
from maplestile.control.state import ACTIVE_PHASES, Lease, Stage
from maplestile.tools.model.control_model import ControlModel
from maplestile.tools.model.experiment import TimeRange
from maplestile.tools.model.report import Metrics
from maplestile.tools.model.rollout_experiment import RolloutExperiment
from maplestile.tools.model.rollout_metrics import RolloutMeasurements, RolloutMetrics

# The intervals of the shipped rollout controller.
PLAN_INTERVAL_US = 50_000  # between runs of the planner
REPORT_INTERVAL_US = 500_000  # between health reports


class RolloutModel(ControlModel):
    """One run of a rollout, decided by the shipped code."""

    def __init__(self, experiment: RolloutExperiment) -> None:
        super().__init__(experiment, experiment.instances)
        self.experiment = experiment
        self.measurements = RolloutMeasurements()
        self._out_of_service = set[str]()  # instances out of service for a step or an outage
        self._in_outage = set[str]()  # instances in an outage
        self._started_leases = set[int]()  # numbers of the leases whose step has started
        # The planner of the leader; None while there is no leader.
        self._planner: RolloutPlanner | None = RolloutPlanner(RolloutRules(), 0)
        self._is_command_pending = False

    def run(self) -> RolloutMetrics:
        """Simulate the run to its end and return its metrics."""
        experiment = self.experiment
        start = StartRollout(action=experiment.action, targets=(), budget=experiment.budget)
        reply = self.control.apply(start)
        assert not isinstance(reply, Rejected), reply
        self._env.process(self._control_rollout())
        self._env.process(self._report_health())
        for outage in experiment.outages:
            self._env.process(self._play_outage(outage))
        for election in experiment.elections:
            self._env.process(self._play_election(election))
        if experiment.halt_at_us:
            self._env.process(self._halt_and_resume())
        self._env.run(until=experiment.duration_us)
        assert self.control.rollout is not None
        return self.measurements.metrics(self.control.rollout, len(self.instance_names))

    # Agents and the leader.

    def _control_rollout(self) -> simpy.events.ProcessGenerator:
        """Start the steps of new leases and submit the leader's commands until the rollout ends."""
        while True:
            self._start_steps()
            self._submit_next_command()
            rollout = self.control.rollout
            if rollout is not None and rollout.phase not in ACTIVE_PHASES:
                self.measurements.ended_us = self.now_us
                return
            yield self._env.timeout(PLAN_INTERVAL_US)

    def _start_steps(self) -> None:
        for lease in list(self.control.leases.values()):
            if lease.stage is Stage.GRANTED and lease.number not in self._started_leases:
                self._started_leases.add(lease.number)
                self._env.process(self._run_step(lease))

    def _submit_next_command(self) -> None:
        if self._planner is None or self._is_command_pending:
            return
        command = self._planner.next_command(self.control, frozenset(), 1, self.now_us)
        if command is not None:
            self._is_command_pending = True
            self._env.process(self._submit(command))

    def _submit(self, command: GrantLease | HaltRollout) -> simpy.events.ProcessGenerator:
        yield self._wait_for_commit()
        self._is_command_pending = False
        is_rejected = isinstance(self.control.apply(command), Rejected)
        if isinstance(command, HaltRollout) and not is_rejected:
            self.measurements.halts += 1
            yield self._env.timeout(self.experiment.halt_for_us)  # until an operator resumes the rollout
            self.control.apply(ResumeRollout())

    def _report_health(self) -> simpy.events.ProcessGenerator:
        while True:
            if self._planner is not None:
                reports = {
                    name: HealthReport(name not in self._out_of_service) for name in self.instance_names
                }
                self._planner.record_reports(reports, self.now_us)
            yield self._env.timeout(REPORT_INTERVAL_US)

    def _run_step(self, lease: Lease) -> simpy.events.ProcessGenerator:
        """Drain the lease's instance and restart it."""
        begin = BeginStep(agent=lease.holder, instance=lease.instance, lease=lease.number)
        yield self._wait_for_commit()
        if isinstance(self.control.apply(begin), Rejected):
            return
        self.measurements.step_starts_us.append(self.now_us)
        self._take_out_of_service(lease.instance)
        yield self._env.timeout(self._random_drain_us() + self.experiment.start_us)
        if lease.instance not in self._in_outage:
            self._out_of_service.discard(lease.instance)
        yield self._wait_for_commit()
        self.control.apply(FinishStep(agent=lease.holder, instance=lease.instance, lease=lease.number))

    def _random_drain_us(self) -> int:
        jitter_us = self._random_exponential_us(self.experiment.drain_jitter_us)
        is_stuck = self._random.random() < self.experiment.stuck
        return self.experiment.stuck_us if is_stuck else self.experiment.drain_us + jitter_us

    def _take_out_of_service(self, name: str) -> None:
        self._out_of_service.add(name)
        self.measurements.record_out_of_service(
            len(self._out_of_service), len(self._out_of_service - self._in_outage)
        )

    # Faults and an operator.

    def _play_outage(self, outage: TimeRange) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(outage.at_us)
        name = self.instance_names[outage.index]
        self._in_outage.add(name)
        self._take_out_of_service(name)
        yield self._env.timeout(outage.for_us)
        self._in_outage.discard(name)
        if name not in self.control.leases:
            self._out_of_service.discard(name)

    def _play_election(self, election: TimeRange) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(election.at_us)
        self._planner = None
        yield self._env.timeout(election.for_us)
        self._planner = RolloutPlanner(RolloutRules(), self.now_us)

    def _halt_and_resume(self) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(self.experiment.halt_at_us)
        sent_us = self.now_us
        yield self._wait_for_commit()
        if isinstance(self.control.apply(HaltRollout(reason="by the plan")), Rejected):
            return
        yield self._env.timeout(self.experiment.halt_for_us)
        self.measurements.record_halt(sent_us)
        self.control.apply(ResumeRollout())


def run(experiment: RolloutExperiment) -> RolloutMetrics:
    """Run an experiment and return its metrics."""
    return RolloutModel(experiment).run()


def measure(experiment: RolloutExperiment) -> Metrics:
    """Run an experiment and return its metrics by name."""
    return asdict(run(experiment))
