"""`maplestile explore`: play cases through, or replay a counterexample, here or on sockets.

Exit 0 where all held, 1 with a counterexample, 2 for bad usage or a bad file, with its place."""

import argparse
import json
import os
import resource
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from maplestile.tools.explore import properties
from maplestile.tools.explore.cases import CASES, SMALL, CaseError, read
from maplestile.tools.explore.search import Report, explore, play

MOST_DEPTH, DEPTH = 30, 8


def add(commands: Any) -> None:
    """The sub-command, to argparse."""
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


def run(asked: argparse.Namespace) -> int:
    if asked.list:
        for case in CASES.values():
            print("case", case.name, case.about, sep="\t")
        for name, about in properties.NAMES.items():
            print("property", name, about, sep="\t")
        return 0
    try:
        if asked.replay is not None:
            return _replay(asked)
        names = list(CASES) if asked.all else asked.case or list(SMALL)
        for name in names:
            if name not in CASES:
                raise CaseError(f"--case {name}: must be one of {', '.join(CASES)}")
        if not 0 <= asked.depth <= MOST_DEPTH or asked.states < 0 or asked.seconds < 0:
            raise CaseError(f"--depth must be from 1 to {MOST_DEPTH}, --states and --seconds over 0")
    except CaseError as fault:
        print(f"maplestile: explore: {fault}", file=sys.stderr)
        return 2
    bounded = asked.depth or asked.states or asked.seconds
    with ProcessPoolExecutor(min(len(names), os.cpu_count() or 1)) as pool:
        depths = {name: asked.depth if bounded else SMALL.get(name, DEPTH) for name in names}
        runs = [pool.submit(explored, n, depth, asked.states, asked.seconds) for n, depth in depths.items()]
        reports = [one.result() for one in runs]
    if asked.json:
        print(json.dumps([report.told() | {"peak_mb": peak} for report, peak in reports], indent=2))
    else:
        print("case", "states", "played", "depth", "seconds", "peak", "", sep="\t")
        for report, peak in reports:
            _print(report, peak)
    for report, _ in reports:
        if report.example is not None and asked.save is not None:
            asked.save.mkdir(parents=True, exist_ok=True)
            file = asked.save / f"{report.case}-{report.example.property}.json"
            file.write_text(report.example.text())
            print(f"maplestile: explore: written to {file}", file=sys.stderr)
    return int(any(report.example is not None for report, _ in reports))


def explored(name: str, depth: int, states: int, seconds: float) -> tuple[Report, float]:
    """The report, and the most memory that this process has had, in MB."""
    report = explore(CASES[name], depth, states, seconds)
    return report, round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1)


def _print(report: Report, peak: float) -> None:
    whole = "held, to the end" if report.complete else f"held; INCOMPLETE, cut off at {report.depth} events"
    told = whole if report.example is None else f"BROKEN: {report.example.property}"
    spent = f"{report.seconds:.1f}", f"{peak:.0f} MB"
    print(report.case, report.visited, report.played, report.depth, *spent, told, sep="\t")
    if report.example is not None:
        print(report.example.told, *(f"  {' '.join(map(str, e))}" for e in report.example.events), sep="\n")


def _replay(asked: argparse.Namespace) -> int:
    example = read(asked.replay)
    if asked.sockets:
        from maplestile.tools.explore import sockets

        seen = sockets.replay(example)
        print(json.dumps(seen, indent=2))
        return int(bool(seen["broken"]))
    problems = play(CASES[example.case], example.events).problems
    if asked.json:
        print(json.dumps({"case": example.case, "broken": [list(one) for one in problems]}))
    else:
        for name, told in problems:
            print("BROKEN", name, told, sep="\t")
        if not problems:
            print(f"{example.case}: held; it broke {example.property or 'a property'} when it was written")
    return int(bool(problems))
