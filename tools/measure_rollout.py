"""Rollouts of six real routers under three voting agents, measured on loopback.

    python -m tools.measure_rollout [--rounds N] [--seconds S]

Each round starts a fleet, calls it with the load tool without a rollout, then restarts all its routers under
the same load and seed for each budget, halts one rollout, and kills the leader's machine. Prints one JSON
object with the least, median and greatest over the rounds.
"""

import argparse
import json
import os
import signal
import statistics
import time
import unittest
from typing import Any

from tests.fleet import AGENTS, Fleet, FleetOptions
from tests.rollout_fleet import Calls
from tests.standins import eventually

BUDGETS = (1, 2, 3)
STEP_S = 30.0
LOAD_TOOL_START_S = 0.7
AFTER_HALT_S = 2.5  # in which a step would begin, if the halt were not followed

Samples = dict[str, list[float]]  # by what is measured, a value for each round


def spread(values: list[float]) -> dict[str, float]:
    """The least, median and greatest."""
    ordered = sorted(values)
    summary = {"min": ordered[0], "median": statistics.median(ordered), "max": ordered[-1]}
    return {key: round(value, 4) for key, value in summary.items()} | {"runs": len(ordered)}


def measure_fleet(seconds: float, samples: Samples) -> None:
    """Measure one fleet, and add to the samples."""
    test = unittest.TestCase()
    try:
        fleet = Fleet(test, FleetOptions(step_s=STEP_S))
        fleet.wait_until_ready()
        record_calls(samples, "none", Calls(fleet, seconds).result())
        for budget in BUDGETS:
            calls = Calls(fleet, seconds)
            time.sleep(LOAD_TOOL_START_S)
            took_s = roll_out(fleet, budget)
            samples.setdefault(f"seconds, budget {budget}", []).append(took_s)
            record_calls(samples, f"budget {budget}", calls.result())
            samples.setdefault(f"most out, budget {budget}", []).append(fleet.max_instances_out())
            for agent in fleet.agents:
                agent.log.clear()
        samples.setdefault("last begin after halt ms", []).append(last_begin_after_halt_ms(fleet))
        samples.setdefault("failover s", []).append(failover_s(fleet))
    finally:
        test.doCleanups()


def record_calls(samples: Samples, name: str, result: dict[str, Any]) -> None:
    """Add the load tool's report to the samples."""
    samples.setdefault(f"served share, {name}", []).append(result["served_share"])
    samples.setdefault(f"p99 ms, {name}", []).append(result["latency_ms"]["p99"])
    lost = sum(count for end, count in result["ends"].items() if end not in ("served", "refused"))
    samples.setdefault(f"lost or failed calls, {name}", []).append(lost)


def roll_out(fleet: Fleet, budget: int) -> float:
    """Restart all routers; the seconds that it took."""
    number_before = (fleet.status(0)["rollout"] or {}).get("number")
    started_s = time.monotonic()
    assert fleet.run(0, "rollout", "start", "--budget", str(budget))[0] == 0

    def ended() -> bool:
        rollout = fleet.status(0)["rollout"] or {}
        return bool(rollout.get("number") != number_before and rollout.get("phase") == "done")

    eventually(ended, "the rollout")
    return time.monotonic() - started_s


def last_begin_after_halt_ms(fleet: Fleet) -> float:
    """Milliseconds from the operator's halt until the last step began; 0 if none did."""
    assert fleet.run(0, "rollout", "start", "--budget", "2")[0] == 0
    eventually(lambda: any(event["event"] == "back" for event in fleet.events()), "a step's end")
    halted_us = time.monotonic_ns() // 1000
    assert fleet.run(1, "rollout", "halt")[0] == 0
    time.sleep(AFTER_HALT_S)
    late_us = [event["t_us"] - halted_us for event in fleet.events() if event["event"] == "begin"]
    eventually(lambda: fleet.status(0)["leases"] == [], "what was under way")
    assert fleet.run(1, "rollout", "resume")[0] == 0
    fleet.wait_for_phase(0, "done")
    return float(max([0, *late_us])) / 1000


def failover_s(fleet: Fleet) -> float:
    """From the kill of the leader's machine until another voter leads and has had a command agreed on."""
    leader = eventually(lambda: [number for number in [fleet.leader()] if number is not None], "a leader")[0]
    lost = fleet.agents[leader]
    routers = fleet.live_router_pids(lost)
    started_s = time.monotonic()
    lost.process.kill()
    for pid in routers:
        os.kill(pid, signal.SIGKILL)
    others = [number for number in range(AGENTS) if number != leader]
    start = ("rollout", "start", "--budget", "3", f"r{others[0] * 2}")
    eventually(lambda: fleet.run(others[0], *start)[0] == 0, "a command agreed on")
    return time.monotonic() - started_s


def main() -> None:
    """Run the rounds, and print the summary."""
    parser = argparse.ArgumentParser(description="rollouts on sockets")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=14.0)
    arguments = parser.parse_args()
    samples: Samples = {}
    for _ in range(arguments.rounds):
        measure_fleet(arguments.seconds, samples)
    print(json.dumps({name: spread(values) for name, values in samples.items()}, indent=2))


if __name__ == "__main__":
    main()
