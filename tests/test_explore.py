"""Tests of the explorer: deliberate faults are found, shipped components hold, and counterexamples replay."""

import contextlib
import io
import json
import shutil
import tempfile
import unittest.mock
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from maplestile.tools.cli import main
from maplestile.tools.explore import fingerprint, properties, sockets
from maplestile.tools.explore.cases import CASES, SMALL_CASE_DEPTHS, Case, CaseError
from maplestile.tools.explore.events import Event, EventKind
from maplestile.tools.explore.example_files import Example, read_example
from maplestile.tools.explore.search import explore, play
from maplestile.tools.explore.simulation import Components, Simulation
from tests.faulty import FAULTS, IgnoresDeduplicationWindow
from tests.standins import ROOT

MIN_STATES = 500  # distinct states that the search of a small case visits
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
COUNTEREXAMPLES = ROOT / "examples" / "explore"  # of faults found earlier, which are all fixed


def events_of(text: str) -> tuple[Event, ...]:
    """Parse events written as they are printed, separated by commas: `submit, up 0, ok 0 0`."""
    found: list[Event] = []
    for event in text.split(", "):
        name, *numbers = event.split()
        found.append(Event(EventKind(name), tuple(map(int, numbers))))
    return tuple(found)


@pytest.mark.parametrize(("name", "case", "components"), FAULTS, ids=[fault[0] for fault in FAULTS])
def test_finds_deliberate_fault_with_minimal_counterexample(
    name: str, case: str, components: Components
) -> None:
    report = explore(CASES[case], depth=7, components=components)
    example = report.example
    assert example is not None and example.property == name
    for index in range(len(example.events)):  # without any one event, the property holds
        fewer = example.events[:index] + example.events[index + 1 :]
        assert name not in dict(play(CASES[case], fewer, components).violations)
    assert not play(CASES[case], example.events).violations  # the property holds for the shipped components
    assert name in properties.DESCRIPTIONS and set(properties.DESCRIPTIONS) == {
        broken for broken, _, _ in FAULTS
    }


@pytest.mark.parametrize("name", SMALL_CASE_DEPTHS)
def test_all_properties_hold_in_small_case(name: str) -> None:
    report = explore(CASES[name], depth=SMALL_CASE_DEPTHS[name])
    assert report.example is None, report.as_json()
    assert report.visited > MIN_STATES


def test_reports_whether_case_is_explored_completely() -> None:
    small = Case("small", "", ("unsafe",), (EventKind.ERROR, EventKind.RESET), 1, workers=1, max_time_steps=4)
    complete = explore(small)
    assert complete.complete and complete.example is None and complete.visited > 20
    for bounded in (explore(small, depth=4), explore(small, states=10), explore(small, seconds=1e-9)):
        assert not bounded.complete and bounded.visited < complete.visited
    assert explore(small, depth=complete.depth + 1).complete


def test_fingerprints_are_equal_only_for_states_that_differ_in_names() -> None:
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


def test_saved_counterexamples_no_longer_violate_properties() -> None:
    files = sorted(COUNTEREXAMPLES.glob("*.json"))
    assert files
    for file in files:
        example = read_example(file)
        assert play(CASES[example.case], example.events).violations == [], file
        assert example.text() == file.read_text()
    example = read_example(COUNTEREXAMPLES / "keyed-window.json")
    broken = play(
        CASES[example.case], example.events, Components(dispatcher=IgnoresDeduplicationWindow)
    ).violations
    assert broken[0][0] == "keyed-in-scope"


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("{", "invalid JSON"),
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
def test_reports_place_of_error_in_invalid_example_file(text: str, place: str, tmp_path: Path) -> None:
    file = tmp_path / "found.json"
    file.write_text(text)
    code, _, err = run_explore("--replay", str(file))
    assert code == 2 and place in err and "Traceback" not in err


class CommandResult(NamedTuple):
    """The exit code, standard output and standard error of a command."""

    exit_code: int
    output: str
    error: str


def run_explore(*arguments: str) -> CommandResult:
    """Run `maplestile explore` with the given arguments."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(["explore", *arguments])
    return CommandResult(code, out.getvalue(), err.getvalue())


def test_explore_command_reports_cases_and_replays_example(tmp_path: Path) -> None:
    code, out, _ = run_explore("--case", "late", "--depth", "4", "--json")
    (report,) = json.loads(out)
    assert (code, report["held"], report["complete"], report["bound"]) == (0, True, False, 4)
    assert report["visited"] > 20 and report["peak_mb"] > 1
    assert "INCOMPLETE" in run_explore("--case", "late", "--depth", "3").output
    assert run_explore("--case", "nope").exit_code == 2 and run_explore("--depth", "99").exit_code == 2
    out = run_explore("--list").output
    assert all(name in out for name in (*CASES, *properties.DESCRIPTIONS))
    code, out, _ = run_explore("--replay", str(COUNTEREXAMPLES / "keyed-window.json"))
    assert code == 0 and "held" in out
    assert run_explore("--replay", str(tmp_path / "none.json")).exit_code == 2


def copy_program() -> Path:
    """Copy the program's package to a new folder, for a test to change, and return the folder."""
    folder = Path(tempfile.mkdtemp())
    shutil.copytree(ROOT / "maplestile", folder / "maplestile")
    return folder


def replace_source(module: Path, original: str, replacement: str) -> None:
    """Replace a source text that occurs once in a module of a copy of the program."""
    text = module.read_text()
    assert text.count(original) == 1
    module.write_text(text.replace(original, replacement))


def test_replays_counterexample_over_sockets_with_real_program() -> None:
    events = "submit, up 0, error 0 0"
    result = sockets.replay(Example("unsafe", "unsafe-once", events_of(events))).as_json()
    assert (result["broken"], len(result["attempts"]), result["answers"]) == ([], 1, {"0": [502]})
    # Replayed against a copy of the program with a fault injected, the example violates the property.
    folder = copy_program()
    dispatch = folder / "maplestile" / "dispatch"
    replace_source(
        dispatch / "call_router.py",
        "unsafe = call.call_class.idempotency is Idempotency.NOT_IDEMPOTENT",
        "unsafe = False",
    )
    replace_source(
        dispatch / "retry.py",
        "not ran\n            or call.call_class.idempotency is Idempotency.IDEMPOTENT",
        "True",
    )
    result = sockets.replay(Example("unsafe", "unsafe-once", events_of(f"{events}, up 1")), folder).as_json()
    assert [name for name, _ in result["broken"]] == ["unsafe-once"], result


def test_submits_call_again_over_sockets_after_shedding_for_lag() -> None:
    folder = copy_program()
    intake = folder / "maplestile" / "requests" / "request_intake.py"
    lag = "lags = lag_us > limits.max_lag_us"
    replace_source(intake, lag, 'lags = self._counters["requests.taken"] == 1')
    example = Example("unsafe", "", events_of("submit, up 0, ok 0 0"))
    result = sockets.replay(example, folder).as_json()
    assert (result["broken"], result["answers"], len(result["attempts"])) == ([], {"0": [200]}, 1), result
    replace_source(intake, 'lags = self._counters["requests.taken"] == 1', "lags = True")
    short_timeout = unittest.mock.patch.object(sockets, "EVENT_TIMEOUT_S", 1.0)
    with short_timeout, pytest.raises(CaseError, match="'submit' did not take effect on sockets within 1 s"):
        sockets.replay(example, folder)


def test_replays_endpoint_list_and_connection_faults_over_sockets() -> None:
    for case, events, statuses in (
        ("unsafe", "submit, refuse 0, up 1, ok 1 0", [200]),
        ("drain", "submit, up 0, drain 0, drain 1, reset 0", [502]),
        ("safe", "submit, up 0, reset 0, up 1, ok 1 0", [200]),
    ):
        result = sockets.replay(Example(case, "", events_of(events))).as_json()
        assert (result["broken"], result["answers"]) == ([], {"0": statuses}), result
    short_timeout = unittest.mock.patch.object(sockets, "EVENT_TIMEOUT_S", 5.0)
    with short_timeout, pytest.raises(CaseError, match="did not take effect|cannot be replayed"):
        sockets.replay(Example("safe", "", events_of("up 3")))


class ExplorerMachine(RuleBasedStateMachine):
    """Random runs beyond the bounds of the cases: three calls, three workers, many faults and long times."""

    @initialize(classes=strategies.lists(strategies.sampled_from(CLASSES), min_size=3, max_size=3))
    def start(self, classes: list[str]) -> None:
        """Start a simulation of calls of these classes."""
        case = Case("random", "", tuple(classes), FAULT_EVENTS, 12, 3, ("a", "a", "b"), (1, 2, 2), 40)
        self.simulation = Simulation(case, properties)

    @precondition(lambda self: hasattr(self, "simulation") and self.simulation.enabled())
    @rule(pick=strategies.integers(0, 999))
    def play_event(self, pick: int) -> None:
        """Play one of the enabled events."""
        enabled = self.simulation.enabled()
        self.simulation.play(enabled[pick % len(enabled)])
        properties.check_after_event(self.simulation)

    @invariant()
    def no_property_is_violated(self) -> None:
        assert not hasattr(self, "simulation") or self.simulation.violations == []

    def teardown(self) -> None:
        """Check the properties that must hold once nothing is pending."""
        if hasattr(self, "simulation"):
            properties.check_when_idle(self.simulation)
            assert self.simulation.violations == []


RandomTest = ExplorerMachine.TestCase
RandomTest.settings = settings(max_examples=150, stateful_step_count=50, deadline=None, derandomize=True)
