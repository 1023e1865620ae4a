"""The control plane without I/O: the agreed state, the planner of rollouts, and agents played by the test."""

import unittest
from typing import Any

from maplestile.control.commands import encode
from maplestile.control.rollout_planner import HealthReport, RolloutPlanner, RolloutRules
from maplestile.control.state import ControlState

SECOND_US = 1_000_000
NAMES = [f"r{n}" for n in range(5)]


def registered_control() -> ControlState:
    """The agreed state after two agents have registered five routers."""
    control = ControlState()
    for agent, names in (("a0", NAMES[:2]), ("a1", NAMES[2:])):
        assert control.apply_encoded({"do": "register", "agent": agent, "instances": names})["ok"]
    return control


class ControlRig:
    """A leader's planner and the agents' reports on one agreed state, on the test's own clock."""

    def __init__(self, test: unittest.TestCase, **rules: Any) -> None:
        self.test = test
        self.control = registered_control()
        self.now_us = 100 * SECOND_US
        self.out = frozenset[str]()
        self.planner = RolloutPlanner(RolloutRules(**{"settle_us": 0, **rules}), self.now_us)
        self.reports = {name: HealthReport(True) for name in NAMES}

    def submit(self, do: str, **more: Any) -> dict[str, Any]:
        """Apply a command in wire form; its reply."""
        return self.control.apply_encoded({"do": do, **more})

    def accept(self, do: str, **more: Any) -> dict[str, Any]:
        """Apply a command that has to be accepted; its reply."""
        reply = self.submit(do, **more)
        self.test.assertTrue(reply["ok"], reply)
        return reply

    def apply_next_command(self, after_us: int = 100_000) -> dict[str, Any] | None:
        """Let time pass, give the planner the health reports, and apply the command that it decides on."""
        self.now_us += after_us
        self.planner.record_reports(self.reports, self.now_us)
        command = self.planner.next_command(self.control, self.out, 1, self.now_us)
        if command is None:
            return None
        encoded = encode(command)
        self.accept(**encoded)
        return encoded

    def lease_fields(self, name: str) -> dict[str, Any]:
        """The fields by which its holder names the lease of an instance."""
        lease = self.control.leases[name]
        return {"agent": lease.holder, "instance": name, "lease": lease.number}

    def run_step(self, name: str, end: str = "back") -> None:
        """Begin the step of an instance, and end it."""
        fields = self.lease_fields(name)
        self.accept("begin", **fields)
        self.accept(end, **fields)
