"""Tests of the rollout planner's decisions, without I/O."""

import unittest

from maplestile.control.rollout_planner import HealthReport
from tests.control_rig import SECOND_US, ControlRig


class DecisionTest(unittest.TestCase):
    """Tests of a leader's next command, depending on the reports of all agents."""

    def test_grants_steps_within_budget_and_counts_outages(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="restart", targets=[], budget=2)
        rig.reports["r4"] = HealthReport(False)
        self.assertEqual((rig.apply_next_command() or {})["instance"], "r0")
        self.assertIsNone(rig.apply_next_command())  # r0 is out by its lease, r4 by its outage
        rig.reports["r4"] = HealthReport(True)
        self.assertEqual((rig.apply_next_command() or {})["instance"], "r1")
        self.assertIsNone(rig.apply_next_command())
        rig.run_step("r0")
        self.assertEqual((rig.apply_next_command() or {})["instance"], "r2")

    def test_instance_counts_as_out_for_settle_time_after_its_own_step(self) -> None:
        rig = ControlRig(self, settle_us=SECOND_US)
        rig.accept("start", action="restart", targets=[], budget=3)
        for name in ("r0", "r1", "r2"):
            self.assertEqual((rig.apply_next_command() or {})["instance"], name)
        rig.run_step("r0")
        self.assertIsNone(rig.apply_next_command())  # r0 is settling, r1 and r2 are out
        rig.run_step("r1")
        self.assertIsNone(rig.apply_next_command())
        # r0 has settled, r1 has not.
        self.assertEqual((rig.apply_next_command(900_000) or {})["instance"], "r3")
        self.assertIsNone(rig.apply_next_command(0))
        self.assertEqual((rig.apply_next_command(200_000) or {})["instance"], "r4")

    def test_checks_health_after_each_of_two_steps_that_end_between_decisions(self) -> None:
        rig = ControlRig(self, min_calls=20)
        rig.accept("start", action="restart", targets=["r0", "r1", "r2"], budget=2)
        rig.apply_next_command()
        rig.apply_next_command()
        rig.run_step("r0")
        rig.run_step("r1")
        rig.apply_next_command()
        rig.reports["r0"] = HealthReport(True, 0, 30)
        self.assertIn("r0 fails 30 of 30", (rig.apply_next_command() or {}).get("reason", ""))

    def test_counts_instance_gone_from_membership_or_without_reports_as_out(self) -> None:
        rig = ControlRig(self)
        rig.apply_next_command()
        rig.accept("start", action="restart", targets=["r0"], budget=1)
        rig.members_out = frozenset({"r3"})
        self.assertIsNone(rig.apply_next_command())
        rig.members_out = frozenset()
        del rig.reports["r3"]
        rig.now_us += 3 * SECOND_US
        self.assertIsNone(rig.apply_next_command())
        rig.reports["r3"] = HealthReport(True)
        self.assertIsNotNone(rig.apply_next_command())

    def test_new_leader_waits_for_all_reports_then_counts_missing_ones_as_outages(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="restart", targets=["r0"], budget=2)
        del rig.reports["r4"]
        self.assertIsNone(rig.apply_next_command())
        # r4 counts as out, and the budget allows one more.
        self.assertIsNotNone(rig.apply_next_command(6 * SECOND_US))

    def test_halts_rollout_if_outages_exceed_budget_for_long(self) -> None:
        rig = ControlRig(self)
        rig.accept("start", action="restart", targets=[], budget=1)
        rig.apply_next_command()
        rig.reports["r4"] = HealthReport(False)
        self.assertIsNone(rig.apply_next_command())
        self.assertIsNone(rig.apply_next_command(2 * SECOND_US))
        self.assertEqual((rig.apply_next_command(2 * SECOND_US) or {})["do"], "halt")
        self.assertIn("r4 without a step", rig.control.rollout.reason if rig.control.rollout else "")

    def test_halts_rollout_if_step_takes_too_long(self) -> None:
        rig = ControlRig(self, step_us=10 * SECOND_US)
        rig.accept("start", action="restart", targets=[], budget=2)
        rig.apply_next_command()
        rig.accept("begin", **rig.lease_fields("r0"))
        rig.apply_next_command()
        self.assertEqual((rig.apply_next_command(11 * SECOND_US) or {})["do"], "halt")
        self.assertEqual(list(rig.control.leases), ["r0"])  # the lease of r1 was withdrawn: never begun

    def test_halts_rollout_if_instance_fails_calls_after_its_step(self) -> None:
        for failed, halts in ((1, False), (5, True)):
            rig = ControlRig(self, min_calls=20, max_failed_share=0.1)
            rig.reports["r0"] = HealthReport(True, 500, 200)  # failures before the step do not count
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
