"""Health checks shared among members: who makes which, and how findings reach all."""

import unittest

from maplestile.membership import assignment
from maplestile.membership.health_checks import REPEAT_INTERVALS, HealthFinding, SharedHealthChecks
from maplestile.membership.swim import Swim
from maplestile.membership.tuning import Tuning
from maplestile.tools.model.experiment import parse_experiment
from maplestile.tools.model.run import run
from tests.swim_group import deliver_all

# Seeds of `HealthCheckGroup` in which all transmissions of a finding miss one member: 9 of the first 400.
MISSED_ONCE = (2, 32, 45, 258)


class HealthCheckGroup:
    """Members that share the health checks of two runners; every datagram is delivered at once."""

    STEP_US = 10_000
    INTERVAL_US = 200_000

    def __init__(self, count: int, seed: int) -> None:
        tuning = Tuning(period_us=200_000, ack_us=80_000)
        self.now_us = 0
        self.silent = set[str]()
        self.checks = [SharedHealthChecks(f"r{n}", self.INTERVAL_US) for n in range(count)]
        self.swims = [
            Swim(f"r{n}", ("h", n), tuning, seed * count + n, 0, checks)
            for n, checks in enumerate(self.checks)
        ]
        for number, swim in enumerate(self.swims):
            self.checks[number].set_runners(["w1", "w2"])
            swim.add_known([(f"r{n}", ("h", n)) for n in range(count) if n != number])

    def advance(self, steps: int) -> None:
        """Let time pass in steps of `STEP_US`; due checks find the runners of `silent` silent."""
        for _ in range(steps):
            self.now_us += self.STEP_US
            for swim, checks in zip(self.swims, self.checks, strict=True):
                swim.tick(self.now_us)
                for runner in checks.due(self.now_us):
                    checks.record_result(runner, runner not in self.silent)
            deliver_all(self.swims, self.now_us)


class AssignmentTest(unittest.TestCase):
    """Which member makes which checks."""

    def test_a_member_that_ends_moves_only_its_own_checks(self) -> None:
        names = [f"probe-{n}" for n in range(200)]
        members = [f"r{n}" for n in range(5)]
        before = {name: assignment.owner(name, members) for name in names}
        after = {name: assignment.owner(name, members[:2] + members[3:]) for name in names}
        moved = [name for name in names if before[name] != after[name]]
        self.assertEqual(set(moved), {name for name in names if before[name] == "r2"})
        self.assertTrue(20 < len(moved) < 60)

    def test_assignment_counts_what_is_taken_over_and_what_is_done_twice(self) -> None:
        assigned_checks = assignment.CheckAssignment("r0")
        names = [f"probe-{n}" for n in range(100)]
        everyone = ["r0", "r1", "r2"]
        first = assigned_checks.assign(names, everyone, everyone)
        alone = assigned_checks.assign(names, ["r0"], everyone)
        self.assertEqual(alone, frozenset(names))
        self.assertEqual(assigned_checks.taken_over, 100 - len(first))
        self.assertEqual(assigned_checks.overlap, 100 - len(first))
        self.assertEqual(assigned_checks.assign(names, everyone, everyone), first)
        self.assertEqual(assigned_checks.given_up, 100 - len(first))


class SharedHealthChecksTest(unittest.TestCase):
    """Checks and findings of members, in the model and singly."""

    def test_the_fleet_sends_about_one_probe_for_each_check_also_when_an_owner_dies(self) -> None:
        kill = {"at_s": 20, "member": 3}
        tables = {"seed": 5, "members": 10, "duration_s": 60, "duties": 20, "kill": [kill]}
        metrics = run(parse_experiment(tables))[0]
        # One in a period and check; every member for itself would make it ten.
        self.assertAlmostEqual(metrics.probes_per_duty_per_period or 0, 1.0, delta=0.1)
        self.assertLess(metrics.longest_gap_of_a_duty_periods or 99, 12)  # detected, then taken over

    def test_the_later_finding_is_kept_and_a_single_miss_is_no_finding(self) -> None:
        one = SharedHealthChecks("r0", 1000)
        other = SharedHealthChecks("r1", 1000)
        for checks in (one, other):
            checks.set_runners(["w1"])
        self.assertIsNone(one.record_result("w1", False))  # a single miss
        finding = one.record_result("w1", False)
        assert finding is not None
        self.assertEqual((finding.answers, finding.version), (False, 1))
        self.assertTrue(other.merge(finding))
        self.assertFalse(other.merge(finding))
        back = other.record_result("w1", True)
        assert back is not None
        self.assertTrue(one.merge(back))
        self.assertFalse(one.merge(finding))  # an old one changes nothing
        self.assertEqual(one.findings, other.findings)

    def test_a_module_leaves_its_probe_to_the_owner_of_a_silent_runner_unless_cut_off(self) -> None:
        checks = SharedHealthChecks("r0", 1000)
        checks.set_runners([f"w{n}" for n in range(20)])
        checks.set_view(["r0", "r1"], ["r0", "r1"], False)
        others = [f"w{n}" for n in range(20) if f"w{n}" not in checks.next_probe_us]
        self.assertTrue(checks.may_probe(others[0]))
        checks.merge(HealthFinding(others[0], False, 1, "r1"))
        self.assertFalse(checks.may_probe(others[0]))
        self.assertEqual(checks.skipped_probes, 1)
        checks.set_view(["r0", "r1"], ["r0", "r1"], True)
        self.assertTrue(checks.may_probe(others[0]))
        checks.set_view(["r0"], ["r0", "r1"], True)  # r1 is dead: all are this member's, and due at once
        self.assertIn(others[0], checks.due(5))

    def test_findings_go_out_so_many_times_and_no_more(self) -> None:
        checks = SharedHealthChecks("r0", 1000)
        checks.set_runners(["w1", "w2"])
        for runner in ("w1", "w2"):
            checks.record_result(runner, True)
        sent = [finding.runner for _ in range(9) for finding in checks.piggyback(1, 3)]
        self.assertEqual(sorted(sent), ["w1"] * 3 + ["w2"] * 3)

    def test_a_finding_that_changes_something_is_repeated_once_an_interval_after_all_new_ones(self) -> None:
        interval_us, transmit_limit = 1000, 3
        checks = SharedHealthChecks("r0", interval_us)
        checks.set_runners(["back", "new", "silent", "well"])
        checks.due(0)
        for version, runner in ((2, "back"), (1, "silent"), (1, "well")):
            checks.merge(HealthFinding(runner, runner != "silent", version, "r1"))
        while checks.piggyback(4, transmit_limit):
            pass  # until all have gone out as often as they may
        checks.due(REPEAT_INTERVALS * interval_us - 1)
        self.assertEqual(checks.piggyback(4, transmit_limit), [])
        checks.due(REPEAT_INTERVALS * interval_us)
        checks.merge(HealthFinding("new", False, 1, "r1"))
        sent = [finding.runner for _ in range(9) for finding in checks.piggyback(1, transmit_limit)]
        self.assertEqual(sent, ["new", "new", "new", "back", "silent"])

    def test_a_finding_reaches_all_also_if_all_its_transmissions_missed_a_member(self) -> None:
        """Without repeats, a member in each of these groups never learned of it; no datagram is lost."""
        for seed in MISSED_ONCE:
            group = HealthCheckGroup(5, seed)
            group.advance(100)
            group.silent.add("w1")
            group.advance(1000)  # ten seconds, fifty intervals
            found = [checks.findings.get("w1") for checks in group.checks]
            self.assertEqual([finding and finding.answers for finding in found], [False] * 5, seed)


if __name__ == "__main__":
    unittest.main()
