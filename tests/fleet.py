"""Starts a fleet of voting agents, each with its own routers, that are connected through the fault relay."""

import contextlib
import os
import signal
import subprocess
import unittest
from pathlib import Path
from typing import NamedTuple

from tests.fleet_command_line import FleetCommandLine
from tests.fleet_events import control_events, max_instances_out, started_processes
from tests.fleet_files import AGENTS, ROLLOUT_S, ROUTERS_PER_AGENT, FleetFiles, FleetOptions, FleetPorts
from tests.free_ports import free_ports
from tests.relay_process import FOREVER, Json, Relay
from tests.router_group import PERIOD_S, Routers
from tests.standins import PATIENCE_S, Program, Worker, eventually

__all__ = [
    "AGENTS",
    "FOREVER",
    "PERIOD_S",
    "ROLLOUT_S",
    "ROUTERS_PER_AGENT",
    "Fleet",
    "FleetOptions",
    "Relay",
    "Routers",
    "free_ports",
    "kill_processes",
]
START_PATIENCE_S = 60.0  # for a dozen processes to start on a busy machine


class NonVoter(NamedTuple):
    """An agent without a vote, and the port on which it accepts commands."""

    program: Program
    port: int


class Fleet(FleetCommandLine):
    """Three voting agents with two routers each, and the relay that connects the voters and the routers."""

    def __init__(self, test: unittest.TestCase, options: FleetOptions | None = None) -> None:
        options = options or FleetOptions()
        self.test = test
        self.workers = [Worker(), Worker()]
        self.relay = Relay(test, AGENTS * ROUTERS_PER_AGENT + AGENTS)
        ports = FleetPorts.allocate(options.routers)
        super().__init__(ports.agents)
        self.invoke_ports = ports.invoke
        runner_ports = [worker.port for worker in self.workers]
        if options.toy:
            runner_ports[1] = ports.toy_runner
        self.files = FleetFiles(options, self.relay, ports, runner_ports)
        self.folder = self.files.folder
        self.names = self.files.router_names
        for number, port in enumerate(ports.gossip):
            self.files.write_router_file(number)
            self.relay.send_command("udp", member=number, address=f"127.0.0.1:{port}")
        self.agents = [self.start_agent(number) for number in range(AGENTS)]

    # Processes of the fleet.

    def start_agent(self, number: int) -> Program:
        """Start an agent with its routers, for the first time or after it has ended."""
        return self._start(self.files.write_agent_file(number))

    def restart_agent(self, number: int) -> None:
        """Restart an agent that has ended, and keep the log lines of its earlier process."""
        log = list(self.agents[number].log)
        self.agents[number] = self.start_agent(number)
        self.agents[number].log[:0] = log

    def start_non_voter(self) -> NonVoter:
        """Start a fourth agent, which has no vote, with one router."""
        non_voter_files = self.files.write_non_voter_files()
        program = self._start(non_voter_files.file)
        self.agents.append(program)
        self.agent_ports.append(non_voter_files.port)
        return NonVoter(program, non_voter_files.port)

    def _start(self, file: Path) -> Program:
        program = Program("agent", str(file))
        self.test.addCleanup(self._end, program)
        return program

    def kill_agent(self, number: int) -> None:
        """Kill an agent but not its routers, which go on running."""
        self.agents[number].process.kill()
        self.agents[number].process.wait()

    def kill_machine(self, number: int) -> None:
        """Kill an agent and its routers, as if the machine that they share had failed."""
        orphans = self.live_router_pids(self.agents[number])
        self.kill_agent(number)
        kill_processes(orphans)

    def _end(self, program: Program) -> None:
        """End an agent and its routers, including those that a killed agent left running."""
        if program.process.poll() is None:
            program.process.send_signal(signal.SIGCONT)
            program.process.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                program.process.wait(PATIENCE_S)
        kill_processes(self.live_router_pids(program))
        program.kill()

    def live_router_pids(self, program: Program) -> list[int]:
        """Return the ids of the processes that this agent has logged as started and that still run a router.

        A process counts only while its command line names the router's file.
        """
        pids = []
        for instance, pid in started_processes(program):
            with contextlib.suppress(OSError):
                command = Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")
                if str(self.folder / f"{instance}.toml") in command:
                    pids.append(pid)
        return pids

    def routers_of_agent(self, number: int) -> list[str]:
        """Return the names of an agent's routers."""
        return self.files.routers_of_agent(number)

    def routers_of_agents(self, numbers: list[int]) -> list[str]:
        """Return the names of the routers of several agents."""
        return [name for number in numbers for name in self.routers_of_agent(number)]

    def relay_members(self, number: int) -> list[int]:
        """Return the relay's member numbers of an agent and its routers: one side of a network partition."""
        routers = [self.names.index(name) for name in self.routers_of_agent(number)]
        return [*routers, AGENTS * ROUTERS_PER_AGENT + number]

    # Readiness of the fleet.

    def wait_until_ready(self) -> None:
        """Wait until the fleet is ready.

        Then all routers are ready, all instances registered and a leader elected, and all routers have the
        same view of the membership, in which every router is alive.
        """
        numbers = range(AGENTS)
        for condition, description in (
            (lambda: all(self._routers_ready(number) for number in numbers), "all routers to be ready"),
            (
                lambda: all(self._knows_all_instances(number) for number in numbers),
                "all instances to be registered",
            ),
            (lambda: self.leader() is not None, "a leader"),
            (lambda: all(self._views_agree(number) for number in numbers), "one view of membership"),
            (lambda: all(self._sees_all_alive(number) for number in numbers), "all routers to be seen alive"),
        ):
            eventually(condition, description, START_PATIENCE_S)

    def _views_agree(self, number: int) -> bool:
        """Whether all routers of an agent have the same view of the membership."""
        return self.run(number, "members").exit_code == 0

    def _routers_ready(self, number: int) -> bool:
        """Whether all routers of an agent are ready."""
        return self.run(number, "ready", *self.routers_of_agent(number)).exit_code == 0

    def _knows_all_instances(self, number: int) -> bool:
        """Whether an agent knows the instances of all agents."""
        return len(self.status(number).get("instances", {})) == len(self.names)

    def _sees_all_alive(self, number: int) -> bool:
        """Whether every router of an agent sees every router of the fleet alive."""
        rows = [line.split("\t") for line in self.run(number, "members").output.splitlines()[1:]]
        expected_cells = len(self.routers_of_agent(number)) * len(self.names)
        return sum(cell.startswith("alive") for row in rows for cell in row) == expected_cells

    # Logged events.

    def events(self) -> list[Json]:
        """Return the control-plane events of all agents, in order of time."""
        return control_events(self.agents)

    def max_instances_out(self) -> int:
        """Return the highest number of instances that were out of service at once, by the agents' events."""
        return max_instances_out(self.events())


def kill_processes(pids: list[int]) -> None:
    """Send SIGKILL to these processes, and ignore those that have already ended."""
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
