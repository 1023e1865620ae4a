"""Rollouts agreed on by three agents with two real routers each, through the fault relay, calls flowing."""

import asyncio
import os
import signal
import threading
import time
import unittest
from typing import Any

from maplestile.agent import supervisor as agent
from tests.fleet import AGENTS, EACH, FOREVER, ROLLOUT_S
from tests.rollout_fleet import Calls, FleetTest
from tests.standins import PATIENCE_S, eventually


class RolloutTest(FleetTest):
    def test_all_are_restarted_under_load_within_the_budget(self) -> None:
        pids = {name: self.fleet.pid(name) for name in self.fleet.names}
        calls = Calls(self.fleet, 10)
        self.start(1, "--budget", "2")
        self.fleet.until_phase(2, "done")
        self.assert_within_budget(2)
        self.no_call_lost_or_run_twice(calls.result())
        after = {name: self.fleet.pid(name) for name in self.fleet.names}
        self.assertTrue(all(after[name] != pids[name] for name in pids))
        self.assertEqual(
            sorted(event["instance"] for event in self.events_named("drained")), self.fleet.names
        )

    def test_of_two_operators_at_once_one_wins_and_the_other_hears_why(self) -> None:
        answers = list[dict[str, Any]]()

        def start(number: int) -> None:
            address = ("127.0.0.1", self.fleet.listens[number])
            command = {"action": "restart", "budget": 1, "targets": ["r0"]}
            sending = agent.send_command(address, "rollout", [], what="start", command=command)
            answers.append(asyncio.run(sending))

        threads = [threading.Thread(target=start, args=(number,)) for number in (0, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PATIENCE_S)
        refused = [answer["error"] for answer in answers if "error" in answer]
        self.assertEqual((len(answers), len(refused)), (2, 1))
        self.assertIn("is running: it has to end, or be undone, first", refused[0])
        self.fleet.until_phase(1, "done")
        self.assertEqual(len(self.events_named("operator start")), 1)
        for words, reason in (
            (("start", "--budget", "2", "r9"), "unknown instance: r9"),
            (("start", "--budget", "none"), "budget: must be a count"),
            (("start", "--budget", "0%"), "budget: 0% is not"),
            (("start", "--action", "drain", "--budget", "1", "r0", "r1"), "a drain leaves 2 out"),
            (("halt",), "is done"),
            (("release", "r0"), "'r0' is not out"),
        ):
            code, _, err = self.fleet.run(0, "rollout", *words)
            self.assertEqual(code, 1)
            self.assertIn(reason, err)
        self.until_none_out(0)  # nothing half done

    def test_a_drain_is_halted_and_undone_in_reverse_order_under_load(self) -> None:
        self.hang(4)  # the drain of r4 takes as long as this call, so that the halt comes in the midst
        calls = Calls(self.fleet, 10)
        self.start(0, "--action", "drain", "--budget", "3", "r1", "r2", "r4")
        eventually(lambda: len(self.status()["done"]) >= 1, "a drained router")
        self.assertEqual(self.fleet.run(1, "rollout", "halt", "--reason", "a look")[0], 0)
        halted_us = time.monotonic_ns() // 1000
        eventually(
            lambda: all(lease["stage"] == "out" for lease in self.fleet.status(2)["leases"]),
            "what was under way to finish",
        )
        time.sleep(1.5)
        late = [
            event
            for event in self.fleet.events()
            if event["event"] == "begin" and event["t_us"] > halted_us + 1_000_000
        ]
        self.assertEqual(late, [])
        done = self.status()["done"]
        self.assertEqual(self.fleet.run(2, "rollout", "undo")[0], 0)
        self.fleet.until_phase(0, "undone")
        eventually(lambda: len(self.events_named("back")) == len(done), "the events of their returns")
        self.assertEqual([event["instance"] for event in self.events_named("back")], list(reversed(done)))
        self.assert_within_budget(3)
        self.no_call_lost_or_run_twice(calls.result())
        self.assertEqual(self.fleet.run(0, "ready")[0], 0)

    def test_a_halt_that_crosses_a_granted_step_leaves_its_router_alone(self) -> None:
        """The holder stands still from before the grant till after the halt, and then reads of both."""
        number = next(n for n in self.agents() if n != self.fleet.leader())
        name = self.fleet.of(number)[0]
        peer = (number + 1) % AGENTS
        pid = self.fleet.pid(name)
        holder = self.fleet.agents[number].process
        holder.send_signal(signal.SIGSTOP)
        try:
            self.start(peer, "--budget", "3", name)
            eventually(
                lambda: (
                    [(one["instance"], one["stage"]) for one in self.fleet.status(peer)["leases"]]
                    == [(name, "granted")]
                ),
                "the grant",
            )
            self.assertEqual(self.fleet.run(peer, "rollout", "halt", "--reason", "a look")[0], 0)
            self.until_none_out(peer)
        finally:
            holder.send_signal(signal.SIGCONT)
        eventually(lambda: self.fleet.phase(number) == "halted", "the holder to know of the halt")
        time.sleep(1.0)
        self.assertEqual((self.events_named("begin"), self.fleet.pid(name)), ([], pid))
        self.assertEqual(self.fleet.run(peer, "rollout", "resume")[0], 0)
        self.fleet.until_phase(peer, "done")
        self.assertNotEqual(self.fleet.pid(name), pid)
        self.assert_within_budget(3)

    def test_with_the_leaders_machine_lost_the_others_go_on_and_it_is_made_up_for(self) -> None:
        leader = self.fleet.leader()
        assert leader is not None
        others = self.agents(leader)
        self.start(others[0], "--budget", "3")
        self.until_event("begin")
        lost = self.fleet.agents[leader]
        orphans = self.fleet.routers_of(lost)
        lost.process.kill()
        for pid in orphans:  # a whole machine
            self.kill(pid)
        theirs = self.theirs(others)
        eventually(
            lambda: theirs <= set(self.fleet.status(others[0])["rollout"]["done"]), "the others", ROLLOUT_S
        )
        self.assertLessEqual(self.fleet.worst_out(), 3)
        lost.process.wait()
        log = list(lost.log)
        self.fleet.agents[leader] = self.fleet.start(leader)
        self.fleet.agents[leader].log[:0] = log
        self.fleet.until_phase(others[1], "done")
        self.until_none_out(leader)

    def test_a_split_with_the_leader_on_the_small_side_starts_nothing_there(self) -> None:
        leader = self.fleet.leader()
        assert leader is not None
        others = self.agents(leader)
        calls = Calls(self.fleet, 10)
        self.start(others[0], "--budget", "3")
        self.until_event("begin")
        small = [leader * EACH, leader * EACH + 1, len(self.fleet.names) + leader]
        self.fleet.relay.begin(split=[{**FOREVER, "sides": [small]}])
        split_us = time.monotonic_ns() // 1000
        eventually(lambda: self.fleet.leader(others) is not None, "a leader on the large side")
        theirs = self.theirs(others)
        eventually(
            lambda: theirs <= set(self.fleet.status(others[0])["rollout"]["done"]), "the others", ROLLOUT_S
        )
        code, _, err = self.fleet.run(leader, "rollout", "halt")
        self.assertEqual(code, 1)
        self.assertIn("it was not taken", err)  # and so it must not take effect at the healing
        begun = [
            event["instance"]
            for event in self.fleet.events()
            if event["event"] == "begin" and event["t_us"] > split_us + 1_000_000
        ]
        self.assertLessEqual(set(begun), theirs)
        self.fleet.relay.ask("heal")
        self.fleet.until_phase(leader, "done")
        self.assert_within_budget(3)
        self.no_call_lost_or_run_twice(calls.result())

    def test_a_fifth_of_all_messages_lost_delays_a_rollout_and_breaks_nothing(self) -> None:
        calls = Calls(self.fleet, 10)
        self.fleet.relay.begin(net={"loss": 0.2})
        eventually(lambda: self.fleet.run(0, "rollout", "start", "--budget", "2")[0] == 0, "the start")
        eventually(lambda: self.fleet.phase(0) in ("done", "halted"), "an end", ROLLOUT_S)
        if self.fleet.phase(0) == "halted":  # it saw an outage that was none, which an operator may judge
            self.fleet.relay.ask("heal")
            self.fleet.run(0, "rollout", "resume")
            self.fleet.until_phase(0, "done")
        self.assert_within_budget(2)
        self.no_call_lost_or_run_twice(calls.result())


class StuckTest(FleetTest):
    """Steps that take longer than they may."""

    step_s = 16.0  # also enough for the steps that do end, on a busy machine

    def test_a_router_that_stands_still_in_its_drain_is_not_called_drained(self) -> None:
        pid = self.fleet.pid("r0")
        hung = self.hang(0)
        self.start(1, "--budget", "1", "r0", "r3")
        self.until_event("begin")
        os.kill(pid, signal.SIGSTOP)
        try:
            self.fleet.until_phase(1, "halted")
            rollout = self.fleet.status(1)["rollout"]
            self.assertIn("r0 takes over", rollout["reason"])
            self.assertNotIn("drained", [event["event"] for event in self.fleet.events()])
            eventually(lambda: [one["instance"] for one in self.fleet.status(2)["leases"]] == ["r0"], "r0")
        finally:
            os.kill(pid, signal.SIGCONT)
        self.until_none_out(1)  # after its drain, its end and its return
        self.assertTrue(hung.answered.wait(PATIENCE_S))
        self.assertEqual(self.fleet.run(2, "rollout", "resume")[0], 0)
        self.fleet.until_phase(0, "done")
        self.assert_within_budget(1)

    def test_an_agent_that_dies_with_a_lease_keeps_it_until_an_operator_releases_it(self) -> None:
        number = next(n for n in self.agents() if n != self.fleet.leader())
        name = f"r{number * EACH}"
        other = f"r{(number + 1) % AGENTS * EACH}"
        self.hang(number * EACH)
        self.start((number + 1) % AGENTS, "--budget", "3", name, other)
        self.until_event("begin", name)
        orphans = self.fleet.routers_of(self.fleet.agents[number])
        self.fleet.agents[number].process.kill()
        peer = (number + 1) % AGENTS
        self.fleet.until_phase(peer, "halted")
        held = [lease["instance"] for lease in self.fleet.status(peer)["leases"]]
        self.assertEqual(held, [name])
        self.assertEqual(self.fleet.run(peer, "rollout", "release", name)[0], 0)
        self.until_none_out(peer)
        for pid in orphans:
            self.kill(pid)
        self.fleet.agents[number].process.wait()
        self.fleet.agents[number] = self.fleet.start(number)
        eventually(lambda: self.fleet.run(number, "ready")[0] == 0, "the agent and its routers back")
        self.fleet.run(peer, "rollout", "resume")
        self.fleet.until_phase(peer, "done")


if __name__ == "__main__":
    unittest.main()
