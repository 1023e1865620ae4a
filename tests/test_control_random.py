"""Property-based tests of rollouts: the replicated state and the planner under random sequences of events."""

import random
import unittest
from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from maplestile.control.commands import GrantLease, Rejected
from maplestile.control.rollout_planner import HealthReport, RolloutPlanner, RolloutRules
from maplestile.control.state import ACTIVE_PHASES, ControlState, Phase, Stage
from tests.control_rig import NAMES, SECOND_US, registered_control


class UnusedRunner(NamedTuple):
    """A runner that none of an agent's routers uses."""

    agent: str
    runner: str


class RolloutMachine(RuleBasedStateMachine):
    """Operators' commands, agents' reports, outages and elections in any order; invariants always hold."""

    def __init__(self) -> None:
        super().__init__()
        self.control = registered_control()
        self.now_us = 100 * SECOND_US
        self.planner = RolloutPlanner(RolloutRules(settle_us=0, step_us=20 * SECOND_US), self.now_us)
        self.random = random.Random(1)
        self.lost = set[str]()  # the routers that are out of service without a lease
        for agent, managed in (("a0", True), ("a1", False)):
            names = [name for name, owner in self.control.instances.items() if owner == agent]
            runners = {"w0": managed, "w1": False}
            command = {"do": "register", "agent": agent, "instances": names, "runners": runners}
            assert self.control.apply_encoded(command)["ok"]
        self.unused = set[UnusedRunner]()
        self.begun = set[str]()  # the routers whose steps agents have in fact begun, whatever the state says

    @rule(
        action=st.sampled_from(("restart", "drain", "replace")),
        budget=st.integers(1, 3),
        chosen=st.lists(st.sampled_from(NAMES), max_size=4),
    )
    def start(self, action: str, budget: int, chosen: list[str]) -> None:
        """An operator starts a rollout of routers."""
        self.control.apply_encoded({"do": "start", "action": action, "targets": chosen, "budget": budget})

    @rule(
        action=st.sampled_from(("restart", "drain")),
        budget=st.integers(1, 2),
        chosen=st.sampled_from((["w0"], ["w1"], ["w0", "w1"])),
    )
    def start_runner_rollout(self, action: str, budget: int, chosen: list[str]) -> None:
        """An operator starts a rollout of runners."""
        command = {"do": "start", "action": action, "targets": chosen, "budget": budget, "kind": "runners"}
        self.control.apply_encoded(command)

    @precondition(lambda self: self.control.leased_instances("runners"))
    @rule(
        pick=st.integers(0, 1),
        agent=st.sampled_from(("a0", "a1")),
        did=st.sampled_from(("begun", "out", "in", "renewed")),
    )
    def report_runner(self, pick: int, agent: str, did: str) -> None:
        """An agent reports on a leased runner."""
        leased = self.control.leased_instances("runners")
        lease = self.control.leases[leased[pick % len(leased)]]
        fields = {"agent": agent, "instance": lease.instance, "lease": lease.number}
        if did == "renewed":
            if self.control.apply_encoded({"do": did, **fields})["ok"]:
                # The runner's process may be replaced only while no router of any agent uses it.
                assert {UnusedRunner(user, lease.instance) for user in ("a0", "a1")} <= self.unused
            return
        if self.control.apply_encoded({"do": "part", "did": did, **fields})["ok"]:
            if did == "out":
                self.unused.add(UnusedRunner(agent, lease.instance))
            elif did == "in":
                self.unused.discard(UnusedRunner(agent, lease.instance))

    @rule(do=st.sampled_from(("halt", "resume", "undo")))
    def operate(self, do: str) -> None:
        """An operator halts, resumes or undoes the rollout."""
        self.control.apply_encoded({"do": do})

    @rule(name=st.sampled_from(NAMES), is_lost=st.booleans())
    def lose(self, name: str, is_lost: bool) -> None:
        """A router goes out of service without a lease, or comes back."""
        (self.lost.add if is_lost else self.lost.discard)(name)

    @rule()
    def elect(self) -> None:
        """A new leader starts with an empty planner."""
        self.planner = RolloutPlanner(self.planner.rules, self.now_us)

    @rule(pause_us=st.sampled_from((0, SECOND_US, 7 * SECOND_US)))
    def decide(self, pause_us: int) -> None:
        """The leader submits its next command, which the state must accept."""
        self.now_us += pause_us
        reports = {name: HealthReport(name not in self.lost and name not in self.begun) for name in NAMES}
        self.planner.record_reports(reports, self.now_us)
        command = self.planner.next_command(self.control, frozenset(), 1, self.now_us)
        if command is None:
            return
        reply = self.control.apply(command)
        assert not isinstance(reply, Rejected), reply  # the state has not changed since the decision
        rollout = self.control.rollout
        assert rollout is not None
        is_grant = isinstance(command, GrantLease) and command.instance not in self.begun
        if is_grant and rollout.kind == "routers":
            down = self.lost | set(self.control.leased_instances("routers"))
            assert len(down) <= rollout.budget, (down, rollout)

    @precondition(lambda self: self.control.leased_instances("routers"))
    @rule(pick=st.integers(0, 9), do=st.sampled_from(("begin", "back", "out")))
    def report_router(self, pick: int, do: str) -> None:
        """The holder of a router's lease reports on its step."""
        leased = self.control.leased_instances("routers")
        lease = self.control.leases[leased[pick % len(leased)]]
        fields = {"agent": lease.holder, "instance": lease.instance, "lease": lease.number}
        if self.control.apply_encoded({"do": do, **fields})["ok"]:
            (self.begun.discard if do == "back" else self.begun.add)(lease.instance)

    @precondition(lambda self: self.control.leases)
    @rule(pick=st.integers(0, 9))
    def release(self, pick: int) -> None:
        """An operator releases a lease, which confirms that the instance serves."""
        name = sorted(self.control.leases)[pick % len(self.control.leases)]
        assert self.control.apply_encoded({"do": "release", "instance": name})["ok"]
        self.begun.discard(name)
        self.unused = {unused for unused in self.unused if unused.runner != name}

    @invariant()
    def begun_steps_have_leases(self) -> None:
        assert self.begun <= set(self.control.leases), (self.begun, self.control.leases)

    @invariant()
    def leases_stay_within_budget(self) -> None:
        rollout = self.control.rollout
        rollouts = [*self.control.history, *([rollout] if rollout is not None else [])]
        for kind in ("routers", "runners"):
            budgets = [earlier.budget for earlier in rollouts if earlier.kind == kind]
            assert len(self.control.leased_instances(kind)) <= max(budgets, default=0)

    @invariant()
    def ended_rollouts_are_complete(self) -> None:
        rollout = self.control.rollout
        if rollout is None:
            return
        if rollout.phase is Phase.DONE:
            assert set(rollout.done) >= set(rollout.targets)
        if rollout.phase not in ACTIVE_PHASES:
            assert all(lease.stage is Stage.OUT for lease in self.control.leases.values())
        if rollout.phase is Phase.UNDONE and rollout.action == "drain":
            assert not set(rollout.done) & set(self.control.leases)

    @invariant()
    def state_survives_encoding_and_decoding(self) -> None:
        assert ControlState.decode(self.control.encoded()).encoded() == self.control.encoded()


RandomTest = RolloutMachine.TestCase
RandomTest.settings = settings(max_examples=150, stateful_step_count=60, deadline=None, derandomize=True)


if __name__ == "__main__":
    unittest.main()
