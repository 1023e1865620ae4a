"""Membership of five real routers measured on loopback, beside the model of the same five.

    python -m tools.measure_membership [--rounds N]

Each round starts five routers with the relay between them, counts their messages for a while, kills one, and
reads from the others' logs when they declared it dead. The model runs the same kill under as many seeds.
Prints one JSON object; times in protocol periods.
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
from maplestile.tools.model.experiment import parse
from maplestile.tools.model.report import Metrics
from maplestile.tools.model.run import metrics
from tests.fleet import PERIOD_S, Routers
from tests.standins import eventually

ROUTERS = 5
COUNTED_S = 4.0  # in which messages are counted
MODEL_DURATION_S = 15
MODEL_KILL_S = 5
MODEL_KILL_STEP_S = 0.013  # from round to round, so that kills are at other times within a period
MODEL_VICTIM = 2


@dataclass(frozen=True)
class Round:
    """The result of one kill on sockets."""

    detection_periods: list[float]  # until each remaining router declared the victim dead
    messages: float  # of a member in a period, before the kill


def spread(values: Sequence[float]) -> dict[str, float]:
    """The median, 99th percentile and least, and how many values there are."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    summary = {"median": statistics.median(ordered), "p99": p99, "least": ordered[0], "count": len(ordered)}
    return {name: round(value, 2) for name, value in summary.items()}


def on_sockets(seed: int) -> Round:
    """Run five routers, and kill one that the seed chooses."""
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
        eventually(lambda: routers.all_see(others, f"r{victim}", "dead"), "its death")
        confirmed_us = [at_us for number in others for at_us in _confirmed_us(routers, number)]
        return Round([(at_us - killed_us) / 1e6 / PERIOD_S for at_us in confirmed_us], messages)
    finally:
        test.doCleanups()


def _confirmed_us(routers: Routers, number: int) -> list[int]:
    """When a router declared others dead, from its log."""
    events = [json.loads(line) for line in routers.programs[number].log if line.startswith("{")]
    return [event["t_us"] for event in events if event.get("event") == "confirm"]


def on_model(seed: int) -> Metrics:
    """Run the model of the same kill."""
    kill = {"at_s": MODEL_KILL_S + MODEL_KILL_STEP_S * seed, "member": MODEL_VICTIM}
    tables = {
        "seed": seed,
        "members": ROUTERS,
        "duration_s": MODEL_DURATION_S,
        "period_ms": 1000 * PERIOD_S,
        "net": {"delay_ms": 0.05, "jitter_ms": 0.1},
        "kill": [kill],
    }
    return metrics(parse(tables))


def _spread_of(runs: Sequence[Metrics], name: str) -> dict[str, float]:
    """The spread of one metric. Raises ValueError where a run does not have it."""
    values = [value for run in runs if (value := run[name]) is not None]
    if len(values) < len(runs):
        raise ValueError(f"{name}: not in every run")
    return spread(values)


def summary(rounds: int) -> dict[str, Any]:
    """Run so many rounds on sockets and on the model."""
    measured = [on_sockets(seed) for seed in range(rounds)]
    modelled = [on_model(seed) for seed in range(rounds)]
    detection = [value for round_ in measured for value in round_.detection_periods]
    names = ("detection_median_periods", "detection_p99_periods", "messages_per_member_per_period")
    return {
        "sockets": {
            "detection_periods": spread(detection),
            "messages_per_member_per_period": spread([round_.messages for round_ in measured]),
        },
        "model": {name: _spread_of(modelled, name) for name in names},
    }


def main() -> None:
    """Run the rounds, and print the summary."""
    parser = argparse.ArgumentParser(description="membership on sockets beside the model")
    parser.add_argument("--rounds", type=int, default=10)
    print(json.dumps(summary(parser.parse_args().rounds), indent=2))


if __name__ == "__main__":
    main()
