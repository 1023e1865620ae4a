"""Tests of rollouts by three agents with two real routers each, under load and through the fault relay."""

import asyncio
import os
import signal
import threading
import time
import unittest
from typing import Any

from maplestile.agent.supervisor import send_command
from tests.fleet import AGENTS, FOREVER, ROLLOUT_S, kill_processes
from tests.fleet_command_line import other_agents
from tests.rollout_fleet import Calls, FleetTest
from tests.standins import PATIENCE_S, eventually

HALT_KNOWN_US = 1_000_000  # steps that were granted before a halt or a split may begin for this long after it


class RolloutTest(FleetTest):
    """Rollouts of routers: their budget, halts, drains, and faults during the rollout."""

    def test_restarts_all_routers_under_load_within_budget(self) -> None:
        pids = {name: self.fleet.pid(name) for name in self.fleet.names}
        calls = Calls(self.fleet, 10)
        self.start_rollout(1, "--budget", "2")
        self.fleet.wait_for_phase(2, "done")
        self.assert_within_budget(2)
        self.assert_no_call_lost_or_run_twice(calls.result())
        new_pids = {name: self.fleet.pid(name) for name in self.fleet.names}
        self.assertTrue(all(new_pids[name] != pids[name] for name in pids))
        self.assertEqual(
            sorted(event["instance"] for event in self.events_named("drained")), self.fleet.names
        )

    def test_accepts_one_of_two_concurrent_starts_and_tells_the_other_why(self) -> None:
        answers = self.start_concurrently(0, 2)
        refused = [answer["error"] for answer in answers if "error" in answer]
        self.assertEqual((len(answers), len(refused)), (2, 1))
        self.assertIn("is running: it has to end, or be undone, first", refused[0])
        self.fleet.wait_for_phase(1, "done")
        self.assertEqual(len(self.events_named("operator start")), 1)
        self.check_rejected_commands()
        self.wait_until_no_lease(0)  # no step was left unfinished

    def start_concurrently(self, *numbers: int) -> list[dict[str, Any]]:
        """Start a rollout at each of these agents at the same time, and return their answers."""
        answers = list[dict[str, Any]]()

        def start(number: int) -> None:
            address = ("127.0.0.1", self.fleet.agent_ports[number])
            command = {"action": "restart", "budget": 1, "targets": ["r0"]}
            answers.append(asyncio.run(send_command(address, "rollout", [], what="start", command=command)))

        threads = [threading.Thread(target=start, args=(number,)) for number in numbers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PATIENCE_S)
        return answers

    def check_rejected_commands(self) -> None:
        """Check that commands which are invalid after a rollout are rejected, each with its reason."""
        for arguments, reason in (
            (("start", "--budget", "2", "r9"), "unknown instance: r9"),
            (("start", "--budget", "none"), "budget: must be a count"),
            (("start", "--budget", "0%"), "budget: 0% is not"),
            (("start", "--action", "drain", "--budget", "1", "r0", "r1"), "a drain leaves 2 out"),
            (("halt",), "is done"),
            (("release", "r0"), "'r0' is not out"),
        ):
            code, _, err = self.fleet.run(0, "rollout", *arguments)
            self.assertEqual(code, 1)
            self.assertIn(reason, err)

    def test_halts_drain_and_undoes_it_in_reverse_order_under_load(self) -> None:
        self.start_hanging_call(4)  # the drain of r4 takes as long as this call, so the halt comes first
        calls = Calls(self.fleet, 10)
        self.start_rollout(0, "--action", "drain", "--budget", "3", "r1", "r2", "r4")
        eventually(lambda: len(self.rollout_status()["done"]) >= 1, "a router to be drained")
        self.assertEqual(self.fleet.run(1, "rollout", "halt", "--reason", "operator check").exit_code, 0)
        halted_us = time.monotonic_ns() // 1000
        eventually(
            lambda: all(lease["stage"] == "out" for lease in self.fleet.status(2)["leases"]),
            "the steps under way to finish",
        )
        time.sleep(1.5)
        self.assertEqual(self.begun_after(halted_us), [])
        done = self.rollout_status()["done"]
        self.assertEqual(self.fleet.run(2, "rollout", "undo").exit_code, 0)
        self.fleet.wait_for_phase(0, "undone")
        eventually(
            lambda: len(self.events_named("back in service")) == len(done),
            "a `back in service` event for each drained router",
        )
        self.assertEqual(
            [event["instance"] for event in self.events_named("back in service")], list(reversed(done))
        )
        self.assert_within_budget(3)
        self.assert_no_call_lost_or_run_twice(calls.result())
        self.assertEqual(self.fleet.run(0, "ready").exit_code, 0)

    def begun_after(self, since_us: int) -> list[str]:
        """Return the instances whose steps began more than HALT_KNOWN_US after `since_us`."""
        return [
            event["instance"]
            for event in self.events_named("step begun")
            if event["t_us"] > since_us + HALT_KNOWN_US
        ]

    def test_halted_step_does_not_begin_although_it_was_granted(self) -> None:
        """The holder is paused from before the grant until after the halt, and then reads both at once."""
        number = next(n for n in range(AGENTS) if n != self.fleet.leader())
        name = self.fleet.routers_of_agent(number)[0]
        peer = (number + 1) % AGENTS
        pid = self.fleet.pid(name)
        holder = self.fleet.agents[number].process
        holder.send_signal(signal.SIGSTOP)
        try:
            self.start_rollout(peer, "--budget", "3", name)
            eventually(
                lambda: (
                    [(lease["instance"], lease["stage"]) for lease in self.fleet.status(peer)["leases"]]
                    == [(name, "granted")]
                ),
                "the lease to be granted",
            )
            self.assertEqual(
                self.fleet.run(peer, "rollout", "halt", "--reason", "operator check").exit_code, 0
            )
            self.wait_until_no_lease(peer)
        finally:
            holder.send_signal(signal.SIGCONT)
        eventually(lambda: self.fleet.phase(number) == "halted", "the holder to see the halt")
        time.sleep(1.0)
        self.assertEqual((self.events_named("step begun"), self.fleet.pid(name)), ([], pid))
        self.assertEqual(self.fleet.run(peer, "rollout", "resume").exit_code, 0)
        self.fleet.wait_for_phase(peer, "done")
        self.assertNotEqual(self.fleet.pid(name), pid)
        self.assert_within_budget(3)

    def test_rollout_continues_without_leaders_machine_and_completes_after_its_return(self) -> None:
        leader = self.fleet.leader()
        assert leader is not None
        others = other_agents(leader)
        self.start_rollout(others[0], "--budget", "3")
        self.wait_for_event("step begun")
        self.fleet.kill_machine(leader)
        self.wait_until_done(others[0], self.fleet.routers_of_agents(others))
        self.assertLessEqual(self.fleet.max_instances_out(), 3)
        self.fleet.restart_agent(leader)
        self.fleet.wait_for_phase(others[1], "done")
        self.wait_until_no_lease(leader)

    def wait_until_done(self, number: int, routers: list[str]) -> None:
        """Wait until the rollout is done with these routers, according to one agent's status."""
        eventually(
            lambda: set(routers) <= set(self.fleet.status(number)["rollout"]["done"]),
            f"{routers} to be done",
            ROLLOUT_S,
        )

    def test_no_step_begins_on_minority_side_of_split_with_leader(self) -> None:
        """The old leader is cut off: no step begins there, and a halt that it refuses has no later effect."""
        leader = self.fleet.leader()
        assert leader is not None
        others = other_agents(leader)
        calls = Calls(self.fleet, 10)
        self.start_rollout(others[0], "--budget", "3")
        self.wait_for_event("step begun")
        self.fleet.relay.start_faults(split=[{**FOREVER, "sides": [self.fleet.relay_members(leader)]}])
        split_us = time.monotonic_ns() // 1000
        eventually(lambda: self.fleet.leader(others) is not None, "a leader on the majority side")
        majority = self.fleet.routers_of_agents(others)
        self.wait_until_done(others[0], majority)
        code, _, err = self.fleet.run(leader, "rollout", "halt")
        self.assertEqual(code, 1)
        self.assertIn("it was not taken", err)  # so it must not take effect after the split has healed
        self.assertLessEqual(set(self.begun_after(split_us)), set(majority))
        self.fleet.relay.heal()
        self.fleet.wait_for_phase(leader, "done")
        self.assert_within_budget(3)
        self.assert_no_call_lost_or_run_twice(calls.result())

    def test_rollout_completes_within_budget_despite_message_loss(self) -> None:
        """One fifth of all messages is lost, which may delay the rollout but must not break it."""
        calls = Calls(self.fleet, 10)
        self.fleet.relay.start_faults(net={"loss": 0.2})
        eventually(lambda: self.fleet.run(0, "rollout", "start", "--budget", "2").exit_code == 0, "the start")
        eventually(lambda: self.fleet.phase(0) in ("done", "halted"), "the rollout to end or halt", ROLLOUT_S)
        if self.fleet.phase(0) == "halted":  # for a false report of an outage, which the operator overrules
            self.fleet.relay.heal()
            self.fleet.run(0, "rollout", "resume")
            self.fleet.wait_for_phase(0, "done")
        self.assert_within_budget(2)
        self.assert_no_call_lost_or_run_twice(calls.result())


class StepTimeoutTest(FleetTest):
    """Steps that exceed the step timeout."""

    step_s = 16.0  # long enough for the steps that do finish, even on a busy machine

    def test_router_paused_during_drain_is_not_reported_as_drained(self) -> None:
        """The rollout halts when the step times out, and completes once the router runs again."""
        pid = self.fleet.pid("r0")
        call = self.start_hanging_call(0)
        self.start_rollout(1, "--budget", "1", "r0", "r3")
        self.wait_for_event("step begun")
        os.kill(pid, signal.SIGSTOP)
        try:
            self.fleet.wait_for_phase(1, "halted")
            rollout = self.fleet.status(1)["rollout"]
            self.assertIn("r0 takes over", rollout["reason"])
            self.assertNotIn("drained", [event["event"] for event in self.fleet.events()])
            eventually(
                lambda: [lease["instance"] for lease in self.fleet.status(2)["leases"]] == ["r0"],
                "r0 to have the only lease",
            )
        finally:
            os.kill(pid, signal.SIGCONT)
        self.wait_until_no_lease(1)  # once r0 has drained, ended and come back
        self.assertTrue(call.answered.wait(PATIENCE_S))
        self.assertEqual(self.fleet.run(2, "rollout", "resume").exit_code, 0)
        self.fleet.wait_for_phase(0, "done")
        self.assert_within_budget(1)

    def test_killed_agent_keeps_lease_until_operator_releases_it(self) -> None:
        number = next(n for n in range(AGENTS) if n != self.fleet.leader())
        peer = (number + 1) % AGENTS
        name = self.fleet.routers_of_agent(number)[0]
        other = self.fleet.routers_of_agent(peer)[0]
        self.start_hanging_call(self.fleet.names.index(name))
        self.start_rollout(peer, "--budget", "3", name, other)
        self.wait_for_event("step begun", name)
        orphans = self.fleet.live_router_pids(self.fleet.agents[number])
        self.fleet.kill_agent(number)
        self.fleet.wait_for_phase(peer, "halted")
        held = [lease["instance"] for lease in self.fleet.status(peer)["leases"]]
        self.assertEqual(held, [name])
        self.assertEqual(self.fleet.run(peer, "rollout", "release", name).exit_code, 0)
        self.wait_until_no_lease(peer)
        kill_processes(orphans)
        self.fleet.restart_agent(number)
        eventually(lambda: self.fleet.run(number, "ready").exit_code == 0, "the agent's routers to be ready")
        self.fleet.run(peer, "rollout", "resume")
        self.fleet.wait_for_phase(peer, "done")


if __name__ == "__main__":
    unittest.main()
