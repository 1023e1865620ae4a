"""The agreed state and the decisions of rollouts, without I/O."""

import unittest
from typing import Any

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import encode
from maplestile.control.rollout_planner import HealthReport, RolloutPlanner, RolloutRules
from maplestile.control.state import ControlState, Phase, Stage, budget_of

S = 1_000_000  # microseconds
NAMES = [f"r{n}" for n in range(5)]


def control(**owners: list[str]) -> ControlState:
    made = ControlState()
    for agent, names in (owners or {"a0": NAMES[:2], "a1": NAMES[2:]}).items():
        assert made.apply_encoded({"do": "register", "agent": agent, "instances": names})["ok"]
    return made


class SmallFleet:
    """A leader and agents round one `ControlState`, at the test's own pace."""

    def __init__(self, test: unittest.TestCase, **rules: Any) -> None:
        self.test = test
        self.control = control()
        self.now = 100 * S
        self.out = frozenset[str]()
        self.planner = RolloutPlanner(RolloutRules(**{"settle_us": 0, **rules}), self.now)
        self.reports = {name: HealthReport(True) for name in NAMES}

    def submit(self, do: str, **more: Any) -> dict[str, Any]:
        return self.control.apply_encoded({"do": do, **more})

    def ok(self, do: str, **more: Any) -> dict[str, Any]:
        reply = self.submit(do, **more)
        self.test.assertTrue(reply["ok"], reply)
        return reply

    def look(self, after_us: int = 100_000) -> dict[str, Any] | None:
        """Time passes, the health reports come, and what the leader decides is applied."""
        self.now += after_us
        self.planner.record_reports(self.reports, self.now)
        command = self.planner.next_command(self.control, self.out, 1, self.now)
        if command is None:
            return None
        encoded = encode(command)
        self.ok(**encoded)
        return encoded

    def held(self, name: str) -> dict[str, Any]:
        lease = self.control.leases[name]
        return {"agent": lease.holder, "instance": name, "lease": lease.number}

    def step(self, name: str, end: str = "back") -> None:
        held = self.held(name)
        self.ok("begin", **held)
        self.ok(end, **held)


class DecisionTest(unittest.TestCase):
    def test_no_step_beyond_the_budget_and_an_outage_counts(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=[], budget=2)
        fleet.reports["r4"] = HealthReport(False)
        self.assertEqual((fleet.look() or {})["instance"], "r0")
        self.assertIsNone(fleet.look())  # r0 by its lease and r4 by itself
        fleet.reports["r4"] = HealthReport(True)
        self.assertEqual((fleet.look() or {})["instance"], "r1")
        self.assertIsNone(fleet.look())
        fleet.step("r0")
        self.assertEqual((fleet.look() or {})["instance"], "r2")

    def test_one_that_is_back_counts_as_out_until_its_health_can_be_seen_and_holds_up_no_other(self) -> None:
        fleet = SmallFleet(self, settle_us=S)
        fleet.ok("start", action="restart", targets=[], budget=3)
        for name in ("r0", "r1", "r2"):
            self.assertEqual((fleet.look() or {})["instance"], name)
        fleet.step("r0")
        self.assertIsNone(fleet.look())  # r0 rests, r1 and r2 are out
        fleet.step("r1")
        self.assertIsNone(fleet.look())
        self.assertEqual((fleet.look(900_000) or {})["instance"], "r3")  # r0 has rested, r1 not yet
        self.assertIsNone(fleet.look(0))
        self.assertEqual((fleet.look(200_000) or {})["instance"], "r4")

    def test_each_of_those_that_end_between_two_looks_is_watched(self) -> None:
        fleet = SmallFleet(self, calls_least=20)
        fleet.ok("start", action="restart", targets=["r0", "r1", "r2"], budget=2)
        fleet.look()
        fleet.look()
        fleet.step("r0")
        fleet.step("r1")
        fleet.look()
        fleet.reports["r0"] = HealthReport(True, 0, 30)
        self.assertIn("r0 fails 30 of 30", (fleet.look() or {}).get("reason", ""))

    def test_out_by_membership_or_not_heard_of_is_out(self) -> None:
        fleet = SmallFleet(self)
        fleet.look()
        fleet.ok("start", action="restart", targets=["r0"], budget=1)
        fleet.out = frozenset({"r3"})
        self.assertIsNone(fleet.look())
        fleet.out = frozenset()
        del fleet.reports["r3"]
        fleet.now += 3 * S
        self.assertIsNone(fleet.look())
        fleet.reports["r3"] = HealthReport(True)
        self.assertIsNotNone(fleet.look())

    def test_a_new_leader_waits_for_reports_of_all_and_then_takes_the_silent_for_lost(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=["r0"], budget=2)
        del fleet.reports["r4"]
        self.assertIsNone(fleet.look())
        self.assertIsNotNone(fleet.look(6 * S))  # r4 counts as out, and the budget has room for one more

    def test_more_lost_than_the_budget_halts_the_rollout_once_it_lasts(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=[], budget=1)
        fleet.look()
        fleet.reports["r4"] = HealthReport(False)
        self.assertIsNone(fleet.look())
        self.assertIsNone(fleet.look(2 * S))
        self.assertEqual((fleet.look(2 * S) or {})["do"], "halt")
        self.assertIn("r4 without a step", fleet.control.rollout.reason if fleet.control.rollout else "")

    def test_a_step_that_does_not_end_halts(self) -> None:
        fleet = SmallFleet(self, step_us=10 * S)
        fleet.ok("start", action="restart", targets=[], budget=2)
        fleet.look()
        fleet.ok("begin", **fleet.held("r0"))
        fleet.look()
        self.assertEqual((fleet.look(11 * S) or {})["do"], "halt")
        self.assertEqual(list(fleet.control.leases), ["r0"])  # that of r1 was never begun

    def test_a_released_instance_that_fails_calls_halts(self) -> None:
        for failed, halts in ((1, False), (5, True)):
            fleet = SmallFleet(self, calls_least=20, failed_most=0.1)
            fleet.reports["r0"] = HealthReport(True, 500, 200)  # what it failed before is not held against it
            fleet.ok("start", action="replace", targets=["r0", "r1"], budget=1)
            fleet.look()
            fleet.reports["r0"] = HealthReport(True)
            fleet.look()
            fleet.step("r0")
            fleet.look()
            fleet.reports["r0"] = HealthReport(True, 20, failed)
            command = fleet.look() or {}
            self.assertEqual(command.get("do") == "halt", halts, command)


class StateTest(unittest.TestCase):
    def test_old_beliefs_are_refused(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=["r0", "r1"], budget=1)
        number = fleet.control.number
        grant = {"instance": "r0", "down": [], "after": number, "term": 1, "rollout": number}
        fleet.ok("grant", **grant)
        held = fleet.held("r0")
        for do, more, reason in (
            ("grant", grant, "something else was granted"),
            ("grant", {**grant, "instance": "r1", "after": number + 1}, "2 would be out"),
            ("grant", {**grant, "instance": "r1", "after": number + 1, "rollout": 99}, "the rollout is 1"),
            ("begin", {**held, "agent": "a1"}, "a1 holds no lease"),
            ("back", held, "is granted"),
            ("begin", {**held, "lease": 99}, "holds no lease 99"),
            ("register", {"agent": "a9", "instances": ["r0"]}, "is managed by a0"),
            ("dance", {}, "no command"),
            ("grant", {"instance": "r1"}, "damaged command"),
        ):
            before = fleet.control.encoded()
            reply = fleet.submit(do, **more)
            self.assertFalse(reply["ok"])
            self.assertIn(reason, reply["reason"])
            self.assertEqual(fleet.control.encoded(), before)
        fleet.ok("halt", reason="look")
        self.assertFalse(fleet.submit("begin", **held)["ok"])  # revoked before it was begun
        fleet.ok("resume")
        fleet.ok("grant", **{**grant, "after": fleet.control.number})
        fleet.ok("begin", **fleet.held("r0"))
        self.assertIn("is begun", fleet.submit("begin", **fleet.held("r0"))["reason"])

    def test_a_drain_stays_out_and_comes_back_in_reverse_order(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="drain", targets=["r0", "r2"], budget=2)
        for name in ("r0", "r2"):
            fleet.look()
            fleet.step(name, "out")
        assert fleet.control.rollout is not None
        self.assertIs(fleet.control.rollout.phase, Phase.DONE)
        self.assertEqual({lease.stage for lease in fleet.control.leases.values()}, {Stage.OUT})
        self.assertFalse(fleet.submit("start", action="restart", targets=["r1"], budget=2)["ok"])
        fleet.ok("undo")
        for name in ("r2", "r0"):
            # An undo grants anew what is out already: it takes nothing more of the budget.
            self.assertEqual((fleet.look() or {})["instance"], name)
            self.assertIsNone(fleet.look())
            fleet.step(name)
        self.assertIs(fleet.control.rollout.phase, Phase.UNDONE)
        self.assertEqual(fleet.control.leases, {})

    def test_budgets(self) -> None:
        for budget, expected in ((2, 2), ("3", 3), ("25%", 2), ("1%", 1), ("100%", 10)):
            self.assertEqual(budget_of(budget, 10), expected)
        for bad in (0, -1, True, None, "x", "0%", "101%", 1.5, "-2"):
            with self.assertRaises(CommandRejected):
                budget_of(bad, 10)

    def test_the_wire_form_is_read_back_whole(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="drain", targets=["r0"], budget=1)
        fleet.look()
        fleet.step("r0", "out")
        fleet.ok("undo")
        self.assertEqual(ControlState.decode(fleet.control.encoded()).encoded(), fleet.control.encoded())


class RunnerTest(unittest.TestCase):
    """Leases of runners: every agent has a part, since a runner is out at all routers."""

    def setUp(self) -> None:
        self.control = ControlState()
        for agent, names in (("a0", ["r0"]), ("a1", ["r1"])):
            runners = {"w0": agent == "a0", "w1": False, "w2": False}
            self.ok("register", agent=agent, instances=names, runners=runners)

    def ok(self, do: str, **more: Any) -> None:
        reply = self.control.apply_encoded({"do": do, **more})
        self.assertTrue(reply["ok"], reply)

    def no(self, reason: str, do: str, **more: Any) -> None:
        reply = self.control.apply_encoded({"do": do, **more})
        self.assertIn(reason, reply.get("reason", "it was agreed on"))

    def grant(self, name: str, **more: Any) -> dict[str, Any]:
        fields = {"instance": name, "down": [], "after": self.control.number, "term": 1, **more}
        self.ok("grant", **fields)
        return {"instance": name, "lease": self.control.number}

    def all_report(self, did: str, lease: dict[str, Any]) -> None:
        for agent in ("a0", "a1"):
            self.ok("part", agent=agent, did=did, **lease)

    def stage(self, name: str) -> Stage:
        return self.control.leases[name].stage

    def test_a_runner_is_out_once_all_say_so_and_back_once_all_use_it(self) -> None:
        self.no("no agent manages w1", "start", action="restart", kind="runners", targets=["w1"], budget=1)
        self.ok("start", action="restart", kind="runners", targets=["w0"], budget=1)
        lease = self.grant("w0")
        self.all_report("begun", lease)
        self.ok("part", agent="a0", did="out", **lease)
        self.no("is begun", "renewed", agent="a0", **lease)  # a1 may still have calls there
        self.ok("part", agent="a1", did="out", **lease)
        self.assertIs(self.stage("w0"), Stage.AWAY)
        self.no("a1 holds no lease", "renewed", agent="a1", **lease)
        self.no("is away", "part", agent="a0", did="in", **lease)
        self.ok("renewed", agent="a0", **lease)
        self.ok("part", agent="a0", did="in", **lease)
        self.assertIn("w0", self.control.leases)
        self.ok("part", agent="a1", did="in", **lease)
        assert self.control.rollout is not None
        self.assertEqual((self.control.leases, self.control.rollout.phase), ({}, Phase.DONE))

    def test_a_drained_runner_stays_out_until_undone_and_routers_have_a_budget_of_their_own(self) -> None:
        self.ok("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        for name in ("w1", "w2"):
            lease = self.grant(name)
            self.all_report("begun", lease)
            self.all_report("out", lease)
            self.assertIs(self.stage(name), Stage.OUT)
        self.assertEqual((self.control.out("runners"), self.control.out("routers")), (["w1", "w2"], []))
        self.no("2 out already", "start", action="restart", kind="runners", targets=["w0"], budget=2)
        self.assertEqual(ControlState.decode(self.control.encoded()).encoded(), self.control.encoded())
        self.ok("undo")
        for name in ("w2", "w1"):
            lease = self.grant(name)
            self.assertIs(self.stage(name), Stage.RETURNING)
            self.all_report("in", lease)
        assert self.control.rollout is not None
        self.assertIs(self.control.rollout.phase, Phase.UNDONE)
        self.ok("start", action="restart", targets=[], budget=1)

    def test_a_halt_takes_back_what_no_agent_has_begun(self) -> None:
        self.ok("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        begun = self.grant("w1")
        self.ok("part", agent="a1", did="begun", **begun)
        unbegun = self.grant("w2")
        self.ok("halt")
        self.no("there is no lease", "part", agent="a0", did="begun", **unbegun)
        self.ok("part", agent="a0", did="begun", **begun)  # under way: it finishes
        self.all_report("out", begun)
        self.assertEqual(list(self.control.leases), ["w1"])

    def test_a_silent_runner_counts_against_the_budget(self) -> None:
        self.ok("start", action="drain", kind="runners", targets=["w1"], budget=1)
        planner = RolloutPlanner(RolloutRules(settle_us=0), 0)
        planner.record_reports({"r0": HealthReport(True), "r1": HealthReport(True)}, 1)
        self.assertIsNone(planner.next_command(self.control, frozenset({"w2"}), 1, 2))
        self.assertIsNotNone(planner.next_command(self.control, frozenset(), 1, 3))


if __name__ == "__main__":
    unittest.main()
