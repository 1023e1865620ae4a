"""Tests of agents that are killed and started again: their routers keep serving and are adopted."""

import os
import signal
import time

from tests.fleet import AGENTS
from tests.fleet_command_line import other_agents
from tests.policy_fleet import PolicyFleet, PolicyTest
from tests.rollout_fleet import Calls, HangingCall
from tests.standins import PATIENCE_S, Program, eventually

STEP_UNDER_WAY_S = 0.3  # the router is certainly draining this long after the event `step begun`


class AdoptTest(PolicyTest):
    """A fleet whose agents keep a process registry; some agents are killed and started again."""

    def create_fleet(self) -> PolicyFleet:
        """Create a fleet whose agents have folders for their process registries."""
        return PolicyFleet(self, with_registry=True)

    def wait_for_hanging_call(self) -> None:
        """Wait until a worker has received the call that it never answers."""
        eventually(lambda: any(worker.ran for worker in self.fleet.workers), "the hanging call")

    def wait_until_step_is_under_way(self) -> None:
        """Wait until an agent has begun a step and its router is draining."""
        eventually(lambda: self.fleet.events_of("step begun"), "the `step begun` event")
        time.sleep(STEP_UNDER_WAY_S)

    def test_routers_keep_serving_without_agent_and_are_adopted_by_next(self) -> None:
        """The leader's agent is killed; its routers miss a policy change, which they get once adopted."""
        number = self.fleet.wait_for_leader()
        other = other_agents(number)[0]
        orphans = self.fleet.routers_of_agent(number)
        pids = {name: self.fleet.pid(name) for name in orphans}
        calls = Calls(self.fleet, 14)
        self.fleet.kill_agent(number)
        eventually(lambda: self.fleet.leader(other_agents(number)) is not None, "another leader")
        # The killed agent's routers get no announcements now, so the change is committed without them.
        supervised = [name for name in self.fleet.names if name not in orphans]
        eventually(lambda: self.fleet.propose(other, attempts=3).exit_code == 0, "the change to be accepted")
        self.fleet.wait_for_epoch(other, 1, supervised)
        self.fleet.restart_agent(number)
        self.fleet.wait_for_epoch(number, 1)
        self.assertEqual({name: self.fleet.pid(name) for name in orphans}, pids)
        self.assert_adopted(number, orphans)
        self.check_logs(calls)
        # Adopted routers can be drained and restarted like others.
        self.assertEqual(self.fleet.run(other, "rollout", "start", "--budget", "2", *orphans).exit_code, 0)
        self.fleet.wait_for_phase(other, "done")
        self.assertTrue(all(self.fleet.pid(name) != pids[name] for name in orphans))
        self.assertEqual(self.fleet.run(number, "ready", *orphans).exit_code, 0)
        self.assertEqual(self.fleet.metric(orphans[0], "policy_epoch"), 1)

    def assert_adopted(self, number: int, orphans: list[str]) -> None:
        """Check that the agent adopted these routers, reads the log of the first, and can make it reload."""
        adopted = [line for line in self.fleet.agents[number].log if "adopted, pid" in line]
        self.assertEqual(len(adopted), len(orphans))
        first = orphans[0]
        counters = self.fleet.command(number, "counters", first).answer["counters"][first]
        # The router prints its counters to its log, so the agent reads the log of an adopted process.
        self.assertGreater(counters["requests.taken"], 0)
        reply = self.fleet.command(number, "reload", first).answer["reload"][first]
        self.assertTrue(reply["ok"])

    def test_restarted_agent_resumes_step_that_was_under_way(self) -> None:
        """The agent is killed while its router drains with one call in flight, which is still answered."""
        number = 0
        name = "r0"
        pid = self.fleet.pid(name)
        call = HangingCall(self.fleet.invoke_ports[0])
        self.wait_for_hanging_call()
        self.assertEqual(self.fleet.run(1, "rollout", "start", "--budget", "1", name).exit_code, 0)
        self.wait_until_step_is_under_way()
        self.fleet.kill_agent(number)  # while the router drains with one call in flight
        self.fleet.restart_agent(number)
        self.fleet.wait_for_phase(1, "done")
        self.assertTrue(call.answered.wait(PATIENCE_S))
        self.assertNotEqual(self.fleet.pid(name), pid)
        eventually(lambda: self.fleet.status(1)["leases"] == [], "all leases to end")
        eventually(lambda: self.fleet.run(0, "ready", name).exit_code == 0, "r0 to be ready")
        self.assertEqual(len([event for _, event in self.fleet.events_of("back in service")]), 1)

    def test_restarted_agent_runs_step_that_was_granted_but_not_begun(self) -> None:
        """The agent is paused before the grant and killed after it, so it never begins the step itself."""
        number = next(n for n in range(AGENTS) if n != self.fleet.wait_for_leader())
        name = self.fleet.routers_of_agent(number)[0]
        peer = (number + 1) % AGENTS
        pid = self.fleet.pid(name)
        self.fleet.agents[number].process.send_signal(signal.SIGSTOP)
        self.assert_succeeded(self.fleet.run(peer, "rollout", "start", "--budget", "3", name))
        eventually(
            lambda: [lease["stage"] for lease in self.fleet.status(peer)["leases"]] == ["granted"],
            "the lease to be granted",
        )
        self.fleet.kill_agent(number)
        self.assertEqual(self.fleet.events_of("step begun"), [])
        self.fleet.restart_agent(number)
        self.fleet.wait_for_phase(peer, "done")
        self.assertNotEqual(self.fleet.pid(name), pid)
        eventually(lambda: self.fleet.status(peer)["leases"] == [], "all leases to end")
        steps = [
            event["event"] for _, event in self.fleet.events_of("step begun", "drained", "back in service")
        ]
        self.assertEqual(steps, ["step begun", "drained", "back in service"])
        self.assertLessEqual(self.fleet.max_instances_out(), 3)

    def test_adopted_router_killed_during_drain_is_not_reported_as_drained(self) -> None:
        """The exit code of an adopted process is unknown: its agent tells a kill from a drain by the log."""
        pid = self.fleet.pid("r0")
        self.fleet.kill_agent(0)
        self.fleet.restart_agent(0)
        eventually(lambda: self.fleet.run(0, "ready", "r0", "r1").exit_code == 0, "both routers to be ready")
        HangingCall(self.fleet.invoke_ports[0])
        self.wait_for_hanging_call()
        self.fleet.wait_for_leader()
        self.assert_succeeded(self.fleet.run(1, "rollout", "start", "--budget", "1", "r0", "r1"))
        self.wait_until_step_is_under_way()
        os.kill(pid, signal.SIGKILL)
        self.fleet.wait_for_phase(1, "done")
        exits = [
            (event["instance"], event["event"])
            for _, event in self.fleet.events_of("drained", "unclean exit")
        ]
        self.assertEqual(exits, [("r0", "unclean exit"), ("r1", "drained")])

    def test_second_agent_with_same_folder_does_not_start(self) -> None:
        second = Program("agent", str(self.fleet.agents[0].file))
        self.addCleanup(second.kill)
        self.assertEqual(second.process.wait(PATIENCE_S), 1)
        second.find("(another agent has the folder)")
        self.assertEqual(self.fleet.run(0, "ready", "r0").exit_code, 0)
