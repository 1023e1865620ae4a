"""Plays scenarios by hand: `python -m tests.release --seeds 1-3 --scenarios NAME ...`.

With `--random`, each seed is a random scenario of its own.
"""

import argparse
import sys
from collections import Counter

from tests.release import scenarios
from tests.release.trial import play

ALL = {value.name: value for value in vars(scenarios).values() if isinstance(value, scenarios.Scenario)}


def main() -> int:
    """Play the scenarios with each seed, and print a line for each; return 1 if a budget was exceeded."""
    parser = argparse.ArgumentParser(prog="python -m tests.release")
    parser.add_argument("--seeds", default="1-3", metavar="FIRST-LAST")
    parser.add_argument("--scenarios", nargs="*", default=list(ALL), choices=list(ALL))
    parser.add_argument("--random", action="store_true", help="draw a scenario for each seed")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    exceeded = 0
    for name in ["random"] if arguments.random else arguments.scenarios:
        for seed in seeds:
            record = play(scenarios.draw(seed) if arguments.random else ALL[name], seed)
            answers = Counter(
                kind.value for request in record.requests.requests.values() for _, kind in request.answers
            )
            fullest = record.fullest
            print(
                f"{name} seed {seed}: {fullest} ({fullest.fullness:.2f}); "
                f"{len(record.requests.requests)} calls, {dict(sorted(answers.items()))}, "
                f"{record.skipped_calls} skipped",
                flush=True,
            )
            exceeded += fullest.fullness > 1
    return 1 if exceeded else 0


if __name__ == "__main__":
    sys.exit(main())
