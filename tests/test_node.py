"""The background tasks of a router process."""

import asyncio
from collections import Counter

from maplestile.router.supervisor import TaskSupervisor


def test_task_that_fails_is_restarted_and_counted() -> None:
    counters = Counter[str]()
    starts = list[int]()

    async def fail_twice() -> None:
        starts.append(1)
        if len(starts) < 3:
            raise RuntimeError("a failure of the test")

    async def run_to_its_end() -> None:
        async with asyncio.timeout(30):
            await TaskSupervisor(counters).start(fail_twice)

    asyncio.run(run_to_its_end())
    assert (len(starts), counters["parts.failed"]) == (3, 2)
