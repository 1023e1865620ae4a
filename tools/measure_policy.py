"""Changes of policy on five real routers under three voting agents, measured on loopback.

    python -m tools.measure_policy [--rounds N] [--seconds S] [--changes N]

Each round starts a fleet, calls it with the load tool without a change, then under the same load and seed
with changes one after the other, and once more with a fifth of all messages between processes lost. Prints
one JSON object with the least, median and greatest over the rounds.
"""

import argparse
import json
import time
import unittest
from statistics import quantiles

from tests.test_process_policy import PolicyFleet
from tests.test_process_rollout import Calls
from tools.measure_rollout import LOAD_TOOL_START_S, record_calls, spread


def one_round(seconds: float, changes: int, samples: dict[str, list[float]]) -> None:
    """Measure one fleet, and add to the samples."""
    test = unittest.TestCase()
    try:
        fleet = PolicyFleet(test)
        fleet.until_whole()
        fleet.until_all_at(0, 0)
        record_calls(samples, "no change", Calls(fleet, seconds).result())
        calls = Calls(fleet, seconds)
        time.sleep(LOAD_TOOL_START_S)
        committed = propose_changes(fleet, changes, "", samples)
        record_calls(samples, "changes", calls.result())
        took_ms, old = time_to_apply(fleet, committed)
        for name, number in (("p50", 49), ("p99", 98)):
            percentiles = quantiles(took_ms, n=100, method="inclusive")
            samples.setdefault(f"commit to last applied ms, {name}", []).append(percentiles[number])
        samples.setdefault("calls under the old epoch after a commit", []).append(old / len(committed))
        calls = Calls(fleet, seconds)
        fleet.relay.begin(net={"loss": 0.2})
        propose_changes(fleet, changes, ", 20% lost", samples)
        fleet.relay.ask("heal")
        record_calls(samples, "changes, 20% lost", calls.result())
    finally:
        test.doCleanups()


def propose_changes(
    fleet: PolicyFleet, changes: int, when: str, samples: dict[str, list[float]]
) -> list[int]:
    """The epochs committed of so many proposals; how long each took, and the share that came to nothing."""
    epochs, took = list[int](), list[float]()
    for number in range(changes):
        started_s = time.monotonic()
        before = fleet.epochs(0)
        code = fleet.propose(0, attempts=2 + number + len(before) * bool(when))[0]
        if not code:
            took.append(time.monotonic() - started_s)
            epoch = int(fleet.told(0)["agreed"]["epochs"][-1]["number"])
            epochs.append(epoch)
            fleet.until_all_at(0, epoch)
    samples.setdefault(f"abort rate{when}", []).append(1 - len(epochs) / changes)
    if took:
        samples.setdefault(f"proposal to commit s, median{when}", []).append(sorted(took)[len(took) // 2])
    return epochs


def time_to_apply(fleet: PolicyFleet, epochs: list[int]) -> tuple[list[float], int]:
    """Of each epoch the milliseconds from its commit until the last router had it, and the calls since.

    Those calls are the ones first sent out under an older epoch after a commit.
    """
    commits = {one["epoch"]: one["t_us"] for _, one in fleet.events_of("commit")}
    last = {
        epoch: max(one["t_us"] for _, one in fleet.events_of("applied") if one["epoch"] == epoch)
        for epoch in epochs
    }
    first = [one for _, one in fleet.events_of("attempt") if one["attempt"] == 0]
    spans = [(epoch, commits[epoch], last[epoch]) for epoch in epochs]
    old = sum(one["epoch"] < epoch and a < one["t_us"] <= b for one in first for epoch, a, b in spans)
    return [(last[epoch] - commits[epoch]) / 1000 for epoch in epochs], old


def main() -> None:
    """Run the rounds, and print the summary."""
    parser = argparse.ArgumentParser(description="changes of policy on sockets")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--changes", type=int, default=10)
    arguments = parser.parse_args()
    samples: dict[str, list[float]] = {}
    for _ in range(arguments.rounds):
        one_round(arguments.seconds, arguments.changes, samples)
    print(json.dumps({name: spread(values) for name, values in samples.items()}, indent=2))


if __name__ == "__main__":
    main()
