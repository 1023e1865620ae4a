"""Tests of policy changes during a network partition, a loss of the leader's machine, and message loss."""

import os
import signal
import unittest
from typing import Any

from tests.fleet_command_line import other_agents
from tests.policy_fleet import ROUTERS, PolicyTest
from tests.relay_process import FOREVER
from tests.rollout_fleet import Calls
from tests.standins import eventually

COMMIT_S = 60.0  # timeout of a commit during message loss
POLICY_STALE_S = 1.9  # a little less than the routers' `stale_s`


class FaultTest(PolicyTest):
    """Policy changes with three voters and five real routers, under load and with a fault."""

    def test_isolated_minority_serves_old_epoch_and_learns_new_one_after_heal(self) -> None:
        leader = self.fleet.wait_for_leader()
        others = other_agents(leader)
        minority = self.fleet.routers_of_agent(leader)
        majority = self.fleet.routers_of_agents(others)
        calls = Calls(self.fleet, 18)
        self.fleet.relay.start_faults(split=[{**FOREVER, "sides": [self.fleet.relay_members(leader)]}])
        eventually(lambda: self.fleet.leader(others) is not None, "a leader on the large side")
        eventually(lambda: self.fleet.propose(others[0], attempts=3).exit_code == 0, "the change")
        self.fleet.wait_for_epoch(others[1], 1, majority)
        eventually(lambda: all(self.fleet.metric(name, "policy_stale") == 1 for name in minority), "stale")
        for name in minority:
            self.assertEqual(self.fleet.metric(name, "policy_epoch"), 0)
            self.assertGreater(self.fleet.metric(name, "policy_stale_seconds"), POLICY_STALE_S)
        code, _, err = self.fleet.propose(leader, attempts=4)
        self.assertEqual((code, "it was not taken" in err), (1, True), err)
        self.fleet.relay.heal()
        self.fleet.wait_for_epoch(leader, 1)
        eventually(lambda: all(self.fleet.metric(name, "policy_stale") == 0 for name in minority), "current")
        self.assert_applied_in_time(majority)
        self.check_logs(calls)

    def test_leader_lost_before_commit_leaves_change_applied_by_all_or_none(self) -> None:
        leader = self.fleet.wait_for_leader()
        others = other_agents(leader)
        survivors = self.fleet.routers_of_agents(others)
        calls = Calls(self.fleet, 10)
        pid = self.fleet.pid(survivors[0])
        os.kill(pid, signal.SIGSTOP)  # delays the check of the change by three seconds
        try:
            self.assert_succeeded(self.fleet.propose(others[0], "--no-wait", attempts=3))
            eventually(lambda: len(self.fleet.events_of("verdict")) >= ROUTERS - 1, "the other verdicts")
            self.assertEqual(self.fleet.events_of("commit"), [])
            self.fleet.kill_machine(leader)
        finally:
            os.kill(pid, signal.SIGCONT)
        change: dict[str, Any] = eventually(lambda: self.decided_change(others[0]), "the end of the change")
        epoch = int(change["phase"] == "committed")
        self.fleet.wait_for_epoch(others[1], epoch, survivors)
        self.fleet.restart_agent(leader)
        self.fleet.wait_for_epoch(leader, epoch)
        self.assert_applied_in_time(survivors)
        calls.result()  # not checked, since calls pending at the lost machine are lost
        self.check_logs()

    def decided_change(self, number: int) -> dict[str, Any] | None:
        """Return the policy change that this agent knows if it is committed or aborted, or else None."""
        change = (self.fleet.policy_status(number).get("agreed") or {}).get("change")
        return change if change is not None and change["phase"] != "checking" else None

    def test_change_commits_despite_message_loss(self) -> None:
        """A fifth of all messages is lost, which may delay the change but must not break anything."""
        calls = Calls(self.fleet, 12)
        self.fleet.relay.start_faults(net={"loss": 0.2})
        eventually(lambda: self.fleet.propose(1, attempts=3).exit_code == 0, "a commit", COMMIT_S)
        self.fleet.relay.heal()
        self.fleet.wait_for_epoch(0, 1)
        self.check_logs(calls)


if __name__ == "__main__":
    unittest.main()
