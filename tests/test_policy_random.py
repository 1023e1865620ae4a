"""Changes of the fleet's policy and three routers, in random orders of events."""

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from maplestile.control.commands import encode
from maplestile.control.policy.follower import (
    NO_EPOCH,
    Follower,
    FollowerTimeouts,
    PolicyAnnouncement,
    PolicyStatus,
    Step,
)
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.state import ControlState

S = 1_000_000  # microseconds


class Machine(RuleBasedStateMachine):
    """Three routers of two agents, in any order of changes, reads, losses, restarts and late announcements.

    A router is sent what its agent read, perhaps long ago; the truth beside it is the log's.
    """

    def __init__(self) -> None:
        super().__init__()
        self.control = ControlState()
        self.now = 100 * S
        self.names = {"r0": "a0", "r1": "a0", "r2": "a1"}
        for agent in ("a0", "a1"):
            mine = [name for name, owner in self.names.items() if owner == agent]
            assert self.control.apply_encoded({"do": "register", "agent": agent, "instances": mine})["ok"]
        self.planner = PolicyPlanner()
        self.routers = {name: Follower(FollowerTimeouts(), NO_EPOCH, self.now) for name in self.names}
        self.announcements = dict.fromkeys(self.names, PolicyAnnouncement(0, 0, has_document=True))
        self.record = dict.fromkeys(self.names, NO_EPOCH)
        self.committed = [0]  # the truth
        self.at = {0: 0}  # when each epoch was committed
        self.applied = dict.fromkeys(self.names, NO_EPOCH)
        self.document = 0

    @rule(base=st.integers(0, 1))
    def propose(self, base: int) -> None:
        self.document += 1
        command = {"do": "policy propose", "agent": "a0", "base": self.control.policy.epoch.number - base}
        self.control.apply_encoded({**command, "document": {"rules": {"attempts": self.document}}})

    @rule()
    def rollback(self) -> None:
        epoch = self.control.policy.epoch.number
        self.control.apply_encoded({"do": "policy rollback", "agent": "a1", "base": epoch})

    @rule(agent=st.sampled_from(("a0", "a1")), named=st.sets(st.sampled_from(("r0", "r1", "r2"))))
    def read(self, agent: str, named: set[str]) -> None:
        mine = [name for name in sorted(named) if self.names[name] == agent]
        reply = self.control.apply_encoded({"do": "policy read", "agent": agent, "instances": mine})
        change = self.control.policy.checking()
        for name in mine:
            self.announcements[name] = PolicyAnnouncement(
                reply["epoch"], self.now, change.number if change else 0, True
            )

    @rule(name=st.sampled_from(("r0", "r1", "r2")))
    def hear(self, name: str) -> None:
        router = self.routers[name]
        announcement = self.announcements[name]
        if router.take_announcement(announcement, self.now) is Step.ADOPT:
            router.adopted(announcement, self.now)
            assert announcement.epoch >= self.record[name]
            self.record[name] = announcement.epoch

    @rule(name=st.sampled_from(("r0", "r1", "r2")), refuses=st.integers(0, 9))
    def judge(self, name: str, refuses: int) -> None:
        if (change := self.control.policy.checking()) is not None:
            verdict = {"agent": self.names[name], "instance": name, "reason": "no" if not refuses else ""}
            self.control.apply_encoded({"do": "policy verdict", "change": change.number, **verdict})

    @rule(name=st.sampled_from(("r0", "r1", "r2")))
    def restart(self, name: str) -> None:
        self.routers[name] = Follower(FollowerTimeouts(), self.record[name], self.now)

    @rule(pause=st.sampled_from((S // 10, S, 3 * S, 12 * S)))
    def wait(self, pause: int) -> None:
        end = self.now + pause
        while self.now < end:  # none of them stands still
            self.now = min(end, self.now + S)
            for router in self.routers.values():
                router.tick(self.now)

    @rule()
    def elect(self) -> None:
        self.planner = PolicyPlanner()

    @precondition(lambda self: self.control.policy.checking() is not None)
    @rule()
    def lead(self) -> None:
        decided = self.planner.next_command(self.control.policy, self.control.instances, self.now)
        command = None if decided is None else encode(decided)
        if command is None:
            return
        reply = self.control.apply_encoded(command)
        assert reply["ok"], reply
        if command["do"] == "policy commit":
            change = self.control.policy.change
            assert change is not None
            self.committed.append(reply["epoch"])
            self.at[reply["epoch"]] = self.now
            yes = {name for name, reason in change.verdicts.items() if reason == ""}
            assert yes | set(command["absent"]) >= set(self.names)
            for name in command["absent"]:  # it hears of the commit before it is let serve again
                assert self.announcements[name].epoch < reply["epoch"]

    @invariant()
    def only_committed_epochs_and_never_back(self) -> None:
        assert self.committed == list(range(len(self.committed)))
        for name, router in self.routers.items():
            assert router.epoch in (NO_EPOCH, *self.committed)
            assert router.epoch >= self.applied[name]
            self.applied[name] = router.epoch

    @invariant()
    def one_that_is_current_has_what_was_committed_when_its_announcement_was_read(self) -> None:
        for router in self.routers.values():
            if router.status is PolicyStatus.CURRENT:
                assert self.now - router.confirmed_us <= router.timeouts.stale_us
                assert router.confirmed_us >= router.since_us
                assert router.epoch >= max(epoch for epoch, at in self.at.items() if at < router.confirmed_us)

    @invariant()
    def the_wire_form_is_read_back(self) -> None:
        assert ControlState.decode(self.control.encoded()).encoded() == self.control.encoded()


RandomTest = Machine.TestCase
RandomTest.settings = hypothesis_settings(
    max_examples=120, stateful_step_count=60, deadline=None, derandomize=True
)
