"""Rollouts of runners by real processes: taken out at all routers, and back."""

import time
import unittest

from tests.fleet import AGENTS
from tests.rollout_fleet import Calls, FleetTest
from tests.standins import eventually

DRAIN_BINDS_S = 2.0  # within which routers obey a drain that they are notified of
QUIET_S = 1.0


class RunnerTest(FleetTest):
    """Runners taken out at all routers, one of them a process of the first agent."""

    toy = True

    def test_a_runner_is_drained_at_all_routers_and_undone_under_load(self) -> None:
        eventually(lambda: self.fleet.status(0)["runners"] == {"w1": "", "w2": "a0"}, "the runners")
        code, _, err = self.fleet.run(1, "rollout", "start", "--runners", "--budget", "1", "w1")
        self.assertEqual((code, "no agent manages w1" in err), (1, True))
        calls = Calls(self.fleet, 12)
        eventually(lambda: self.call_count() > 10, "calls there")
        self.start_rollout(1, "--runners", "--action", "drain", "--budget", "1", "w1")
        self.wait_for_event("begin", "w1")
        self.fleet.wait_for_phase(2, "done")
        eventually(lambda: len(self.events_named("out")) == AGENTS, "the reports of all agents")
        out = self.events_named("out")
        # All routers were notified before the last agent said so.
        time.sleep(max(0.0, DRAIN_BINDS_S - (time.monotonic() - out[-1]["t_us"] / 1e6)))
        self.assert_no_calls_come()
        # A router that is started anew does not know of it, and is notified at once.
        self.assertEqual(self.fleet.run(0, "restart", "r0")[0], 0)
        eventually(lambda: self.fleet.run(0, "ready", "r0")[0] == 0, "r0 back")
        time.sleep(DRAIN_BINDS_S)
        before = self.assert_no_calls_come()
        self.assertEqual(self.fleet.run(0, "rollout", "undo")[0], 0)
        self.fleet.wait_for_phase(1, "undone")
        # On a busy machine the first calls may be over by now.
        later_calls = Calls(self.fleet, 3)
        eventually(lambda: self.call_count() > before, "calls there again")
        for result in (calls.result(), later_calls.result()):
            self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)

    def test_a_runner_is_restarted_while_no_router_uses_it(self) -> None:
        eventually(lambda: self.fleet.status(0)["runners"] == {"w1": "", "w2": "a0"}, "the runners")
        pid = self.pid()
        calls = Calls(self.fleet, 8)
        self.start_rollout(2, "--runners", "--budget", "1", "w2")
        self.fleet.wait_for_phase(1, "done")
        self.assertNotEqual(self.pid(), pid)
        eventually(lambda: len(self.events_named("in")) == AGENTS, "the reports of all agents")
        order = [event["event"] for event in self.fleet.events() if event.get("instance") == "w2"]
        self.assertEqual(
            [event for event in order if event in ("out", "renewed", "in")],
            AGENTS * ["out"] + ["renewed"] + AGENTS * ["in"],
        )
        result = calls.result()
        self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)

    def assert_no_calls_come(self) -> int:
        """Check that the first worker gets no call for a while, and return how many it has got."""
        before = self.call_count()
        time.sleep(QUIET_S)
        self.assertEqual(self.call_count(), before)
        return before

    def pid(self) -> int:
        """Return the process of the first agent's worker."""
        return int(self.fleet.command(0, "status", "w2")[0]["instances"]["w2"]["pid"])

    def call_count(self) -> int:
        """Return how many calls the first worker has got."""
        return sum(line["kind"] == "CALL" for line in list(self.fleet.workers[0].lines))


if __name__ == "__main__":
    unittest.main()
