"""Measure policy changes on five real routers under three voters on loopback.

    python -m tools.measure_policy [--rounds N] [--seconds S] [--changes N]

Each round starts a fleet and calls it with the load generator, always with the same load and seed: first
without changes, then with one change after the other, and then with changes while a fifth of all messages
between processes is lost. The result is one JSON object with the minimum, median and maximum over the rounds.
"""

import argparse
import json
import time
import unittest
from dataclasses import dataclass
from statistics import quantiles

from tests.policy_fleet import PolicyFleet
from tests.rollout_fleet import Calls
from tools.samples import LOAD_GENERATOR_START_S, Samples


@dataclass(frozen=True)
class Application:
    """How the routers applied committed epochs."""

    took_ms: list[float]  # for each epoch, from its commit until the last router had applied it
    old_calls: int  # calls whose first attempt was sent under an older epoch in that time


def measure_fleet(seconds: float, changes: int, samples: Samples) -> None:
    """Measure one fleet and add the results to the samples."""
    test = unittest.TestCase()
    try:
        fleet = PolicyFleet(test)
        fleet.wait_until_ready()
        fleet.wait_for_epoch(0, 0)
        samples.add_calls("no change", Calls(fleet, seconds))
        measure_changes(fleet, seconds, changes, samples)
        measure_changes_with_loss(fleet, seconds, changes, samples)
    finally:
        test.doCleanups()


def measure_changes(fleet: PolicyFleet, seconds: float, changes: int, samples: Samples) -> None:
    """Measure policy changes under load."""
    calls = Calls(fleet, seconds)
    time.sleep(LOAD_GENERATOR_START_S)
    epochs = propose_changes(fleet, changes, "", samples)
    samples.add_calls("changes", calls)
    application = time_to_apply(fleet, epochs)
    percentiles = quantiles(application.took_ms, n=100, method="inclusive")
    for percent in (50, 99):
        samples.add(f"commit to last applied ms, p{percent}", percentiles[percent - 1])
    samples.add("calls under the old epoch after a commit", application.old_calls / len(epochs))


def measure_changes_with_loss(fleet: PolicyFleet, seconds: float, changes: int, samples: Samples) -> None:
    """Measure policy changes under load while a fifth of all messages is lost."""
    calls = Calls(fleet, seconds)
    fleet.relay.start_faults(net={"loss": 0.2})
    propose_changes(fleet, changes, ", 20% lost", samples)
    fleet.relay.heal()
    samples.add_calls("changes, 20% lost", calls)


def propose_changes(fleet: PolicyFleet, changes: int, name_suffix: str, samples: Samples) -> list[int]:
    """Propose changes one after the other, measure them, and return the committed epochs.

    `name_suffix` is appended to the names of the samples; it is empty if no messages are lost.
    """
    epochs = list[int]()
    took_s = list[float]()
    for number in range(changes):
        started_s = time.monotonic()
        epochs_before = fleet.epochs(0)
        attempts = 2 + number + len(epochs_before) * bool(name_suffix)  # differs in each change
        exit_code = fleet.propose(0, attempts=attempts)[0]
        if not exit_code:
            took_s.append(time.monotonic() - started_s)
            epoch = int(fleet.policy_status(0)["agreed"]["epochs"][-1]["number"])
            epochs.append(epoch)
            fleet.wait_for_epoch(0, epoch)
    samples.add(f"abort rate{name_suffix}", 1 - len(epochs) / changes)
    if took_s:
        median_s = sorted(took_s)[len(took_s) // 2]
        samples.add(f"proposal to commit s, median{name_suffix}", median_s)
    return epochs


def time_to_apply(fleet: PolicyFleet, epochs: list[int]) -> Application:
    """Return how long the routers took to apply each epoch, from the logs of the routers and agents."""
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
    """Run the rounds and print the summary."""
    parser = argparse.ArgumentParser(description="Measure policy changes on real routers.")
    parser.add_argument("--rounds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--changes", type=int, default=10)
    arguments = parser.parse_args()
    samples = Samples()
    for _ in range(arguments.rounds):
        measure_fleet(arguments.seconds, arguments.changes, samples)
    print(json.dumps(samples.summary(), indent=2))


if __name__ == "__main__":
    main()
