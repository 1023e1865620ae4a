"""The explorer: small cases hold, deliberate faults are found, and what it finds replays, also on sockets."""

import contextlib
import io
import json
import shutil
import tempfile
import unittest.mock
from pathlib import Path

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from maplestile.tools.cli import main
from maplestile.tools.explore import fingerprint, properties, sockets
from maplestile.tools.explore.cases import CASES, SMALL, Case, CaseError
from maplestile.tools.explore.events import Event, EventKind
from maplestile.tools.explore.example_files import Example, read
from maplestile.tools.explore.search import explore, play
from maplestile.tools.explore.simulation import Components, Simulation
from tests.faulty import FAULTS, IgnoresDeduplicationWindow
from tests.standins import ROOT

CLASSES = ("safe", "unsafe", "keyed-all", "keyed-zone", "keyed-cell")
FAULT_EVENTS = (
    EventKind.ERROR,
    EventKind.FULL,
    EventKind.MISS,
    EventKind.REFUSE,
    EventKind.RESET,
    EventKind.PART,
    EventKind.AGAIN,
    EventKind.STRAY,
    EventKind.LEAVE,
    EventKind.AWAY,
    EventKind.DRAIN,
    EventKind.GONE,
    EventKind.RETURN,
    EventKind.STOP,
)
FOUND = ROOT / "examples" / "explore"  # counterexamples of the past: each holds now


def events_of(text: str) -> tuple[Event, ...]:
    """Events as a counterexample is printed, with commas between them: `submit, up 0, ok 0 0`."""
    found: list[Event] = []
    for event in text.split(", "):
        name, *numbers = event.split()
        found.append(Event(EventKind(name), tuple(map(int, numbers))))
    return tuple(found)


@pytest.mark.parametrize(("name", "case", "components"), FAULTS, ids=[fault[0] for fault in FAULTS])
def test_a_deliberate_fault_is_found_and_shrunk_to_what_it_needs(
    name: str, case: str, components: Components
) -> None:
    report = explore(CASES[case], depth=7, components=components)
    example = report.example
    assert example is not None and example.property == name
    for index in range(len(example.events)):  # no event is there without need
        fewer = example.events[:index] + example.events[index + 1 :]
        assert name not in dict(play(CASES[case], fewer, components).problems)
    assert not play(CASES[case], example.events).problems  # the shipped components hold
    assert name in properties.NAMES and set(properties.NAMES) == {broken for broken, _, _ in FAULTS}


@pytest.mark.parametrize("name", SMALL)
def test_small_cases_hold(name: str) -> None:
    report = explore(CASES[name], depth=SMALL[name])
    assert report.example is None, report.as_json()
    assert report.visited > 500


def test_a_case_is_explored_to_its_end_or_says_that_it_was_not() -> None:
    small = Case("small", "", ("unsafe",), (EventKind.ERROR, EventKind.RESET), 1, workers=1, max_time_steps=4)
    whole = explore(small)
    assert whole.complete and whole.example is None and whole.visited > 20
    for cut in (explore(small, depth=4), explore(small, states=10), explore(small, seconds=1e-9)):
        assert not cut.complete and cut.visited < whole.visited
    assert explore(small, depth=whole.depth + 1).complete


def test_states_that_differ_in_names_alone_are_one_and_others_are_not() -> None:
    def digest_after(events: str) -> bytes:
        simulation = Simulation(CASES["two-unsafe"], properties)
        for event in events_of(events):
            simulation.play(event)
        return fingerprint.digest(simulation)

    assert digest_after("submit, up 0") == digest_after("submit, up 0")
    assert digest_after("submit, time") != digest_after("submit")
    assert digest_after("submit, up 0, error 0 0") != digest_after("submit, up 0, ok 0 0")
    assert digest_after("submit, submit, up 0, up 1") == digest_after("submit, submit, up 1, up 0")


# Counterexamples.


def test_what_was_found_holds_now() -> None:
    files = sorted(FOUND.glob("*.json"))
    assert files
    for file in files:
        example = read(file)
        assert play(CASES[example.case], example.events).problems == [], file
        assert example.text() == file.read_text()
    example = read(FOUND / "keyed-window.json")
    broken = play(
        CASES[example.case], example.events, Components(dispatcher=IgnoresDeduplicationWindow)
    ).problems
    assert broken[0][0] == "keyed-in-scope"


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("{", "no JSON"),
        ("[]", "must be an object"),
        ('{"version": 2}', "version: must be 1"),
        ('{"version": 1, "case": "x"}', "case: must be one of"),
        ('{"version": 1, "case": "safe"}', "events: must be a list"),
        ('{"version": 1, "case": "safe", "events": [["submit"], ["dance"]]}', "events[1]: must begin with"),
        ('{"version": 1, "case": "safe", "events": [["up"]]}', "events[0]: 'up' takes 1 numbers"),
        ('{"version": 1, "case": "safe", "events": [["up", true]]}', "events[0]: 'up' takes"),
        ('{"version": 1, "case": "safe", "events": [["up", -1]]}', "events[0]: 'up' takes"),
    ],
)
def test_a_damaged_file_is_reported_with_its_place(text: str, place: str, tmp_path: Path) -> None:
    file = tmp_path / "found.json"
    file.write_text(text)
    code, _, err = command("--replay", str(file))
    assert code == 2 and place in err and "Traceback" not in err


def command(*arguments: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(["explore", *arguments])
    return code, out.getvalue(), err.getvalue()


def test_the_command(tmp_path: Path) -> None:
    code, out, _ = command("--case", "late", "--depth", "4", "--json")
    (report,) = json.loads(out)
    assert (code, report["held"], report["complete"], report["bound"]) == (0, True, False, 4)
    assert report["visited"] > 20 and report["peak_mb"] > 1
    assert "INCOMPLETE" in command("--case", "late", "--depth", "3")[1]
    assert command("--case", "nope")[0] == 2 and command("--depth", "99")[0] == 2
    out = command("--list")[1]
    assert all(name in out for name in (*CASES, *properties.NAMES))
    code, out, _ = command("--replay", str(FOUND / "keyed-window.json"))
    assert code == 0 and "held" in out
    assert command("--replay", str(tmp_path / "none.json"))[0] == 2


def patch(module: Path, check: str, fault: str) -> None:
    text = module.read_text()
    assert text.count(check) == 1
    module.write_text(text.replace(check, fault))


def test_a_counterexample_replays_on_sockets_at_the_real_program() -> None:
    events = "submit, up 0, error 0 0"
    result = sockets.replay(Example("unsafe", "unsafe-once", events_of(events))).as_json()
    assert (result["broken"], len(result["attempts"]), result["answers"]) == ([], 1, {"0": [502]})
    # A build with the fault put in: what the explorer finds is met on sockets as well.
    folder = Path(tempfile.mkdtemp())
    shutil.copytree(ROOT / "maplestile", folder / "maplestile")
    dispatch = folder / "maplestile" / "dispatch"
    patch(
        dispatch / "call_router.py",
        "unsafe = call.kind.idempotency is Idempotency.NOT_IDEMPOTENT",
        "unsafe = False",
    )
    patch(
        dispatch / "retry.py",
        "not ran\n            or call.kind.idempotency is Idempotency.IDEMPOTENT",
        "True",
    )
    result = sockets.replay(Example("unsafe", "unsafe-once", events_of(f"{events}, up 1")), folder).as_json()
    assert [name for name, _ in result["broken"]] == ["unsafe-once"], result


def test_faults_of_the_list_and_of_links_replay_on_sockets() -> None:
    for case, events, statuses in (
        ("unsafe", "submit, refuse 0, up 1, ok 1 0", [200]),
        ("drain", "submit, up 0, drain 0, drain 1, reset 0", [502]),
        ("safe", "submit, up 0, reset 0, up 1, ok 1 0", [200]),
    ):
        result = sockets.replay(Example(case, "", events_of(events))).as_json()
        assert (result["broken"], result["answers"]) == ([], {"0": statuses}), result
    short_timeout = unittest.mock.patch.object(sockets, "EVENT_TIMEOUT_S", 5.0)
    with short_timeout, pytest.raises(CaseError, match="did not come about|not to be played"):
        sockets.replay(Example("safe", "", events_of("up 3")))


class Machine(RuleBasedStateMachine):
    """Beyond the bounds of the cases: three calls of any classes, three workers, many faults, long times."""

    @initialize(classes=strategies.lists(strategies.sampled_from(CLASSES), min_size=3, max_size=3))
    def begin(self, classes: list[str]) -> None:
        case = Case("random", "", tuple(classes), FAULT_EVENTS, 12, 3, ("a", "a", "b"), (1, 2, 2), 40)
        self.simulation = Simulation(case, properties)

    @precondition(lambda self: hasattr(self, "simulation") and self.simulation.enabled())
    @rule(pick=strategies.integers(0, 999))
    def happen(self, pick: int) -> None:
        enabled = self.simulation.enabled()
        self.simulation.play(enabled[pick % len(enabled)])
        properties.check_after_event(self.simulation)

    @invariant()
    def all_hold(self) -> None:
        assert not hasattr(self, "simulation") or self.simulation.problems == []

    def teardown(self) -> None:
        if hasattr(self, "simulation"):
            properties.check_when_idle(self.simulation)
            assert self.simulation.problems == []


RandomTest = Machine.TestCase
RandomTest.settings = settings(max_examples=150, stateful_step_count=50, deadline=None, derandomize=True)
