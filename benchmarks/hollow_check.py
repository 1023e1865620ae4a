"""Check that hollow routers send as many membership messages as real ones, with 5 and with 20 members.

    python -m benchmarks.hollow_check

The real routers are processes of the program with the relay between them. Both kinds run with the same
protocol period and count the messages that they send. The check fails if the counts differ by more than
`MAX_DIFFERENCE`.
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
MAX_DIFFERENCE = 0.15  # as a share of the messages of real routers


def measure_real(members: int) -> float:
    """Return the messages per member and second of real routers."""
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
    """Return the number of membership messages that all routers have sent so far."""
    return sum(messages_sent(program.counters()) for program in routers.programs)


async def measure_hollow(members: int) -> float:
    """Return the messages per member and second of hollow routers."""
    fleet = HollowFleet(members, int(PERIOD_S * 1e6))
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        return (await fleet.measure(SECONDS)).messages
    finally:
        await fleet.stop()


def main() -> int:
    """Compare both kinds at each size; return 1 if they differ too much at any size, and 0 otherwise."""
    has_failed = False
    for members in SIZES:
        real = measure_real(members)
        hollow = asyncio.run(measure_hollow(members))
        difference = abs(hollow / real - 1)
        has_failed = has_failed or difference > MAX_DIFFERENCE
        print(
            f"{members} routers: real {real:.2f}, hollow {hollow:.2f} messages a second, "
            f"{difference:.1%} apart"
        )
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
