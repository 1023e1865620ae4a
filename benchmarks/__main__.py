"""Run the scale benchmarks and print their tables.

    python -m benchmarks [PART …] [--small] [--json FILE] [--plots FOLDER]

The parts are data_path, name_lists, membership, agreed_reads and policy_changes. The program ends when the
parts have been run.
"""

import argparse
import json
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from benchmarks import agreed_reads, data_path, membership, name_lists, policy_changes
from benchmarks.fit import TABLE_HEAD, Series

PARTS: dict[str, Callable[[bool], list[Series]]] = {
    "data_path": data_path.run,
    "name_lists": name_lists.run,
    "membership": membership.run,
    "agreed_reads": agreed_reads.run,
    "policy_changes": policy_changes.run,
}


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks", description="Measure what each role costs as the fleet grows."
    )
    parser.add_argument(
        "parts", nargs="*", metavar="PART", help=f"one of {', '.join(PARTS)}; all parts by default"
    )
    parser.add_argument(
        "--small", action="store_true", help="use few and small sizes, to try all parts quickly"
    )
    parser.add_argument("--json", type=Path, help="also write the data to this file")
    parser.add_argument("--plots", type=Path, help="plot each series with its fitted line into this folder")
    arguments = parser.parse_args()
    if unknown := [part for part in arguments.parts if part not in PARTS]:
        parser.error(f"unknown part '{unknown[0]}': must be one of {', '.join(PARTS)}")
    return arguments


def run_parts(parts: Sequence[str], small: bool) -> dict[str, list[Series]]:
    """Run the parts one after the other, print their table rows, and return their series."""
    results: dict[str, list[Series]] = {}
    for number, part in enumerate(parts, 1):
        started_s = time.monotonic()
        print(f"{part} ({number} of {len(parts)}) …", file=sys.stderr, flush=True)
        results[part] = PARTS[part](small)
        for series in results[part]:
            print("\n".join(series.rows()), flush=True)
        print(f"{part}: {time.monotonic() - started_s:.0f} s", file=sys.stderr, flush=True)
    return results


def main() -> None:
    """Run the chosen parts, and write the data and the plots that are requested."""
    arguments = parse_arguments()
    print(TABLE_HEAD, flush=True)
    results = run_parts(arguments.parts or list(PARTS), arguments.small)
    if arguments.json is not None:
        data = {part: [one.json() for one in series] for part, series in results.items()}
        arguments.json.write_text(json.dumps(data, indent=1) + "\n")
    if arguments.plots is not None:
        arguments.plots.mkdir(parents=True, exist_ok=True)
        for one in (one for series in results.values() for one in series):
            one.plot(arguments.plots)


if __name__ == "__main__":
    main()
