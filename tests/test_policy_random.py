"""Property-based tests of policy changes with three routers, under random sequences of events."""

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from maplestile.control.commands import encode
from maplestile.control.policy.follower import (
    NO_EPOCH,
    AnnouncementAction,
    Follower,
    FollowerTimeouts,
    PolicyAnnouncement,
    PolicyStatus,
)
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.state import ControlState

SECOND_US = 1_000_000
ROUTERS = {"r0": "a0", "r1": "a0", "r2": "a1"}  # by router: its agent


class PolicyMachine(RuleBasedStateMachine):
    """Three routers of two agents: changes, reads, restarts, elections and late announcements in any order.

    A router gets the last announcement that its agent read, perhaps long ago. Its epoch is compared with the
    epochs that the log has committed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.control = ControlState()
        self.now_us = 100 * SECOND_US
        for agent in ("a0", "a1"):
            instances = [name for name, owner in ROUTERS.items() if owner == agent]
            command = {"do": "register", "agent": agent, "instances": instances}
            assert self.control.apply_encoded(command)["ok"]
        self.planner = PolicyPlanner()
        self.routers = {name: Follower(FollowerTimeouts(), NO_EPOCH, self.now_us) for name in ROUTERS}
        self.announcements = dict.fromkeys(ROUTERS, PolicyAnnouncement(0, 0, has_document=True))
        self.recorded_epoch = dict.fromkeys(ROUTERS, NO_EPOCH)
        self.committed = [0]  # the epochs that the log has committed, in order
        self.committed_us = {0: 0}  # by epoch: when it was committed
        self.applied_epoch = dict.fromkeys(ROUTERS, NO_EPOCH)
        self.documents = 0

    @rule(base=st.integers(0, 1))
    def propose(self, base: int) -> None:
        """An operator proposes a new document based on the last epoch or on the one before."""
        self.documents += 1
        command = {"do": "policy propose", "agent": "a0", "base": self.control.policy.epoch.number - base}
        self.control.apply_encoded({**command, "document": {"rules": {"attempts": self.documents}}})

    @rule()
    def rollback(self) -> None:
        """An operator rolls the policy back."""
        epoch = self.control.policy.epoch.number
        self.control.apply_encoded({"do": "policy rollback", "agent": "a1", "base": epoch})

    @rule(agent=st.sampled_from(("a0", "a1")), named=st.sets(st.sampled_from(tuple(ROUTERS))))
    def read(self, agent: str, named: set[str]) -> None:
        """An agent reads the policy for some of its routers."""
        instances = [name for name in sorted(named) if ROUTERS[name] == agent]
        reply = self.control.apply_encoded({"do": "policy read", "agent": agent, "instances": instances})
        change = self.control.policy.change_being_checked()
        for name in instances:
            self.announcements[name] = PolicyAnnouncement(
                reply["epoch"], self.now_us, change.number if change else 0, True
            )

    @rule(name=st.sampled_from(tuple(ROUTERS)))
    def deliver(self, name: str) -> None:
        """A router gets the last announcement that its agent read, perhaps again."""
        router = self.routers[name]
        announcement = self.announcements[name]
        if router.process_announcement(announcement, self.now_us) is AnnouncementAction.ADOPT:
            router.record_adoption(announcement, self.now_us)
            assert announcement.epoch >= self.recorded_epoch[name]
            self.recorded_epoch[name] = announcement.epoch

    @rule(name=st.sampled_from(tuple(ROUTERS)), refuses=st.integers(0, 9))
    def check(self, name: str, refuses: int) -> None:
        """A router submits its verdict on the change, and refuses one change in ten."""
        if (change := self.control.policy.change_being_checked()) is not None:
            verdict = {"agent": ROUTERS[name], "instance": name, "reason": "no" if not refuses else ""}
            self.control.apply_encoded({"do": "policy verdict", "change": change.number, **verdict})

    @rule(name=st.sampled_from(tuple(ROUTERS)))
    def restart(self, name: str) -> None:
        """A router restarts with its stored epoch."""
        self.routers[name] = Follower(FollowerTimeouts(), self.recorded_epoch[name], self.now_us)

    @rule(pause_us=st.sampled_from((SECOND_US // 10, SECOND_US, 3 * SECOND_US, 12 * SECOND_US)))
    def wait(self, pause_us: int) -> None:
        """Time passes, with a tick of each router in every second."""
        end_us = self.now_us + pause_us
        while self.now_us < end_us:
            self.now_us = min(end_us, self.now_us + SECOND_US)
            for router in self.routers.values():
                router.tick(self.now_us)

    @rule()
    def elect(self) -> None:
        """A new leader starts with an empty planner."""
        self.planner = PolicyPlanner()

    @precondition(lambda self: self.control.policy.change_being_checked() is not None)
    @rule()
    def decide(self) -> None:
        """The leader submits its next command, which the state must accept."""
        decided = self.planner.next_command(self.control.policy, self.control.instances, self.now_us)
        command = None if decided is None else encode(decided)
        if command is None:
            return
        reply = self.control.apply_encoded(command)
        assert reply["ok"], reply
        if command["do"] == "policy commit":
            change = self.control.policy.change
            assert change is not None
            self.committed.append(reply["epoch"])
            self.committed_us[reply["epoch"]] = self.now_us
            accepted = {name for name, reason in change.verdicts.items() if reason == ""}
            assert accepted | set(command["absent"]) >= set(ROUTERS)
            for name in command["absent"]:  # an absent router has yet to learn of the new epoch
                assert self.announcements[name].epoch < reply["epoch"]

    @invariant()
    def routers_apply_only_committed_epochs_in_order(self) -> None:
        assert self.committed == list(range(len(self.committed)))
        for name, router in self.routers.items():
            assert router.epoch in (NO_EPOCH, *self.committed)
            assert router.epoch >= self.applied_epoch[name]
            self.applied_epoch[name] = router.epoch

    @invariant()
    def current_router_has_epoch_committed_at_its_last_read(self) -> None:
        for router in self.routers.values():
            if router.status is PolicyStatus.CURRENT:
                assert self.now_us - router.confirmed_us <= router.timeouts.stale_us
                assert router.confirmed_us >= router.since_us
                assert router.epoch >= max(
                    epoch for epoch, at_us in self.committed_us.items() if at_us < router.confirmed_us
                )

    @invariant()
    def state_survives_encoding_and_decoding(self) -> None:
        assert ControlState.decode(self.control.encoded()).encoded() == self.control.encoded()


RandomTest = PolicyMachine.TestCase
RandomTest.settings = hypothesis_settings(
    max_examples=120, stateful_step_count=60, deadline=None, derandomize=True
)
