"""`maplestile explore`: explore every order of events of small cases, or replay a counterexample.

Exits with 0 if all properties hold, with 1 after printing a counterexample if one is violated, and with 2 for
invalid options or an invalid file, after printing which option, file or field is wrong.
"""

import argparse
import json
import os
import resource
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from maplestile.tools.explore import properties
from maplestile.tools.explore.cases import CASES, SMALL_CASE_DEPTHS, CaseError
from maplestile.tools.explore.example_files import Example, read_example
from maplestile.tools.explore.search import Report, explore, play

MAX_DEPTH = 30
DEFAULT_DEPTH = 8
KB_PER_MB = 1024


@dataclass(slots=True, frozen=True)
class CaseRun:
    """The exploration of one case in a process of its own."""

    report: Report
    peak_mb: float  # peak resident memory of the process, in MiB

    def as_json(self) -> dict[str, Any]:
        """Return the run as a JSON object."""
        return self.report.as_json() | {"peak_mb": self.peak_mb}


def add(commands: Any) -> None:
    """Add the command to the argparse sub-parsers."""
    explore = commands.add_parser("explore", help="play every order of events of small cases")
    explore.add_argument("--case", action="append", default=[], metavar="NAME", help="default: small ones")
    explore.add_argument("--all", action="store_true", help="every case")
    explore.add_argument(
        "--depth", type=int, default=0, metavar="N", help="no more events (default: 8 or less)"
    )
    explore.add_argument("--states", type=int, default=0, metavar="N", help="no more states of a case")
    explore.add_argument("--seconds", type=float, default=0.0, help="no longer for a case")
    explore.add_argument("--save", type=Path, metavar="FOLDER", help="write counterexamples there")
    explore.add_argument("--replay", type=Path, metavar="FILE", help="play a counterexample again")
    explore.add_argument("--sockets", action="store_true", help="with --replay: at the real program")
    explore.add_argument("--list", action="store_true", help="the cases and the properties")
    explore.add_argument("--json", action="store_true")
    explore.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the command: explore the selected cases, list all cases, or replay an example."""
    if arguments.list:
        _print_list()
        return 0
    try:
        if arguments.replay is not None:
            return _replay(arguments)
        names = _case_names(arguments)
        _check_bounds(arguments)
    except CaseError as error:
        print(f"maplestile: explore: {error}", file=sys.stderr)
        return 2
    runs = _explore_all(names, arguments)
    if arguments.json:
        print(json.dumps([case_run.as_json() for case_run in runs], indent=2))
    else:
        _print_runs(runs)
    if arguments.save is not None:
        _save_examples(runs, arguments.save)
    return int(any(case_run.report.example is not None for case_run in runs))


def _print_list() -> None:
    for case in CASES.values():
        print("case", case.name, case.summary, sep="\t")
    for name, description in properties.DESCRIPTIONS.items():
        print("property", name, description, sep="\t")


def _case_names(arguments: argparse.Namespace) -> list[str]:
    names = list(CASES) if arguments.all else arguments.case or list(SMALL_CASE_DEPTHS)
    for name in names:
        if name not in CASES:
            raise CaseError(f"--case {name}: must be one of {', '.join(CASES)}")
    return names


def _check_bounds(arguments: argparse.Namespace) -> None:
    if not 0 <= arguments.depth <= MAX_DEPTH or arguments.states < 0 or arguments.seconds < 0:
        raise CaseError(f"--depth must be from 1 to {MAX_DEPTH}, --states and --seconds over 0")


def _explore_all(names: Sequence[str], arguments: argparse.Namespace) -> list[CaseRun]:
    """Explore each case in a separate process, with at most one process per CPU core at a time."""
    is_bounded = arguments.depth or arguments.states or arguments.seconds
    depths = {
        name: arguments.depth if is_bounded else SMALL_CASE_DEPTHS.get(name, DEFAULT_DEPTH) for name in names
    }
    with ProcessPoolExecutor(min(len(names), os.cpu_count() or 1)) as pool:
        futures = [
            pool.submit(_explore_case, name, depth, arguments.states, arguments.seconds)
            for name, depth in depths.items()
        ]
        return [future.result() for future in futures]


def _explore_case(name: str, depth: int, states: int, seconds: float) -> CaseRun:
    report = explore(CASES[name], depth, states, seconds)
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return CaseRun(report, round(peak_kb / KB_PER_MB, 1))


def _print_runs(runs: Sequence[CaseRun]) -> None:
    print("case", "states", "played", "depth", "seconds", "peak", "", sep="\t")
    for case_run in runs:
        report = case_run.report
        counts = (report.visited, report.played, report.depth)
        usage = (f"{report.seconds:.1f}", f"{case_run.peak_mb:.0f} MB")
        print(report.case, *counts, *usage, _verdict(report), sep="\t")
        if report.example is not None:
            events = (f"  {event}" for event in report.example.events)
            print(report.example.detail, *events, sep="\n")


def _verdict(report: Report) -> str:
    if report.example is not None:
        return f"BROKEN: {report.example.property}"
    if report.complete:
        return "held, to the end"
    return f"held; INCOMPLETE, cut off at {report.depth} events"


def _save_examples(runs: Sequence[CaseRun], folder: Path) -> None:
    for report in (case_run.report for case_run in runs):
        if report.example is None:
            continue
        folder.mkdir(parents=True, exist_ok=True)
        file = folder / f"{report.case}-{report.example.property}.json"
        file.write_text(report.example.text())
        print(f"maplestile: explore: written to {file}", file=sys.stderr)


def _replay(arguments: argparse.Namespace) -> int:
    example = read_example(arguments.replay)
    if arguments.sockets:
        return _replay_over_sockets(example)
    violations = play(CASES[example.case], example.events).violations
    if arguments.json:
        print(json.dumps({"case": example.case, "broken": [list(violation) for violation in violations]}))
    else:
        for violation in violations:
            print("BROKEN", violation.property, violation.detail, sep="\t")
        if not violations:
            print(f"{example.case}: held; it broke {example.property or 'a property'} when it was written")
    return int(bool(violations))


def _replay_over_sockets(example: Example) -> int:
    # Imported here so that other commands do not load it at startup.
    from maplestile.tools.explore import sockets

    result = sockets.replay(example)
    print(json.dumps(result.as_json(), indent=2))
    return int(bool(result.violations))
