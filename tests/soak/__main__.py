"""Plays trials by hand: `python -m tests.soak --seeds 1-50 --seconds 20`.

Exits with 1 if a rule was broken.
"""

import argparse
import sys
from collections import Counter

from tests.soak.rules import broken_rules
from tests.soak.trial import play

SHOWN = 20


def main() -> int:
    """Play the trials, and print a line for each and for each broken rule."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seeds", default="1-3", metavar="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--calls-fail", action="store_true", help="system calls of the routers fail")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        record = play(seed, arguments.seconds, arguments.calls_fail)
        broken = broken_rules(record)
        answers = Counter(kind.value for request in record.requests.values() for _, kind in request.answers)
        print(
            f"seed {seed}: {'held' if not broken else 'BROKEN'}; {len(record.requests)} requests, "
            f"{dict(sorted(answers.items()))}, {len(record.arrivals)} attempts, {len(record.ends)} stops, "
            f"stall {record.longest_stall_s:.3f} s",
            flush=True,
        )
        for line in broken[:SHOWN]:
            print(f"  {line}", flush=True)
        failed += bool(broken)
    print(f"{failed} trials broke a rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
