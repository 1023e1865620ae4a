"""Rollouts with a voter whose folder is damaged, and with an agent that is no voter, by real processes."""

import os
import unittest
from pathlib import Path

from tests.rollout_fleet import FleetTest
from tests.standins import eventually


class DamagedTest(FleetTest):
    """A voter whose journal was cut, or overwritten: it takes no part, and says why."""

    def test_damaged_journal_is_refused_with_its_place_and_spoils_nothing_for_the_others(self) -> None:
        number = next(n for n in self.agents() if n != self.fleet.leader())
        others = self.agents(number)
        self.start(others[0], "r0")
        self.fleet.until_phase(others[0], "done")
        file = self.fleet.folder / f"a{number}" / "journal"
        self.assertEqual(self.fleet.agents[number].stop(), 0)
        whole = file.read_bytes()
        for content in (whole[:2000], os.urandom(5000), whole[:40] + b"\xff" * 200 + whole[240:]):
            file.write_bytes(content)
            self.fleet.agents[number] = self.fleet.start(number)
            eventually(lambda: self.fleet.run(number, "ready")[0] == 0, "its routers")
            code, _, err = self.fleet.run(number, "rollout", "status")
            self.assertEqual(code, 1)
            self.assertIn(f"it does not run: {file}", err)
            self.assertEqual(self.fleet.phase(others[1]), "done")
            self.assertEqual(self.fleet.agents[number].stop(), 0)
            self.assertEqual(file.read_bytes(), content)
        file.write_bytes(whole)
        self.fleet.agents[number] = self.fleet.start(number)
        self.fleet.until_whole()
        self.start(number, "r1", "--budget", "2")
        self.fleet.until_phase(others[0], "done")
        self.assertEqual(len(self.fleet.status(number)["history"]), 1)


class NonVoterTest(FleetTest):
    """An agent without a vote takes part through those that have one."""

    def test_its_router_is_replaced_and_restored_through_the_voters(self) -> None:
        agent, _ = self.fleet.start_non_voter()
        eventually(lambda: "r6" in self.fleet.status(0)["instances"], "its router known to all")
        eventually(lambda: self.fleet.run(3, "ready")[0] == 0, "its router ready")
        self.assertEqual(self.release(), "one")
        agent.file.write_text(agent.file.read_text().replace("one", "two"))
        self.start(3, "--action", "replace", "--budget", "2", "r6", "r1")
        self.fleet.until_phase(3, "done")
        self.assertEqual(self.release(), "two")
        self.assertEqual(self.fleet.run(3, "rollout", "undo")[0], 0)
        self.fleet.until_phase(3, "undone")
        self.assertEqual(self.release(), "one")
        self.until_none_out(0)
        self.assert_within_budget(2)

    def release(self) -> str:
        """What the environment of r6 says, as its agent's file had it at its start."""
        pid = self.fleet.command(3, "status", "r6")[0]["instances"]["r6"]["pid"]
        environment = Path(f"/proc/{pid}/environ").read_bytes().decode().split("\0")
        return next(entry for entry in environment if entry.startswith("RELEASE=")).partition("=")[2]


if __name__ == "__main__":
    unittest.main()
