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
from dataclasses import dataclass
from statistics import quantiles

from tests.policy_fleet import PolicyFleet
from tests.rollout_fleet import Calls
from tools.measure_rollout import LOAD_TOOL_START_S, Samples, record_calls, spread


@dataclass(frozen=True)
class Application:
    """How epochs came to the routers after their commits."""

    took_ms: list[float]  # of each epoch, from its commit until the last router had it
    old_calls: int  # first sent out under an older epoch between the two


def measure_fleet(seconds: float, changes: int, samples: Samples) -> None:
    """Measure one fleet, and add to the samples."""
    test = unittest.TestCase()
    try:
        fleet = PolicyFleet(test)
        fleet.wait_until_ready()
        fleet.wait_for_epoch(0, 0)
        record_calls(samples, "no change", Calls(fleet, seconds).result())
        measure_changes(fleet, seconds, changes, samples)
        measure_changes_with_loss(fleet, seconds, changes, samples)
    finally:
        test.doCleanups()


def measure_changes(fleet: PolicyFleet, seconds: float, changes: int, samples: Samples) -> None:
    """Propose changes under load."""
    calls = Calls(fleet, seconds)
    time.sleep(LOAD_TOOL_START_S)
    epochs = propose_changes(fleet, changes, "", samples)
    record_calls(samples, "changes", calls.result())
    application = time_to_apply(fleet, epochs)
    percentiles = quantiles(application.took_ms, n=100, method="inclusive")
    for percent in (50, 99):
        name = f"commit to last applied ms, p{percent}"
        samples.setdefault(name, []).append(percentiles[percent - 1])
    old_calls = application.old_calls / len(epochs)
    samples.setdefault("calls under the old epoch after a commit", []).append(old_calls)


def measure_changes_with_loss(fleet: PolicyFleet, seconds: float, changes: int, samples: Samples) -> None:
    """Propose changes under load with a fifth of all messages lost."""
    calls = Calls(fleet, seconds)
    fleet.relay.start_faults(net={"loss": 0.2})
    propose_changes(fleet, changes, ", 20% lost", samples)
    fleet.relay.heal()
    record_calls(samples, "changes, 20% lost", calls.result())


def propose_changes(fleet: PolicyFleet, changes: int, when: str, samples: Samples) -> list[int]:
    """The epochs committed of so many proposals; how long each took, and the share that came to nothing."""
    epochs = list[int]()
    took_s = list[float]()
    for number in range(changes):
        started_s = time.monotonic()
        epochs_before = fleet.epochs(0)
        attempts = 2 + number + len(epochs_before) * bool(when)  # another number than in any change before
        exit_code = fleet.propose(0, attempts=attempts)[0]
        if not exit_code:
            took_s.append(time.monotonic() - started_s)
            epoch = int(fleet.policy_status(0)["agreed"]["epochs"][-1]["number"])
            epochs.append(epoch)
            fleet.wait_for_epoch(0, epoch)
    samples.setdefault(f"abort rate{when}", []).append(1 - len(epochs) / changes)
    if took_s:
        median_s = sorted(took_s)[len(took_s) // 2]
        samples.setdefault(f"proposal to commit s, median{when}", []).append(median_s)
    return epochs


def time_to_apply(fleet: PolicyFleet, epochs: list[int]) -> Application:
    """How long each epoch took from its commit to the last router, from the routers' and agents' logs."""
    committed_us = {event["epoch"]: event["t_us"] for _, event in fleet.events_of("commit")}
    last_us = {
        epoch: max(event["t_us"] for _, event in fleet.events_of("applied") if event["epoch"] == epoch)
        for epoch in epochs
    }
    first_attempts = [event for _, event in fleet.events_of("attempt") if event["attempt"] == 0]
    old_calls = sum(
        event["epoch"] < epoch and committed_us[epoch] < event["t_us"] <= last_us[epoch]
        for event in first_attempts
        for epoch in epochs
    )
    return Application([(last_us[epoch] - committed_us[epoch]) / 1000 for epoch in epochs], old_calls)


def main() -> None:
    """Run the rounds, and print the summary."""
    parser = argparse.ArgumentParser(description="changes of policy on sockets")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--changes", type=int, default=10)
    arguments = parser.parse_args()
    samples: Samples = {}
    for _ in range(arguments.rounds):
        measure_fleet(arguments.seconds, arguments.changes, samples)
    print(json.dumps({name: spread(values) for name, values in samples.items()}, indent=2))


if __name__ == "__main__":
    main()
