"""Changes of the fleet's policy without I/O: what is agreed on, and when it is committed."""

import json
from typing import Any

from maplestile.control.commands import encode
from maplestile.control.policy.agreed import Phase
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.state import ControlState

SECOND_US = 1_000_000
ONE_ATTEMPT: dict[str, Any] = {"rules": {"attempts": 1}}
TWO_ATTEMPTS: dict[str, Any] = {"rules": {"attempts": 2}}


class PolicyRig:
    """The agreed state and the planner of policy, with two agents of a router each played by the test."""

    def __init__(self) -> None:
        self.control = ControlState()
        for agent, name in (("a0", "r0"), ("a1", "r1")):
            self.accept("register", agent=agent, instances=[name])
        self.planner = PolicyPlanner()

    def submit(self, do: str, **more: Any) -> dict[str, Any]:
        """Apply a command of agent a0, or of another that is given, in wire form; its reply."""
        return self.control.apply_encoded({"do": do, "agent": "a0", **more})

    def accept(self, do: str, **more: Any) -> dict[str, Any]:
        """Apply a command that has to be accepted; its reply."""
        reply = self.submit(do, **more)
        assert reply["ok"], reply
        return reply

    def assert_rejected(self, expected: str, do: str, **more: Any) -> None:
        """Apply a command that has to be rejected for this reason, and change nothing."""
        before = self.control.encoded()
        reply = self.submit(do, **more)
        assert not reply["ok"] and expected in reply["reason"], reply
        assert self.control.encoded() == before

    def submit_read(self, number: int) -> None:
        """An agent reads the policy for its router."""
        self.accept("policy read", agent=f"a{number}", instances=[f"r{number}"])

    def submit_verdict(self, number: int, reason: str = "") -> None:
        """A router's verdict on the newest change; a reason refuses it."""
        change = self.control.policy.number
        agent = f"a{number}"
        self.accept("policy verdict", change=change, agent=agent, instance=f"r{number}", reason=reason)

    def next_command(self, now_us: int) -> dict[str, Any] | None:
        """The leader's next command in wire form, which is not applied."""
        command = self.planner.next_command(self.control.policy, self.control.instances, now_us)
        return None if command is None else encode(command)

    def commit_change(self, document: dict[str, Any] | None = None, **more: Any) -> None:
        """Propose a document, or without one a rollback, and have it checked and committed."""
        base = self.control.policy.epoch.number
        do = "policy propose" if document is not None else "policy rollback"
        self.accept(do, base=base, document=document, **more)
        for number in (0, 1):
            self.submit_read(number)
            self.submit_verdict(number)
        command = self.next_command(0)
        assert command is not None and command["do"] == "policy commit"
        assert self.control.apply_encoded(command)["ok"]


def test_a_change_is_committed_once_every_live_router_has_checked_it() -> None:
    rig = PolicyRig()
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_read(0)
    rig.submit_read(1)
    rig.submit_verdict(0)
    assert rig.next_command(5 * SECOND_US) is None  # r1 serves, and has not said yes
    assert rig.next_command(9 * SECOND_US) is None
    rig.assert_rejected("not absent: r1", "policy commit", change=1, absent=["r1"])
    rig.assert_rejected("not checked by r1", "policy commit", change=1, absent=[])
    rig.assert_rejected("change 0 is not being checked", "policy verdict", change=0, instance="r0", reason="")
    rig.assert_rejected("does not manage", "policy verdict", change=1, instance="r1", reason="")
    # A read lets none serve that the log does not count as that agent's.
    assert rig.accept("policy read", instances=["r0", "r1", "r9"])["named"] == ["r0"]
    rig.submit_verdict(1)
    command = rig.next_command(9 * SECOND_US)
    assert command is not None and (command["do"], command["absent"]) == ("policy commit", [])
    assert rig.control.apply_encoded(command)["epoch"] == 1
    assert rig.control.policy.epoch.document == ONE_ATTEMPT
    rig.assert_rejected("is not being checked", "policy commit", change=1, absent=[])


def test_a_refusal_or_a_missing_verdict_aborts_the_change() -> None:
    rig = PolicyRig()
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_verdict(0)
    rig.submit_verdict(1, "rules.attempts: is not known here")
    change = rig.control.policy.change
    assert change is not None and change.phase is Phase.ABORTED
    assert change.reason == "r1 refuses it: rules.attempts: is not known here"
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_read(0)
    rig.submit_read(1)
    rig.submit_verdict(0)
    assert rig.next_command(0) is None
    command = rig.next_command(7 * SECOND_US)
    assert command is not None and command["reason"] == "no verdict within 6 s of r1"
    assert rig.control.apply_encoded(command)["ok"] and rig.control.policy.epoch.number == 0
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)  # nobody is there at all
    rig.assert_rejected("no router has checked it", "policy commit", change=3, absent=["r0", "r1"])
    rig.assert_rejected("change 2 is not being checked", "policy commit", change=2, absent=["r0", "r1"])
    assert rig.next_command(8 * SECOND_US) is None
    assert (rig.next_command(15 * SECOND_US) or {})["reason"] == "no router is there to check it"


def test_a_router_that_no_read_names_does_not_delay_a_change_and_one_that_is_named_does() -> None:
    rig = PolicyRig()
    rig.submit_read(1)  # before the change: it may be cut off since
    rig.accept("policy propose", base=0, document=ONE_ATTEMPT)
    rig.submit_read(0)
    rig.submit_verdict(0)
    assert rig.next_command(0) is None
    command = rig.next_command(3 * SECOND_US)
    assert command is not None and command["absent"] == ["r1"]
    rig.submit_read(1)  # back just before the commit: it is let serve by the old epoch
    assert not rig.control.apply_encoded(command)["ok"]
    assert rig.next_command(4 * SECOND_US) is None
    rig.submit_verdict(1)
    command = rig.next_command(4 * SECOND_US)
    assert command is not None and command["absent"] == []


def test_of_two_changes_at_once_one_is_accepted_and_one_made_on_an_old_epoch_is_rejected() -> None:
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


def test_a_rollback_is_a_new_epoch_with_the_document_before() -> None:
    rig = PolicyRig()
    rig.assert_rejected("nothing before", "policy rollback", base=0)
    rig.commit_change(ONE_ATTEMPT)
    rig.commit_change(TWO_ATTEMPTS)
    rig.assert_rejected("no epoch 7 to go back to: 0, 1 kept", "policy rollback", base=2, to=7)
    rig.commit_change()
    assert (rig.control.policy.epoch.number, rig.control.policy.epoch.document) == (3, ONE_ATTEMPT)
    rig.commit_change()  # and once more: before the epoch that was brought back
    assert (rig.control.policy.epoch.number, rig.control.policy.epoch.document) == (4, None)
    rig.commit_change(to=2)
    assert rig.control.policy.epoch.document == TWO_ATTEMPTS
    for n in range(10):
        rig.commit_change({"rules": {"attempts": 3 + n}})
    assert len(rig.control.policy.epochs) == 8
    assert (
        ControlState.decode(json.loads(json.dumps(rig.control.encoded()))).encoded() == rig.control.encoded()
    )


def test_a_snapshot_of_an_earlier_release_is_read() -> None:
    old = dict(ControlState().__dict__)
    del old["policy"]
    control = ControlState.__new__(ControlState)
    control.__setstate__(old)
    assert control.policy.epoch.number == 0
