"""Tests of isolation: when a member counts as isolated, depending on when the others are declared dead."""

from maplestile.membership.events import EventLog
from maplestile.membership.isolation import PROBE_PASSES, IsolationDetector
from maplestile.membership.local_health import LocalHealth
from maplestile.membership.member_list import Member, MemberList
from maplestile.membership.messages import Status
from maplestile.membership.tuning import Tuning

TUNING = Tuning()
MEMBERS = 5
OTHERS = [f"r{number}" for number in range(1, MEMBERS)]
# The time after a death until a healthy member has probed all others.
ALL_PROBED_US = PROBE_PASSES * MEMBERS * TUNING.period_us


class View:
    """The view of member r0 in a group of five, with its isolation detector."""

    def __init__(self) -> None:
        self.members = MemberList("r0", ("h", 0), 0)
        for number, name in enumerate(OTHERS, 1):
            self.members.add(Member(name, ("h", number), 0, Status.ALIVE, 0))
        self.log = EventLog()
        self.health = LocalHealth(TUNING)
        self.detector = IsolationDetector(self.members, self.log, None, TUNING, self.health)

    def set_status(self, name: str, status: Status, now_us: int) -> None:
        """Change the status of a member, and evaluate the view at that time."""
        self.members.set_status(self.members.members[name], status)
        self.detector.evaluate(now_us)

    def isolated_after_deaths(self, interval_us: int) -> list[bool]:
        """Declare three members dead, one after another, and return after each whether r0 is isolated.

        Each member is suspected only once the previous one is dead.
        """
        isolated = list[bool]()
        for number, name in enumerate(OTHERS[:3], 1):
            self.set_status(name, Status.SUSPECT, number * interval_us - 1)
            self.set_status(name, Status.DEAD, number * interval_us)
            isolated.append(self.detector.isolated)
        return isolated


def test_member_is_isolated_when_most_others_die_before_all_are_probed() -> None:
    view = View()
    assert view.isolated_after_deaths(ALL_PROBED_US // 2) == [False, False, True]
    assert view.detector.agreed == {"r0", *OTHERS}
    (event,) = view.log.events
    assert event == ("isolated", {"member": "r0", "seen": 2, "agreed": MEMBERS})


def test_member_is_not_isolated_by_deaths_that_are_far_apart() -> None:
    view = View()
    isolated = list[bool]()
    for number, name in enumerate(OTHERS[:3], 1):
        view.set_status(name, Status.DEAD, number * 2 * ALL_PROBED_US)
        isolated.append(view.detector.isolated)
        view.detector.evaluate(number * 2 * ALL_PROBED_US + ALL_PROBED_US)
    assert isolated == [False, False, False]
    assert view.detector.agreed == {"r0", "r4"}


def test_slow_member_keeps_dead_members_in_its_quorum_view_longer() -> None:
    view = View()
    view.health.worsen()
    view.set_status("r1", Status.DEAD, 0)
    view.detector.evaluate(ALL_PROBED_US)
    for name in ("r2", "r3"):
        view.set_status(name, Status.DEAD, ALL_PROBED_US)
    assert view.detector.isolated


def test_member_is_not_isolated_when_others_leave() -> None:
    view = View()
    for name in OTHERS[:3]:
        view.set_status(name, Status.LEFT, 1)
    assert not view.detector.isolated
    assert view.detector.agreed == {"r0", "r4"}


def test_member_stays_isolated_until_majority_returns_although_dead_member_is_forgotten() -> None:
    view = View()
    view.isolated_after_deaths(1)
    view.members.forget(view.members.members["r1"])
    view.detector.evaluate(TUNING.tombstone_periods * TUNING.period_us)
    assert view.detector.isolated
    view.set_status("r2", Status.ALIVE, TUNING.tombstone_periods * TUNING.period_us)
    assert not view.detector.isolated
    assert [event.kind for event in view.log.events] == ["isolated", "healed"]
