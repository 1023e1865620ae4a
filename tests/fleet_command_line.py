"""Runs the command line against the agents of a fleet, and reads the state of the fleet from its answers."""

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
    """The exit code of a command, and the text that it wrote to standard output and standard error."""

    exit_code: int
    output: str
    error: str


class JsonResult(NamedTuple):
    """The JSON answer of a command, empty if it printed none, and the text on standard error."""

    answer: Json
    error: str


def agent_of(router: str) -> int:
    """Return the number of the agent that manages a router."""
    return int(router[1:]) // ROUTERS_PER_AGENT


def other_agents(*excluded: int) -> list[int]:
    """Return the numbers of all voting agents except the excluded ones."""
    return [number for number in range(AGENTS) if number not in excluded]


class FleetCommandLine:
    """Runs commands of the program, each against the agent with the given number."""

    def __init__(self, agent_ports: list[int]) -> None:
        self.agent_ports = agent_ports

    def run(self, number: int, *arguments: str) -> CommandResult:
        """Run a command against an agent."""
        agent = ["--agent", f"127.0.0.1:{self.agent_ports[number]}"]
        output = io.StringIO()
        error = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(error):
            exit_code = main([*arguments, *agent])
        return CommandResult(exit_code, output.getvalue(), error.getvalue())

    def command(self, number: int, *arguments: str) -> JsonResult:
        """Run a command with `--json` against an agent, and parse its answer."""
        _, output, error = self.run(number, *arguments, "--json")
        return JsonResult(json.loads(output) if output else {}, error)

    def pid(self, router: str) -> int:
        """Return the process id of a router, as its agent reports it."""
        return int(self.command(agent_of(router), "status", router).answer["instances"][router]["pid"])

    def status(self, number: int) -> Json:
        """Return the `rollout` object of this agent's answer to `rollout status`; {} if it cannot tell."""
        status: Json = self.command(number, "rollout", "status").answer.get("rollout", {})
        return status

    def phase(self, number: int) -> str:
        """Return the phase of the rollout as this agent sees it; empty if there is no rollout."""
        rollout = self.status(number).get("rollout") or {}
        return str(rollout.get("phase", ""))

    def wait_for_phase(self, number: int, phase: str) -> None:
        """Wait until the rollout has this phase; the error message has the agent's last status."""
        try:
            eventually(lambda: self.phase(number) == phase, f"phase {phase}", ROLLOUT_S)
        except AssertionError:
            raise AssertionError(f"timed out waiting for phase {phase}: {self.status(number)}") from None

    def leader(self, among: Iterable[int] = range(AGENTS)) -> int | None:
        """Return the first of these agents that reports itself ready and leader; None if there is none."""
        for number in among:
            raft = self.status(number).get("raft", {})
            if raft.get("leading") and self.status(number)["ready"]:
                return number
        return None

    def wait_for_leader(self) -> int:
        """Wait until an agent is the leader, and return its number."""

        def leaders() -> list[int]:
            # A list, since `eventually` would take the agent number 0 for false.
            return [number for number in [self.leader()] if number is not None]

        return int(eventually(leaders, "a leader")[0])
