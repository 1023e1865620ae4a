"""Print the journal's runs of real routers as one table.

python -m tools.trials JOURNAL [--since NAME]
"""

import argparse
import json
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

COLUMNS = ("began", "commit", "site", "run", "day", "seed", "routers", "score", "served", "outcome")
COMMANDS = ("real", "real-score")  # the bench commands that run real routers
TIME_LENGTH = 15  # characters of the time at the start of a file name
COMMIT_LENGTH = 7  # characters of an abbreviated commit
NOT_PLAYED = "not played to its end"
MISSING = "-"


Row = tuple[str, ...]  # the cells of a table row, in the order of COLUMNS


@dataclass(frozen=True)
class Day:
    """One simulated day of a run, as reported by the bench."""

    name: str
    seed: str
    routers: str
    score: float | None  # None if the bench reports none
    served: float | None  # share of the calls that were served; None if the bench reports none
    violations: Mapping[str, int]  # the number of violations, by rule
    fault: str  # empty if there is none
    gate: str  # empty if there is none

    @classmethod
    def decode(cls, encoded: Mapping[str, Any]) -> "Day":
        """Decode a day in a journal entry."""
        return cls(
            name=encoded["name"],
            seed=str(encoded.get("seed", MISSING)),
            routers=str(encoded.get("nodes", MISSING)),
            score=encoded.get("score"),
            served=encoded.get("served"),
            violations=encoded.get("rules", {}),
            fault=encoded.get("fault") or "",
            gate=encoded.get("gate") or "",
        )

    def outcome(self) -> str:
        """Return the fault and the violated rules, or else the gate."""
        problems = [f"fault: {self.fault}"] if self.fault else []
        problems += [f"{rule} {count} times" for rule, count in self.violations.items() if count]
        if problems:
            return "; ".join(problems)
        return f"gate: {self.gate}" if self.gate else "held"


def rows(folder: Path, since: str) -> Iterator[Row]:
    """Yield the table rows of the journal entries whose file names do not sort before `since`."""
    for file in sorted(folder.glob("*.json")):
        if file.name < since:
            continue
        trial = json.loads(file.read_bytes())
        if trial.get("cmd") in COMMANDS:
            yield from _rows_of_trial(file.name[:TIME_LENGTH], trial)


def _rows_of_trial(began: str, trial: Mapping[str, Any]) -> Iterator[Row]:
    arguments = [str(argument) for argument in trial["argv"]]
    commit = trial["head"][:COMMIT_LENGTH] + ("+" if trial["dirty"] else "")
    head = (began, commit, Path(arguments[0]).stem, _run_name(trial["cmd"], arguments))
    days = [Day.decode(day) for day in trial.get("days", [])]
    if not days:
        kind = _option(arguments, "--rough")
        seed = _option(arguments, "--seed")
        yield (*head, kind, seed, MISSING, MISSING, MISSING, NOT_PLAYED)
    for day in days:
        shares = (_share(day.score), _share(day.served))
        yield (*head, day.name, day.seed, day.routers, *shares, day.outcome())


def _run_name(command: str, arguments: Sequence[str]) -> str:
    full_or_rough = "rough" if command == "real" else "full"
    name = "quick" if "--quick" in arguments else full_or_rough
    if "--panel" in arguments:
        name += f", {_option(arguments, '--panel')}"
    return name


def _option(arguments: Sequence[str], name: str) -> str:
    """Return the argument after an option, or `MISSING` if the option is not given."""
    return arguments[arguments.index(name) + 1] if name in arguments else MISSING


def _share(value: float | None) -> str:
    return MISSING if value is None else f"{value:.3f}"


def main() -> None:
    """Print the table as Markdown."""
    parser = argparse.ArgumentParser(description="Print the journal's runs of real routers as one table.")
    parser.add_argument("journal", type=Path)
    parser.add_argument("--since", default="")
    arguments = parser.parse_args()
    print(f"| {' | '.join(COLUMNS)} |\n|{' --- |' * len(COLUMNS)}")
    for row in rows(arguments.journal, arguments.since):
        print(f"| {' | '.join(row)} |")


if __name__ == "__main__":
    main()
