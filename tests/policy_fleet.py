"""A fleet of real processes for tests of policy changes, and a test case with its checks."""

import json
import unittest
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

from tests.fleet import Fleet, FleetOptions
from tests.fleet_command_line import CommandResult, agent_of
from tests.fleet_events import LoggedEvent, events_of_all
from tests.rollout_fleet import Calls
from tests.standins import eventually

ROUTERS = 5
POLICY = "stale_s = 2\nwait_s = 4\ntrace = true\n"
# From a commit until every live and connected router has applied it; it takes 0.3 s on an idle machine.
APPLIED_WITHIN_S = 5.0
MIN_CALLS = 20  # minimum number of calls that a test under load must have logged
METRIC_MISSING = -1.0


class PolicyFleet(Fleet):
    """A fleet with commands for policy changes, and queries of the events and metrics of its processes."""

    def __init__(
        self, test: unittest.TestCase, *, with_registry: bool = False, older_build: str = ""
    ) -> None:
        options = FleetOptions(
            routers=ROUTERS, policy=POLICY, with_registry=with_registry, older_build=older_build
        )
        super().__init__(test, options)

    def write_policy(self, **rules: Any) -> Path:
        """Write a policy file with these rules and the classes of the routers' own files; return its path."""
        own = (self.folder / "r0.toml").read_text()
        classes = "".join(f"[[class]]{part.split('[[')[0]}" for part in own.split("[[class]]")[1:])
        file = self.folder / f"policy-{len(list(self.folder.glob('policy-*')))}.toml"
        lines = "".join(f"{name} = {json.dumps(value)}\n" for name, value in rules.items())
        file.write_text(f"[rules]\nkeep_s = 9.7\n{lines}{classes}")
        return file

    def propose(self, number: int, *options: str, **rules: Any) -> CommandResult:
        """Propose a policy with these rules by `policy propose` at an agent."""
        return self.run(number, "policy", "propose", str(self.write_policy(**rules)), *options)

    def policy_status(self, number: int) -> dict[str, Any]:
        """Return the policy status that this agent reports; {} if it cannot report one."""
        return self.command(number, "policy", "status").answer

    def epochs(self, number: int) -> dict[str, Any]:
        """Return the epoch of every instance, as far as this agent knows."""
        return {
            name: status.get("epoch")
            for name, status in self.policy_status(number).get("instances", {}).items()
        }

    def have_epoch(self, number: int, epoch: int, names: list[str] | None = None) -> bool:
        """Return whether these instances (default: all routers) have the epoch, as far as the agent knows."""
        epochs = self.epochs(number)
        return all(epochs.get(name) == epoch for name in names or self.names)

    def wait_for_epoch(self, number: int, epoch: int, names: list[str] | None = None) -> None:
        """Wait for `have_epoch`; on a timeout, raise AssertionError with the agent's last policy status."""
        try:
            eventually(lambda: self.have_epoch(number, epoch, names), f"epoch {epoch} everywhere")
        except AssertionError:
            raise AssertionError(
                f"timed out waiting for epoch {epoch}: {self.policy_status(number)}"
            ) from None

    def events_of(self, *names: str) -> list[LoggedEvent]:
        """Return the events with these names, each with the instance or agent that logged it, by time."""
        return events_of_all(self.agents, names)

    def metric(self, router: str, name: str) -> float:
        """Return a metric of a router, or `METRIC_MISSING` if the router does not report it."""
        for line in self.run(agent_of(router), "figures", router).output.splitlines():
            if line.startswith(f"svc_{name} "):
                return float(line.rpartition(" ")[2])
        return METRIC_MISSING


class CallKey(NamedTuple):
    """Identifies a call: call numbers of a router start again with each of its processes."""

    router: str
    start: int
    call: int


class AppliedKey(NamedTuple):
    """Identifies an epoch at a router."""

    router: str
    epoch: int


class PolicyTest(unittest.TestCase):
    """A test case that starts a fleet, and waits until all routers have epoch 0, before each test."""

    def setUp(self) -> None:
        self.fleet = self.create_fleet()
        self.fleet.wait_until_ready()
        self.fleet.wait_for_epoch(0, 0)

    def create_fleet(self) -> PolicyFleet:
        """Return the fleet of a test; subclasses may override it."""
        return PolicyFleet(self)

    def assert_succeeded(self, result: CommandResult) -> None:
        """Check that a command succeeded and wrote no error."""
        self.assertEqual((result.exit_code, result.error), (0, ""), result.output)

    def check_logs(self, calls: Calls | None = None, served_share_least: float = 0.9) -> None:
        """Check the invariants that the logs of all processes must satisfy, and the results of the calls."""
        # Wait for the end of the load first, since the logs must contain all of its calls.
        result = None if calls is None else calls.result()
        self._check_applied_epochs()
        epochs = self._epochs_of_attempts()
        self.assertEqual([key for key, seen in epochs.items() if len(seen) > 1], [])
        mixed = [self.fleet.metric(name, "policy_mixed_calls_total") for name in self.fleet.names]
        self.assertLessEqual(max(mixed), 0, mixed)
        if result is not None:
            self.assertLessEqual(set(result["ends"]), {"served", "refused", "nowhere"}, result)
            self.assertGreater(result["served_share"], served_share_least, result)
            self.assertGreater(len(epochs), MIN_CALLS)

    def _check_applied_epochs(self) -> None:
        """Check that epochs are committed without gaps, and routers apply only committed ones, in order."""
        committed = self.committed_epochs()
        self.assertEqual(sorted(committed), list(range(len(committed))))
        last: dict[str, int] = defaultdict(int)
        for name, event in self.fleet.events_of("applied"):
            self.assertIn(event["epoch"], committed, f"{name} applied an epoch that was never committed")
            self.assertGreaterEqual(event["epoch"], last[name], f"{name} went back to an older epoch")
            last[name] = event["epoch"]

    def _epochs_of_attempts(self) -> dict[CallKey, set[int]]:
        """Return the epochs under which the attempts of each call were sent, from the routers' logs."""
        epochs: dict[CallKey, set[int]] = defaultdict(set)
        starts: dict[str, int] = defaultdict(int)
        for name, event in self.fleet.events_of("attempt", "current"):
            if event["event"] == "current" and event["before"] == "waiting":
                starts[name] += 1  # may be a new process, whose call numbers start again
            elif event["event"] == "attempt":
                epochs[CallKey(name, starts[name], event["call"])].add(event["epoch"])
        return epochs

    def committed_epochs(self) -> dict[int, int]:
        """Return each committed epoch, with the time in microseconds at which the first agent logged it."""
        found: dict[int, int] = {}
        for _, event in self.fleet.events_of("committed"):
            found.setdefault(event["epoch"], event["t_us"])
        return found

    def assert_applied_in_time(self, names: list[str]) -> None:
        """Check that each of these routers applied each committed epoch within `APPLIED_WITHIN_S`."""
        applied_us: dict[AppliedKey, int] = {}
        for name, event in self.fleet.events_of("applied"):
            applied_us.setdefault(AppliedKey(name, event["epoch"]), event["t_us"])
        for epoch, committed_us in self.committed_epochs().items():
            for name in names if epoch else ():
                delay_s = (applied_us[AppliedKey(name, epoch)] - committed_us) / 1e6
                self.assertLess(delay_s, APPLIED_WITHIN_S, f"{name}, epoch {epoch}")
