"""Tests of policy changes, without I/O: the replicated state and the planner's decisions."""

import json
from typing import Any

from maplestile.control.commands import encode
from maplestile.control.policy.agreed import ChangePhase
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.state import ControlState

SECOND_US = 1_000_000
ONE_ATTEMPT: dict[str, Any] = {"rules": {"attempts": 1}}
TWO_ATTEMPTS: dict[str, Any] = {"rules": {"attempts": 2}}


class PolicyRig:
    """The replicated state, the policy planner, and two simulated agents with one router each."""

    def __init__(self) -> None:
        self.control = ControlState()
        for agent, name in (("a0", "r0"), ("a1", "r1")):
            self.accept("register", agent=agent, instances=[name])
        self.planner = PolicyPlanner()

    def submit(self, do: str, **fields: Any) -> dict[str, Any]:
        """Apply a command in wire form and return its reply; agent a0 sends it unless another is given."""
        return self.control.apply_encoded({"do": do, "agent": "a0", **fields})

    def accept(self, do: str, **fields: Any) -> dict[str, Any]:
        """Apply a command that must be accepted and return its reply."""
        reply = self.submit(do, **fields)
        assert reply["ok"], reply
        return reply

    def assert_rejected(self, expected: str, do: str, **fields: Any) -> None:
        """Apply a command that must be rejected for this reason without changing the state."""
        before = self.control.encoded()
        reply = self.submit(do, **fields)
        assert not reply["ok"] and expected in reply["reason"], reply
        assert self.control.encoded() == before

    def submit_read(self, number: int) -> None:
        """Submit a policy read of agent a`number` that names its router."""
        self.accept("policy read", agent=f"a{number}", instances=[f"r{number}"])

    def submit_verdict(self, number: int, reason: str = "") -> None:
        """Submit the verdict of router r`number` on the last change; a reason other than "" refuses it."""
        change = self.control.policy.number
        agent = f"a{number}"
        self.accept("policy verdict", change=change, agent=agent, instance=f"r{number}", reason=reason)

    def next_command(self, now_us: int) -> dict[str, Any] | None:
        """Return the leader's next command in wire form without applying it."""
        command = self.planner.next_command(self.control.policy, self.control.instances, now_us)
        return None if command is None else encode(command)

    def commit_change(self, document: dict[str, Any] | None = None, **fields: Any) -> None:
        """Propose a document, or a rollback if it is None, and have the change accepted and committed."""
        base = self.control.policy.epoch.number
        do = "policy propose" if document is not None else "policy rollback"
        self.accept(do, base=base, document=document, **fields)
        for number in (0, 1):
            self.submit_read(number)
            self.submit_verdict(number)
        command = self.next_command(0)
        assert command is not None and command["do"] == "policy commit"
        assert self.control.apply_encoded(command)["ok"]


def test_commits_change_once_every_live_router_accepts_it() -> None:
    rig = PolicyRig()
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_read(0)
    rig.submit_read(1)
    rig.submit_verdict(0)
    assert rig.next_command(5 * SECOND_US) is None  # a read has named r1, and its verdict is missing
    assert rig.next_command(9 * SECOND_US) is None
    rig.assert_rejected("not absent: r1", "policy commit", change=1, absent=["r1"])
    rig.assert_rejected("not checked by r1", "policy commit", change=1, absent=[])
    rig.assert_rejected("change 0 is not being checked", "policy verdict", change=0, instance="r0", reason="")
    rig.assert_rejected("does not manage", "policy verdict", change=1, instance="r1", reason="")
    # A read names only instances that are registered for its agent.
    assert rig.accept("policy read", instances=["r0", "r1", "r9"])["named"] == ["r0"]
    rig.submit_verdict(1)
    command = rig.next_command(9 * SECOND_US)
    assert command is not None and (command["do"], command["absent"]) == ("policy commit", [])
    assert rig.control.apply_encoded(command)["epoch"] == 1
    assert rig.control.policy.epoch.document == ONE_ATTEMPT
    rig.assert_rejected("is not being checked", "policy commit", change=1, absent=[])


def test_aborts_change_on_refusal_or_missing_verdict() -> None:
    rig = PolicyRig()
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_verdict(0)
    rig.submit_verdict(1, "rules.attempts: is not known here")
    change = rig.control.policy.change
    assert change is not None and change.phase is ChangePhase.ABORTED
    assert change.reason == "r1 refuses it: rules.attempts: is not known here"
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_read(0)
    rig.submit_read(1)
    rig.submit_verdict(0)
    assert rig.next_command(0) is None
    command = rig.next_command(7 * SECOND_US)
    assert command is not None and command["reason"] == "no verdict within 6 s of r1"
    assert rig.control.apply_encoded(command)["ok"] and rig.control.policy.epoch.number == 0
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)  # now no read names any router
    rig.assert_rejected("no router has checked it", "policy commit", change=3, absent=["r0", "r1"])
    rig.assert_rejected("change 2 is not being checked", "policy commit", change=2, absent=["r0", "r1"])
    assert rig.next_command(8 * SECOND_US) is None
    assert (rig.next_command(15 * SECOND_US) or {})["reason"] == "no router is there to check it"


def test_change_waits_only_for_routers_named_by_read_since_proposal() -> None:
    rig = PolicyRig()
    rig.submit_read(1)  # before the proposal: r1 may have been cut off since
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_read(0)
    rig.submit_verdict(0)
    assert rig.next_command(0) is None
    command = rig.next_command(3 * SECOND_US)
    assert command is not None and command["absent"] == ["r1"]
    rig.submit_read(1)  # r1 returns just before the commit and may take calls under the old epoch
    assert not rig.control.apply_encoded(command)["ok"]
    assert rig.next_command(4 * SECOND_US) is None
    rig.submit_verdict(1)
    command = rig.next_command(4 * SECOND_US)
    assert command is not None and command["absent"] == []


def test_rejects_second_concurrent_change_and_change_based_on_old_epoch() -> None:
    rig = PolicyRig()
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.assert_rejected("change 1 is being checked", "policy propose", base=0, document=TWO_ATTEMPTS)
    rig.submit_verdict(0, "no")
    rig.commit_change(ONE_ATTEMPT)
    rig.assert_rejected(
        "made on epoch 0, and the epoch is 1", "policy propose", base=0, document=TWO_ATTEMPTS
    )
    rig.assert_rejected("is this policy already", "policy propose", base=1, document=ONE_ATTEMPT)
    rig.assert_rejected("peers: is no part of policy", "policy propose", base=1, document={"peers": {}})
    rig.assert_rejected("damaged command", "policy propose", base=1)
    rig.assert_rejected("damaged command", "policy commit", absent=[])


def test_rollback_creates_epoch_with_earlier_document() -> None:
    rig = PolicyRig()
    rig.assert_rejected("nothing before", "policy rollback", base=0)
    rig.commit_change(ONE_ATTEMPT)
    rig.commit_change(TWO_ATTEMPTS)
    rig.assert_rejected("no epoch 7 to go back to: 0, 1 kept", "policy rollback", base=2, to=7)
    rig.commit_change()
    assert (rig.control.policy.epoch.number, rig.control.policy.epoch.document) == (3, ONE_ATTEMPT)
    rig.commit_change()  # a second rollback: to the epoch before the one that was brought back
    assert (rig.control.policy.epoch.number, rig.control.policy.epoch.document) == (4, None)
    rig.commit_change(to=2)
    assert rig.control.policy.epoch.document == TWO_ATTEMPTS
    for n in range(10):
        rig.commit_change({"rules": {"attempts": 3 + n}})
    assert len(rig.control.policy.epochs) == 8
    assert (
        ControlState.decode(json.loads(json.dumps(rig.control.encoded()))).encoded() == rig.control.encoded()
    )


def test_reads_snapshot_of_earlier_release_without_policy() -> None:
    old = dict(ControlState().__dict__)
    del old["policy"]
    control = ControlState.__new__(ControlState)
    control.__setstate__(old)
    assert control.policy.epoch.number == 0
