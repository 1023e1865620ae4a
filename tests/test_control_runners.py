"""Tests of rollouts of runners in the replicated state, without I/O."""

import unittest
from typing import Any

from maplestile.control.rollout_planner import HealthReport, RolloutPlanner, RolloutRules
from maplestile.control.state import ControlState, Phase, Stage


class RunnerLeaseTest(unittest.TestCase):
    """Tests of runners' leases, on which every agent reports, because a runner is out at all routers."""

    def setUp(self) -> None:
        self.control = ControlState()
        for agent, names in (("a0", ["r0"]), ("a1", ["r1"])):
            runners = {"w0": agent == "a0", "w1": False, "w2": False}
            self.accept("register", agent=agent, instances=names, runners=runners)

    def accept(self, do: str, **extra_fields: Any) -> None:
        """Apply a command that must be accepted."""
        reply = self.control.apply_encoded({"do": do, **extra_fields})
        self.assertTrue(reply["ok"], reply)

    def assert_rejected(self, reason: str, do: str, **extra_fields: Any) -> None:
        """Apply a command that must be rejected for this reason."""
        reply = self.control.apply_encoded({"do": do, **extra_fields})
        self.assertIn(reason, reply.get("reason", "the command was accepted"))

    def grant(self, name: str, **extra_fields: Any) -> dict[str, Any]:
        """Grant a lease and return the fields that name it in commands."""
        fields = {"instance": name, "down": [], "after": self.control.number, "term": 1, **extra_fields}
        self.accept("grant", **fields)
        return {"instance": name, "lease": self.control.number}

    def all_report(self, did: str, lease: dict[str, Any]) -> None:
        """Submit the same report on a leased runner for both agents."""
        for agent in ("a0", "a1"):
            self.accept("part", agent=agent, did=did, **lease)

    def stage(self, name: str) -> Stage:
        """Return the stage of a runner's lease."""
        return self.control.leases[name].stage

    def test_restart_waits_for_reports_of_all_agents_at_each_stage(self) -> None:
        self.assert_rejected(
            "no agent manages w1", "start", action="restart", kind="runners", targets=["w1"], budget=1
        )
        self.accept("start", action="restart", kind="runners", targets=["w0"], budget=1)
        lease = self.grant("w0")
        self.all_report("begun", lease)
        self.accept("part", agent="a0", did="out", **lease)
        self.assert_rejected("is begun", "renewed", agent="a0", **lease)  # a1's routers may still use w0
        self.accept("part", agent="a1", did="out", **lease)
        self.assertIs(self.stage("w0"), Stage.AWAY)
        self.assert_rejected("a1 holds no lease", "renewed", agent="a1", **lease)
        self.assert_rejected("is away", "part", agent="a0", did="in", **lease)
        self.accept("renewed", agent="a0", **lease)
        self.accept("part", agent="a0", did="in", **lease)
        self.assertIn("w0", self.control.leases)
        self.accept("part", agent="a1", did="in", **lease)
        assert self.control.rollout is not None
        self.assertEqual((self.control.leases, self.control.rollout.phase), ({}, Phase.DONE))

    def test_drained_runner_stays_out_until_undo_and_takes_no_budget_of_routers(self) -> None:
        self.accept("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        for name in ("w1", "w2"):
            lease = self.grant(name)
            self.all_report("begun", lease)
            self.all_report("out", lease)
            self.assertIs(self.stage(name), Stage.OUT)
        self.assertEqual(
            (self.control.leased_instances("runners"), self.control.leased_instances("routers")),
            (["w1", "w2"], []),
        )
        self.assert_rejected(
            "2 out already", "start", action="restart", kind="runners", targets=["w0"], budget=2
        )
        self.assertEqual(ControlState.decode(self.control.encoded()).encoded(), self.control.encoded())
        self.accept("undo")
        for name in ("w2", "w1"):
            lease = self.grant(name)
            self.assertIs(self.stage(name), Stage.RETURNING)
            self.all_report("in", lease)
        assert self.control.rollout is not None
        self.assertIs(self.control.rollout.phase, Phase.UNDONE)
        self.accept("start", action="restart", targets=[], budget=1)

    def test_halt_withdraws_leases_that_no_agent_has_begun(self) -> None:
        self.accept("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        begun = self.grant("w1")
        self.accept("part", agent="a1", did="begun", **begun)
        unbegun = self.grant("w2")
        self.accept("halt")
        self.assert_rejected("there is no lease", "part", agent="a0", did="begun", **unbegun)
        self.accept("part", agent="a0", did="begun", **begun)  # a step in progress finishes
        self.all_report("out", begun)
        self.assertEqual(list(self.control.leases), ["w1"])

    def test_runner_gone_from_membership_counts_against_budget(self) -> None:
        self.accept("start", action="drain", kind="runners", targets=["w1"], budget=1)
        planner = RolloutPlanner(RolloutRules(settle_us=0), 0)
        planner.record_reports({"r0": HealthReport(True), "r1": HealthReport(True)}, 1)
        self.assertIsNone(planner.next_command(self.control, frozenset({"w2"}), 1, 2))
        self.assertIsNotNone(planner.next_command(self.control, frozenset(), 1, 3))


if __name__ == "__main__":
    unittest.main()
