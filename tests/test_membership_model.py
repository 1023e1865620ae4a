"""Membership on the model's virtual clock: the same `Swim` that the program ships, with faults between."""

import re
import unittest
from typing import Any

from maplestile.tools.faults.schedule import ScheduleError
from maplestile.tools.model import report
from maplestile.tools.model.experiment import parse
from maplestile.tools.model.membership_metrics import MembershipMetrics
from maplestile.tools.model.report import as_csv, as_json
from maplestile.tools.model.run import metrics, run, with_seeds

# A round of probes, then a suspicion of at most 24 periods, shortened by confirmations.
DETECTED_WITHIN_PERIODS = 26
MISSING = 99  # in place of a metric that a run does not have


def run_model(members: int = 10, seconds: int = 60, **faults: Any) -> MembershipMetrics:
    """The metrics of one run with these faults."""
    return run(parse({"seed": 5, "members": members, "duration_s": seconds, **faults}))[0]


class DetectionTest(unittest.TestCase):
    """Which members are declared dead, and how soon."""

    def test_a_killed_member_is_declared_dead_by_all_within_the_bound(self) -> None:
        metrics = run_model(kill=[{"at_s": 10, "member": 3}])
        self.assertEqual(metrics.undetected, 0)
        self.assertLess(metrics.detection_p99_periods or MISSING, DETECTED_WITHIN_PERIODS)
        self.assertEqual(metrics.false_positives, 0)

    def test_heavy_loss_declares_no_live_member_dead(self) -> None:
        metrics = run_model(seconds=120, net={"loss": 0.2})
        self.assertEqual(metrics.false_positives, 0)

    def test_a_pause_under_the_suspicion_is_refuted(self) -> None:
        metrics = run_model(pause=[{"at_s": 10, "for_s": 1.5, "member": 2}])
        self.assertEqual(metrics.false_positives, 0)
        self.assertEqual(metrics.ever_isolated, 0)

    def test_one_direction_cut_declares_nobody_dead(self) -> None:
        metrics = run_model(cut=[{"at_s": 5, "until_s": 40, "from": [0], "to": [1]}])
        self.assertEqual(metrics.false_positives, 0)


class SplitTest(unittest.TestCase):
    """Groups that are split and heal."""

    def test_the_small_side_reports_itself_isolated_and_views_converge_after_healing(self) -> None:
        split = {"at_s": 10, "until_s": 50, "sides": [[0, 1, 2, 3], [4, 5, 6, 7, 8, 9]]}
        metrics = run_model(seconds=90, split=[split])
        self.assertEqual(metrics.ever_isolated, 4)
        self.assertEqual(metrics.isolated_at_end, 0)
        self.assertEqual(metrics.not_converged, 0)
        self.assertLess(metrics.converged_after_heal_s or MISSING, 15)
        # The healing's full exchanges carry the other side's old deaths: taken as such, they were 27 here.
        self.assertEqual(metrics.false_positives, 0)

    def test_hundred_members_heal_without_killing_their_own(self) -> None:
        sides = [list(range(40))]
        metrics = run_model(members=100, seconds=70, split=[{"at_s": 5, "until_s": 45, "sides": sides}])
        self.assertEqual(metrics.ever_isolated, 40)
        # With another member's report of a death believed at once this was 1243, and 18 s.
        self.assertEqual(metrics.false_positives, 0)
        self.assertLess(metrics.converged_after_heal_s or MISSING, 10)


class ModelTest(unittest.TestCase):
    """The model's files, seeds and reports."""

    def test_the_same_file_and_seed_give_the_same_metrics(self) -> None:
        faults: dict[str, Any] = {"net": {"loss": 0.05}, "kill": [{"at_s": 5, "member": 1}]}
        first, second = (as_json(run_model(seconds=20, **faults).by_name()) for _ in range(2))
        self.assertEqual(first, second)
        self.assertIn("detection_median_periods,", as_csv(run_model(seconds=5).by_name()))

    def test_runs_of_many_seeds_give_their_spread(self) -> None:
        experiment = parse({"seed": 5, "members": 5, "duration_s": 20, "kill": [{"at_s": 5, "member": 1}]})
        runs = [metrics(seeded) for seeded in with_seeds(experiment, 3)]
        spread = report.spread_of_runs(metrics, with_seeds(experiment, 3))
        detection = spread["detection_median_periods"]
        assert detection is not None
        values = sorted(by_name["detection_median_periods"] or 0 for by_name in runs)
        self.assertEqual([detection.min, detection.median, detection.max], values)
        self.assertIsNone(spread["converged_after_heal_s"])
        self.assertIn("converged_after_heal_s,,,,0", report.spread_csv(spread))

    def test_a_bad_file_names_the_field(self) -> None:
        good = {"seed": 1, "members": 5, "duration_s": 1}
        flap = {"at_s": 1, "until_s": 2, "from": [0], "to": [1], "down_s": 0, "up_s": 1}
        for tables, place in (
            ({"members": 5, "duration_s": 1}, "seed"),
            (good | {"members": 1}, "members"),
            (good | {"kill": [{"at_s": "x", "member": 1}]}, "kill[0].at_s"),
            (good | {"split": [{"at_s": 1, "until_s": 2, "sides": [[9]]}]}, "split[0].sides"),
            (good | {"net": {"los": 0.1}}, "net.los"),
            (good | {"flap": [flap]}, "flap[0].down_s"),
            (good | {"cut": [{"at_s": 3, "until_s": 2}]}, "cut[0].until_s"),
        ):
            with self.assertRaisesRegex(ScheduleError, f"^{re.escape(place)}"):
                parse(tables)


if __name__ == "__main__":
    unittest.main()
