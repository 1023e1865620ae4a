"""The decisions of the rollout planner, without I/O."""

import unittest

from maplestile.control.rollout_planner import HealthReport
from tests.control_rig import SECOND_US, ControlRig


class DecisionTest(unittest.TestCase):
    """The next command of a leader, by the reports of all agents."""

    def test_no_step_beyond_the_budget_and_an_outage_counts(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="restart", targets=[], budget=2)
        rig.reports["r4"] = HealthReport(False)
        self.assertEqual((rig.apply_next_command() or {})["instance"], "r0")
        self.assertIsNone(rig.apply_next_command())  # r0 by its lease and r4 by itself
        rig.reports["r4"] = HealthReport(True)
        self.assertEqual((rig.apply_next_command() or {})["instance"], "r1")
        self.assertIsNone(rig.apply_next_command())
        rig.run_step("r0")
        self.assertEqual((rig.apply_next_command() or {})["instance"], "r2")

    def test_an_instance_that_is_back_counts_as_out_until_its_health_is_known_and_delays_no_other(
        self,
    ) -> None:
        rig = ControlRig(self, settle_us=SECOND_US)
        rig.accept("start", action="restart", targets=[], budget=3)
        for name in ("r0", "r1", "r2"):
            self.assertEqual((rig.apply_next_command() or {})["instance"], name)
        rig.run_step("r0")
        self.assertIsNone(rig.apply_next_command())  # r0 rests, r1 and r2 are out
        rig.run_step("r1")
        self.assertIsNone(rig.apply_next_command())
        self.assertEqual(
            (rig.apply_next_command(900_000) or {})["instance"], "r3"
        )  # r0 has rested, r1 not yet
        self.assertIsNone(rig.apply_next_command(0))
        self.assertEqual((rig.apply_next_command(200_000) or {})["instance"], "r4")

    def test_each_step_that_ends_between_two_decisions_is_watched(self) -> None:
        rig = ControlRig(self, min_calls=20)
        rig.accept("start", action="restart", targets=["r0", "r1", "r2"], budget=2)
        rig.apply_next_command()
        rig.apply_next_command()
        rig.run_step("r0")
        rig.run_step("r1")
        rig.apply_next_command()
        rig.reports["r0"] = HealthReport(True, 0, 30)
        self.assertIn("r0 fails 30 of 30", (rig.apply_next_command() or {}).get("reason", ""))

    def test_an_instance_out_by_membership_or_without_reports_counts_as_out(self) -> None:
        rig = ControlRig(self)
        rig.apply_next_command()
        rig.accept("start", action="restart", targets=["r0"], budget=1)
        rig.out = frozenset({"r3"})
        self.assertIsNone(rig.apply_next_command())
        rig.out = frozenset()
        del rig.reports["r3"]
        rig.now_us += 3 * SECOND_US
        self.assertIsNone(rig.apply_next_command())
        rig.reports["r3"] = HealthReport(True)
        self.assertIsNotNone(rig.apply_next_command())

    def test_a_new_leader_waits_for_reports_of_all_and_then_counts_the_silent_as_lost(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="restart", targets=["r0"], budget=2)
        del rig.reports["r4"]
        self.assertIsNone(rig.apply_next_command())
        self.assertIsNotNone(
            rig.apply_next_command(6 * SECOND_US)
        )  # r4 counts as out, and the budget has room for one more

    def test_more_lost_than_the_budget_halts_the_rollout_once_it_lasts(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="restart", targets=[], budget=1)
        rig.apply_next_command()
        rig.reports["r4"] = HealthReport(False)
        self.assertIsNone(rig.apply_next_command())
        self.assertIsNone(rig.apply_next_command(2 * SECOND_US))
        self.assertEqual((rig.apply_next_command(2 * SECOND_US) or {})["do"], "halt")
        self.assertIn("r4 without a step", rig.control.rollout.reason if rig.control.rollout else "")

    def test_a_step_that_does_not_end_halts(self) -> None:
        rig = ControlRig(self, step_us=10 * SECOND_US)
        rig.accept("start", action="restart", targets=[], budget=2)
        rig.apply_next_command()
        rig.accept("begin", **rig.lease_fields("r0"))
        rig.apply_next_command()
        self.assertEqual((rig.apply_next_command(11 * SECOND_US) or {})["do"], "halt")
        self.assertEqual(list(rig.control.leases), ["r0"])  # that of r1 was never begun

    def test_a_released_instance_that_fails_calls_halts(self) -> None:
        for failed, halts in ((1, False), (5, True)):
            rig = ControlRig(self, min_calls=20, max_failed_share=0.1)
            rig.reports["r0"] = HealthReport(True, 500, 200)  # what it failed before does not count
            rig.accept("start", action="replace", targets=["r0", "r1"], budget=1)
            rig.apply_next_command()
            rig.reports["r0"] = HealthReport(True)
            rig.apply_next_command()
            rig.run_step("r0")
            rig.apply_next_command()
            rig.reports["r0"] = HealthReport(True, 20, failed)
            command = rig.apply_next_command() or {}
            self.assertEqual(command.get("do") == "halt", halts, command)


if __name__ == "__main__":
    unittest.main()
