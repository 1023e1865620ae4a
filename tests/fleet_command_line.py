"""The command line at the agents of a fleet, and what its answers say of the fleet."""

import contextlib
import io
import json
from collections.abc import Iterable
from typing import NamedTuple

from maplestile.tools.cli import main
from tests.fleet_files import AGENTS, ROLLOUT_S, ROUTERS_PER_AGENT
from tests.relay_process import Json
from tests.standins import eventually


class CommandResult(NamedTuple):
    """The exit code of a command, and what went to standard output and to standard error."""

    exit_code: int
    output: str
    error: str


class JsonResult(NamedTuple):
    """The JSON answer of a command, empty where there is none, and what went to standard error."""

    answer: Json
    error: str


def agent_of(router: str) -> int:
    """The number of the agent that manages a router."""
    return int(router[1:]) // ROUTERS_PER_AGENT


def other_agents(*excluded: int) -> list[int]:
    """The numbers of all voting agents but these."""
    return [number for number in range(AGENTS) if number not in excluded]


class FleetCommandLine:
    """Runs the program's commands, each at the agent whose number is given."""

    def __init__(self, agent_ports: list[int]) -> None:
        self.agent_ports = agent_ports

    def run(self, number: int, *arguments: str) -> CommandResult:
        """Run a command at an agent."""
        agent = ["--agent", f"127.0.0.1:{self.agent_ports[number]}"]
        output = io.StringIO()
        error = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(error):
            exit_code = main([*arguments, *agent])
        return CommandResult(exit_code, output.getvalue(), error.getvalue())

    def command(self, number: int, *arguments: str) -> JsonResult:
        """Run a command at an agent with `--json`."""
        _, output, error = self.run(number, *arguments, "--json")
        return JsonResult(json.loads(output) if output else {}, error)

    def pid(self, router: str) -> int:
        """The process of a router, as its agent has it."""
        return int(self.command(agent_of(router), "status", router).answer["instances"][router]["pid"])

    def status(self, number: int) -> Json:
        """The rollout as this agent sees it; {} while it cannot tell."""
        status: Json = self.command(number, "rollout", "status").answer.get("rollout", {})
        return status

    def phase(self, number: int) -> str:
        """The rollout's phase as this agent sees it; empty where there is none."""
        rollout = self.status(number).get("rollout") or {}
        return str(rollout.get("phase", ""))

    def wait_for_phase(self, number: int, phase: str) -> None:
        """Wait for the rollout's phase; the error has the status that the agent knew last."""
        try:
            eventually(lambda: self.phase(number) == phase, f"phase {phase}", ROLLOUT_S)
        except AssertionError:
            raise AssertionError(f"waited in vain for {phase}: {self.status(number)}") from None

    def leader(self, among: Iterable[int] = range(AGENTS)) -> int | None:
        """The agent whose voter leads, by its own status."""
        for number in among:
            raft = self.status(number).get("raft", {})
            if raft.get("leading") and self.status(number)["ready"]:
                return number
        return None

    def wait_for_leader(self) -> int:
        """The agent that leads, once there is one."""

        def leaders() -> list[int]:
            return [number for number in [self.leader()] if number is not None]

        return int(eventually(leaders, "a leader")[0])
