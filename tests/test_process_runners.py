"""Tests of rollouts of runners with real processes: all routers stop using a runner, and use it again."""

import time
import unittest

from tests.fleet import AGENTS
from tests.rollout_fleet import Calls, FleetTest
from tests.standins import eventually

SUSPEND_LIMIT_S = 2.0  # routers must stop sending calls to a runner within this time after it is suspended
QUIET_S = 1.0  # no call may arrive for this long


class RunnerTest(FleetTest):
    """A fleet with the runners w1, which no agent manages, and w2, a process of the first agent."""

    toy = True

    def test_drains_runner_at_all_routers_and_undoes_it_under_load(self) -> None:
        eventually(lambda: self.fleet.status(0)["runners"] == {"w1": "", "w2": "a0"}, "both runners")
        code, _, err = self.fleet.run(1, "rollout", "start", "--runners", "--budget", "1", "w1")
        self.assertEqual((code, "no agent manages w1" in err), (1, True))
        calls = Calls(self.fleet, 12)
        eventually(lambda: self.call_count() > 10, "calls at the worker")
        self.start_rollout(1, "--runners", "--action", "drain", "--budget", "1", "w1")
        self.wait_for_event("step begun", "w1")
        self.fleet.wait_for_phase(2, "done")
        eventually(
            lambda: len(self.events_named("runner taken out of service")) == AGENTS, "an event of each agent"
        )
        events = self.events_named("runner taken out of service")
        # All routers have suspended the runner by the time of the last agent's event.
        time.sleep(max(0.0, SUSPEND_LIMIT_S - (time.monotonic() - events[-1]["t_us"] / 1e6)))
        self.assert_no_calls_arrive()
        # A restarted router does not know that the runner is suspended, so its agent suspends it again.
        self.assertEqual(self.fleet.run(0, "restart", "r0")[0], 0)
        eventually(lambda: self.fleet.run(0, "ready", "r0")[0] == 0, "r0 to be ready")
        time.sleep(SUSPEND_LIMIT_S)
        before = self.assert_no_calls_arrive()
        self.assertEqual(self.fleet.run(0, "rollout", "undo")[0], 0)
        self.fleet.wait_for_phase(1, "undone")
        # On a busy machine the first load may have ended by now.
        later_calls = Calls(self.fleet, 3)
        eventually(lambda: self.call_count() > before, "further calls at the worker")
        for result in (calls.result(), later_calls.result()):
            self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)

    def test_restarts_runner_while_no_router_uses_it(self) -> None:
        eventually(lambda: self.fleet.status(0)["runners"] == {"w1": "", "w2": "a0"}, "both runners")
        pid = self.pid()
        calls = Calls(self.fleet, 8)
        self.start_rollout(2, "--runners", "--budget", "1", "w2")
        self.fleet.wait_for_phase(1, "done")
        self.assertNotEqual(self.pid(), pid)
        eventually(lambda: len(self.events_named("runner resumed")) == AGENTS, "an event of each agent")
        order = [event["event"] for event in self.fleet.events() if event.get("instance") == "w2"]
        self.assertEqual(
            [
                event
                for event in order
                if event in ("runner taken out of service", "process replaced", "runner resumed")
            ],
            AGENTS * ["runner taken out of service"] + ["process replaced"] + AGENTS * ["runner resumed"],
        )
        result = calls.result()
        self.assertLessEqual(set(result["ends"]), {"served", "refused"}, result)

    def assert_no_calls_arrive(self) -> int:
        """Check that the first worker receives no call for QUIET_S, and return how many it has received."""
        before = self.call_count()
        time.sleep(QUIET_S)
        self.assertEqual(self.call_count(), before)
        return before

    def pid(self) -> int:
        """Return the pid of the runner that the first agent manages."""
        return int(self.fleet.command(0, "status", "w2")[0]["instances"]["w2"]["pid"])

    def call_count(self) -> int:
        """Return how many calls the first worker has received."""
        return sum(line["kind"] == "CALL" for line in list(self.fleet.workers[0].lines))


if __name__ == "__main__":
    unittest.main()
