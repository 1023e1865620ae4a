"""Tests of rollouts with real processes: a voter with a damaged journal, and an agent without a vote."""

import os
import unittest
from pathlib import Path

from tests.fleet import AGENTS
from tests.fleet_command_line import other_agents
from tests.fleet_files import NON_VOTER, NON_VOTER_ROUTER
from tests.rollout_fleet import FleetTest
from tests.standins import eventually


class DamagedJournalTest(FleetTest):
    """A voter whose journal is truncated or overwritten."""

    def test_voter_with_damaged_journal_reports_it_and_others_continue(self) -> None:
        """Its agent runs without a control plane, names the file in its replies, and does not modify it."""
        number = next(n for n in range(AGENTS) if n != self.fleet.leader())
        others = other_agents(number)
        self.start_rollout(others[0], "r0")
        self.fleet.wait_for_phase(others[0], "done")
        file = self.fleet.folder / f"a{number}" / "journal"
        self.assertEqual(self.fleet.agents[number].stop(), 0)
        undamaged = file.read_bytes()
        truncated = undamaged[:2000]
        overwritten = undamaged[:40] + b"\xff" * 200 + undamaged[240:]
        for content in (truncated, os.urandom(5000), overwritten):
            file.write_bytes(content)
            self.fleet.restart_agent(number)
            eventually(lambda: self.fleet.run(number, "ready").exit_code == 0, "its routers to be ready")
            code, _, err = self.fleet.run(number, "rollout", "status")
            self.assertEqual(code, 1)
            self.assertIn(f"it does not run: {file}", err)
            self.assertEqual(self.fleet.phase(others[1]), "done")
            self.assertEqual(self.fleet.agents[number].stop(), 0)
            self.assertEqual(file.read_bytes(), content)
        file.write_bytes(undamaged)
        self.fleet.restart_agent(number)
        self.fleet.wait_until_ready()
        self.start_rollout(number, "r1", "--budget", "2")
        self.fleet.wait_for_phase(others[0], "done")
        self.assertEqual(len(self.fleet.status(number)["history"]), 1)


class NonVoterTest(FleetTest):
    """An agent without a vote, which takes part in rollouts through the voters."""

    def test_replaces_and_restores_router_of_agent_without_vote(self) -> None:
        agent = self.fleet.start_non_voter().program
        eventually(
            lambda: NON_VOTER_ROUTER in self.fleet.status(0)["instances"], "its router to be registered"
        )
        eventually(lambda: self.fleet.run(NON_VOTER, "ready").exit_code == 0, "its router to be ready")
        self.assertEqual(self.release(), "one")
        agent.file.write_text(agent.file.read_text().replace("one", "two"))
        self.start_rollout(NON_VOTER, "--action", "replace", "--budget", "2", NON_VOTER_ROUTER, "r1")
        self.fleet.wait_for_phase(NON_VOTER, "done")
        self.assertEqual(self.release(), "two")
        self.assertEqual(self.fleet.run(NON_VOTER, "rollout", "undo").exit_code, 0)
        self.fleet.wait_for_phase(NON_VOTER, "undone")
        self.assertEqual(self.release(), "one")
        self.wait_until_no_lease(0)
        self.assert_within_budget(2)

    def release(self) -> str:
        """Return the value of RELEASE in the environment of the router, which its agent's file sets."""
        instances = self.fleet.command(NON_VOTER, "status", NON_VOTER_ROUTER).answer["instances"]
        environment = (
            Path(f"/proc/{instances[NON_VOTER_ROUTER]['pid']}/environ").read_bytes().decode().split("\0")
        )
        return next(entry for entry in environment if entry.startswith("RELEASE=")).partition("=")[2]


if __name__ == "__main__":
    unittest.main()
