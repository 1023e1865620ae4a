"""Changes of the fleet's policy without I/O: what is agreed on, and when it is committed."""

import json
from typing import Any

from maplestile.control.commands import encode
from maplestile.control.policy.agreed import Phase
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.state import ControlState

S = 1_000_000  # microseconds
ONE: dict[str, Any] = {"rules": {"attempts": 1}}
TWO: dict[str, Any] = {"rules": {"attempts": 2}}


class SmallFleet:
    """Two agents with a router each, and the log without its consensus."""

    def __init__(self) -> None:
        self.control = ControlState()
        for agent, name in (("a0", "r0"), ("a1", "r1")):
            self.ok("register", agent=agent, instances=[name])
        self.planner = PolicyPlanner()

    def submit(self, do: str, **more: Any) -> dict[str, Any]:
        return self.control.apply_encoded({"do": do, "agent": "a0", **more})

    def ok(self, do: str, **more: Any) -> dict[str, Any]:
        reply = self.submit(do, **more)
        assert reply["ok"], reply
        return reply

    def no(self, expected: str, do: str, **more: Any) -> None:
        before = self.control.encoded()
        reply = self.submit(do, **more)
        assert not reply["ok"] and expected in reply["reason"], reply
        assert self.control.encoded() == before

    def read(self, number: int) -> None:
        self.ok("policy read", agent=f"a{number}", instances=[f"r{number}"])

    def verdict(self, number: int, reason: str = "") -> None:
        change = self.control.policy.number
        agent = f"a{number}"
        self.ok("policy verdict", change=change, agent=agent, instance=f"r{number}", reason=reason)

    def look(self, now_us: int) -> dict[str, Any] | None:
        command = self.planner.next_command(self.control.policy, self.control.instances, now_us)
        return None if command is None else encode(command)

    def commit(self, document: dict[str, Any] | None = None, **more: Any) -> None:
        base = self.control.policy.epoch.number
        do = "policy propose" if document is not None else "policy rollback"
        self.ok(do, base=base, document=document, **more)
        for number in (0, 1):
            self.read(number)
            self.verdict(number)
        command = self.look(0)
        assert command is not None and command["do"] == "policy commit"
        assert self.control.apply_encoded(command)["ok"]


def test_a_change_is_committed_once_every_live_router_has_checked_it() -> None:
    fleet = SmallFleet()
    fleet.ok("policy propose", base=0, document=ONE)
    fleet.read(0)
    fleet.read(1)
    fleet.verdict(0)
    assert fleet.look(5 * S) is None  # r1 serves, and has not said yes
    assert fleet.look(9 * S) is None
    fleet.no("not absent: r1", "policy commit", change=1, absent=["r1"])
    fleet.no("not checked by r1", "policy commit", change=1, absent=[])
    fleet.no("change 0 is not being checked", "policy verdict", change=0, instance="r0", reason="")
    fleet.no("does not manage", "policy verdict", change=1, instance="r1", reason="")
    # A read lets none serve that the log does not count as that agent's.
    assert fleet.ok("policy read", instances=["r0", "r1", "r9"])["named"] == ["r0"]
    fleet.verdict(1)
    command = fleet.look(9 * S)
    assert command is not None and (command["do"], command["absent"]) == ("policy commit", [])
    assert fleet.control.apply_encoded(command)["epoch"] == 1
    assert fleet.control.policy.epoch.document == ONE
    fleet.no("is not being checked", "policy commit", change=1, absent=[])


def test_a_refusal_or_a_missing_verdict_gives_it_up_everywhere() -> None:
    fleet = SmallFleet()
    fleet.ok("policy propose", base=0, document=ONE)
    fleet.verdict(0)
    fleet.verdict(1, "rules.attempts: is not known here")
    change = fleet.control.policy.change
    assert change is not None and change.phase is Phase.ABORTED
    assert change.reason == "r1 refuses it: rules.attempts: is not known here"
    fleet.ok("policy propose", base=0, document=ONE)
    fleet.read(0)
    fleet.read(1)
    fleet.verdict(0)
    assert fleet.look(0) is None
    command = fleet.look(7 * S)
    assert command is not None and command["reason"] == "no verdict within 6 s of r1"
    assert fleet.control.apply_encoded(command)["ok"] and fleet.control.policy.epoch.number == 0
    fleet.ok("policy propose", base=0, document=ONE)  # nobody is there at all
    fleet.no("no router has checked it", "policy commit", change=3, absent=["r0", "r1"])
    fleet.no("change 2 is not being checked", "policy commit", change=2, absent=["r0", "r1"])
    assert fleet.look(8 * S) is None
    assert (fleet.look(15 * S) or {})["reason"] == "no router is there to check it"


def test_a_router_that_no_read_names_does_not_hold_a_change_up_and_one_that_is_named_does() -> None:
    fleet = SmallFleet()
    fleet.read(1)  # before the change: it may be cut off since
    fleet.ok("policy propose", base=0, document=ONE)
    fleet.read(0)
    fleet.verdict(0)
    assert fleet.look(0) is None
    command = fleet.look(3 * S)
    assert command is not None and command["absent"] == ["r1"]
    fleet.read(1)  # back just before the commit: it is let serve by the old epoch
    assert not fleet.control.apply_encoded(command)["ok"]
    assert fleet.look(4 * S) is None
    fleet.verdict(1)
    command = fleet.look(4 * S)
    assert command is not None and command["absent"] == []


def test_of_two_changes_at_once_one_wins_and_one_made_on_an_old_epoch_is_refused() -> None:
    fleet = SmallFleet()
    fleet.ok("policy propose", base=0, document=ONE)
    fleet.no("change 1 is being checked", "policy propose", base=0, document=TWO)
    fleet.verdict(0, "no")
    fleet.commit(ONE)
    fleet.no("made on epoch 0, and the epoch is 1", "policy propose", base=0, document=TWO)
    fleet.no("is this policy already", "policy propose", base=1, document=ONE)
    fleet.no("peers: is no part of policy", "policy propose", base=1, document={"peers": {}})
    fleet.no("damaged command", "policy propose", base=1)
    fleet.no("damaged command", "policy commit", absent=[])


def test_a_rollback_is_a_new_epoch_with_the_document_before() -> None:
    fleet = SmallFleet()
    fleet.no("nothing before", "policy rollback", base=0)
    fleet.commit(ONE)
    fleet.commit(TWO)
    fleet.no("no epoch 7 to go back to: 0, 1 kept", "policy rollback", base=2, to=7)
    fleet.commit()
    assert (fleet.control.policy.epoch.number, fleet.control.policy.epoch.document) == (3, ONE)
    fleet.commit()  # and once more: before the epoch that was brought back
    assert (fleet.control.policy.epoch.number, fleet.control.policy.epoch.document) == (4, None)
    fleet.commit(to=2)
    assert fleet.control.policy.epoch.document == TWO
    for n in range(10):
        fleet.commit({"rules": {"attempts": 3 + n}})
    assert len(fleet.control.policy.epochs) == 8
    assert (
        ControlState.decode(json.loads(json.dumps(fleet.control.encoded()))).encoded()
        == fleet.control.encoded()
    )


def test_a_snapshot_of_an_earlier_release_is_read() -> None:
    old = dict(ControlState().__dict__)
    del old["policy"]
    control = ControlState.__new__(ControlState)
    control.__setstate__(old)
    assert control.policy.epoch.number == 0
