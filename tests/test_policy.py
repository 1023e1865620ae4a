"""The fleet's policy without sockets: what is agreed on, when it is committed, and what a router does."""

import json
import tempfile
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from maplestile.common.toml_table import ConfigError
from maplestile.control.commands import encode
from maplestile.control.policy import store
from maplestile.control.policy.agreed import Phase
from maplestile.control.policy.document import DOCUMENT_BYTES, AdoptedPolicy, Document, PolicyError
from maplestile.control.policy.follower import (
    NO_EPOCH,
    Follower,
    PolicyAnnouncement,
    PolicyStatus,
    Rules,
    Step,
)
from maplestile.control.policy.planner import PolicyPlanner
from maplestile.control.policy.settings import policy_settings_of
from maplestile.control.state import ControlState
from maplestile.dispatch import api
from maplestile.invoke import operator_file as operator
from maplestile.router.config import Config, config_from
from maplestile.router.policy_driver import PolicyDriver, monotonic_us
from maplestile.tools.policy_command import checked
from tests.helpers import MS, Driver, arrival, ended, entry, sends, settings
from tests.standins import ROOT

S = 1_000_000  # microseconds
OPERATOR = (ROOT / "deploy" / "operator.toml").read_text()
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


# A router's part.


def follower(epoch: int = 3) -> Follower:
    return Follower(Rules(stale_us=5 * S, wait_us=10 * S, pause_us=2 * S), epoch, 100 * S)


def on(one: Follower, until_us: int) -> None:
    """Time passes, with a tick each second."""
    while one.ticked_us < until_us:
        one.tick(min(until_us, one.ticked_us + S))


def test_one_that_starts_takes_no_calls_until_it_hears_what_was_committed_since() -> None:
    one = follower()
    assert not one.admits(101 * S)
    assert one.hear(PolicyAnnouncement(3, 99 * S), 101 * S) is Step.NOTHING  # a read from before its start
    assert not one.admits(101 * S)
    assert one.hear(PolicyAnnouncement(5, 101 * S), 102 * S) is Step.FETCH
    announcement = PolicyAnnouncement(5, 101 * S, whole=True)
    assert one.hear(announcement, 102 * S) is Step.ADOPT
    one.adopted(announcement, 102 * S)
    assert one.admits(102 * S) and (one.epoch, one.status) == (5, PolicyStatus.CURRENT)
    assert one.hear(PolicyAnnouncement(4, 103 * S, whole=True), 103 * S) is Step.OLDER  # it never goes back
    assert one.epoch == 5


def test_one_that_starts_cut_off_serves_by_its_record_after_a_while_and_never_without_one() -> None:
    for epoch, serves in ((3, True), (0, True), (NO_EPOCH, False)):
        one = follower(epoch)
        on(one, 109 * S)
        assert not one.admits(109 * S)
        on(one, 111 * S)
        assert one.admits(111 * S) is serves
        assert (one.status is PolicyStatus.STALE) is serves
    first = follower(NO_EPOCH)
    assert first.hear(PolicyAnnouncement(0, 101 * S, whole=True), 101 * S) is Step.ADOPT


def test_one_that_is_cut_off_serves_by_the_last_epoch_and_says_since_when() -> None:
    one = follower()
    one.hear(PolicyAnnouncement(3, 101 * S), 101 * S)
    on(one, 106 * S)
    assert one.stale_us(106 * S) == 0
    on(one, 108 * S)
    assert one.admits(108 * S) and one.stale_us(108 * S) == 7 * S
    one.hear(PolicyAnnouncement(3, 102 * S), 108 * S)  # it came late: what was committed lately is not known
    assert one.stale_us(108 * S) == 7 * S
    announcement = PolicyAnnouncement(4, 108 * S, whole=True)
    assert one.hear(announcement, 109 * S) is Step.ADOPT
    one.adopted(announcement, 109 * S)
    assert one.status is PolicyStatus.CURRENT and one.stale_us(109 * S) == 0


def test_one_that_stood_still_waits_for_an_announcement_from_after_that() -> None:
    one = follower()
    one.hear(PolicyAnnouncement(3, 101 * S), 101 * S)
    assert not one.admits(104 * S) and one.status is PolicyStatus.WAITING
    assert one.hear(PolicyAnnouncement(3, 103 * S), 104 * S) is Step.NOTHING  # it lay in the socket meanwhile
    assert not one.admits(104 * S)
    one.hear(PolicyAnnouncement(3, 105 * S), 105 * S)
    assert one.admits(105 * S)


def test_one_that_refuses_what_is_committed_takes_no_calls_until_an_epoch_fits() -> None:
    one = follower()
    one.hear(PolicyAnnouncement(3, 101 * S), 101 * S)
    announcement = PolicyAnnouncement(4, 102 * S, whole=True)
    assert one.hear(announcement, 102 * S) is Step.ADOPT
    one.refused("rules.new: is not known here")
    assert not one.admits(102 * S) and one.epoch == 3
    one.hear(PolicyAnnouncement(3, 103 * S), 103 * S)
    assert not one.admits(103 * S)
    announcement = PolicyAnnouncement(5, 103 * S, whole=True)
    one.hear(announcement, 104 * S)
    one.adopted(announcement, 104 * S)
    assert one.admits(104 * S) and one.reason == ""


def test_a_promise_holds_until_the_change_is_decided() -> None:
    one = follower()
    one.prepare(7, None)
    one.hear(PolicyAnnouncement(3, 101 * S, checking=7), 101 * S)
    assert one.prepared is not None
    one.hear(PolicyAnnouncement(3, 102 * S, checking=0), 102 * S)
    assert one.prepared is None


# Documents, and the module.


def test_a_document_takes_the_place_of_the_files_policy_whole() -> None:
    text = OPERATOR.replace("[rules]", '[policy]\nfolder = "x"\n[rules]')
    tables = operator.tables_of(text)
    document = Document.of({"rules": {"attempts": 2}, "class": tables["class"], "limits": {"records": 7}})
    config = operator.from_tables(tables, AdoptedPolicy(4, document))
    assert (config.epoch, config.records, config.node["settings"]["limits"]["attemptsCap"]) == (4, 7, 2)
    assert config.node["settings"]["familyInfo"]["lingerIdleUs"] == 10_000_000  # not the file's 9.7
    bare = operator.from_tables(tables, AdoptedPolicy(4, Document.of({"class": tables["class"]})))
    assert bare.node["settings"]["familyInfo"]["lingerIdleUs"] == 10_000_000
    assert config.node["settings"]["limits"]["maxOpen"] == 2000 and config.body_bytes == 16384
    with pytest.raises(ConfigError, match=r"function\[0\].class: must be one of other"):
        other = {"name": "other", "aim_ms": 1, "deadline_ms": 1, "semantics": "safe"}
        operator.from_tables(tables, AdoptedPolicy(4, Document.of({"class": [other]})))
    assert Document.own(tables).over(tables) == tables | {"limits": tables["limits"]}


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("[rules]\nattempts = 0", "rules.attempts: must be 1 or more"),
        ("[rules]\nattemps = 1", "rules.attemps: is not known here"),
        ("[limits]\nsockets = 100", "limits.sockets: is no part of policy"),
        ('[invoke]\nlisten = "127.0.0.1:1"', "invoke: is no part of policy"),
        ("rules = 3", "rules: must be a table"),
        ("limits = 3", "limits: must be a table"),
        ("class = 3", "class: at least one"),
        ("[rules]\nkeep_s = 1979-05-27", "policy: has a value of no use"),
        ("[rules", "no TOML"),
        ("", "class: at least one"),
    ],
)
def test_a_bad_policy_file_is_refused_by_its_field(text: str, place: str, tmp_path: Path) -> None:
    grade = '\n[[class]]\nname = "c"\naim_ms = 1\ndeadline_ms = 1\nsemantics = "safe"\n'
    file = tmp_path / "policy.toml"
    file.write_text(text + (grade if text and "class" not in text else ""))
    with pytest.raises(ConfigError, match=place.replace("[", r"\[")):
        checked(file)


def test_a_document_that_is_too_large_is_refused() -> None:
    with pytest.raises(PolicyError, match="is over 16384 bytes"):
        Document.of({"rules": {"x": "y" * DOCUMENT_BYTES}})


def test_a_record_is_read_whole_or_not_at_all() -> None:
    folder = Path(tempfile.mkdtemp())
    assert store.read(folder) is None
    for adopted in (AdoptedPolicy(0, None), AdoptedPolicy(3, Document.of(ONE))):
        store.write(folder, adopted)
        assert store.read(folder) == adopted
    whole = (folder / store.NAME).read_bytes()
    for damaged in (b"", whole[:-5], whole.replace(b'"epoch": 3', b'"epoch": 4'), b"[]", b"\xff"):
        (folder / store.NAME).write_bytes(damaged)
        assert store.read(folder) is None


def test_a_call_keeps_the_rules_that_it_came_under() -> None:
    workers = [entry(f"w{n}") for n in range(4)]
    for before, after, more in ((1, 4, False), (4, 1, True)):
        d = Driver(settings(max_attempts=before, epoch=1), workers)
        (first,) = sends(d.give(arrival(1)))
        d.give(api.PolicyChanged(settings(max_attempts=after, epoch=2)))
        d.give(ended(1, 0, first.worker, api.Result.ERROR))
        d.run(200 * MS)
        again = [a for _, a in d.log if isinstance(a, api.SendAttempt)][1:]
        assert bool(again) is more and all(a.epoch == 1 for a in (first, *again))
        (new,) = sends(d.give(arrival(2)))
        assert new.epoch == 2


def test_another_policy_changes_the_classes_and_windows_of_new_calls() -> None:
    d = Driver(settings(), [entry("w0")])
    kind = api.CallClass(
        "exam", 500 * MS, 900 * MS, api.Idempotency.NOT_IDEMPOTENT, api.DeduplicationScope.ALL, 0
    )
    d.give(
        api.PolicyChanged(
            settings(classes=(kind,), load_request_window_us=7, overload_window_us=9, keep_alive_us=0)
        )
    )
    assert sends(d.give(arrival(1, "f", "exam")))
    dispatcher = d.dispatcher
    ration = dispatcher.load_requests
    windows = ration.arrivals.span_us, ration.requests.span_us, dispatcher.workers["w0"].sends.span_us
    assert windows == (7, 8, 9)
    assert dispatcher.calls[1].kind is kind and dispatcher.context.keep_alive_us == 2 * S


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
        self.routers = {name: Follower(Rules(), NO_EPOCH, self.now) for name in self.names}
        self.announcements = dict.fromkeys(self.names, PolicyAnnouncement(0, 0, whole=True))
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
        if router.hear(announcement, self.now) is Step.ADOPT:
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
        self.routers[name] = Follower(Rules(), self.record[name], self.now)

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
                assert self.now - router.confirmed_us <= router.rules.stale_us
                assert router.confirmed_us >= router.since_us
                assert router.epoch >= max(epoch for epoch, at in self.at.items() if at < router.confirmed_us)

    @invariant()
    def the_wire_form_is_read_back(self) -> None:
        assert ControlState.decode(self.control.encoded()).encoded() == self.control.encoded()


RandomTest = Machine.TestCase
RandomTest.settings = hypothesis_settings(
    max_examples=120, stateful_step_count=60, deadline=None, derandomize=True
)


# The driver of a router's part, with its record on a disk and no router.


class Rig:
    def __init__(self, folder: Path, text: str = OPERATOR) -> None:
        self.text = text + f'[policy]\nfolder = "{folder}"\n'
        self.taken: list[Config] = []
        self.start()

    def start(self) -> None:
        tables = operator.tables_of(self.text)
        plan = policy_settings_of(tables)
        assert plan is not None
        self.driver = PolicyDriver(plan, tables, self.build)
        self.driver.take = self.taken.append
        self.config = self.driver.configure(tables)

    @staticmethod
    def build(tables: dict[str, Any], adopted: AdoptedPolicy | None) -> Config:
        settings = operator.from_tables(tables, adopted)
        return config_from(settings.node, settings)

    def reload(self, old: str = "", new: str = "") -> Config:
        return self.driver.configure(operator.tables_of(self.text.replace(old, new)))

    def announce(self, epoch: int, **more: Any) -> dict[str, Any]:
        answers: list[dict[str, Any]] = []
        self.driver.hear({"epoch": epoch, "fenced_us": monotonic_us(), "checking": 0, **more}, answers.append)
        (answer,) = answers
        return answer

    def policy(self, **rules: Any) -> dict[str, Any]:
        return {"rules": rules, "class": operator.tables_of(self.text)["class"]}


def test_an_epoch_is_on_record_before_it_is_taken_and_outlives_the_process(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    assert rig.driver.lacking() == "the fleet has not told its policy yet"
    assert rig.announce(0, document=None)["standing"] == "current"
    assert rig.announce(1)["fetch"] is True
    report = rig.announce(1, document=rig.policy(attempts=2))
    assert (report["epoch"], rig.taken[-1].settings.max_attempts, rig.taken[-1].settings.epoch) == (1, 2, 1)
    assert rig.announce(0, document=None)["epoch"] == 1  # a late announcement changes nothing
    assert rig.driver.counters["policy.older"] == 1
    rig.start()
    assert (rig.config.settings.max_attempts, rig.config.settings.epoch) == (2, 1)
    assert not rig.driver.admits()
    (tmp_path / store.NAME).write_bytes(b"{}")
    rig.start()
    assert rig.driver.follower.epoch == NO_EPOCH


def test_a_router_whose_build_refuses_or_whose_disk_fails_takes_no_calls_and_says_why(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.announce(0, document=None)
    report = rig.announce(1, document=rig.policy(newer=1))
    assert (report["standing"], report["epoch"]) == ("refused", 0)
    assert "rules.newer: is not known here" in rig.driver.lacking()
    assert rig.announce(2, document=rig.policy(attempts=2))["standing"] == "current"
    (tmp_path / f"{store.NAME}.new").mkdir()  # where the next record would be written
    report = rig.announce(3, document=rig.policy(attempts=3))
    assert (report["standing"], report["epoch"]) == ("refused", 2)
    (tmp_path / f"{store.NAME}.new").rmdir()
    assert rig.announce(3, document=rig.policy(attempts=3))["standing"] == "current"
    rig.text = rig.text.replace('class = "review"', 'class = "exam"')  # its record fits its file no more
    with pytest.raises(ConfigError):
        rig.start()


def test_a_reload_takes_no_policy_and_may_not_break_a_promise(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.announce(0, document=None)
    config = rig.reload("keep_s = 9.7", "keep_s = 5.0")
    assert config.settings.keep_alive_us == 9_700_000 and rig.driver.counters["policy.reloads_refused"] == 1
    exam = {"name": "exam", "aim_ms": 1, "deadline_ms": 1, "semantics": "safe"}
    document = rig.policy()
    document["class"] = [*document["class"], exam]
    assert rig.driver.check({"change": 4, "document": document})["build"]
    document = {**document, "class": [one for one in document["class"] if one["name"] != "review"]}
    with pytest.raises(PolicyError, match=r"function\[0\].class"):
        rig.driver.check({"change": 5, "document": document})
    promised = rig.policy()
    promised["class"] = promised["class"][:3]
    rig.driver.check({"change": 6, "document": promised})
    more = '[[function]]\nname = "g"\nclass = "review"\nmemory_mb = 1\n\n[[kind]]'
    assert rig.reload("[[kind]]", more).operator is not None
    rig.announce(1, document=document | {"class": [*promised["class"], exam]})
    rig.driver.check({"change": 7, "document": promised})
    with pytest.raises(PolicyError, match=r"change 7\): function\[3\].class: must be one of"):
        rig.reload("[[kind]]", more.replace("review", "exam"))
    rig.announce(1)  # the change was given up
    assert rig.reload("[[kind]]", more.replace("review", "exam")).operator is not None


@pytest.mark.parametrize(
    "message",
    [
        None,
        3,
        {},
        {"epoch": 1},
        {"epoch": -1, "fenced_us": 0, "checking": 0},
        {"epoch": True, "fenced_us": 0, "checking": 0},
    ],
)
def test_a_damaged_announcement_is_refused_by_its_field(message: object, tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    with pytest.raises(PolicyError, match="must be a whole number"):
        rig.driver.hear(message, lambda answer: None)
    with pytest.raises(PolicyError, match="must be a whole number"):
        rig.driver.check(message)


def test_an_announcement_that_comes_while_the_record_is_written_changes_nothing(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    jobs = list[Any]()
    answers = list[Any]()
    rig.announce(0, document=None)
    rig.driver.elsewhere = lambda job, then: jobs.append((job, then))
    announcement = {
        "epoch": 1,
        "fenced_us": monotonic_us(),
        "checking": 0,
        "document": rig.policy(attempts=2),
    }
    rig.driver.hear(announcement, answers.append)
    rig.driver.hear(announcement, answers.append)
    assert [answer["epoch"] for answer in answers] == [0] and len(jobs) == 1
    ((job, then),) = jobs
    job()
    rig.reload('name = "keep-result"', 'name = "kept"')  # it comes in between, and stands
    then(None)
    assert answers[-1]["epoch"] == 1
    assert rig.taken[-1].operator is not None and "kept" in rig.taken[-1].operator.functions


def test_the_policy_table_is_checked(tmp_path: Path) -> None:
    for old, new, place in (
        ("[operation]", "[names]", "policy: needs"),
        ("folder =", "fold =", "policy.folder: is missing"),
        (f'"{tmp_path}"', f'"{tmp_path}"\nstale_s = 0', "policy.stale_s: must be"),
        (f'"{tmp_path}"', f'"{tmp_path}"\nx = 0', "policy.x: is not known here"),
    ):
        text = OPERATOR + f'[policy]\nfolder = "{tmp_path}"\n'
        with pytest.raises(ConfigError, match=place):
            operator.parse(text.replace(old, new))
