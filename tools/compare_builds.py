"""Run this build beside another one of the project, and on the files that the other one wrote.

    python -m tools.compare_builds REVISION [--python EXECUTABLE]

REVISION is checked out into a temporary worktree. EXECUTABLE is a Python with the requirements of that
revision; without it, a virtual environment is created in the worktree. Prints a line for each check, and
exits with 1 if one fails. All processes listen on loopback, and end with the script.
"""

import argparse
import os
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import unittest
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.fleet import AGENTS, START_PATIENCE_S, NonVoter
from tests.operation_fixture import change_runner, scrape_metrics, wait_until_ready
from tests.policy_fleet import PolicyFleet
from tests.rollout_fleet import Calls
from tests.standins import PATIENCE_S, ROOT, Client, NameServer, Program, Worker, eventually, start_router

LOAD_S = 20.0  # of the load tool, through a change of policy and a rollout
HARMLESS_ENDS = {"served", "refused"}  # of calls: served, or refused without having run
COMMAND_TIMEOUT_S = 120.0
# Commands on files of the project, of which both builds have to print the same. The models of 1000 members
# and those with a fifth of all messages lost are left out: they take minutes.
READ_FILES: tuple[tuple[str, ...], ...] = (
    ("check", "deploy/operator.toml"),
    *(("check", f"deploy/{folder}/r{number}.toml") for folder in ("fleet", "policy") for number in (1, 2, 3)),
    ("check", "examples/agent.toml"),  # not an operator's file: the same error
    ("traces", "examples/calls.csv", "--format", "json"),
    ("traces", "examples/calls.csv", "--format", "functions"),
    ("explore", "--replay", "examples/explore/keyed-window.json"),
    *(
        ("model", f"examples/model/{name}.toml", "--format", output)
        for name in ("duties-40", "kill-10", "kill-100", "loss-0-lifeguard", "split-10", "split-100")
        for output in ("json", "csv")
    ),
    *(
        ("model", f"examples/rollout/restart-{size}-{budget}.toml", "--format", "json")
        for size in (40, 200)
        for budget in (5, 10, 25)
    ),
    ("model", "examples/policy/model-200.toml", "--format", "json"),
    ("model", "examples/policy/model-200-faults.toml", "--format", "json"),
)
FLEET_COMMANDS = (
    ("status", "--json"),
    ("ready",),
    ("members", "--json"),
    ("rollout", "status", "--json"),
    ("policy", "status", "--json"),
)


@dataclass(frozen=True)
class Build:
    """A folder with the program's sources, and a Python that has their requirements."""

    name: str
    folder: Path
    python: str

    def command(self, *arguments: str) -> list[str]:
        """Return the command that runs the program with these arguments."""
        return [self.python, "-m", "maplestile", *arguments]

    def environment(self) -> dict[str, str]:
        """Return the environment in which the program finds its own sources and no others."""
        return {**os.environ, "PYTHONPATH": str(self.folder), "PYTHONUNBUFFERED": "1"}

    def run(self, *arguments: str) -> "subprocess.CompletedProcess[str]":
        """Run a command of this build to its end."""
        return subprocess.run(
            self.command(*arguments),
            env=self.environment(),
            cwd=self.folder,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )


class BuildProgram(Program):
    """A process of one of the builds; a thread collects its log."""

    def __init__(self, build: Build, *arguments: str, **environment: str) -> None:
        self.log = list[str]()
        self.ports = dict[str, int]()
        self.file = Path(arguments[-1] if arguments else "")
        self.process = subprocess.Popen(
            build.command(*arguments),
            stderr=subprocess.PIPE,
            text=True,
            env=build.environment() | environment,
            cwd=build.folder,
        )
        threading.Thread(target=self._read, daemon=True).start()


class MixedFleet(PolicyFleet):
    """Three voting agents with their routers, each of the build that `builds` gives for its number."""

    def __init__(self, test: unittest.TestCase, builds: Sequence[Build]) -> None:
        self.builds = list(builds)
        super().__init__(test, with_registry=True)

    def start_agent(self, number: int) -> Program:
        """Start an agent of its build."""
        return self._start_build(self.builds[number], self.files.write_agent_file(number))

    def start_other_non_voter(self, build: Build) -> NonVoter:
        """Start an agent without a vote, of this build."""
        written = self.files.write_non_voter_files()
        program = self._start_build(build, written.file)
        self.agents.append(program)
        self.agent_ports.append(written.port)
        return NonVoter(program, written.port)

    def _start_build(self, build: Build, file: Path) -> Program:
        program = BuildProgram(build, "agent", str(file))
        self.test.addCleanup(self._end, program)
        return program

    def wait_until_all_at(self, epoch: int) -> None:
        """Wait until everything is ready, and every agent has all routers at this epoch."""
        self.wait_until_ready()
        for number in range(AGENTS):
            self.wait_for_epoch(number, epoch)


@contextmanager
def cleanups() -> Iterator[unittest.TestCase]:
    """Give a test case, and run its cleanups at the end."""
    test = unittest.TestCase()
    try:
        yield test
    finally:
        test.doCleanups()


def require(condition: bool, what: str) -> None:
    """Raise an `AssertionError` that says what was expected, unless the condition holds."""
    if not condition:
        raise AssertionError(what)


def require_equal(found: object, expected: object, what: str) -> None:
    """Raise an `AssertionError` that shows both values, unless they are equal."""
    require(found == expected, f"{what}: {found}, expected {expected}")


def agreed_policy(fleet: MixedFleet) -> dict[str, Any]:
    """Return what the replicated log holds of the policy, without the counts of reads, which go on."""
    agreed = fleet.policy_status(0)["agreed"]
    return {name: agreed[name] for name in ("epochs", "change", "history", "number")}


def rollout_number(fleet: MixedFleet) -> int:
    """Return the number of the rollout by the replica of a0; 0 if there is none."""
    rollout = fleet.status(0).get("rollout") or {}
    return int(rollout.get("number", 0))


def change_everything(fleet: MixedFleet, epoch: int) -> None:
    """Change the policy at each agent in turn, then restart all routers, under load."""
    calls = Calls(fleet, LOAD_S)
    for number in range(AGENTS):
        result = fleet.propose(number, attempts=2 + number)
        require(result.exit_code == 0, f"policy propose at a{number}: {result}")
        for other in range(AGENTS):
            fleet.wait_for_epoch(other, epoch + number + 1)
    pids = {name: fleet.pid(name) for name in fleet.names}
    before = rollout_number(fleet)
    started = fleet.run(AGENTS - 1, "rollout", "start", "--budget", "2")
    require(started.exit_code == 0, f"rollout start: {started}")
    # The replica of a0 may be a little behind the start at the last agent.
    eventually(lambda: rollout_number(fleet) > before, "the new rollout at a0")
    fleet.wait_for_phase(0, "done")
    unchanged = [name for name in fleet.names if fleet.pid(name) == pids[name]]
    require(not unchanged, f"not restarted: {unchanged}")
    fleet.wait_until_all_at(epoch + AGENTS)
    ends = calls.result()["ends"]
    require(set(ends) <= HARMLESS_ENDS and ends.get("served", 0) > 0, f"calls under load: {ends}")


def check_fleet(fleet: MixedFleet) -> None:
    """Check one view of the members, then change everything."""
    fleet.wait_until_all_at(0)
    change_everything(fleet, 0)


def check_command_lines(fleet: MixedFleet, builds: Sequence[Build]) -> None:
    """Check that each build's command line gives the same exit code at each agent, and no traceback."""
    for number, port in enumerate(fleet.agent_ports):
        for arguments in FLEET_COMMANDS:
            results = [build.run(*arguments, "--agent", f"127.0.0.1:{port}") for build in builds]
            codes = [result.returncode for result in results]
            errors = [result.stderr for result in results]
            require(codes == [0] * len(builds), f"{arguments} at a{number}: {codes}, {errors}")
            require(errors == [""] * len(builds), f"{arguments} at a{number}: {errors}")


def check_mixed_voters(builds: Sequence[Build]) -> None:
    """Check voters, gossip and command lines of both builds in one fleet; the last voter is of the second."""
    first, second = builds
    with cleanups() as test:
        fleet = MixedFleet(test, (first, first, second))
        check_fleet(fleet)
        check_command_lines(fleet, builds)


def check_non_voter(builds: Sequence[Build]) -> None:
    """Check an agent of the second build without a vote, whose log is that of voters of the first."""
    voters, other = builds
    with cleanups() as test:
        fleet = MixedFleet(test, (voters,) * AGENTS)
        fleet.wait_until_all_at(0)
        fleet.start_other_non_voter(other)
        names = [*fleet.names, "r6"]
        eventually(lambda: len(fleet.status(0).get("instances", {})) == len(names), "its registration")
        result = fleet.propose(0, attempts=3)
        require(result.exit_code == 0, f"policy propose: {result}")
        fleet.wait_for_epoch(0, 1, names)
        started = fleet.run(0, "rollout", "start", "--budget", "1", "r6")
        require(started.exit_code == 0, f"rollout start: {started}")
        fleet.wait_for_phase(0, "done")
        check_command_lines(fleet, builds)


def check_folders(builds: Sequence[Build]) -> None:
    """Check agents of the second build on the folders of the first, whose routers they adopt and restart.

    The folders hold the voters' journal and meta file, the routers' policy records and the registries.
    The library writes a snapshot after minutes only, so there is none.
    """
    writer, reader = builds
    with cleanups() as test:
        fleet = MixedFleet(test, (writer,) * AGENTS)
        check_fleet(fleet)
        pids = {name: fleet.pid(name) for name in fleet.names}
        agreed = agreed_policy(fleet)
        rollout = fleet.status(0)["rollout"]
        for number in range(AGENTS):
            fleet.kill_agent(number)
        fleet.builds = [reader] * AGENTS
        for number in range(AGENTS):
            fleet.restart_agent(number)
        fleet.wait_until_all_at(AGENTS)
        require({name: fleet.pid(name) for name in fleet.names} == pids, "a router was not adopted")
        require_equal(agreed_policy(fleet), agreed, "the agreed policy")
        require_equal(fleet.status(0)["rollout"], rollout, "the state of the rollout")
        change_everything(fleet, AGENTS)
        check_stop_and_start(fleet)


def check_stop_and_start(fleet: MixedFleet) -> None:
    """Stop all agents with their routers, start them anew, and check that the policy is the same."""
    agreed = agreed_policy(fleet)
    for agent in fleet.agents:
        agent.process.terminate()
    for agent in fleet.agents:
        agent.process.wait(START_PATIENCE_S)
    for number in range(AGENTS):
        fleet.restart_agent(number)
    fleet.wait_until_all_at(2 * AGENTS)
    require_equal(agreed_policy(fleet), agreed, "the agreed policy after a stop of all")


class PlatformRouters:
    """Routers of the platform's front that follow each other at one port, with one folder."""

    def __init__(self, test: unittest.TestCase) -> None:
        self.test = test
        self.workers = [Worker(), Worker()]
        self.names = NameServer()
        self.names.list_workers(self.workers)
        self.folder = tempfile.mkdtemp()

    def start(self, build: Build, port: int = 0) -> Program:
        """Start a router of this build, with the configuration that the tests write."""
        written = start_router(self.workers, self.names, self.folder, port)
        file = written.file
        written.kill()
        program = BuildProgram(build, NODE_CONFIG=str(file), TMPDIR=self.folder, NODE_OPERATOR="127.0.0.1:0")
        self.test.addCleanup(program.kill)
        return program


def check_handover(builds: Sequence[Build]) -> None:
    """Check that a router of the first build hands over to one of the second, with its cordon."""
    first_build, second_build = builds
    with cleanups() as test:
        routers = PlatformRouters(test)
        first = routers.start(first_build)
        wait_until_ready(first)
        port = first.port("platform")
        client = Client(port)
        test.addCleanup(client.close)
        client.call_until_served("review", b"abc")
        require(change_runner(first, "s-0", "suspend") == 204, "the cordon was not taken")
        second = routers.start(second_build, port)
        wait_until_ready(second)
        require(scrape_metrics(second)["svc_hosts_down"] == 1, "the successor does not know the cordon")
        require(change_runner(second, "s-0", "resume") == 204, "the cordon was not lifted")
        eventually(lambda: scrape_metrics(first)["svc_hosts_down"] == 0, "its end at the predecessor")
        require(change_runner(second, "s-0", "suspend") == 204, "the second cordon was not taken")
        first.process.terminate()
        client.call_until_served("review", b"abc")
        require(first.process.wait(PATIENCE_S) == 0, "the predecessor's exit code")
        client_of_second = Client(port)
        test.addCleanup(client_of_second.close)
        client_of_second.call_until_served("review", b"abc")
        require(scrape_metrics(second)["svc_hosts_down"] == 1, "the successor lost the cordon")


def check_files(builds: Sequence[Build]) -> None:
    """Check that both builds print the same, and exit alike, for the files of the project."""
    for arguments in READ_FILES:
        results = [build.run(*arguments) for build in builds]
        outputs = [(result.returncode, result.stdout) for result in results]
        require(outputs[0] == outputs[1], f"{arguments}: {outputs}")
        broken = [result.stderr for result in results if "Traceback" in result.stderr]
        require(not broken, f"{arguments}: {broken}")


def check_agent_examples(builds: Sequence[Build]) -> None:
    """Check that each example of an agent starts under the second build, and ends on SIGTERM."""
    build = builds[1]
    for file in ("examples/agent.toml", "examples/fleet.toml"):
        program = BuildProgram(build, "agent", str(build.folder / file))
        try:
            program.find(r"(agent listens on)")
            time.sleep(1)
            require(program.process.poll() is None, f"{file}: ended early: {program.log}")
            require(program.stop() == 0, f"{file}: exit code")
        finally:
            program.kill()


Check = Callable[[Sequence[Build]], None]
CHECKS: tuple[tuple[str, Check], ...] = (
    ("files read", check_files),
    ("examples of agents", check_agent_examples),
    ("handover", check_handover),
    ("voters, gossip, command line", check_mixed_voters),
    ("agent without a vote", check_non_voter),
    ("folders", check_folders),
)
SYMMETRIC_CHECKS = ("files read",)  # run once, since the order of the builds makes no difference


def checked_out(revision: str, folder: Path) -> Path:
    """Check a revision out into a worktree, and return its folder."""
    tree = folder / "build"
    subprocess.run(["git", "worktree", "add", "--detach", str(tree), revision], cwd=ROOT, check=True)
    return tree


def with_environment(tree: Path) -> str:
    """Create a virtual environment with the requirements of a tree, and return its Python."""
    environment = tree / ".venv"
    subprocess.run([sys.executable, "-m", "venv", str(environment)], check=True)
    python = str(environment / "bin" / "python")
    subprocess.run([python, "-m", "pip", "install", "-q", "-r", str(tree / "requirements.txt")], check=True)
    return python


def failed_checks(other: Build, this: Build, chosen: Sequence[str]) -> list[str]:
    """Run the checks both ways, print a line for each, and return the names of those that failed."""
    failed = list[str]()
    for name, check in CHECKS:
        directions = ((other, this),) if name in SYMMETRIC_CHECKS else ((other, this), (this, other))
        for builds in directions:
            label = f"{name}: {builds[0].name}, then {builds[1].name}"
            if chosen and name not in chosen:
                continue
            started_s = time.monotonic()
            try:
                check(builds)
            except Exception:  # whatever it is, the other checks run, and it counts as a failure
                traceback.print_exc()
                failed.append(label)
            outcome = "FAILED" if label in failed else "ok"
            print(f"{outcome:6} {label} ({time.monotonic() - started_s:.0f} s)", flush=True)
    return failed


def main(arguments: Sequence[str] | None = None) -> int:
    """Run all checks against a revision, and return the exit code."""
    parser = argparse.ArgumentParser(description="this build beside another one of the project")
    parser.add_argument("revision")
    parser.add_argument("--python", help="a Python with that revision's requirements")
    parser.add_argument("--check", action="append", default=[], choices=[name for name, _ in CHECKS])
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        tree = checked_out(options.revision, Path(folder))
        try:
            other = Build(options.revision, tree, options.python or with_environment(tree))
            failed = failed_checks(other, Build("this build", ROOT, sys.executable), options.check)
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(tree)], cwd=ROOT, check=True)
    print(f"{len(failed)} checks failed" if failed else "all checks passed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
