"""The model of policy changes: the shipped `ControlState`, `PolicyPlanner` and `Follower` on simpy.

`policy_experiment.py` reads the experiments, and `policy_metrics.py` computes the metrics. Raft and messages
are not simulated: a command is committed after a delay, and its reply may be lost. Calls are not simulated
either, but counted by their rate.
"""

from dataclasses import asdict
from typing import NamedTuple

import simpy

from maplestile.agent.policy_controller import POLL_INTERVAL_S, READ_INTERVAL_CHECKING_S, READ_INTERVAL_S
from maplestile.control.commands import (
    PolicyCommitted,
    PolicyRead,
    ProposePolicy,
    ReadPolicy,
    Rejected,
    SubmitVerdict,
)
from maplestile.control.policy.change import Change, ChangePhase
from maplestile.control.policy.document import Document
from maplestile.control.policy.follower import (
    AnnouncementAction,
    Follower,
    FollowerTimeouts,
    PolicyAnnouncement,
    PolicyStatus,
)
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.tools.faults.schedule import US_PER_S
from maplestile.tools.model.control_model import ControlModel, agent_name
from maplestile.tools.model.experiment import TimeRange
from maplestile.tools.model.policy_experiment import PolicyExperiment
from maplestile.tools.model.policy_metrics import PolicyMeasurements, PolicyMetrics
from maplestile.tools.model.report import Metrics

POLL_INTERVAL_US = int(POLL_INTERVAL_S * US_PER_S)
READ_INTERVAL_US = int(READ_INTERVAL_S * US_PER_S)
READ_INTERVAL_CHECKING_US = int(READ_INTERVAL_CHECKING_S * US_PER_S)
TICK_INTERVAL_US = 500_000  # between runs of the routers' timers


class Fence(NamedTuple):
    """The latest read of the committed policy that an agent made for a router.

    The router must not be given an older epoch than the one read.
    """

    epoch: int = 0  # the committed epoch that was read
    sent_us: int = 0  # when the agent sent the read


class PolicyModel(ControlModel):
    """One run of policy changes, decided by the shipped code."""

    def __init__(self, experiment: PolicyExperiment) -> None:
        super().__init__(experiment, experiment.routers)
        self.experiment = experiment
        self.measurements = PolicyMeasurements()
        self._planner = PolicyPlanner()
        self._agent_of = {name: number % experiment.agents for number, name in enumerate(self.instance_names)}
        self._routers = {name: Follower(FollowerTimeouts(), 0, 0) for name in self.instance_names}
        self._fences: dict[str, Fence] = {}  # by router
        self._replica_epochs = dict.fromkeys(range(experiment.agents), 0)  # by agent
        self._agents_cut_off = set[int]()  # by index
        self._routers_down = set[str]()  # by name

    def run(self) -> PolicyMetrics:
        """Simulate the run to its end and return its metrics."""
        experiment = self.experiment
        for agent in range(experiment.agents):
            self._env.process(self._run_policy_reads(agent))
        for cut in experiment.cuts:
            self._env.process(self._cut_off_agent(cut))
        for outage in experiment.router_outages:
            self._env.process(self._take_router_down(outage))
        self._env.process(self._run_router_timers())
        self._env.process(self._run_leader())
        operator = self._env.process(self._propose_changes())
        self._env.run(until=self._env.any_of([operator, self._env.timeout(experiment.duration_us)]))
        return self.measurements.metrics(self.instance_names, experiment.rate, self._count_behind())

    def _count_behind(self) -> int:
        """Return the number of routers that lack the last epoch and are neither cut off nor down."""
        epoch = self.control.policy.epoch.number
        unreachable = self._routers_cut_off() | self._routers_down
        return sum(router.epoch != epoch for name, router in self._routers.items() if name not in unreachable)

    def _routers_cut_off(self) -> set[str]:
        return {name for name, agent in self._agent_of.items() if agent in self._agents_cut_off}

    def _is_reply_delivered(self, agent: int) -> bool:
        """Decide at random whether this agent receives the reply to a command; never while it is cut off."""
        return agent not in self._agents_cut_off and self._random.random() >= self.experiment.loss

    # Agents: each reads the policy, announces it to its routers and submits their verdicts.

    def _run_policy_reads(self, agent: int) -> simpy.events.ProcessGenerator:
        names = self.instances_of(agent)
        yield self._env.timeout(self._random_uniform_us(READ_INTERVAL_US))
        self._env.process(self._run_router_control(agent, names))
        while True:
            sent_us = self.now_us
            running = [name for name in names if name not in self._routers_down]
            yield self._wait_for_commit()
            if self._is_reply_delivered(agent):
                read = self.control.apply(ReadPolicy(agent=agent_name(agent), instances=tuple(running)))
                assert isinstance(read, PolicyRead), read
                self._fences.update(dict.fromkeys(running, Fence(read.epoch, sent_us)))
            checking = self.control.policy.change_being_checked() is not None
            interval_us = READ_INTERVAL_CHECKING_US if checking else READ_INTERVAL_US
            yield self._env.timeout(max(1, interval_us - (self.now_us - sent_us)))

    def _run_router_control(self, agent: int, names: list[str]) -> simpy.events.ProcessGenerator:
        """Ask each router once to check each change, and announce each new epoch and policy read."""
        announced: dict[str, PolicyAnnouncement] = {}
        checked = 0
        while True:
            change = self.control.policy.change_being_checked()
            if change is not None and change.number != checked and agent not in self._agents_cut_off:
                checked = change.number
                for name in names:
                    self._env.process(self._check_change(agent, name, change))
            self._announce_to_routers(agent, names, announced)
            yield self._env.timeout(POLL_INTERVAL_US)

    def _announce_to_routers(
        self, agent: int, names: list[str], announced: dict[str, PolicyAnnouncement]
    ) -> None:
        """Announce the epoch and last read to each router that lacks them, unless its fence is newer."""
        epoch = self._replica_epochs[agent]
        for name in names:
            fence = self._fences.get(name, Fence())
            announcement = PolicyAnnouncement(epoch, fence.sent_us, has_document=True)
            if (
                epoch >= fence.epoch
                and announced.get(name) != announcement
                and name not in self._routers_down
            ):
                announced[name] = announcement
                self._env.process(self._announce(name, announcement))

    def _announce(self, name: str, announcement: PolicyAnnouncement) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(self._random_jittered_us(self.experiment.call_us))
        router = self._routers[name]
        if (
            name not in self._routers_down
            and router.process_announcement(announcement, self.now_us) is AnnouncementAction.ADOPT
        ):
            router.record_adoption(announcement, self.now_us)
            self.measurements.record_applied(name, announcement.epoch, self.now_us)

    def _check_change(self, agent: int, name: str, change: Change) -> simpy.events.ProcessGenerator:
        """Ask a router to check a change, and submit its verdict."""
        experiment = self.experiment
        replica_us = self._random_uniform_us(experiment.replica_us)
        yield self._env.timeout(
            replica_us + self._random_jittered_us(experiment.call_us) + experiment.check_us
        )
        if name in self._routers_down:
            return
        yield from self._wait_for_commit_with_retries(agent)
        is_refused = self._random.random() < experiment.refuse / experiment.routers
        verdict = SubmitVerdict(
            agent=agent_name(agent),
            change=change.number,
            instance=name,
            reason="refused" if is_refused else "",
        )
        self.control.apply(verdict)

    def _wait_for_commit_with_retries(self, agent: int) -> simpy.events.ProcessGenerator:
        """Wait until a command of this agent is committed and its reply is delivered."""
        while True:
            yield self._wait_for_commit()
            if self._is_reply_delivered(agent):
                return
            yield self._env.timeout(self.experiment.retry_us)

    def _run_router_timers(self) -> simpy.events.ProcessGenerator:
        while True:
            stale = 0
            for name, router in self._routers.items():
                if name not in self._routers_down:
                    router.tick(self.now_us)
                    stale += router.status is PolicyStatus.STALE
            self.measurements.record_stale(stale)
            yield self._env.timeout(TICK_INTERVAL_US)

    # The leader and an operator.

    def _run_leader(self) -> simpy.events.ProcessGenerator:
        while True:
            yield self._env.timeout(POLL_INTERVAL_US)
            command = self._planner.next_command(self.control.policy, self.control.instances, self.now_us)
            if command is None:
                continue
            yield self._wait_for_commit()
            reply = self.control.apply(command)
            if isinstance(reply, PolicyCommitted):
                unreachable = self._routers_cut_off() | self._routers_down
                self.measurements.record_commit(reply.epoch, self.now_us, unreachable)
                for agent in range(self.experiment.agents):
                    self._env.process(self._replicate(agent, reply.epoch))

    def _replicate(self, agent: int, epoch: int) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(self._random_uniform_us(self.experiment.replica_us))
        while agent in self._agents_cut_off:
            yield self._env.timeout(POLL_INTERVAL_US)
        self._replica_epochs[agent] = max(self._replica_epochs[agent], epoch)

    def _propose_changes(self) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(2 * READ_INTERVAL_US)
        for number in range(self.experiment.changes):
            policy = self.control.policy
            document = Document.from_tables({"rules": {"attempts": number + 1}})
            propose = ProposePolicy(agent=agent_name(0), base=policy.epoch.number, document=document)
            reply = self.control.apply(propose)
            assert not isinstance(reply, Rejected), reply
            while policy.change_being_checked() is not None:
                yield self._env.timeout(POLL_INTERVAL_US)
            assert policy.change is not None
            self.measurements.record_decision(policy.change.phase is ChangePhase.COMMITTED)
            yield self._env.timeout(self.experiment.pause_us)
        yield self._env.timeout(2 * READ_INTERVAL_US)

    # Faults.

    def _cut_off_agent(self, cut: TimeRange) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(cut.at_us)
        self._agents_cut_off.add(cut.index)
        names = self.instances_of(cut.index)
        self.measurements.record_unreachable(names, self.control.policy.epoch.number)
        yield self._env.timeout(cut.for_us)
        self._agents_cut_off.discard(cut.index)

    def _take_router_down(self, outage: TimeRange) -> simpy.events.ProcessGenerator:
        yield self._env.timeout(outage.at_us)
        name = self.instance_names[outage.index]
        self._routers_down.add(name)
        self.measurements.record_unreachable([name], self.control.policy.epoch.number)
        yield self._env.timeout(outage.for_us)
        self._routers_down.discard(name)
        self._routers[name] = Follower(FollowerTimeouts(), self._routers[name].epoch, self.now_us)


def run(experiment: PolicyExperiment) -> PolicyMetrics:
    """Run an experiment and return its metrics."""
    return PolicyModel(experiment).run()


def measure(experiment: PolicyExperiment) -> Metrics:
    """Run an experiment and return its metrics by name."""
    return asdict(run(experiment))
