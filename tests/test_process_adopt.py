"""Agents that are killed, and their successors: routers serve on, and are adopted."""

import os
import signal
import time

from tests.fleet import AGENTS
from tests.fleet_command_line import other_agents
from tests.policy_fleet import PolicyFleet, PolicyTest
from tests.rollout_fleet import Calls, HangingCall
from tests.standins import PATIENCE_S, Program, eventually

STEP_UNDER_WAY_S = 0.3  # from the event of a step's begin until its router surely drains


class AdoptTest(PolicyTest):
    """Agents of a fleet that are killed, and their successors, which find the registry of processes."""

    def create_fleet(self) -> PolicyFleet:
        """Agents with a folder for the registry of their processes."""
        return PolicyFleet(self, with_registry=True)

    def wait_for_hanging_call(self) -> None:
        """Wait until a worker has the call that it never answers."""
        eventually(lambda: any(worker.ran for worker in self.fleet.workers), "the call that hangs")

    def wait_until_step_is_under_way(self) -> None:
        """Wait until an agent has begun a step, and its router drains."""
        eventually(lambda: self.fleet.events_of("begin"), "the step's begin")
        time.sleep(STEP_UNDER_WAY_S)

    def test_routers_serve_on_without_their_agent_and_the_next_one_adopts_them(self) -> None:
        number = self.fleet.wait_for_leader()
        other = other_agents(number)[0]
        orphans = self.fleet.routers_of_agent(number)
        pids = {name: self.fleet.pid(name) for name in orphans}
        calls = Calls(self.fleet, 14)
        self.fleet.kill_agent(number)
        eventually(lambda: self.fleet.leader(other_agents(number)) is not None, "another leader")
        # Its routers get nothing now: the change is made without them, and they learn of it later.
        supervised = [name for name in self.fleet.names if name not in orphans]
        eventually(lambda: self.fleet.propose(other, attempts=3).exit_code == 0, "the change")
        self.fleet.wait_for_epoch(other, 1, supervised)
        self.fleet.restart_agent(number)
        self.fleet.wait_for_epoch(number, 1)
        self.assertEqual({name: self.fleet.pid(name) for name in orphans}, pids)
        self.assert_adopted(number, orphans)
        self.check_logs(calls)
        # What was adopted is drained and started anew like any other.
        self.assertEqual(self.fleet.run(other, "rollout", "start", "--budget", "2", *orphans).exit_code, 0)
        self.fleet.wait_for_phase(other, "done")
        self.assertTrue(all(self.fleet.pid(name) != pids[name] for name in orphans))
        self.assertEqual(self.fleet.run(number, "ready", *orphans).exit_code, 0)
        self.assertEqual(self.fleet.metric(orphans[0], "policy_epoch"), 1)

    def assert_adopted(self, number: int, orphans: list[str]) -> None:
        """Check that the agent logged that it adopted these, and that it reads and commands the first."""
        adopted = [line for line in self.fleet.agents[number].log if "adopted, pid" in line]
        self.assertEqual(len(adopted), len(orphans))
        first = orphans[0]
        counters = self.fleet.command(number, "counters", first).answer["counters"][first]
        # Its log is read, and what it answers is found there.
        self.assertGreater(counters["requests.taken"], 0)
        reply = self.fleet.command(number, "reload", first).answer["reload"][first]
        self.assertTrue(reply["ok"])

    def test_a_step_under_way_when_its_agent_is_killed_is_taken_up_by_the_next(self) -> None:
        number = 0
        name = "r0"
        pid = self.fleet.pid(name)
        call = HangingCall(self.fleet.invoke_ports[0])
        self.wait_for_hanging_call()
        self.assertEqual(self.fleet.run(1, "rollout", "start", "--budget", "1", name).exit_code, 0)
        self.wait_until_step_is_under_way()
        self.fleet.kill_agent(number)  # the router drains, and has one pending call
        self.fleet.restart_agent(number)
        self.fleet.wait_for_phase(1, "done")
        self.assertTrue(call.answered.wait(PATIENCE_S))
        self.assertNotEqual(self.fleet.pid(name), pid)
        eventually(lambda: self.fleet.status(1)["leases"] == [], "no lease")
        eventually(lambda: self.fleet.run(0, "ready", name).exit_code == 0, "r0 ready")
        self.assertEqual(len([event for _, event in self.fleet.events_of("back")]), 1)

    def test_a_step_granted_to_an_agent_that_dies_before_it_begins_is_taken_by_the_next(self) -> None:
        number = next(n for n in range(AGENTS) if n != self.fleet.wait_for_leader())
        name = self.fleet.routers_of_agent(number)[0]
        peer = (number + 1) % AGENTS
        pid = self.fleet.pid(name)
        self.fleet.agents[number].process.send_signal(signal.SIGSTOP)
        self.assert_succeeded(self.fleet.run(peer, "rollout", "start", "--budget", "3", name))
        eventually(
            lambda: [lease["stage"] for lease in self.fleet.status(peer)["leases"]] == ["granted"], "grant"
        )
        self.fleet.kill_agent(number)
        self.assertEqual(self.fleet.events_of("begin"), [])
        self.fleet.restart_agent(number)
        self.fleet.wait_for_phase(peer, "done")
        self.assertNotEqual(self.fleet.pid(name), pid)
        eventually(lambda: self.fleet.status(peer)["leases"] == [], "no lease")
        steps = [event["event"] for _, event in self.fleet.events_of("begin", "drained", "back")]
        self.assertEqual(steps, ["begin", "drained", "back"])
        self.assertLessEqual(self.fleet.max_instances_out(), 3)

    def test_an_adopted_router_that_is_killed_in_its_drain_is_not_called_drained(self) -> None:
        pid = self.fleet.pid("r0")
        self.fleet.kill_agent(0)
        self.fleet.restart_agent(0)
        eventually(lambda: self.fleet.run(0, "ready", "r0", "r1").exit_code == 0, "the adopted routers")
        HangingCall(self.fleet.invoke_ports[0])
        self.wait_for_hanging_call()
        self.fleet.wait_for_leader()
        self.assert_succeeded(self.fleet.run(1, "rollout", "start", "--budget", "1", "r0", "r1"))
        self.wait_until_step_is_under_way()
        os.kill(pid, signal.SIGKILL)
        self.fleet.wait_for_phase(1, "done")
        ends = [
            (event["instance"], event["event"]) for _, event in self.fleet.events_of("drained", "unclean end")
        ]
        self.assertEqual(ends, [("r0", "unclean end"), ("r1", "drained")])

    def test_of_two_agents_with_one_folder_the_second_does_not_start(self) -> None:
        second = Program("agent", str(self.fleet.agents[0].file))
        self.addCleanup(second.kill)
        self.assertEqual(second.process.wait(PATIENCE_S), 1)
        second.find("(another agent has the folder)")
        self.assertEqual(self.fleet.run(0, "ready", "r0").exit_code, 0)
