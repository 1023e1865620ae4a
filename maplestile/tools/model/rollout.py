"""Rollouts on the model: the shipped `ControlState` and `RolloutPlanner` on simpy, with many instances.

    kind = "rollout"
    seed = 11
    instances = 40               # 2 to 2000
    agents = 10                  # each manages as many, and votes or asks; one leads
    action = "restart"           # or replace
    budget = "10%"
    duration_s = 600             # the run ends with the rollout, or here
    commit_ms = 20               # for a command to be agreed on, plus an exponential jitter of the same mean
    drain_ms = 1000              # from SIGTERM to the end of an instance, plus a jitter of `drain_jitter_ms`
    drain_jitter_ms = 300
    start_ms = 300               # until it serves again
    stuck = 0.0                  # share of drains that take `stuck_s`
    stuck_s = 30
    halt_at_s = 5                # an operator halts then, and resumes after `halt_for_s`; 0 for never
    halt_for_s = 2

    [[outage]]                   # an instance is out by itself, planned by nobody
    at_s = 20
    for_s = 5
    instance = 7

    [[election]]                 # the leader is lost; another leads after `for_s`, without its memory
    at_s = 10
    for_s = 1.2

What it leaves out: Raft itself (a command is agreed on after its time), lost words, and the calls.
"""

import random
from dataclasses import dataclass, replace
from typing import Any

import simpy

from maplestile.common.errors import CommandRejected
from maplestile.common.toml_table import TomlTable
from maplestile.control.commands import (
    BeginStep,
    FinishStep,
    GrantLease,
    HaltRollout,
    HealthReport,
    Register,
    Rejected,
    ResumeRollout,
    StartRollout,
)
from maplestile.control.rollout_planner import RolloutPlanner, Rules
from maplestile.control.state import ACTIONS, ACTIVE, ControlState, Lease, Phase, Stage, budget_of
from maplestile.tools.faults.schedule import DURATION_MOST_S, ScheduleError
from maplestile.tools.model.experiment import TimeRange, time_range_from

LOOK_US, WORD_US = 50_000, 500_000  # as the steward looks and tells


@dataclass(slots=True, frozen=True)
class Plan:
    """The settings of one run on the model; times in microseconds."""

    seed: int
    instances: int
    agents: int
    action: str
    budget: int | str
    duration_us: int
    commit_us: int
    drain_us: int
    drain_jitter_us: int
    start_us: int
    stuck: float
    stuck_us: int
    halt_at_us: int
    halt_for_us: int
    outages: tuple[TimeRange, ...]
    elections: tuple[TimeRange, ...]


def parse(told: dict[str, Any]) -> Plan:
    """Raises ScheduleError naming the field."""
    top = TomlTable(told, "", ScheduleError)
    top.choice("kind", ("rollout",))
    instances = top.whole("instances", least=2, most=2000)
    budget = top.values.pop("budget", 1)
    try:
        budget_of(budget, instances)
    except CommandRejected as refusal:
        raise ScheduleError(f"budget: {refusal}") from None

    def us(name: str, default: float, scale: float = 1000.0) -> int:
        return int(top.number(name, default, most=DURATION_MOST_S * 1000) * scale)

    outages = [time_range_from(table, "instance", instances) for table in top.tables("outage", needed=False)]
    elections = [time_range_from(table) for table in top.tables("election", needed=False)]
    plan = Plan(
        seed=top.whole("seed", most=(1 << 63) - 1),
        instances=instances,
        agents=top.whole("agents", 3, least=1, most=instances),
        action=top.choice("action", tuple(a for a in ACTIONS if a != "drain"), "restart"),
        budget=budget,
        duration_us=us("duration_s", 600.0, 1e6),
        commit_us=us("commit_ms", 20.0),
        drain_us=us("drain_ms", 1000.0),
        drain_jitter_us=us("drain_jitter_ms", 300.0),
        start_us=us("start_ms", 300.0),
        stuck=top.number("stuck", 0.0, most=1.0),
        stuck_us=us("stuck_s", 30.0, 1e6),
        halt_at_us=us("halt_at_s", 0.0, 1e6),
        halt_for_us=us("halt_for_s", 2.0, 1e6),
        outages=tuple(outages),
        elections=tuple(elections),
    )
    top.end()
    return plan


class Model:
    """One run of a rollout on simpy's clock, with the shipped decisions."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.env, self.chance = plan, simpy.Environment(), random.Random(plan.seed)
        self.control = ControlState()
        names = [f"r{n}" for n in range(plan.instances)]
        for agent in range(plan.agents):
            theirs = names[agent :: plan.agents]
            self.control.apply(Register(agent=f"a{agent}", instances=tuple(theirs)))
        self.names = names
        self.down = set[str]()  # truly out, planned or not
        self.lost = set[str]()  # out by an outage
        self.hands = set[int]()  # leases that their agents have in hand
        self.watcher: RolloutPlanner | None = RolloutPlanner(Rules(), 0)
        self.pending = False
        self.worst_out = self.worst_planned = 0
        self.begins: list[int] = []
        self.halted_us: list[int] = []
        self.halts = 0
        self.ended_us: int | None = None

    @property
    def now(self) -> int:
        """The simulated time in microseconds."""
        return int(self.env.now)

    def run(self) -> dict[str, float | None]:
        """Play the run to its end, and return its measurements by name."""
        plan = self.plan
        start = StartRollout(action=plan.action, targets=(), budget=plan.budget)
        reply = self.control.apply(start)
        assert not isinstance(reply, Rejected), reply
        self.env.process(self._look())
        self.env.process(self._words())
        for outage in self.plan.outages:
            self.env.process(self._outage(outage))
        for election in self.plan.elections:
            self.env.process(self._election(election))
        if self.plan.halt_at_us:
            self.env.process(self._operator())
        self.env.run(until=self.plan.duration_us)
        return self._figures()

    def _commit(self) -> simpy.events.Timeout:
        """The time until a command is agreed on."""
        jitter = int(self.chance.expovariate(1.0) * self.plan.commit_us)
        return self.env.timeout(self.plan.commit_us + jitter)

    def _look(self) -> simpy.events.ProcessGenerator:
        while True:
            for lease in list(self.control.leases.values()):
                if lease.stage is Stage.GRANTED and lease.number not in self.hands:
                    self.hands.add(lease.number)
                    self.env.process(self._step(lease))
            if self.watcher is not None and not self.pending:
                command = self.watcher.next_command(self.control, frozenset(), 1, self.now)
                if command is not None:
                    self.pending = True
                    self.env.process(self._decided(command))
            rollout = self.control.rollout
            if rollout is not None and rollout.phase not in ACTIVE:
                self.ended_us = self.now
                return
            yield self.env.timeout(LOOK_US)

    def _decided(self, command: GrantLease | HaltRollout) -> simpy.events.ProcessGenerator:
        yield self._commit()
        self.pending = False
        is_rejected = isinstance(self.control.apply(command), Rejected)
        if isinstance(command, HaltRollout) and not is_rejected:
            self.halts += 1
            yield self.env.timeout(self.plan.halt_for_us)  # an operator looks, and has it go on
            self.control.apply(ResumeRollout())

    def _words(self) -> simpy.events.ProcessGenerator:
        while True:
            if self.watcher is not None:
                self.watcher.hear(
                    {name: HealthReport(name not in self.down) for name in self.names}, self.now
                )
            yield self.env.timeout(WORD_US)

    def _step(self, lease: Lease) -> simpy.events.ProcessGenerator:
        begin = BeginStep(agent=lease.holder, instance=lease.instance, lease=lease.number)
        yield self._commit()
        if isinstance(self.control.apply(begin), Rejected):
            return
        self.begins.append(self.now)
        self._out(lease.instance)
        jitter = int(self.chance.expovariate(1.0) * self.plan.drain_jitter_us)
        stuck = self.chance.random() < self.plan.stuck
        drain_us = self.plan.stuck_us if stuck else self.plan.drain_us + jitter
        yield self.env.timeout(drain_us + self.plan.start_us)
        if lease.instance not in self.lost:
            self.down.discard(lease.instance)
        yield self._commit()
        self.control.apply(FinishStep(agent=lease.holder, instance=lease.instance, lease=lease.number))

    def _out(self, name: str) -> None:
        self.down.add(name)
        self.worst_out = max(self.worst_out, len(self.down))
        self.worst_planned = max(self.worst_planned, len(self.down - self.lost))

    def _outage(self, outage: TimeRange) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(outage.at_us)
        name = self.names[outage.which]
        self.lost.add(name)
        self._out(name)
        yield self.env.timeout(outage.for_us)
        self.lost.discard(name)
        if name not in self.control.leases:
            self.down.discard(name)

    def _election(self, election: TimeRange) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(election.at_us)
        self.watcher = None
        yield self.env.timeout(election.for_us)
        self.watcher = RolloutPlanner(Rules(), self.now)

    def _operator(self) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(self.plan.halt_at_us)
        asked_us = self.now
        yield self._commit()
        if isinstance(self.control.apply(HaltRollout(reason="by the plan")), Rejected):
            return
        yield self.env.timeout(self.plan.halt_for_us)
        late = [at for at in self.begins if at > asked_us]
        self.halted_us.append(max(late) - asked_us if late else 0)
        self.control.apply(ResumeRollout())

    def _figures(self) -> dict[str, float | None]:
        rollout = self.control.rollout
        assert rollout is not None
        return {
            "instances": self.plan.instances,
            "budget": rollout.budget,
            "done": len(rollout.done),
            "ended": int(rollout.phase is Phase.DONE),
            "seconds": None if self.ended_us is None else round(self.ended_us / 1e6, 3),
            "most_out": self.worst_out,
            "most_out_planned": self.worst_planned,
            "halts_by_itself": self.halts,
            "last_step_after_halt_ms": max(self.halted_us) / 1000 if self.halted_us else None,
        }


def figures(plan: Plan) -> dict[str, float | None]:
    """Play one run, and return its measurements by name."""
    return Model(plan).run()


def with_seeds(plan: Plan, count: int) -> list[Plan]:
    """Return the same run with so many seeds, counted up from its own."""
    return [replace(plan, seed=plan.seed + n) for n in range(count)]
