"""Changes of policy on the model: the shipped `ControlState`, `PolicyPlanner` and `Follower` on simpy.

    kind = "policy"
    seed = 5
    routers = 200                # 1 to 2000
    agents = 20                  # each has as many of them; one leads
    changes = 20                 # one after the other, `pause_ms` after the one before is decided
    pause_ms = 500
    duration_s = 600             # the run ends with the changes, or here
    rate = 20                    # calls a second at each router
    commit_ms = 20               # for a command to be agreed on, plus an exponential jitter of the same mean
    replica_ms = 100             # an agent's replica is behind the log by up to so long (evenly)
    call_ms = 3                  # a call to a router on loopback, plus an exponential jitter of the same mean
    check_ms = 5                 # a router's check
    loss = 0.0                   # share of commands whose answer does not come: asked again after `retry_ms`
    retry_ms = 500
    refuse = 0.0                 # chance that some router refuses a change

    [[cut]]                      # an agent is cut off, with its routers, and healed after `for_s`
    at_s = 10
    for_s = 8
    agent = 3

    [[down]]                     # a router is down, and starts again after `for_s`
    at_s = 20
    for_s = 5
    router = 17

What it leaves out: Raft itself, messages (a command is agreed on after its time, or its answer is lost), and
the calls, which are counted by their rate.
"""

import random
from dataclasses import dataclass, replace
from statistics import quantiles
from typing import Any

import simpy

from maplestile.agent.policy_controller import LOOK_INTERVAL_S, READ_INTERVAL_CHECKING_S, READ_INTERVAL_S
from maplestile.common.toml_table import TomlTable
from maplestile.control.commands import (
    PolicyCommitted,
    PolicyRead,
    ProposePolicy,
    ReadPolicy,
    Register,
    Rejected,
    SubmitVerdict,
)
from maplestile.control.policy.change import Change, Phase
from maplestile.control.policy.document import Document
from maplestile.control.policy.follower import Follower, PolicyAnnouncement, PolicyStatus, Rules, Step
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.state import ControlState
from maplestile.tools.faults.schedule import DURATION_MOST_S, ScheduleError
from maplestile.tools.model.experiment import TimeRange, time_range_from

LOOK_US, READ_US, CHECKING_US = (
    int(s * 1e6) for s in (LOOK_INTERVAL_S, READ_INTERVAL_S, READ_INTERVAL_CHECKING_S)
)
TICK_US = 500_000


@dataclass(slots=True, frozen=True)
class Plan:
    """The settings of one run on the model; times in microseconds."""

    seed: int
    routers: int
    agents: int
    changes: int
    pause_us: int
    duration_us: int
    rate: float
    commit_us: int
    replica_us: int
    call_us: int
    check_us: int
    loss: float
    retry_us: int
    refuse: float
    cuts: tuple[TimeRange, ...]
    downs: tuple[TimeRange, ...]


def parse(told: dict[str, Any]) -> Plan:
    """Raises ScheduleError naming the field."""
    top = TomlTable(told, "", ScheduleError)
    top.choice("kind", ("policy",))
    routers = top.whole("routers", least=1, most=2000)
    agents = top.whole("agents", 3, least=1, most=routers)

    def us(name: str, default: float, scale: float = 1000.0) -> int:
        return int(top.number(name, default, most=DURATION_MOST_S * 1000) * scale)

    plan = Plan(
        seed=top.whole("seed", most=(1 << 63) - 1),
        routers=routers,
        agents=agents,
        changes=top.whole("changes", 10, least=1, most=1000),
        pause_us=us("pause_ms", 500.0),
        duration_us=us("duration_s", 600.0, 1e6),
        rate=top.number("rate", 20.0),
        commit_us=us("commit_ms", 20.0),
        replica_us=us("replica_ms", 100.0),
        call_us=us("call_ms", 3.0),
        check_us=us("check_ms", 5.0),
        loss=top.number("loss", 0.0, most=0.9),
        retry_us=us("retry_ms", 500.0),
        refuse=top.number("refuse", 0.0, most=1.0),
        cuts=tuple(time_range_from(t, "agent", agents) for t in top.tables("cut", needed=False)),
        downs=tuple(time_range_from(t, "router", routers) for t in top.tables("down", needed=False)),
    )
    top.end()
    return plan


class Model:
    """One run of policy changes on simpy's clock, with the shipped decisions."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.env, self.chance = plan, simpy.Environment(), random.Random(plan.seed)
        self.control, self.arbiter = ControlState(), PolicyPlanner()
        self.names = [f"r{n}" for n in range(plan.routers)]
        self.owner = {name: n % plan.agents for n, name in enumerate(self.names)}
        for agent in range(plan.agents):
            register = Register(agent=f"a{agent}", instances=tuple(self.names[agent :: plan.agents]))
            assert not isinstance(self.control.apply(register), Rejected)
        self.routers = {name: Follower(Rules(), 0, 0) for name in self.names}
        self.fences: dict[str, tuple[int, int]] = {}
        self.seen = dict.fromkeys(range(plan.agents), 0)  # the epoch of each agent's replica
        self.cut, self.down = set[int](), set[str]()
        self.committed_us: dict[int, int] = {0: 0}
        self.away: dict[int, set[str]] = {}  # by epoch: those cut off or down at some time until they had it
        self.applied: dict[tuple[str, int], int] = {}
        self.ends: dict[str, int] = {"committed": 0, "aborted": 0}
        self.stale_most = 0
        self.served_old = 0.0  # calls taken under an epoch that was not the committed one

    @property
    def now(self) -> int:
        """The simulated time in microseconds."""
        return int(self.env.now)

    def run(self) -> dict[str, float | None]:
        """Play the run to its end, and return its measurements by name."""
        for agent in range(self.plan.agents):
            self.env.process(self._agent(agent))
        for cut in self.plan.cuts:
            self.env.process(self._cut(cut))
        for down in self.plan.downs:
            self.env.process(self._down(down))
        self.env.process(self._ticks())
        self.env.process(self._leader())
        self.env.run(
            until=self.env.any_of(
                [self.env.process(self._operator()), self.env.timeout(self.plan.duration_us)]
            )
        )
        return self._figures()

    def _jittered(self, mean_us: int) -> int:
        return mean_us + int(self.chance.expovariate(1.0) * mean_us)

    def _agreed_on(self, agent: int) -> simpy.events.ProcessGenerator:
        """Until a command of this agent is agreed on; while it is cut off none is."""
        while True:
            yield self.env.timeout(self._jittered(self.plan.commit_us))
            if agent not in self.cut and self.chance.random() >= self.plan.loss:
                return
            yield self.env.timeout(self.plan.retry_us)

    # An agent: reads, words to its routers, verdicts.

    def _agent(self, agent: int) -> simpy.events.ProcessGenerator:
        mine = [name for name in self.names if self.owner[name] == agent]
        yield self.env.timeout(int(self.chance.random() * READ_US))
        self.env.process(self._looks(agent, mine))
        while True:
            asked_us, named = self.now, [name for name in mine if name not in self.down]
            yield self.env.timeout(self._jittered(self.plan.commit_us))
            if agent not in self.cut and self.chance.random() >= self.plan.loss:
                read = self.control.apply(ReadPolicy(agent=f"a{agent}", instances=tuple(named)))
                assert isinstance(read, PolicyRead), read
                fence = read.epoch, asked_us
                self.fences.update(dict.fromkeys(named, fence))
            checking = self.control.policy.checking() is not None
            yield self.env.timeout(max(1, (CHECKING_US if checking else READ_US) - (self.now - asked_us)))

    def _looks(self, agent: int, mine: list[str]) -> simpy.events.ProcessGenerator:
        told: dict[str, tuple[int, int]] = {}
        judged = 0
        while True:
            change = self.control.policy.checking()
            if change is not None and change.number != judged and agent not in self.cut:
                judged = change.number
                for name in mine:
                    self.env.process(self._judge(agent, name, change))
            for name in mine:
                fenced, fenced_us = self.fences.get(name, (0, 0))
                word = self.seen[agent], fenced_us
                if word[0] >= fenced and told.get(name) != word and name not in self.down:
                    told[name] = word
                    self.env.process(self._tell(name, PolicyAnnouncement(*word, whole=True)))
            yield self.env.timeout(LOOK_US)

    def _tell(self, name: str, word: PolicyAnnouncement) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(self._jittered(self.plan.call_us))
        router = self.routers[name]
        if name not in self.down and router.hear(word, self.now) is Step.ADOPT:
            router.adopted(word, self.now)
            for epoch in range(1, word.epoch + 1):
                self.applied.setdefault((name, epoch), self.now)

    def _judge(self, agent: int, name: str, change: Change) -> simpy.events.ProcessGenerator:
        delay_us = int(self.chance.random() * self.plan.replica_us)
        yield self.env.timeout(delay_us + self._jittered(self.plan.call_us) + self.plan.check_us)
        if name in self.down:
            return
        yield from self._agreed_on(agent)
        refuses = self.chance.random() < self.plan.refuse / self.plan.routers
        verdict = SubmitVerdict(
            agent=f"a{agent}",
            change=change.number,
            instance=name,
            reason="refused" if refuses else "",
        )
        self.control.apply(verdict)

    def _ticks(self) -> simpy.events.ProcessGenerator:
        while True:
            stale = 0
            for name, router in self.routers.items():
                if name not in self.down:
                    router.tick(self.now)
                    stale += router.status is PolicyStatus.STALE
            self.stale_most = max(self.stale_most, stale)
            yield self.env.timeout(TICK_US)

    # The leader, and an operator.

    def _leader(self) -> simpy.events.ProcessGenerator:
        while True:
            yield self.env.timeout(LOOK_US)
            command = self.arbiter.next_command(self.control.policy, self.control.instances, self.now)
            if command is None:
                continue
            yield self.env.timeout(self._jittered(self.plan.commit_us))
            reply = self.control.apply(command)
            if isinstance(reply, PolicyCommitted):
                epoch = reply.epoch
                self.committed_us[epoch] = self.now
                cut = {name for name, agent in self.owner.items() if agent in self.cut}
                self.away[epoch] = cut | self.down
                for agent in range(self.plan.agents):
                    self.env.process(self._replicate(agent, epoch))

    def _replicate(self, agent: int, epoch: int) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(int(self.chance.random() * self.plan.replica_us))
        while agent in self.cut:
            yield self.env.timeout(LOOK_US)
        self.seen[agent] = max(self.seen[agent], epoch)

    def _operator(self) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(2 * READ_US)
        for number in range(self.plan.changes):
            policy = self.control.policy
            document = Document.of({"rules": {"attempts": number + 1}})
            reply = self.control.apply(ProposePolicy(agent="a0", base=policy.epoch.number, document=document))
            assert not isinstance(reply, Rejected), reply
            while policy.checking() is not None:
                yield self.env.timeout(LOOK_US)
            assert policy.change is not None
            self.ends["committed" if policy.change.phase is Phase.COMMITTED else "aborted"] += 1
            yield self.env.timeout(self.plan.pause_us)
        yield self.env.timeout(2 * READ_US)

    # Faults.

    def _cut(self, cut: TimeRange) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(cut.at_us)
        self.cut.add(cut.which)
        self._now_away({name for name, agent in self.owner.items() if agent == cut.which})
        yield self.env.timeout(cut.for_us)
        self.cut.discard(cut.which)

    def _down(self, down: TimeRange) -> simpy.events.ProcessGenerator:
        yield self.env.timeout(down.at_us)
        name = self.names[down.which]
        self.down.add(name)
        self._now_away({name})
        yield self.env.timeout(down.for_us)
        self.down.discard(name)
        self.routers[name] = Follower(Rules(), self.routers[name].epoch, self.now)

    def _now_away(self, names: set[str]) -> None:
        epoch = self.control.policy.epoch.number
        self.away.setdefault(epoch, set()).update(n for n in names if (n, epoch) not in self.applied)

    def _figures(self) -> dict[str, float | None]:
        took, old_calls = list[float](), list[float]()
        for epoch, at_us in self.committed_us.items():
            live = [name for name in self.names if name not in self.away.get(epoch, set())]
            if not epoch or any((name, epoch) not in self.applied for name in live):
                continue
            behind = [self.applied[name, epoch] - at_us for name in live]
            took.append(max(behind) / 1000)
            old_calls.append(sum(behind) / 1e6 * self.plan.rate)
        total = sum(self.ends.values())
        percentiles = quantiles(took, n=100, method="inclusive") if len(took) > 1 else [None] * 99
        return {
            "routers": self.plan.routers,
            "changes": total,
            "committed": self.ends["committed"],
            "abort_rate": round(self.ends["aborted"] / total, 4) if total else None,
            "last_applied_p50_ms": _rounded(percentiles[49]),
            "last_applied_p99_ms": _rounded(percentiles[98]),
            "old_calls_per_change": round(sum(old_calls) / len(old_calls), 2) if old_calls else None,
            "old_share_of_a_second": round(
                sum(old_calls) / len(old_calls) / self.plan.rate / self.plan.routers, 4
            )
            if old_calls and self.plan.rate
            else None,
            "stale_most": self.stale_most,
            "behind_at_the_end": sum(
                router.epoch != self.control.policy.epoch.number
                for name, router in self.routers.items()
                if name not in self.down and self.owner[name] not in self.cut
            ),
        }


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 1)


def figures(plan: Plan) -> dict[str, float | None]:
    """Play one run, and return its measurements by name."""
    return Model(plan).run()


def with_seeds(plan: Plan, count: int) -> list[Plan]:
    """Return the same run with so many seeds, counted up from its own."""
    return [replace(plan, seed=plan.seed + n) for n in range(count)]
