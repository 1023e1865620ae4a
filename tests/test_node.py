"""Tests of the background tasks of a router process."""

import asyncio
from collections import Counter

from maplestile.router.supervisor import TaskSupervisor


def test_failed_task_is_restarted_and_counted() -> None:
    counters = Counter[str]()
    starts = list[int]()

    async def fail_twice() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise RuntimeError("simulated failure")

    async def run_until_it_returns() -> None:
        async with asyncio.timeout(30):
            await TaskSupervisor(counters).start(fail_twice)

    asyncio.run(run_until_it_returns())
    assert (len(starts), counters["parts.failed"]) == (3, 2)
