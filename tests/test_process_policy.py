"""Changes of policy by three voting agents with five real routers, through the fault relay, calls flowing."""

import asyncio
import contextlib
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
from tests.fleet import AGENTS, EACH, FOREVER
from tests.policy_fleet import ROUTERS, PolicyFleet, PolicyTest
from tests.rollout_fleet import Calls
from tests.standins import PATIENCE_S, ROOT, eventually

NODES = AGENTS * EACH  # of the relay, before the agents


class ChangeTest(PolicyTest):
    def test_a_change_takes_hold_on_all_under_load_and_is_rolled_back(self) -> None:
        calls = Calls(self.fleet, 8)
        eventually(lambda: len(self.fleet.events_of("attempt")) > 20, "calls")
        self.agreed(self.fleet.propose(0, attempts=3))
        self.fleet.until_all_at(1, 1)
        self.agreed(self.fleet.run(2, "policy", "rollback"))
        self.fleet.until_all_at(0, 2)
        self.assertEqual(self.fleet.policy_status(0)["agreed"]["epochs"][-1]["document"], None)
        self.bound(self.fleet.names)
        self.check(calls)
        seen = {event["epoch"] for _, event in self.fleet.events_of("attempt")}
        self.assertEqual(seen, {0, 1, 2})
        for words, reason in (
            (("rollback", "--to", "9"), "there is no epoch 9 to go back to: 0, 1 kept"),
            (("rollback", "--base", "1"), "made on epoch 1, and the epoch is 2"),
        ):
            code, _, err = self.fleet.run(0, "policy", *words)
            self.assertEqual((code, reason in err), (1, True), err)
        code, _, err = self.fleet.propose(0, attempts=0)
        self.assertEqual((code, "rules.attempts: must be 1 or more" in err), (2, True), err)
        out = self.fleet.run(0, "policy", "status")[1]
        self.assertIn("epoch 2: the files' own, of epoch 0 again", out)
        self.assertEqual(out.count("\tcurrent\t"), ROUTERS, out)

    def test_a_sighup_amid_a_change_takes_the_files_other_settings_and_none_of_its_policy(self) -> None:
        calls = Calls(self.fleet, 8)
        file = self.fleet.folder / "r0.toml"
        text = file.read_text().replace("[rules]", "[rules]\nattempts = 1").replace("1000", "900")
        file.write_text(text.replace("open_most = 400", "open_most = 399"))
        pid = self.fleet.pid("r0")
        changes = [
            threading.Thread(target=self.fleet.propose, args=(1,), kwargs={"attempts": 3 + n})
            for n in range(2)
        ]
        for change in changes:
            change.start()
            for _ in range(10):
                os.kill(pid, signal.SIGHUP)
                time.sleep(0.05)
            change.join(PATIENCE_S)
        self.fleet.until_all_at(0, 2)
        self.assertGreaterEqual(self.fleet.figure("r0", "policy_reloads_refused_total"), 2)
        reply = self.fleet.command(0, "reload", "r0")[0]["reload"]["r0"]
        self.assertEqual((reply["ok"], reply["restart"]), (True, []))
        warned = [line for line in self.fleet.agents[0].log if "the file's policy has changed" in line]
        self.assertTrue(warned)
        self.assertEqual(self.attempts_cap("r0"), 4)
        self.assertEqual(self.tenant_limit_taken(), True)
        self.bound(self.fleet.names)
        self.check(calls)

    def attempts_cap(self, name: str) -> int:
        """Of the policy in force there, as its record has it."""
        record = json.loads((self.fleet.folder / f"policy{name[1:]}" / "policy.json").read_bytes())
        return int(record["body"]["document"]["rules"]["attempts"])

    def tenant_limit_taken(self) -> bool:
        return any("reloaded; taken: " in line and "invoke" in line for line in self.fleet.agents[0].log)

    def test_a_router_that_was_down_and_one_that_stood_still_learn_it_before_they_take_calls(self) -> None:
        calls = Calls(self.fleet, 16)
        down = "r1"
        still = "r4"
        self.assertEqual(self.fleet.run(0, "stop", down)[0], 0)
        pid = self.fleet.pid(still)
        os.kill(pid, signal.SIGSTOP)
        try:
            # One that was let serve just before it stood still is waited for, and the change given up.
            out = eventually(lambda: self.fleet.propose(0, attempts=3)[1], "the change")
            self.assertIn("not there, and to learn it on return: r1, r4", out)
            resumed_us = time.monotonic_ns() // 1000
        finally:
            os.kill(pid, signal.SIGCONT)
        self.assertEqual(self.fleet.run(0, "restart", down)[0], 0)
        self.fleet.until_all_at(2, 1)
        eventually(lambda: self.fleet.run(0, "ready", down)[0] == 0, "r1 ready")
        self.bound(["r0", "r2", "r3"])
        result = calls.result()
        self.assertGreater(result["served_share"], 0.6, result)  # a fifth of the fronts stood still
        self.check()
        known = {
            event["call"]
            for name, event in self.fleet.events_of("attempt")
            if name == still and event["t_us"] < resumed_us
        }
        back = [
            event
            for name, event in self.fleet.events_of("attempt")
            if name in (down, still) and event["t_us"] > resumed_us
        ]
        new = [event["epoch"] for event in back if event["call"] not in known or event["epoch"]]
        self.assertEqual(set(new), {1})


class FaultTest(PolicyTest):
    def test_a_minority_cut_off_serves_by_the_old_epoch_says_so_and_learns_it_at_the_healing(self) -> None:
        leader = self.leader()
        others = self.agents(leader)
        mine = self.fleet.of(leader)
        theirs = [name for number in others for name in self.fleet.of(number)]
        calls = Calls(self.fleet, 18)
        small = [*(int(name[1:]) for name in mine), NODES + leader]  # with the leader on the small side
        self.fleet.relay.begin(split=[{**FOREVER, "sides": [small]}])
        eventually(lambda: self.fleet.leader(others) is not None, "a leader on the large side")
        eventually(lambda: self.fleet.propose(others[0], attempts=3)[0] == 0, "the change")
        self.fleet.until_all_at(others[1], 1, theirs)
        eventually(lambda: all(self.fleet.figure(name, "policy_stale") == 1 for name in mine), "stale")
        for name in mine:
            self.assertEqual(self.fleet.figure(name, "policy_epoch"), 0)
            self.assertGreater(self.fleet.figure(name, "policy_stale_seconds"), 1.9)
        code, _, err = self.fleet.propose(leader, attempts=4)
        self.assertEqual((code, "it was not taken" in err), (1, True), err)
        self.fleet.relay.ask("heal")
        self.fleet.until_all_at(leader, 1)
        eventually(lambda: all(self.fleet.figure(name, "policy_stale") == 0 for name in mine), "current")
        self.bound(theirs)
        self.check(calls)

    def test_a_leader_lost_between_check_and_commit_leaves_it_everywhere_or_nowhere(self) -> None:
        leader = self.leader()
        others = self.agents(leader)
        theirs = [name for number in others for name in self.fleet.of(number)]
        calls = Calls(self.fleet, 10)
        still = theirs[0]
        pid = self.fleet.pid(still)
        os.kill(pid, signal.SIGSTOP)  # so that the check takes three seconds
        try:
            self.agreed(self.fleet.propose(others[0], "--no-wait", attempts=3))
            eventually(lambda: len(self.fleet.events_of("verdict")) >= ROUTERS - 1, "the other verdicts")
            self.assertEqual(self.fleet.events_of("commit"), [])
            lost = self.fleet.agents[leader]
            routers = self.fleet.routers_of(lost)
            lost.process.kill()
            for router_pid in routers:  # a whole machine
                with contextlib.suppress(ProcessLookupError):
                    os.kill(router_pid, signal.SIGKILL)
            lost.process.wait()
        finally:
            os.kill(pid, signal.SIGCONT)
        change: dict[str, Any] = eventually(lambda: self.decided(others[0]), "an end of the change")
        epoch = int(change["phase"] == "committed")
        self.fleet.until_all_at(others[1], epoch, theirs)
        log = list(lost.log)
        self.fleet.agents[leader] = self.fleet.start(leader)
        self.fleet.agents[leader].log[:0] = log
        self.fleet.until_all_at(leader, epoch)
        self.bound(theirs)
        calls.result()  # those in hand at the lost machine are lost by nature
        self.check()

    def decided(self, number: int) -> dict[str, Any] | None:
        change = (self.fleet.policy_status(number).get("agreed") or {}).get("change")
        return change if change is not None and change["phase"] != "checking" else None

    def test_a_fifth_of_all_messages_lost_delays_a_change_and_breaks_nothing(self) -> None:
        calls = Calls(self.fleet, 12)
        self.fleet.relay.begin(net={"loss": 0.2})
        eventually(lambda: self.fleet.propose(1, attempts=3)[0] == 0, "a commit", 60.0)
        self.fleet.relay.ask("heal")
        self.fleet.until_all_at(0, 1)
        self.check(calls)


class OlderTest(PolicyTest):
    """The last router runs a build that does not know one of the settings."""

    def made(self) -> PolicyFleet:
        folder = Path(tempfile.mkdtemp())
        shutil.copytree(ROOT / "maplestile", folder / "maplestile")
        file = folder / "maplestile" / "invoke" / "operator_file.py"
        setting = 'rules.flag("second_copies", True)'
        self.assertIn(setting, file.read_text())
        file.write_text(file.read_text().replace(setting, "True"))
        return PolicyFleet(self, older=str(folder))

    def test_it_refuses_what_it_does_not_know_and_nobody_takes_it(self) -> None:
        calls = Calls(self.fleet, 10)
        code, _, err = self.fleet.propose(0, second_copies=False)
        reason = "r4 refuses it: rules.second_copies: is not known here"
        self.assertEqual((code, reason in err), (1, True), err)
        eventually(lambda: reason in self.fleet.run(2, "policy", "status")[1], "the reason at another agent")
        self.assertEqual(self.fleet.events_of("commit"), [])
        self.assertEqual({event["epoch"] for _, event in self.fleet.events_of("applied")}, {0})
        codes = list[int]()

        def propose(number: int) -> None:
            codes.append(self.propose_on_first_epoch(number, {"rules": {"attempts": 3 + number}}))

        proposals = [threading.Thread(target=propose, args=(number,)) for number in (0, 2)]
        for proposal in proposals:
            proposal.start()
        for proposal in proposals:
            proposal.join(PATIENCE_S)
        self.assertEqual(sorted(codes), [0, 1])  # of two at once one wins
        self.fleet.until_all_at(1, 1)
        _, listen = self.fleet.start_non_voter()  # an agent without a vote, whose router joins late
        eventually(lambda: self.fleet.epochs(3).get("r6") == 1, "the epoch at r6")
        self.assertEqual(listen, self.fleet.listens[3])
        self.agreed(self.fleet.propose(3, attempts=2))
        self.fleet.until_all_at(0, 2, [*self.fleet.names, "r6"])
        self.bound(self.fleet.names)
        self.check(calls)

    def propose_on_first_epoch(self, number: int, document: dict[str, Any]) -> int:
        """0 for a proposal that was taken up; made on epoch 0, whatever stands by then."""
        own = tomllib.loads((self.fleet.folder / "r0.toml").read_text())
        command = {"document": {**document, "class": own["class"]}, "base": 0}
        address = ("127.0.0.1", self.fleet.listens[number])
        return int(
            "error" in asyncio.run(send_command(address, "policy", [], what="propose", command=command))
        )


if __name__ == "__main__":
    unittest.main()
