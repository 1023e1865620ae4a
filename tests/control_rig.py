"""A test rig of the control plane without I/O: replicated state, rollout planner and simulated agents."""

import unittest
from typing import Any

from maplestile.control.commands import encode
from maplestile.control.rollout_planner import HealthReport, RolloutPlanner, RolloutRules
from maplestile.control.state import ControlState

SECOND_US = 1_000_000
NAMES = [f"r{n}" for n in range(5)]


def registered_control() -> ControlState:
    """Return the replicated state after two agents have registered five routers."""
    control = ControlState()
    for agent, names in (("a0", NAMES[:2]), ("a1", NAMES[2:])):
        assert control.apply_encoded({"do": "register", "agent": agent, "instances": names})["ok"]
    return control


class ControlRig:
    """A leader's planner and the agents' health reports for one replicated state, with a simulated clock."""

    def __init__(self, test: unittest.TestCase, **rules: Any) -> None:
        self.test = test
        self.control = registered_control()
        self.now_us = 100 * SECOND_US
        self.members_out = frozenset[str]()
        self.planner = RolloutPlanner(RolloutRules(**{"settle_us": 0, **rules}), self.now_us)
        self.reports = {name: HealthReport(True) for name in NAMES}

    def submit(self, do: str, **fields: Any) -> dict[str, Any]:
        """Apply a command in wire form and return its reply."""
        return self.control.apply_encoded({"do": do, **fields})

    def accept(self, do: str, **fields: Any) -> dict[str, Any]:
        """Apply a command that must be accepted and return its reply."""
        reply = self.submit(do, **fields)
        self.test.assertTrue(reply["ok"], reply)
        return reply

    def apply_next_command(self, after_us: int = 100_000) -> dict[str, Any] | None:
        """Advance the clock, pass the health reports to the planner, and apply and return its command."""
        self.now_us += after_us
        self.planner.record_reports(self.reports, self.now_us)
        command = self.planner.next_command(self.control, self.members_out, 1, self.now_us)
        if command is None:
            return None
        encoded = encode(command)
        self.accept(**encoded)
        return encoded

    def lease_fields(self, name: str) -> dict[str, Any]:
        """Return the fields with which a lease's holder names the lease in its commands."""
        lease = self.control.leases[name]
        return {"agent": lease.holder, "instance": name, "lease": lease.number}

    def run_step(self, name: str, end: str = "back") -> None:
        """Begin the step of an instance and end it with the command `end`."""
        fields = self.lease_fields(name)
        self.accept("begin", **fields)
        self.accept(end, **fields)
