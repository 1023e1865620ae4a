"""Measure the membership protocol among five real routers on loopback, and in the model for comparison.

    python -m tools.measure_membership [--rounds N]

Each round starts five routers with the relay between them, counts their messages for a while, kills one, and
reads from the logs of the others when they declared it dead. The model runs the same kill once per round,
each time with another seed. The result is printed as one JSON object; times are in protocol periods.
"""

import argparse
import json
import random
import statistics
import time
import unittest
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from benchmarks.hollow_check import total_sent
from maplestile.tools.model.experiment import parse_experiment
from maplestile.tools.model.report import Metrics
from maplestile.tools.model.run import measure as measure_model
from tests.fleet import PERIOD_S, Routers
from tests.standins import eventually

ROUTERS = 5
COUNTED_S = 4.0  # time for which messages are counted
MODEL_DURATION_S = 15
MODEL_KILL_S = 5
MODEL_KILL_STEP_S = 0.013  # added in each round, so that the kills fall at different times within a period
MODEL_VICTIM = 2


@dataclass(frozen=True)
class Round:
    """The result of one round with real routers."""

    detection_periods: list[float]  # from the kill until each remaining router declared the victim dead
    messages: float  # per member and period, before the kill


def spread(values: Sequence[float]) -> dict[str, float]:
    """Return the median, the 99th percentile, the minimum and the number of the values."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    summary = {"median": statistics.median(ordered), "p99": p99, "least": ordered[0], "count": len(ordered)}
    return {name: round(value, 2) for name, value in summary.items()}


def measure_routers(seed: int) -> Round:
    """Run five routers, and kill one that is chosen by the seed."""
    test = unittest.TestCase()
    try:
        routers = Routers(test, ROUTERS)
        routers.wait_until_converged()
        sent_before = total_sent(routers)
        time.sleep(COUNTED_S)
        messages = (total_sent(routers) - sent_before) / ROUTERS / (COUNTED_S / PERIOD_S)
        victim = random.Random(seed).randrange(ROUTERS)
        others = [number for number in range(ROUTERS) if number != victim]
        killed_us = time.monotonic_ns() // 1000
        routers.programs[victim].kill()
        eventually(
            lambda: routers.all_see(others, f"r{victim}", "dead"),
            "the others to declare the killed router dead",
        )
        confirmed_us = [at_us for number in others for at_us in _confirmed_us(routers, number)]
        return Round([(at_us - killed_us) / 1e6 / PERIOD_S for at_us in confirmed_us], messages)
    finally:
        test.doCleanups()


def _confirmed_us(routers: Routers, number: int) -> list[int]:
    """Return the times at which a router declared others dead, from its log."""
    events = [json.loads(line) for line in routers.programs[number].log if line.startswith("{")]
    return [event["t_us"] for event in events if event.get("event") == "confirm"]


def run_model(seed: int) -> Metrics:
    """Run the same kill in the model."""
    kill = {"at_s": MODEL_KILL_S + MODEL_KILL_STEP_S * seed, "member": MODEL_VICTIM}
    tables = {
        "seed": seed,
        "members": ROUTERS,
        "duration_s": MODEL_DURATION_S,
        "period_ms": 1000 * PERIOD_S,
        "net": {"delay_ms": 0.05, "jitter_ms": 0.1},
        "kill": [kill],
    }
    return measure_model(parse_experiment(tables))


def _spread_of(runs: Sequence[Metrics], name: str) -> dict[str, float]:
    """Return the spread of one metric. Raises ValueError if a run does not have it."""
    values = [value for run in runs if (value := run[name]) is not None]
    if len(values) < len(runs):
        raise ValueError(f"{name}: the metric is missing from a run of the model")
    return spread(values)


def measure(rounds: int) -> dict[str, Any]:
    """Run this many rounds with real routers and in the model, and return the spread of the metrics."""
    measured = [measure_routers(seed) for seed in range(rounds)]
    modeled = [run_model(seed) for seed in range(rounds)]
    detection = [value for round_ in measured for value in round_.detection_periods]
    names = ("detection_median_periods", "detection_p99_periods", "messages_per_member_per_period")
    return {
        "sockets": {
            "detection_periods": spread(detection),
            "messages_per_member_per_period": spread([round_.messages for round_ in measured]),
        },
        "model": {name: _spread_of(modeled, name) for name in names},
    }


def main() -> None:
    """Run the rounds and print the result."""
    parser = argparse.ArgumentParser(
        description="Measure the membership protocol among real routers and in the model."
    )
    parser.add_argument("--rounds", type=int, default=10)
    print(json.dumps(measure(parser.parse_args().rounds), indent=2))


if __name__ == "__main__":
    main()
