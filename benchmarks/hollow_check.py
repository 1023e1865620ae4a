"""Hollow routers beside real ones: the same membership, at the same period, of 5 and of 20.

    python -m benchmarks.hollow_check

Real ones are processes of the program with the relay between them; both count the messages that they send. It
fails where the two differ by more than `MAX_DIFFERENCE`.
"""

import asyncio
import sys
import time
import unittest

from benchmarks.hollow import HollowFleet, messages_sent
from tests.fleet import PERIOD_S, Routers

SIZES = (5, 20)
SETTLE_S = 2.0
SECONDS = 5.0
MAX_DIFFERENCE = 0.15  # as a share


def measure_real(members: int) -> float:
    """Messages a member and second of real routers."""
    test = unittest.TestCase()
    try:
        routers = Routers(test, members)
        routers.wait_until_converged()
        time.sleep(SETTLE_S)
        sent_before = total_sent(routers)
        started_s = time.monotonic()
        time.sleep(SECONDS)
        return (total_sent(routers) - sent_before) / (time.monotonic() - started_s) / members
    finally:
        test.doCleanups()


def total_sent(routers: Routers) -> int:
    """The membership messages that all routers have sent so far."""
    return sum(messages_sent(program.counters()) for program in routers.programs)


async def measure_hollow(members: int) -> float:
    """Messages a member and second of hollow routers."""
    fleet = HollowFleet(members, int(PERIOD_S * 1e6))
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        return (await fleet.measure(SECONDS)).messages
    finally:
        await fleet.stop()


def main() -> int:
    """Compare both at each size; 1 where they differ by too much at any, else 0."""
    is_too_far = False
    for members in SIZES:
        real = measure_real(members)
        hollow = asyncio.run(measure_hollow(members))
        difference = abs(hollow / real - 1)
        is_too_far = is_too_far or difference > MAX_DIFFERENCE
        print(
            f"{members} routers: real {real:.2f}, hollow {hollow:.2f} messages a second, "
            f"{difference:.1%} apart"
        )
    return int(is_too_far)


if __name__ == "__main__":
    sys.exit(main())
