"""What the tests of policies by real processes share: a fleet, and a test case with its checks."""

import json
import re
import unittest
from collections import defaultdict
from pathlib import Path
from typing import Any

from tests.fleet import AGENTS, EACH, Fleet
from tests.rollout_fleet import Calls
from tests.standins import eventually

ROUTERS = 5
POLICY = "stale_s = 2\nwait_s = 4\ntrace = true\n"
BOUND_S = 5.0  # from a commit until every live, connected router has applied it; on an idle machine 0.3 s


class PolicyFleet(Fleet):
    """A fleet with policies of its own, and what the checker reads: the events of all processes."""

    def __init__(self, test: unittest.TestCase, **more: Any) -> None:
        super().__init__(test, routers=ROUTERS, policy=POLICY, **more)

    def file(self, **rules: Any) -> Path:
        """A policy: that of the routers' own files, with other rules."""
        own = (self.folder / "r0.toml").read_text()
        classes = "".join(f"[[class]]{part.split('[[')[0]}" for part in own.split("[[class]]")[1:])
        file = self.folder / f"policy-{len(list(self.folder.glob('policy-*')))}.toml"
        lines = "".join(f"{name} = {json.dumps(value)}\n" for name, value in rules.items())
        file.write_text(f"[rules]\nkeep_s = 9.7\n{lines}{classes}")
        return file

    def propose(self, number: int, *words: str, **rules: Any) -> tuple[int, str, str]:
        """Propose these rules by `policy propose` at an agent; its exit code, output and error output."""
        return self.run(number, "policy", "propose", str(self.file(**rules)), *words)

    def policy_status(self, number: int) -> dict[str, Any]:
        """The policy as this agent sees it; {} while it cannot tell."""
        status: dict[str, Any] = self.command(number, "policy", "status")[0]
        return status

    def epochs(self, number: int) -> dict[str, Any]:
        """The epoch of every instance, by what this agent knows."""
        return {
            name: status.get("epoch")
            for name, status in self.policy_status(number).get("instances", {}).items()
        }

    def all_at(self, number: int, epoch: int, names: list[str] | None = None) -> bool:
        """Whether these instances, or else all routers, have the epoch by what this agent knows."""
        epochs = self.epochs(number)
        return all(epochs.get(name) == epoch for name in names or self.names)

    def until_all_at(self, number: int, epoch: int, names: list[str] | None = None) -> None:
        """Wait for `all_at`; the error has the status that the agent knew last."""
        try:
            eventually(lambda: self.all_at(number, epoch, names), f"epoch {epoch} everywhere")
        except AssertionError:
            raise AssertionError(f"waited in vain for epoch {epoch}: {self.policy_status(number)}") from None

    def events_of(self, *names: str) -> list[tuple[str, dict[str, Any]]]:
        """The events of these names, with the instance or agent that logged each, in order of time."""
        found = []
        for number, program in enumerate(self.agents):
            for line in list(program.log):
                match = re.match(r"(?:\[(\w+)\] )?(\{.*\"t_us\".*)", line)
                if match is not None and (event := json.loads(match[2]))["event"] in names:
                    found.append((match[1] or f"a{number}", event))
        return sorted(found, key=lambda logged: logged[1]["t_us"])

    def figure(self, name: str, figure: str) -> float:
        """One of the figures of an instance; -1 where it does not show it."""
        number = int(name[1:]) // EACH
        for line in self.run(number, "figures", name)[1].splitlines():
            if line.startswith(f"svc_{figure} "):
                return float(line.rpartition(" ")[2])
        return -1


class PolicyTest(unittest.TestCase):
    """A whole fleet before each test, at epoch 0."""

    def setUp(self) -> None:
        self.fleet = self.made()
        self.fleet.until_whole()
        self.fleet.until_all_at(0, 0)

    def made(self) -> PolicyFleet:
        """The fleet of a test; a class of tests may have another."""
        return PolicyFleet(self)

    def agreed(self, result: tuple[int, str, str]) -> None:
        """Check that a command line succeeded and wrote no error."""
        code, out, err = result
        self.assertEqual((code, err), (0, ""), out)

    def check(self, calls: Calls | None = None, least: float = 0.9) -> None:
        """The checker: what the logs of all processes have to show, whatever has failed."""
        fleet = self.fleet
        # First the end of the load: the logs have to show all of its calls, however late it has begun.
        result = None if calls is None else calls.result()
        committed = self.committed()
        self.assertEqual(sorted(committed), list(range(len(committed))))
        last: dict[str, int] = defaultdict(int)
        for name, event in fleet.events_of("applied"):
            self.assertIn(event["epoch"], committed, f"{name} applied what was never committed")
            self.assertGreaterEqual(event["epoch"], last[name], f"{name} went back")
            last[name] = event["epoch"]
        # By what was logged, not by what the logger believes: the epochs of one call's attempts.
        epochs: dict[tuple[str, int, int], set[int]] = defaultdict(set)
        lives: dict[str, int] = defaultdict(int)
        for name, event in fleet.events_of("attempt", "current"):
            if event["event"] == "current" and event["before"] == "waiting":
                lives[name] += 1  # perhaps another process, whose calls are numbered anew
            elif event["event"] == "attempt":
                epochs[name, lives[name], event["call"]].add(event["epoch"])
        self.assertEqual([key for key, seen in epochs.items() if len(seen) > 1], [])
        mixed = [fleet.figure(name, "policy_mixed_calls_total") for name in fleet.names]
        self.assertLessEqual(max(mixed), 0, mixed)
        if result is not None:
            self.assertLessEqual(set(result["ends"]), {"served", "refused", "nowhere"}, result)
            self.assertGreater(result["served_share"], least, result)
            self.assertGreater(len(epochs), 20)

    def committed(self) -> dict[int, int]:
        """Each epoch of the agreed log, and when the first agent had it."""
        found: dict[int, int] = {}
        for _, event in self.fleet.events_of("committed"):
            found.setdefault(event["epoch"], event["t_us"])
        return found

    def bound(self, names: list[str]) -> None:
        """Every one of these, live and connected, applied each committed epoch within the bound."""
        applied: dict[tuple[str, int], int] = {}
        for name, event in self.fleet.events_of("applied"):
            applied.setdefault((name, event["epoch"]), event["t_us"])
        for epoch, at_us in self.committed().items():
            for name in names if epoch else ():
                self.assertLess((applied[name, epoch] - at_us) / 1e6, BOUND_S, f"{name}, epoch {epoch}")

    def agents(self, *besides: int) -> list[int]:
        """The numbers of all agents but these."""
        return [number for number in range(AGENTS) if number not in besides]

    def leader(self) -> int:
        """The agent that leads, once there is one."""

        def leaders() -> list[int]:
            return [number for number in [self.fleet.leader()] if number is not None]

        return int(eventually(leaders, "a leader")[0])
