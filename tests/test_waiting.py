"""Tests that a cancelled task ends, even if its event is set in the same event loop iteration."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from maplestile.common.waiting import wait_until_set
from maplestile.membership.settings import membership_settings_from
from maplestile.net.gossip import GossipDriver

LONG_S = 30.0  # a timeout that no wait of these tests reaches
ITERATIONS = 5  # event loop iterations after which a task has reached its wait
END_TIMEOUT_S = 2.0  # for a cancelled task to end


def new_member() -> GossipDriver:
    """Create a member of a gossip group that knows no other member."""
    settings = membership_settings_from({"listen": "127.0.0.1:0"})
    return GossipDriver("r0", settings, 1, Counter(), lambda runner: None)


async def let_tasks_reach_their_waits() -> None:
    """Let the event loop run the other tasks for some iterations."""
    for _ in range(ITERATIONS):
        await asyncio.sleep(0)


async def ends_when_set_and_cancelled(event: asyncio.Event, task: asyncio.Task[Any]) -> bool:
    """Set the event and cancel the task that waits for it, without letting it run in between.

    Returns whether the task ends as cancelled.
    """
    event.set()
    task.cancel()
    done, _ = await asyncio.wait((task,), timeout=END_TIMEOUT_S)
    task.cancel()  # ends a task that went on, so that the event loop can close
    await asyncio.wait((task,))
    return bool(done) and task.cancelled()


def test_wait_raises_cancellation_although_event_is_set() -> None:
    async def scenario() -> None:
        event = asyncio.Event()
        task = asyncio.create_task(wait_until_set(event, LONG_S))
        await let_tasks_reach_their_waits()
        assert await ends_when_set_and_cancelled(event, task)

    asyncio.run(scenario())


def test_wait_returns_whether_event_was_set_in_time() -> None:
    async def scenario() -> list[bool]:
        event = asyncio.Event()
        asyncio.get_running_loop().call_later(0.01, event.set)
        waits: tuple[Coroutine[Any, Any, bool], ...] = (
            wait_until_set(asyncio.Event(), 0.01),
            wait_until_set(event, LONG_S),
        )
        return [await wait for wait in waits] + [await wait_until_set(event, LONG_S)]

    assert asyncio.run(scenario()) == [False, True, True]


def test_member_ends_when_cancelled_although_datagram_wakes_it() -> None:
    async def scenario() -> None:
        member = new_member()
        task = asyncio.create_task(member.run())
        async with asyncio.timeout(LONG_S):
            while member.transport is None:
                await asyncio.sleep(0)
        await let_tasks_reach_their_waits()
        assert await ends_when_set_and_cancelled(member.wake, task)

    asyncio.run(scenario())
