"""A cancelled task ends, also if its wait would have ended by itself in the same turn of the event loop."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from maplestile.common.waiting import wait_until_set
from maplestile.membership.settings import membership_settings_from
from maplestile.net.gossip import GossipDriver

LONG_S = 30.0
TURNS = 5  # of the event loop, after which a task has reached its wait
END_S = 2.0  # for a cancelled task to end


def new_member() -> GossipDriver:
    """A member of the gossip group that knows nobody."""
    settings = membership_settings_from({"listen": "127.0.0.1:0"})
    return GossipDriver("r0", settings, 1, Counter(), lambda runner: None)


async def let_tasks_reach_their_waits() -> None:
    """Give the other tasks some turns of the event loop."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def ends_when_set_and_cancelled(event: asyncio.Event, task: asyncio.Task[Any]) -> bool:
    """Set the event and cancel the task that waits for it in one turn; whether that ends the task."""
    event.set()
    task.cancel()
    done, _ = await asyncio.wait((task,), timeout=END_S)
    task.cancel()  # one that went on is ended here, for the loop to close
    await asyncio.wait((task,))
    return bool(done) and task.cancelled()


def test_wait_ends_by_a_cancellation_in_the_turn_in_which_its_event_is_set() -> None:
    async def scenario() -> None:
        event = asyncio.Event()
        task = asyncio.create_task(wait_until_set(event, LONG_S))
        await let_tasks_reach_their_waits()
        assert await ends_when_set_and_cancelled(event, task)

    asyncio.run(scenario())


def test_wait_reports_whether_its_event_was_set_in_time() -> None:
    async def scenario() -> list[bool]:
        event = asyncio.Event()
        asyncio.get_running_loop().call_later(0.01, event.set)
        waits: tuple[Coroutine[Any, Any, bool], ...] = (
            wait_until_set(asyncio.Event(), 0.01),
            wait_until_set(event, LONG_S),
        )
        return [await wait for wait in waits] + [await wait_until_set(event, LONG_S)]

    assert asyncio.run(scenario()) == [False, True, True]


def test_member_ends_by_a_cancellation_in_the_turn_in_which_a_datagram_wakes_it() -> None:
    async def scenario() -> None:
        peers = new_member()
        task = asyncio.create_task(peers.run())
        async with asyncio.timeout(LONG_S):
            while peers.transport is None:
                await asyncio.sleep(0)
        await let_tasks_reach_their_waits()
        assert await ends_when_set_and_cancelled(peers.wake, task)

    asyncio.run(scenario())
