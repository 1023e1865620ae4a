"""Tests of membership among five router processes, with the fault relay on every link between them."""

import json
import time
import unittest

from tests.relay_process import FOREVER
from tests.router_group import PERIOD_S, Routers
from tests.standins import PATIENCE_S, eventually

ROUTERS = 5
ALL = list(range(ROUTERS))
# Time to detect a death: a round of probes (1 s), the longest suspicion (4.8 s), and the spread of updates.
DETECT_S = 8.0
LOSS_S = 60.0
SHORT_PAUSE_S = 0.3  # less than the shortest suspicion of 0.8 s
AFTER_PAUSE_S = 3.0  # longer than any suspicion that the pause may have caused
FAULT_S = 30 * PERIOD_S  # long enough for many rounds of probes


class MembershipTest(unittest.TestCase):
    """Kills, pauses, leaves, restarts, lost datagrams and network partitions among five routers."""

    def setUp(self) -> None:
        self.routers = Routers(self, ROUTERS)
        self.routers.wait_until_converged()

    def test_all_others_declare_killed_router_dead_and_take_over_its_checks(self) -> None:
        routers = self.routers
        eventually(lambda: self.checked_runners(ALL) == ["w1", "w2"], "each runner probed by one router")
        start_s = time.monotonic()
        routers.programs[3].kill()
        others = [0, 1, 2, 4]
        eventually(lambda: routers.all_see(others, "r3", "dead"), "r3 dead at all others")
        self.assertLess(time.monotonic() - start_s, DETECT_S)
        self.assertFalse(any(routers.view(number)["isolated"] for number in others))
        eventually(lambda: self.checked_runners(others) == ["w1", "w2"], "the checks of r3 reassigned")

    def test_member_is_not_declared_dead_after_short_pause(self) -> None:
        self.routers.pause(2)
        time.sleep(SHORT_PAUSE_S)
        self.routers.resume(2)
        time.sleep(AFTER_PAUSE_S)
        self.assertTrue(self.routers.all_see([0, 1, 3, 4], "r2", "alive"))
        self.assertEqual(self.routers.declared_deaths([0, 1, 3, 4]), [0] * 4)

    def test_member_declared_dead_in_long_pause_rejoins_and_shares_checks(self) -> None:
        others = [0, 2, 3, 4]
        self.routers.pause(1)
        try:
            eventually(lambda: self.routers.all_see(others, "r1", "dead"), "r1 dead while it is paused")
        finally:
            self.routers.resume(1)
        eventually(lambda: self.routers.all_see(others, "r1", "alive"), "r1 alive again")
        self.assertTrue(
            all(self.routers.status(n, "r1").incarnation >= 1 for n in others), "a higher incarnation"
        )
        eventually(
            lambda: self.checked_runners(ALL) == ["w1", "w2"], "each runner probed by one router again"
        )

    def test_suspected_member_that_leaves_is_known_as_left(self) -> None:
        """The member is suspected while it is paused, and gets SIGTERM as soon as it is resumed."""
        routers, others = self.routers, [0, 1, 3, 4]
        routers.pause(2)
        try:
            eventually(
                lambda: any(routers.status(n, "r2").status == "suspect" for n in others), "r2 suspected"
            )
            routers.programs[2].process.terminate()
        finally:
            routers.resume(2)
        self.assertEqual(routers.programs[2].process.wait(PATIENCE_S), 0)
        eventually(lambda: routers.all_see(others, "r2", "left"), "r2 left at all others")
        time.sleep(DETECT_S / 2)  # longer than the rest of any suspicion
        self.assertTrue(routers.all_see(others, "r2", "left"))
        self.assertEqual(routers.declared_deaths(others), [0] * 4)
        routers.restart(2)
        routers.wait_until_converged()

    def test_killed_router_rejoins_after_restart_at_same_address(self) -> None:
        self.routers.programs[4].kill()
        eventually(lambda: self.routers.all_see([0, 1, 2, 3], "r4", "dead"), "r4 dead at all others")
        self.routers.restart(4)
        self.routers.wait_until_converged()

    def test_no_member_is_declared_dead_during_one_minute_of_datagram_loss(self) -> None:
        self.routers.relay.start_faults(
            net={"loss": 0.2, "duplicate": 0.05, "reorder": 0.05, "reorder_ms": 50}
        )
        time.sleep(LOSS_S)
        self.assertEqual(self.routers.declared_deaths(ALL), [0] * ROUTERS)
        counts = self.routers.relay.counts()
        lost = counts["udp.lost"] / (counts["udp.lost"] + counts["udp.passed"])
        self.assertGreater(lost, 0.1)  # of all datagrams since the start, including those before the faults
        self.assertGreater(counts["udp.twice"], 0)
        self.routers.relay.heal()
        self.routers.wait_until_converged()

    def test_no_member_is_declared_dead_if_one_direction_of_a_link_is_cut(self) -> None:
        self.routers.relay.start_faults(cut=[{**FOREVER, "from": [0], "to": [1]}])
        time.sleep(FAULT_S)
        self.assertEqual(self.routers.declared_deaths(ALL), [0] * ROUTERS)
        self.assertGreater(self.routers.relay.counts()["udp.lost"], 0)

    def test_no_member_is_declared_dead_if_a_link_flaps(self) -> None:
        flap = {**FOREVER, "from": [0], "to": [1, 2], "down_s": 0.7, "up_s": 0.5}
        self.routers.relay.start_faults(flap=[flap])
        time.sleep(FAULT_S)
        self.assertEqual(self.routers.declared_deaths(ALL), [0] * ROUTERS)
        self.routers.relay.heal()
        self.routers.wait_until_converged()

    def test_partition_isolates_smaller_side_and_heals_without_operator(self) -> None:
        routers, small, large = self.routers, [0, 1], [2, 3, 4]
        routers.relay.start_faults(split=[{**FOREVER, "sides": [small, large]}])
        eventually(lambda: all(routers.view(n)["isolated"] for n in small), "r0 and r1 isolated")
        isolated_names = ("r0", "r1")
        eventually(
            lambda: all(routers.all_see(large, name, "dead") for name in isolated_names), "r0 and r1 dead"
        )
        self.assertFalse(any(routers.view(n)["isolated"] for n in large))
        self.assertIn("svc_peers_isolated 1", routers.get(0, "/v1/metrics").splitlines())
        self.assertIn("svc_peers_isolated 0", routers.get(3, "/v1/metrics").splitlines())
        # Meanwhile each side probes all runners, which is harmless and counted as overlap.
        sides = (small, large)
        eventually(
            lambda: all(self.checked_runners(side) == ["w1", "w2"] for side in sides),
            "each runner probed once on each side",
        )
        self.assertGreater(sum(routers.view(n)["watch"]["overlap"] for n in ALL), 0)
        routers.relay.heal()
        start_s = time.monotonic()
        routers.wait_until_converged()
        # Each member contacts a dead one every 5 periods (1 s), and spreading the updates takes a few more.
        self.assertLess(time.monotonic() - start_s, DETECT_S)
        eventually(
            lambda: self.checked_runners(ALL) == ["w1", "w2"], "each runner probed by one router again"
        )
        self.assert_no_death_declared_within_a_side(small)
        self.assertTrue(any(event["event"] == "healed" for event in self.events(0)))

    def assert_no_death_declared_within_a_side(self, small: list[int]) -> None:
        """Check that deaths were declared across the partition, and none within a side."""
        deaths = [
            (number, event["member"])
            for number in ALL
            for event in self.events(number)
            if event["event"] == "confirm"
        ]
        self.assertGreater(len(deaths), 0)
        same_side = [(n, member) for n, member in deaths if (n in small) == (int(member[1:]) in small)]
        self.assertEqual(same_side, [])

    def test_all_routers_learn_which_runner_is_silent(self) -> None:
        self.routers.workers[0].die()
        eventually(
            lambda: all(self.routers.view(n)["watch"]["silent"] == ["w1"] for n in ALL),
            "w1 silent at all routers",
        )

    # Reports of the routers.

    def checked_runners(self, numbers: list[int]) -> list[str]:
        """Return the runners that these routers check, sorted; one checked by two of them is listed twice."""
        return sorted(runner for n in numbers for runner in self.routers.view(n)["watch"]["mine"])

    def events(self, number: int) -> list[dict[str, str]]:
        """Return the membership events in the log of a router."""
        lines = [line for line in self.routers.programs[number].log if line.startswith("{")]
        return [event for event in map(json.loads, lines) if "event" in event]


if __name__ == "__main__":
    unittest.main()
