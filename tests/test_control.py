"""The agreed state and the decisions of rollouts, without I/O: cases, and random orders of events."""

import gzip
import pickle
import random
import struct
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from pysyncobj.journal import FileJournal  # type: ignore[import-untyped]

from maplestile.common.errors import CommandRejected
from maplestile.control.commands import GrantLease, Rejected, encode
from maplestile.control.log_storage import check
from maplestile.control.rollout_planner import HealthReport, RolloutPlanner, Rules
from maplestile.control.state import ACTIVE, ControlState, Phase, Stage, budget_of

S = 1_000_000  # microseconds
NAMES = [f"r{n}" for n in range(5)]


def control(**owners: list[str]) -> ControlState:
    made = ControlState()
    for agent, names in (owners or {"a0": NAMES[:2], "a1": NAMES[2:]}).items():
        assert made.apply_encoded({"do": "register", "agent": agent, "instances": names})["ok"]
    return made


class SmallFleet:
    """A leader and agents round one `ControlState`, at the test's own pace."""

    def __init__(self, test: unittest.TestCase, **rules: Any) -> None:
        self.test = test
        self.control = control()
        self.now = 100 * S
        self.out = frozenset[str]()
        self.planner = RolloutPlanner(Rules(**{"settle_us": 0, **rules}), self.now)
        self.reports = {name: HealthReport(True) for name in NAMES}

    def submit(self, do: str, **more: Any) -> dict[str, Any]:
        return self.control.apply_encoded({"do": do, **more})

    def ok(self, do: str, **more: Any) -> dict[str, Any]:
        reply = self.submit(do, **more)
        self.test.assertTrue(reply["ok"], reply)
        return reply

    def look(self, after_us: int = 100_000) -> dict[str, Any] | None:
        """Time passes, the health reports come, and what the leader decides is applied."""
        self.now += after_us
        self.planner.hear(self.reports, self.now)
        command = self.planner.next_command(self.control, self.out, 1, self.now)
        if command is None:
            return None
        encoded = encode(command)
        self.ok(**encoded)
        return encoded

    def held(self, name: str) -> dict[str, Any]:
        lease = self.control.leases[name]
        return {"agent": lease.holder, "instance": name, "lease": lease.number}

    def step(self, name: str, end: str = "back") -> None:
        held = self.held(name)
        self.ok("begin", **held)
        self.ok(end, **held)


class DecisionTest(unittest.TestCase):
    def test_no_step_beyond_the_budget_and_an_outage_counts(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=[], budget=2)
        fleet.reports["r4"] = HealthReport(False)
        self.assertEqual((fleet.look() or {})["instance"], "r0")
        self.assertIsNone(fleet.look())  # r0 by its lease and r4 by itself
        fleet.reports["r4"] = HealthReport(True)
        self.assertEqual((fleet.look() or {})["instance"], "r1")
        self.assertIsNone(fleet.look())
        fleet.step("r0")
        self.assertEqual((fleet.look() or {})["instance"], "r2")

    def test_one_that_is_back_counts_as_out_until_its_health_can_be_seen_and_holds_up_no_other(self) -> None:
        fleet = SmallFleet(self, settle_us=S)
        fleet.ok("start", action="restart", targets=[], budget=3)
        for name in ("r0", "r1", "r2"):
            self.assertEqual((fleet.look() or {})["instance"], name)
        fleet.step("r0")
        self.assertIsNone(fleet.look())  # r0 rests, r1 and r2 are out
        fleet.step("r1")
        self.assertIsNone(fleet.look())
        self.assertEqual((fleet.look(900_000) or {})["instance"], "r3")  # r0 has rested, r1 not yet
        self.assertIsNone(fleet.look(0))
        self.assertEqual((fleet.look(200_000) or {})["instance"], "r4")

    def test_each_of_those_that_end_between_two_looks_is_watched(self) -> None:
        fleet = SmallFleet(self, calls_least=20)
        fleet.ok("start", action="restart", targets=["r0", "r1", "r2"], budget=2)
        fleet.look()
        fleet.look()
        fleet.step("r0")
        fleet.step("r1")
        fleet.look()
        fleet.reports["r0"] = HealthReport(True, 0, 30)
        self.assertIn("r0 fails 30 of 30", (fleet.look() or {}).get("reason", ""))

    def test_out_by_membership_or_not_heard_of_is_out(self) -> None:
        fleet = SmallFleet(self)
        fleet.look()
        fleet.ok("start", action="restart", targets=["r0"], budget=1)
        fleet.out = frozenset({"r3"})
        self.assertIsNone(fleet.look())
        fleet.out = frozenset()
        del fleet.reports["r3"]
        fleet.now += 3 * S
        self.assertIsNone(fleet.look())
        fleet.reports["r3"] = HealthReport(True)
        self.assertIsNotNone(fleet.look())

    def test_a_new_leader_waits_for_reports_of_all_and_then_takes_the_silent_for_lost(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=["r0"], budget=2)
        del fleet.reports["r4"]
        self.assertIsNone(fleet.look())
        self.assertIsNotNone(fleet.look(6 * S))  # r4 counts as out, and the budget has room for one more

    def test_more_lost_than_the_budget_halts_the_rollout_once_it_lasts(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=[], budget=1)
        fleet.look()
        fleet.reports["r4"] = HealthReport(False)
        self.assertIsNone(fleet.look())
        self.assertIsNone(fleet.look(2 * S))
        self.assertEqual((fleet.look(2 * S) or {})["do"], "halt")
        self.assertIn("r4 without a step", fleet.control.rollout.reason if fleet.control.rollout else "")

    def test_a_step_that_does_not_end_halts(self) -> None:
        fleet = SmallFleet(self, step_us=10 * S)
        fleet.ok("start", action="restart", targets=[], budget=2)
        fleet.look()
        fleet.ok("begin", **fleet.held("r0"))
        fleet.look()
        self.assertEqual((fleet.look(11 * S) or {})["do"], "halt")
        self.assertEqual(list(fleet.control.leases), ["r0"])  # that of r1 was never begun

    def test_a_released_instance_that_fails_calls_halts(self) -> None:
        for failed, halts in ((1, False), (5, True)):
            fleet = SmallFleet(self, calls_least=20, failed_most=0.1)
            fleet.reports["r0"] = HealthReport(True, 500, 200)  # what it failed before is not held against it
            fleet.ok("start", action="replace", targets=["r0", "r1"], budget=1)
            fleet.look()
            fleet.reports["r0"] = HealthReport(True)
            fleet.look()
            fleet.step("r0")
            fleet.look()
            fleet.reports["r0"] = HealthReport(True, 20, failed)
            command = fleet.look() or {}
            self.assertEqual(command.get("do") == "halt", halts, command)


class StateTest(unittest.TestCase):
    def test_old_beliefs_are_refused(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="restart", targets=["r0", "r1"], budget=1)
        number = fleet.control.number
        grant = {"instance": "r0", "down": [], "after": number, "term": 1, "rollout": number}
        fleet.ok("grant", **grant)
        held = fleet.held("r0")
        for do, more, reason in (
            ("grant", grant, "something else was granted"),
            ("grant", {**grant, "instance": "r1", "after": number + 1}, "2 would be out"),
            ("grant", {**grant, "instance": "r1", "after": number + 1, "rollout": 99}, "the rollout is 1"),
            ("begin", {**held, "agent": "a1"}, "a1 holds no lease"),
            ("back", held, "is granted"),
            ("begin", {**held, "lease": 99}, "holds no lease 99"),
            ("register", {"agent": "a9", "instances": ["r0"]}, "is managed by a0"),
            ("dance", {}, "no command"),
            ("grant", {"instance": "r1"}, "damaged command"),
        ):
            before = fleet.control.encoded()
            reply = fleet.submit(do, **more)
            self.assertFalse(reply["ok"])
            self.assertIn(reason, reply["reason"])
            self.assertEqual(fleet.control.encoded(), before)
        fleet.ok("halt", reason="look")
        self.assertFalse(fleet.submit("begin", **held)["ok"])  # revoked before it was begun
        fleet.ok("resume")
        fleet.ok("grant", **{**grant, "after": fleet.control.number})
        fleet.ok("begin", **fleet.held("r0"))
        self.assertIn("is begun", fleet.submit("begin", **fleet.held("r0"))["reason"])

    def test_a_drain_stays_out_and_comes_back_in_reverse_order(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="drain", targets=["r0", "r2"], budget=2)
        for name in ("r0", "r2"):
            fleet.look()
            fleet.step(name, "out")
        assert fleet.control.rollout is not None
        self.assertIs(fleet.control.rollout.phase, Phase.DONE)
        self.assertEqual({lease.stage for lease in fleet.control.leases.values()}, {Stage.OUT})
        self.assertFalse(fleet.submit("start", action="restart", targets=["r1"], budget=2)["ok"])
        fleet.ok("undo")
        for name in ("r2", "r0"):
            # An undo grants anew what is out already: it takes nothing more of the budget.
            self.assertEqual((fleet.look() or {})["instance"], name)
            self.assertIsNone(fleet.look())
            fleet.step(name)
        self.assertIs(fleet.control.rollout.phase, Phase.UNDONE)
        self.assertEqual(fleet.control.leases, {})

    def test_budgets(self) -> None:
        for budget, expected in ((2, 2), ("3", 3), ("25%", 2), ("1%", 1), ("100%", 10)):
            self.assertEqual(budget_of(budget, 10), expected)
        for bad in (0, -1, True, None, "x", "0%", "101%", 1.5, "-2"):
            with self.assertRaises(CommandRejected):
                budget_of(bad, 10)

    def test_the_wire_form_is_read_back_whole(self) -> None:
        fleet = SmallFleet(self)
        fleet.ok("start", action="drain", targets=["r0"], budget=1)
        fleet.look()
        fleet.step("r0", "out")
        fleet.ok("undo")
        self.assertEqual(ControlState.decode(fleet.control.encoded()).encoded(), fleet.control.encoded())


class FolderTest(unittest.TestCase):
    """What a voter has on disk is taken whole or not at all, and the place is named."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        journal = FileJournal(str(self.folder / "journal"))
        journal.setCurrentTerm(3, "127.0.0.1:1")
        for index, term in ((1, 0), (2, 1), (3, 3)):
            journal.add(b"command", index, term)
        journal._destroy()
        with gzip.open(self.folder / "snapshot", "wb") as file:
            file.write(bytes(1000))
        check(self.folder, "a1")
        self.whole = {path.name: path.read_bytes() for path in self.folder.iterdir()}

    def refused(self, name: str, content: bytes | None) -> str:
        for known, before in self.whole.items():
            (self.folder / known).write_bytes(before)
        if content is None:
            (self.folder / name).unlink()
        else:
            (self.folder / name).write_bytes(content)
        with self.assertRaises(CommandRejected) as caught:
            check(self.folder, "a1")
        self.assertEqual((self.folder / name).exists(), content is not None)  # nothing is changed
        return str(caught.exception).replace(str(self.folder), "")

    def test_whole_folder_is_taken_again_and_a_new_one_as_well(self) -> None:
        check(self.folder, "a1")
        check(Path(tempfile.mkdtemp()), "a1")

    def test_journal_that_is_cut_or_of_other_bytes_is_refused(self) -> None:
        journal = self.whole["journal"]
        for content, place in (
            (b"", "/journal: no journal"),
            (b"x" * 500, "/journal: no journal"),
            (journal[:60], "/journal: 60 bytes, and its records end"),
            (None, "/journal: is missing"),
            (journal[:40] + struct.pack("<I", 9) + journal[44:], "/journal: byte 40: a record"),
            (journal[:40] + b"\xff" * 60 + journal[100:], "/journal: byte 40: a record"),
            (journal[:75] + b"\x07" + journal[76:], "/journal: byte 71: entry 7 of term 1 after 1 of 0"),
            (journal[:83] + b"\xff" * 8 + journal[91:], "/journal: byte 71: entry 2 of term"),
        ):
            with self.subTest(place):
                self.assertIn(place, self.refused("journal", content))

    def test_voter_that_forgot_its_term_might_vote_twice_and_is_refused(self) -> None:
        old = pickle.dumps({"currentTerm": 2, "votedForNodeId": "127.0.0.1:1"})
        for content, place in (
            (None, "its term is 0, and the journal has one of 3"),
            (old, "its term is 2"),
            (b"", "of no use"),
            (self.whole["journal.meta"][:-9], "of no use"),
            (pickle.dumps({"currentTerm": "3"}), "currentTerm"),
            (pickle.dumps(Path("x")), "of no use"),
        ):
            with self.subTest(place):
                self.assertIn(f"/journal.meta: {place}", self.refused("journal.meta", content))

    def test_snapshot_that_is_cut_and_another_voters_folder_are_refused(self) -> None:
        snapshot = self.whole["snapshot"]
        for content in (b"", snapshot[:-3], b"x" * 50, snapshot[:-8] + b"\0" * 8):
            self.assertIn("/snapshot: not whole", self.refused("snapshot", content))
        with self.assertRaisesRegex(CommandRejected, "the folder is of voter 'a1'"):
            check(self.folder, "a2")


class RunnerTest(unittest.TestCase):
    """Leases of runners: every agent has a part, since a runner is out at all routers."""

    def setUp(self) -> None:
        self.control = ControlState()
        for agent, names in (("a0", ["r0"]), ("a1", ["r1"])):
            runners = {"w0": agent == "a0", "w1": False, "w2": False}
            self.ok("register", agent=agent, instances=names, runners=runners)

    def ok(self, do: str, **more: Any) -> None:
        reply = self.control.apply_encoded({"do": do, **more})
        self.assertTrue(reply["ok"], reply)

    def no(self, reason: str, do: str, **more: Any) -> None:
        reply = self.control.apply_encoded({"do": do, **more})
        self.assertIn(reason, reply.get("reason", "it was agreed on"))

    def grant(self, name: str, **more: Any) -> dict[str, Any]:
        fields = {"instance": name, "down": [], "after": self.control.number, "term": 1, **more}
        self.ok("grant", **fields)
        return {"instance": name, "lease": self.control.number}

    def all_report(self, did: str, lease: dict[str, Any]) -> None:
        for agent in ("a0", "a1"):
            self.ok("part", agent=agent, did=did, **lease)

    def stage(self, name: str) -> Stage:
        return self.control.leases[name].stage

    def test_a_runner_is_out_once_all_say_so_and_back_once_all_use_it(self) -> None:
        self.no("no agent manages w1", "start", action="restart", kind="runners", targets=["w1"], budget=1)
        self.ok("start", action="restart", kind="runners", targets=["w0"], budget=1)
        lease = self.grant("w0")
        self.all_report("begun", lease)
        self.ok("part", agent="a0", did="out", **lease)
        self.no("is begun", "renewed", agent="a0", **lease)  # a1 may still have calls there
        self.ok("part", agent="a1", did="out", **lease)
        self.assertIs(self.stage("w0"), Stage.AWAY)
        self.no("a1 holds no lease", "renewed", agent="a1", **lease)
        self.no("is away", "part", agent="a0", did="in", **lease)
        self.ok("renewed", agent="a0", **lease)
        self.ok("part", agent="a0", did="in", **lease)
        self.assertIn("w0", self.control.leases)
        self.ok("part", agent="a1", did="in", **lease)
        assert self.control.rollout is not None
        self.assertEqual((self.control.leases, self.control.rollout.phase), ({}, Phase.DONE))

    def test_a_drained_runner_stays_out_until_undone_and_routers_have_a_budget_of_their_own(self) -> None:
        self.ok("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        for name in ("w1", "w2"):
            lease = self.grant(name)
            self.all_report("begun", lease)
            self.all_report("out", lease)
            self.assertIs(self.stage(name), Stage.OUT)
        self.assertEqual((self.control.out("runners"), self.control.out("routers")), (["w1", "w2"], []))
        self.no("2 out already", "start", action="restart", kind="runners", targets=["w0"], budget=2)
        self.assertEqual(ControlState.decode(self.control.encoded()).encoded(), self.control.encoded())
        self.ok("undo")
        for name in ("w2", "w1"):
            lease = self.grant(name)
            self.assertIs(self.stage(name), Stage.RETURNING)
            self.all_report("in", lease)
        assert self.control.rollout is not None
        self.assertIs(self.control.rollout.phase, Phase.UNDONE)
        self.ok("start", action="restart", targets=[], budget=1)

    def test_a_halt_takes_back_what_no_agent_has_begun(self) -> None:
        self.ok("start", action="drain", kind="runners", targets=["w1", "w2"], budget=2)
        begun = self.grant("w1")
        self.ok("part", agent="a1", did="begun", **begun)
        unbegun = self.grant("w2")
        self.ok("halt")
        self.no("there is no lease", "part", agent="a0", did="begun", **unbegun)
        self.ok("part", agent="a0", did="begun", **begun)  # under way: it finishes
        self.all_report("out", begun)
        self.assertEqual(list(self.control.leases), ["w1"])

    def test_a_silent_runner_counts_against_the_budget(self) -> None:
        self.ok("start", action="drain", kind="runners", targets=["w1"], budget=1)
        planner = RolloutPlanner(Rules(settle_us=0), 0)
        planner.hear({"r0": HealthReport(True), "r1": HealthReport(True)}, 1)
        self.assertIsNone(planner.next_command(self.control, frozenset({"w2"}), 1, 2))
        self.assertIsNotNone(planner.next_command(self.control, frozenset(), 1, 3))


class Machine(RuleBasedStateMachine):
    """Any order of operators, agents, losses and elections: the properties hold after each event."""

    def __init__(self) -> None:
        super().__init__()
        self.control = control()
        self.now = 100 * S
        self.planner = RolloutPlanner(Rules(settle_us=0, step_us=20 * S), self.now)
        self.chance = random.Random(1)
        self.lost = set[str]()  # out without a lease
        for agent, managed in (("a0", True), ("a1", False)):
            names = [name for name, owner in self.control.instances.items() if owner == agent]
            runners = {"w0": managed, "w1": False}
            command = {"do": "register", "agent": agent, "instances": names, "runners": runners}
            assert self.control.apply_encoded(command)["ok"]
        self.unused = set[tuple[str, str]]()  # (agent, runner) where its routers have nothing with the runner
        self.begun = set[str]()  # what agents really have in hand or down: the truth beside the state
        self.released = set[str]()

    @rule(
        action=st.sampled_from(("restart", "drain", "replace")),
        budget=st.integers(1, 3),
        chosen=st.lists(st.sampled_from(NAMES), max_size=4),
    )
    def start(self, action: str, budget: int, chosen: list[str]) -> None:
        self.control.apply_encoded({"do": "start", "action": action, "targets": chosen, "budget": budget})

    @rule(
        action=st.sampled_from(("restart", "drain")),
        budget=st.integers(1, 2),
        chosen=st.sampled_from((["w0"], ["w1"], ["w0", "w1"])),
    )
    def start_runners(self, action: str, budget: int, chosen: list[str]) -> None:
        command = {"do": "start", "action": action, "targets": chosen, "budget": budget, "kind": "runners"}
        self.control.apply_encoded(command)

    @precondition(lambda self: self.control.out("runners"))
    @rule(
        pick=st.integers(0, 1),
        agent=st.sampled_from(("a0", "a1")),
        did=st.sampled_from(("begun", "out", "in", "renewed")),
    )
    def part(self, pick: int, agent: str, did: str) -> None:
        out = self.control.out("runners")
        lease = self.control.leases[out[pick % len(out)]]
        fields = {"agent": agent, "instance": lease.instance, "lease": lease.number}
        if did == "renewed":
            if self.control.apply_encoded({"do": did, **fields})["ok"]:
                # Its process is touched only while no router anywhere uses it.
                assert {(one, lease.instance) for one in ("a0", "a1")} <= self.unused
            return
        if self.control.apply_encoded({"do": "part", "did": did, **fields})["ok"]:
            if did == "out":
                self.unused.add((agent, lease.instance))
            elif did == "in":
                self.unused.discard((agent, lease.instance))

    @rule(what=st.sampled_from(("halt", "resume", "undo")))
    def operator(self, what: str) -> None:
        self.control.apply_encoded({"do": what})

    @rule(name=st.sampled_from(NAMES), is_lost=st.booleans())
    def lose(self, name: str, is_lost: bool) -> None:
        (self.lost.add if is_lost else self.lost.discard)(name)

    @rule()
    def elect(self) -> None:
        self.planner = RolloutPlanner(self.planner.rules, self.now)

    @rule(pause=st.sampled_from((0, S, 7 * S)))
    def lead(self, pause: int) -> None:
        self.now += pause
        reports = {name: HealthReport(name not in self.lost and name not in self.begun) for name in NAMES}
        self.planner.hear(reports, self.now)
        command = self.planner.next_command(self.control, frozenset(), 1, self.now)
        if command is None:
            return
        reply = self.control.apply(command)
        assert not isinstance(reply, Rejected), reply  # nothing came between
        rollout = self.control.rollout
        assert rollout is not None
        is_grant = isinstance(command, GrantLease) and command.instance not in self.begun
        if is_grant and rollout.kind == "routers":
            down = self.lost | set(self.control.out("routers"))
            assert len(down) <= rollout.budget, (down, rollout)

    @precondition(lambda self: self.control.out("routers"))
    @rule(pick=st.integers(0, 9), do=st.sampled_from(("begin", "back", "out")))
    def agent(self, pick: int, do: str) -> None:
        out = self.control.out("routers")
        lease = self.control.leases[out[pick % len(out)]]
        fields = {"agent": lease.holder, "instance": lease.instance, "lease": lease.number}
        if self.control.apply_encoded({"do": do, **fields})["ok"]:
            (self.begun.discard if do == "back" else self.begun.add)(lease.instance)

    @precondition(lambda self: self.control.leases)
    @rule(pick=st.integers(0, 9))
    def release(self, pick: int) -> None:
        """An operator vouches that it serves."""
        name = sorted(self.control.leases)[pick % len(self.control.leases)]
        assert self.control.apply_encoded({"do": "release", "instance": name})["ok"]
        self.begun.discard(name)
        self.unused = {(agent, runner) for agent, runner in self.unused if runner != name}

    @invariant()
    def what_is_out_is_counted(self) -> None:
        assert self.begun <= set(self.control.leases), (self.begun, self.control.leases)

    @invariant()
    def leases_keep_to_the_budget(self) -> None:
        rollout = self.control.rollout
        rollouts = [*self.control.history, *([rollout] if rollout is not None else [])]
        for kind in ("routers", "runners"):
            budgets = [one.budget for one in rollouts if one.kind == kind]
            assert len(self.control.out(kind)) <= max(budgets, default=0)

    @invariant()
    def ends_are_ends(self) -> None:
        rollout = self.control.rollout
        if rollout is None:
            return
        if rollout.phase is Phase.DONE:
            assert set(rollout.done) >= set(rollout.targets)
        if rollout.phase not in ACTIVE:
            assert all(lease.stage is Stage.OUT for lease in self.control.leases.values())
        if rollout.phase is Phase.UNDONE and rollout.action == "drain":
            assert not set(rollout.done) & set(self.control.leases)

    @invariant()
    def it_is_read_back_whole(self) -> None:
        assert ControlState.decode(self.control.encoded()).encoded() == self.control.encoded()


RandomTest = Machine.TestCase
RandomTest.settings = settings(max_examples=150, stateful_step_count=60, deadline=None, derandomize=True)


if __name__ == "__main__":
    unittest.main()
