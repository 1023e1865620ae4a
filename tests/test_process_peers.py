"""Five real routers that know each other, with the fault relay on every link between them."""

import json
import time
import unittest

from tests.relay_process import FOREVER
from tests.router_group import PERIOD_S, Routers
from tests.standins import PATIENCE_S, eventually

ROUTERS = 5
ALL = list(range(ROUTERS))
# A round of probes (1 s), the longest suspicion (4.8 s), and the gossip of it.
DETECT_S = 8.0
LOSS_S = 60.0
SHORT_PAUSE_S = 0.3  # under the least suspicion of 0.8 s
AFTER_PAUSE_S = 3.0  # past any suspicion that the pause may have caused
FAULT_S = 30 * PERIOD_S  # long enough for many rounds of probes


class MembershipTest(unittest.TestCase):
    """Kills, pauses, leaves, restarts, losses and splits among five routers."""

    def setUp(self) -> None:
        self.routers = Routers(self, ROUTERS)
        self.routers.wait_until_converged()

    def test_a_killed_router_is_declared_dead_by_every_other_and_its_checks_move(self) -> None:
        routers = self.routers
        eventually(lambda: self.checked_runners(ALL) == ["w1", "w2"], "each runner probed by one router")
        start_s = time.monotonic()
        routers.programs[3].kill()
        others = [0, 1, 2, 4]
        eventually(lambda: routers.all_see(others, "r3", "dead"), "r3 dead at all others")
        self.assertLess(time.monotonic() - start_s, DETECT_S)
        self.assertFalse(any(routers.view(number)["isolated"] for number in others))
        eventually(lambda: self.checked_runners(others) == ["w1", "w2"], "its share taken over")

    def test_a_short_pause_is_refuted_and_never_declared_dead(self) -> None:
        self.routers.pause(2)
        time.sleep(SHORT_PAUSE_S)
        self.routers.resume(2)
        time.sleep(AFTER_PAUSE_S)
        self.assertTrue(self.routers.all_see([0, 1, 3, 4], "r2", "alive"))
        self.assertEqual(self.routers.declared_deaths([0, 1, 3, 4]), [0] * 4)

    def test_a_long_pause_is_declared_dead_then_the_member_rejoins_and_shares_the_checks(self) -> None:
        others = [0, 2, 3, 4]
        self.routers.pause(1)
        try:
            eventually(lambda: self.routers.all_see(others, "r1", "dead"), "r1 dead while it is paused")
        finally:
            self.routers.resume(1)
        eventually(lambda: self.routers.all_see(others, "r1", "alive"), "r1 back")
        self.assertTrue(
            all(self.routers.status(n, "r1").incarnation >= 1 for n in others), "a higher incarnation"
        )
        eventually(lambda: self.checked_runners(ALL) == ["w1", "w2"], "one owner of each runner again")

    def test_a_leave_that_crosses_a_suspicion_is_known_to_all_as_a_leave(self) -> None:
        """It is suspected while it is paused, and the first that it gets when resumed is SIGTERM."""
        routers, others = self.routers, [0, 1, 3, 4]
        routers.pause(2)
        try:
            eventually(
                lambda: any(routers.status(n, "r2").status == "suspect" for n in others), "a suspicion"
            )
            routers.programs[2].process.terminate()
        finally:
            routers.resume(2)
        self.assertEqual(routers.programs[2].process.wait(PATIENCE_S), 0)
        eventually(lambda: routers.all_see(others, "r2", "left"), "the leave")
        time.sleep(DETECT_S / 2)  # past what is left of any suspicion
        self.assertTrue(routers.all_see(others, "r2", "left"))
        self.assertEqual(routers.declared_deaths(others), [0] * 4)
        routers.restart(2)
        routers.wait_until_converged()

    def test_a_router_restarted_under_its_address_comes_back(self) -> None:
        self.routers.programs[4].kill()
        eventually(lambda: self.routers.all_see([0, 1, 2, 3], "r4", "dead"), "r4 dead")
        self.routers.restart(4)
        self.routers.wait_until_converged()

    def test_a_minute_of_loss_declares_no_live_member_dead(self) -> None:
        self.routers.relay.start_faults(
            net={"loss": 0.2, "duplicate": 0.05, "reorder": 0.05, "reorder_ms": 50}
        )
        time.sleep(LOSS_S)
        self.assertEqual(self.routers.declared_deaths(ALL), [0] * ROUTERS)
        counts = self.routers.relay.counts()
        lost = counts["udp.lost"] / (counts["udp.lost"] + counts["udp.passed"])
        self.assertGreater(lost, 0.1)  # of all since the start, with what passed before
        self.assertGreater(counts["udp.twice"], 0)
        self.routers.relay.heal()
        self.routers.wait_until_converged()

    def test_one_direction_of_a_link_cut_declares_nobody_dead(self) -> None:
        self.routers.relay.start_faults(cut=[{**FOREVER, "from": [0], "to": [1]}])
        time.sleep(FAULT_S)
        self.assertEqual(self.routers.declared_deaths(ALL), [0] * ROUTERS)
        self.assertGreater(self.routers.relay.counts()["udp.lost"], 0)

    def test_a_flapping_link_declares_nobody_dead(self) -> None:
        flap = {**FOREVER, "from": [0], "to": [1, 2], "down_s": 0.7, "up_s": 0.5}
        self.routers.relay.start_faults(flap=[flap])
        time.sleep(FAULT_S)
        self.assertEqual(self.routers.declared_deaths(ALL), [0] * ROUTERS)
        self.routers.relay.heal()
        self.routers.wait_until_converged()

    def test_a_split_isolates_the_smaller_side_and_heals_by_itself(self) -> None:
        routers, small, large = self.routers, [0, 1], [2, 3, 4]
        routers.relay.start_faults(split=[{**FOREVER, "sides": [small, large]}])
        eventually(lambda: all(routers.view(n)["isolated"] for n in small), "the two call themselves cut off")
        cut_off = ("r0", "r1")
        eventually(lambda: all(routers.all_see(large, name, "dead") for name in cut_off), "the two dead")
        self.assertFalse(any(routers.view(n)["isolated"] for n in large))
        self.assertIn("svc_peers_isolated 1", routers.get(0, "/v1/metrics").splitlines())
        self.assertIn("svc_peers_isolated 0", routers.get(3, "/v1/metrics").splitlines())
        # Both sides probe all runners meanwhile: harmless, and counted where the agreed view says otherwise.
        sides = (small, large)
        eventually(
            lambda: all(self.checked_runners(side) == ["w1", "w2"] for side in sides),
            "each side's own owners",
        )
        self.assertGreater(sum(routers.view(n)["watch"]["overlap"] for n in ALL), 0)
        routers.relay.heal()
        start_s = time.monotonic()
        routers.wait_until_converged()
        # A dead member is tried every 5 periods by each: 1 s, and the gossip of it takes a few periods more.
        self.assertLess(time.monotonic() - start_s, DETECT_S)
        eventually(lambda: self.checked_runners(ALL) == ["w1", "w2"], "one owner of each runner again")
        self.assert_no_death_declared_on_its_own_side(small)
        self.assertTrue(any(event["event"] == "healed" for event in self.events(0)))

    def assert_no_death_declared_on_its_own_side(self, small: list[int]) -> None:
        """Check that deaths were declared, and before or after the healing none within a side."""
        deaths = [
            (number, event["member"])
            for number in ALL
            for event in self.events(number)
            if event["event"] == "confirm"
        ]
        self.assertGreater(len(deaths), 0)
        same_side = [(n, member) for n, member in deaths if (n in small) == (int(member[1:]) in small)]
        self.assertEqual(same_side, [])

    def test_a_runner_that_its_checker_finds_silent_is_known_to_all(self) -> None:
        self.routers.workers[0].die()
        eventually(lambda: all(self.routers.view(n)["watch"]["silent"] == ["w1"] for n in ALL), "the finding")

    # What the routers report.

    def checked_runners(self, numbers: list[int]) -> list[str]:
        """The runners that these routers check, sorted; one that two of them check is there twice."""
        return sorted(runner for n in numbers for runner in self.routers.view(n)["watch"]["mine"])

    def events(self, number: int) -> list[dict[str, str]]:
        """The membership events that a router has logged."""
        lines = [line for line in self.routers.programs[number].log if line.startswith("{")]
        return [event for event in map(json.loads, lines) if "event" in event]


if __name__ == "__main__":
    unittest.main()
