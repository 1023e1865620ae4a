"""The bench's runs of real routers in the journal, as one table."""

import argparse
import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

COLUMNS = ("began", "commit", "site", "run", "day", "seed", "routers", "score", "served", "outcome")
COMMANDS = ("real", "real-score")  # of the bench, that run real routers
TIME_LENGTH = 15  # of the time at the start of a file's name
COMMIT_LENGTH = 7
NOT_PLAYED = "not played to its end"


def outcome(day: dict[str, Any]) -> str:
    """What a day came to: its fault and its broken rules, or else its gate."""
    broken = [f"{rule} {count} times" for rule, count in day.get("rules", {}).items() if count]
    fault = [f"fault: {day['fault']}"] if day.get("fault") else []
    gate = [f"gate: {day['gate']}"] if day.get("gate") and not broken and not fault else []
    return "; ".join(fault + broken + gate) or "held"


def rows(folder: Path, since: str) -> Iterator[tuple[str, ...]]:
    """The rows of the table, from the file names that are not before `since`."""
    for file in sorted(folder.glob("*.json")):
        if file.name < since:
            continue
        trial = json.loads(file.read_bytes())
        if trial.get("cmd") in COMMANDS:
            yield from _rows_of_trial(file.name[:TIME_LENGTH], trial)


def _rows_of_trial(began: str, trial: dict[str, Any]) -> Iterator[tuple[str, ...]]:
    arguments = [str(argument) for argument in trial["argv"]]
    commit = trial["head"][:COMMIT_LENGTH] + ("+" if trial["dirty"] else "")
    head = (began, commit, Path(arguments[0]).stem, _run_name(trial["cmd"], arguments))
    days = trial.get("days", [])
    if not days:
        kind = _option(arguments, "--rough")
        seed = _option(arguments, "--seed")
        yield (*head, kind, seed, "-", "-", "-", NOT_PLAYED)
    for day in days:
        seed = str(day.get("seed", "-"))
        routers = str(day.get("nodes", "-"))
        shares = (_share(day.get(name)) for name in ("score", "served"))
        yield (*head, day["name"], seed, routers, *shares, outcome(day))


def _run_name(command: str, arguments: Sequence[str]) -> str:
    full_or_rough = "rough" if command == "real" else "full"
    name = "quick" if "--quick" in arguments else full_or_rough
    if "--panel" in arguments:
        name += f", {_option(arguments, '--panel')}"
    return name


def _option(arguments: Sequence[str], name: str) -> str:
    """The argument after an option; "-" where the option is not there."""
    return arguments[arguments.index(name) + 1] if name in arguments else "-"


def _share(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def main() -> None:
    """Print the table in Markdown."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("journal", type=Path)
    parser.add_argument("--since", default="")
    arguments = parser.parse_args()
    print(f"| {' | '.join(COLUMNS)} |\n|{' --- |' * len(COLUMNS)}")
    for row in rows(arguments.journal, arguments.since):
        print(f"| {' | '.join(row)} |")


if __name__ == "__main__":
    main()
