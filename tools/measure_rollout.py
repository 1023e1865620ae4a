"""Measure rollouts of six real routers under three voters on loopback.

    python -m tools.measure_rollout [--rounds N] [--seconds S]

Each round starts a fleet and calls it with the load generator without a rollout. Then it restarts all routers
under the same load and seed with each budget, halts a rollout, and kills the leading agent and its routers.
The result is one JSON object with the minimum, median and maximum over the rounds.
"""

import argparse
import json
import os
import signal
import time
import unittest

from tests.fleet import AGENTS, Fleet, FleetOptions
from tests.rollout_fleet import Calls
from tests.standins import eventually
from tools.samples import LOAD_GENERATOR_START_S, Samples

BUDGETS = (1, 2, 3)
STEP_S = 30.0  # how long a step may take before the rollout halts
AFTER_HALT_S = 2.5  # long enough for a step to begin if the halt were ignored


def measure_fleet(seconds: float, samples: Samples) -> None:
    """Measure one fleet and add the results to the samples."""
    test = unittest.TestCase()
    try:
        fleet = Fleet(test, FleetOptions(step_s=STEP_S))
        fleet.wait_until_ready()
        samples.add_calls("none", Calls(fleet, seconds))
        for budget in BUDGETS:
            measure_rollout(fleet, budget, seconds, samples)
        samples.add("last begin after halt ms", last_begin_after_halt_ms(fleet))
        samples.add("failover s", failover_s(fleet))
    finally:
        test.doCleanups()


def measure_rollout(fleet: Fleet, budget: int, seconds: float, samples: Samples) -> None:
    """Restart all routers under load, with at most `budget` of them out at once."""
    calls = Calls(fleet, seconds)
    time.sleep(LOAD_GENERATOR_START_S)
    samples.add(f"seconds, budget {budget}", roll_out(fleet, budget))
    samples.add_calls(f"budget {budget}", calls)
    samples.add(f"most out, budget {budget}", fleet.max_instances_out())
    for agent in fleet.agents:
        agent.log.clear()


def roll_out(fleet: Fleet, budget: int) -> float:
    """Restart all routers and return how many seconds that took."""
    number_before = (fleet.status(0)["rollout"] or {}).get("number")
    started_s = time.monotonic()
    assert fleet.run(0, "rollout", "start", "--budget", str(budget))[0] == 0

    def has_ended() -> bool:
        rollout = fleet.status(0)["rollout"] or {}
        return bool(rollout.get("number") != number_before and rollout.get("phase") == "done")

    eventually(has_ended, "the end of the rollout")
    return time.monotonic() - started_s


def last_begin_after_halt_ms(fleet: Fleet) -> float:
    """Halt a rollout; return the milliseconds from the halt until the last step began, or 0 if none did."""
    assert fleet.run(0, "rollout", "start", "--budget", "2")[0] == 0
    eventually(
        lambda: any(event["event"] == "back in service" for event in fleet.events()), "the end of a step"
    )
    halted_us = time.monotonic_ns() // 1000
    assert fleet.run(1, "rollout", "halt")[0] == 0
    time.sleep(AFTER_HALT_S)
    late_us = [event["t_us"] - halted_us for event in fleet.events() if event["event"] == "step begun"]
    eventually(lambda: fleet.status(0)["leases"] == [], "the end of the steps in progress")
    assert fleet.run(1, "rollout", "resume")[0] == 0
    fleet.wait_for_phase(0, "done")
    return float(max([0, *late_us])) / 1000


def failover_s(fleet: Fleet) -> float:
    """Kill the leader and its routers; return the seconds until the other voters have committed a command."""
    leader = eventually(lambda: [number for number in [fleet.leader()] if number is not None], "a leader")[0]
    leading_agent = fleet.agents[leader]
    router_pids = fleet.live_router_pids(leading_agent)
    started_s = time.monotonic()
    leading_agent.process.kill()
    for pid in router_pids:
        os.kill(pid, signal.SIGKILL)
    others = [number for number in range(AGENTS) if number != leader]
    start = ("rollout", "start", "--budget", "3", f"r{others[0] * 2}")
    eventually(lambda: fleet.run(others[0], *start)[0] == 0, "a committed command")
    return time.monotonic() - started_s


def main() -> None:
    """Run the rounds and print the summary."""
    parser = argparse.ArgumentParser(description="Measure rollouts of real routers.")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=14.0)
    arguments = parser.parse_args()
    samples = Samples()
    for _ in range(arguments.rounds):
        measure_fleet(arguments.seconds, samples)
    print(json.dumps(samples.summary(), indent=2))


if __name__ == "__main__":
    main()
