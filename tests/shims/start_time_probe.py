"""Prints how long ago a runner of the first list started, by the estimate of a router process.

python stepped_clock.py CLOCK_FILE tests.shims.start_time_probe BOOT_MS
"""

import sys

from maplestile.requests.endpoint_list import EndpointList
from maplestile.router.clock import clock
from tests.standins import target

US_PER_S = 1_000_000


def main() -> None:
    """Take the first list as a router does, and print the age of its runner in seconds."""
    listed = target("s-0", 80) | {"boot_ms": int(sys.argv[1])}
    endpoints = EndpointList()
    endpoints.apply_updates({"index": 1, "updates": [{"index": 1, "endpoints": {"targets": [listed]}}]})
    now_us = clock()
    endpoints.start_times.update(endpoints.entries, now_us)
    (entry,) = endpoints.event().entries
    print((now_us - entry.started_us) / US_PER_S)


if __name__ == "__main__":
    main()
