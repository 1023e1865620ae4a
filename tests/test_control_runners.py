"""The agreed state of rollouts of runners, without I/O."""

import unittest
from typing import Any

from maplestile.control.rollout_planner import HealthReport, RolloutPlanner, RolloutRules
from maplestile.control.state import ControlState, Phase, Stage


class RunnerLeaseTest(unittest.TestCase):
    """Leases of runners: every agent has a part, since a runner is out at all routers."""

    def setUp(self) -> None:
        self.control = ControlState()
        for agent, names in (("a0", ["r0"]), ("a1", ["r1"])):
            runners = {"w0": agent == "a0", "w1": False, "w2": False}
            self.accept("register", agent=agent, instances=names, runners=runners)

    def accept(self, do: str, **more: Any) -> None:
        """Apply a command that has to be accepted."""
        reply = self.control.apply_encoded({"do": do, **more})
        self.assertTrue(reply["ok"], reply)

    def assert_rejected(self, reason: str, do: str, **more: Any) -> None:
        """Apply a command that has to be rejected for this reason."""
        reply = self.control.apply_encoded({"do": do, **more})
        self.assertIn(reason, reply.get("reason", "it was agreed on"))

    def grant(self, name: str, **more: Any) -> dict[str, Any]:
        """Grant a lease; the fields that name it."""
        fields = {"instance": name, "down": [], "after": self.control.number, "term": 1, **more}
        self.accept("grant", **fields)
        return {"instance": name, "lease": self.control.number}

    def all_report(self, did: str, lease: dict[str, Any]) -> None:
        """Both agents report the same of a leased runner."""
        for agent in ("a0", "a1"):
            self.accept("part", agent=agent, did=did, **lease)

    def stage(self, name: str) -> Stage:
        """The stage of a runner's lease."""
        return self.control.leases[name].stage

    def test_a_runner_is_out_once_all_agents_report_it_and_back_once_all_use_it(self) -> None:
        self.assert_rejected(
            "no agent manages w1", "start", action="restart", kind="runners", targets=["w1"], budget=1
        )
        self.accept("start", action="restart", kind="runners", targets=["w0"], budget=1)
        lease = self.grant("w0")
        self.all_report("begun", lease)
        self.accept("part", agent="a0", did="out", **lease)
        self.assert_rejected("is begun", "renewed", agent="a0", **lease)  # a1 may still have calls there
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

    def test_a_drained_runner_stays_out_until_undone_and_routers_have_a_budget_of_their_own(self) -> None:
        self.accept("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        for name in ("w1", "w2"):
            lease = self.grant(name)
            self.all_report("begun", lease)
            self.all_report("out", lease)
            self.assertIs(self.stage(name), Stage.OUT)
        self.assertEqual((self.control.out("runners"), self.control.out("routers")), (["w1", "w2"], []))
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

    def test_a_halt_takes_back_what_no_agent_has_begun(self) -> None:
        self.accept("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        begun = self.grant("w1")
        self.accept("part", agent="a1", did="begun", **begun)
        unbegun = self.grant("w2")
        self.accept("halt")
        self.assert_rejected("there is no lease", "part", agent="a0", did="begun", **unbegun)
        self.accept("part", agent="a0", did="begun", **begun)  # under way: it finishes
        self.all_report("out", begun)
        self.assertEqual(list(self.control.leases), ["w1"])

    def test_a_silent_runner_counts_against_the_budget(self) -> None:
        self.accept("start", action="drain", kind="runners", targets=["w1"], budget=1)
        planner = RolloutPlanner(RolloutRules(settle_us=0), 0)
        planner.record_reports({"r0": HealthReport(True), "r1": HealthReport(True)}, 1)
        self.assertIsNone(planner.next_command(self.control, frozenset({"w2"}), 1, 2))
        self.assertIsNotNone(planner.next_command(self.control, frozenset(), 1, 3))


if __name__ == "__main__":
    unittest.main()
