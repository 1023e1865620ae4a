"""Tests of policy changes by three voters with five real routers, behind the fault relay and under load."""

import asyncio
import json
import os
import shutil
import signal
import tempfile
import threading
import time
import tomllib
import unittest
from pathlib import Path
from typing import Any

from maplestile.agent.supervisor import send_command
from tests.fleet_files import NON_VOTER, NON_VOTER_ROUTER
from tests.policy_fleet import MIN_CALLS, ROUTERS, PolicyFleet, PolicyTest
from tests.rollout_fleet import Calls
from tests.standins import PATIENCE_S, ROOT, eventually

MIN_SERVED_SHARE_WITH_PAUSED_ROUTER = 0.6  # one of five routers is paused
LOAD_AFTER_RETURN_S = 4.0  # duration of the load on routers that have come back


class ChangeTest(PolicyTest):
    """Policy changes under load, without faults of machines or the network."""

    def test_change_is_applied_by_all_routers_under_load_and_rolled_back(self) -> None:
        calls = Calls(self.fleet, 8)
        eventually(lambda: len(self.fleet.events_of("attempt")) > MIN_CALLS, "calls")
        self.assert_succeeded(self.fleet.propose(0, attempts=3))
        self.fleet.wait_for_epoch(1, 1)
        self.assert_succeeded(self.fleet.run(2, "policy", "rollback"))
        self.fleet.wait_for_epoch(0, 2)
        self.assertEqual(self.fleet.policy_status(0)["agreed"]["epochs"][-1]["document"], None)
        self.assert_applied_in_time(self.fleet.names)
        self.check_logs(calls)
        seen = {event["epoch"] for _, event in self.fleet.events_of("attempt")}
        self.assertEqual(seen, {0, 1, 2})
        self.check_rejected_changes()
        out = self.fleet.run(0, "policy", "status").output
        self.assertIn("epoch 2: the files' own, of epoch 0 again", out)
        self.assertEqual(out.count("\tcurrent\t"), ROUTERS, out)

    def check_rejected_changes(self) -> None:
        """Check that invalid rollbacks and proposals at epoch 2 are rejected with a reason."""
        for arguments, reason in (
            (("rollback", "--to", "9"), "there is no epoch 9 to go back to: 0, 1 kept"),
            (("rollback", "--base", "1"), "made on epoch 1, and the epoch is 2"),
        ):
            code, _, err = self.fleet.run(0, "policy", *arguments)
            self.assertEqual((code, reason in err), (1, True), err)
        code, _, err = self.fleet.propose(0, attempts=0)
        self.assertEqual((code, "rules.attempts: must be 1 or more" in err), (2, True), err)

    def test_reload_during_change_applies_other_settings_but_not_policy(self) -> None:
        calls = Calls(self.fleet, 8)
        self.edit_policy_and_tenant_limit("r0")
        pid = self.fleet.pid("r0")
        for attempts in (3, 4):
            self.propose_during_reloads(pid, attempts)
        self.fleet.wait_for_epoch(0, 2)
        self.assertGreaterEqual(self.fleet.metric("r0", "policy_reloads_refused_total"), 2)
        reply = self.fleet.command(0, "reload", "r0").answer["reload"]["r0"]
        self.assertEqual((reply["ok"], reply["restart"]), (True, []))
        warned = [line for line in self.fleet.agents[0].log if "the file's policy has changed" in line]
        self.assertTrue(warned)
        self.assertEqual(self.stored_attempt_limit("r0"), 4)
        self.assertEqual(self.has_reloaded_tenant_limit(), True)
        self.assert_applied_in_time(self.fleet.names)
        self.check_logs(calls)

    def edit_policy_and_tenant_limit(self, router: str) -> None:
        """Change the policy and the limit of a tenant in a router's file."""
        file = self.fleet.folder / f"{router}.toml"
        text = file.read_text().replace("[rules]", "[rules]\nattempts = 1").replace("1000", "900")
        file.write_text(text.replace("open_most = 400", "open_most = 399"))

    def propose_during_reloads(self, pid: int, attempts: int) -> None:
        """Propose a policy change while a router gets repeated SIGHUPs."""
        proposal = threading.Thread(target=self.fleet.propose, args=(1,), kwargs={"attempts": attempts})
        proposal.start()
        for _ in range(10):
            os.kill(pid, signal.SIGHUP)
            time.sleep(0.05)
        proposal.join(PATIENCE_S)

    def stored_attempt_limit(self, name: str) -> int:
        """Return the limit on attempts in the policy that a router has stored on disk."""
        record = json.loads((self.fleet.folder / f"policy{name[1:]}" / "policy.json").read_bytes())
        return int(record["body"]["document"]["rules"]["attempts"])

    def has_reloaded_tenant_limit(self) -> bool:
        """Return whether a router has logged that it reloaded the settings of its invoke front."""
        return any(
            "reloaded; applied changes: " in line and "invoke" in line for line in self.fleet.agents[0].log
        )

    def test_stopped_and_paused_routers_learn_change_before_taking_calls(self) -> None:
        calls = Calls(self.fleet, 16)
        down = "r1"
        paused = "r4"
        self.assertEqual(self.fleet.run(0, "stop", down).exit_code, 0)
        pid = self.fleet.pid(paused)
        os.kill(pid, signal.SIGSTOP)
        try:
            # Retried, because a change waits for a router that may have served just before its pause, and is
            # then abandoned.
            out = eventually(lambda: self.fleet.propose(0, attempts=3).output, "the change")
            self.assertIn("not there, and to learn it on return: r1, r4", out)
            resumed_us = time.monotonic_ns() // 1000
        finally:
            os.kill(pid, signal.SIGCONT)
        self.assertEqual(self.fleet.run(0, "restart", down).exit_code, 0)
        self.fleet.wait_for_epoch(2, 1)
        eventually(lambda: self.fleet.run(0, "ready", down).exit_code == 0, "r1 ready")
        self.assert_applied_in_time(["r0", "r2", "r3"])
        # The second load begins once both routers are back, however long that took on a busy machine.
        for load in (calls, Calls(self.fleet, LOAD_AFTER_RETURN_S)):
            result = load.result()
            self.assertGreater(result["served_share"], MIN_SERVED_SHARE_WITH_PAUSED_ROUTER, result)
        self.check_logs()
        for name in (down, paused):
            self.assertEqual(self.epochs_of_new_calls(name, resumed_us), {1}, name)

    def epochs_of_new_calls(self, name: str, resumed_us: int) -> set[int]:
        """Return the epochs of the attempts of calls that a router accepted after `resumed_us`.

        A call that it accepted before keeps the policy under which it arrived.
        """
        return {
            event["epoch"]
            for router, event in self.fleet.events_of("attempt")
            if router == name and event["t_us"] - event["age_us"] > resumed_us
        }


class OlderBuildTest(PolicyTest):
    """A fleet whose last router runs an older build that does not know one of the settings."""

    def create_fleet(self) -> PolicyFleet:
        """Return a fleet whose last router runs a copy of the program without the setting."""
        folder = Path(tempfile.mkdtemp())
        shutil.copytree(ROOT / "maplestile", folder / "maplestile")
        file = folder / "maplestile" / "invoke" / "operator_file.py"
        setting = 'rules.boolean("second_copies", True)'
        self.assertIn(setting, file.read_text())
        file.write_text(file.read_text().replace(setting, "True"))
        return PolicyFleet(self, older_build=str(folder))

    def test_unknown_setting_is_refused_and_applied_by_no_router(self) -> None:
        calls = Calls(self.fleet, 10)
        code, _, err = self.fleet.propose(0, second_copies=False)
        reason = "r4 refuses it: rules.second_copies: is not known here"
        self.assertEqual((code, reason in err), (1, True), err)
        eventually(
            lambda: reason in self.fleet.run(2, "policy", "status").output, "the reason at another agent"
        )
        self.assertEqual(self.fleet.events_of("commit"), [])
        self.assertEqual({event["epoch"] for _, event in self.fleet.events_of("applied")}, {0})
        self.assertEqual(
            self.propose_concurrently(0, 2), [False, True]
        )  # one of two concurrent ones is accepted
        self.fleet.wait_for_epoch(1, 1)
        _, port = self.fleet.start_non_voter()  # an agent that is no voter; its router joins late
        eventually(lambda: self.fleet.epochs(NON_VOTER).get(NON_VOTER_ROUTER) == 1, "the epoch at r6")
        self.assertEqual(port, self.fleet.agent_ports[NON_VOTER])
        self.assert_succeeded(self.fleet.propose(NON_VOTER, attempts=2))
        self.fleet.wait_for_epoch(0, 2, [*self.fleet.names, NON_VOTER_ROUTER])
        self.assert_applied_in_time(self.fleet.names)
        self.check_logs(calls)

    def propose_concurrently(self, *numbers: int) -> list[bool]:
        """Propose a policy at each of these agents concurrently; return, sorted, which were accepted."""
        accepted = list[bool]()

        def propose(number: int) -> None:
            accepted.append(self.propose_on_first_epoch(number, {"rules": {"attempts": 3 + number}}))

        proposals = [threading.Thread(target=propose, args=(number,)) for number in numbers]
        for proposal in proposals:
            proposal.start()
        for proposal in proposals:
            proposal.join(PATIENCE_S)
        return sorted(accepted)

    def propose_on_first_epoch(self, number: int, document: dict[str, Any]) -> bool:
        """Propose a policy based on epoch 0, even if it is outdated; return whether it was accepted."""
        own = tomllib.loads((self.fleet.folder / "r0.toml").read_text())
        command = {"document": {**document, "class": own["class"]}, "base": 0}
        address = ("127.0.0.1", self.fleet.agent_ports[number])
        return "error" not in asyncio.run(
            send_command(address, "policy", [], what="propose", command=command)
        )


if __name__ == "__main__":
    unittest.main()
