"""Tests of members that join, leave and rejoin; every message is delivered at once."""

import unittest

from maplestile.membership.swim import Swim
from maplestile.membership.tuning import Tuning
from tests.swim_group import deliver_all

TUNING = Tuning(period_us=100_000, ack_us=40_000)
STEP_US = 10_000
MEMBERS = 3


def new_members() -> list[Swim]:
    """Return members that do not know each other."""
    return [Swim(f"r{number}", ("h", number), TUNING, number, 0) for number in range(MEMBERS)]


class JoinTest(unittest.TestCase):
    """Members that join through a seed."""

    def test_all_members_learn_of_joining_member_although_updates_of_seed_are_lost(self) -> None:
        swims = new_members()
        swims[1].join([("h", 0)])
        swims[2].join([("h", 0)])
        now_us = 0
        for _ in range(400):  # 40 periods of 100 ms
            now_us += STEP_US
            for swim in swims:
                swim.tick(now_us)
            if now_us == STEP_US:
                # Drop the seed's updates about the joining members.
                deliver_all(swims, now_us, after_each=swims[0].update_queue.clear)
            else:
                deliver_all(swims, now_us)
        self.assertEqual([swim.live() for swim in swims], [["r0", "r1", "r2"]] * MEMBERS)


class RejoinTest(unittest.TestCase):
    """Members that leave and rejoin."""

    def setUp(self) -> None:
        self.now_us = 0
        self.swims = new_members()

    def advance(self, steps: int) -> None:
        """Advance the time in steps of `STEP_US`, and deliver all messages after each step."""
        for _ in range(steps):
            self.now_us += STEP_US
            for swim in self.swims:
                swim.tick(self.now_us)
            deliver_all(self.swims, self.now_us)

    def test_member_that_left_and_restarts_without_seeds_is_found_again(self) -> None:
        for swim in self.swims[1:]:
            swim.join([("h", 0)])
        self.advance(200)
        self.swims[0].leave()
        self.advance(100)
        self.assertEqual(self.swims[1].live(), ["r1", "r2"])
        # The restarted member has no seeds: it was the seed of the others.
        self.swims[0] = Swim("r0", ("h", 0), TUNING, 9, self.now_us)
        self.advance(300)
        self.assertEqual([swim.live() for swim in self.swims], [["r0", "r1", "r2"]] * MEMBERS)


if __name__ == "__main__":
    unittest.main()
