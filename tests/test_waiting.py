"""A cancellation ends what it is sent to, also in the turn in which the wait would have ended by itself."""

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from maplestile.common.waiting import wait_until_set
from maplestile.membership.settings import membership_settings_from
from maplestile.net.gossip import GossipDriver

LONG_S = 30.0
TURNS = 5  # of the event loop: enough for a task to be at its wait
END_S = 2.0  # for a cancelled task to end


def member() -> GossipDriver:
    plan = membership_settings_from({"listen": "127.0.0.1:0"})
    return GossipDriver("r0", plan, 1, Counter(), lambda runner: None)


async def turns() -> None:
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def cancelled_as_it_is_set(event: asyncio.Event, task: asyncio.Task[Any]) -> bool:
    """Set the event and cancel the task that waits for it in one turn; whether the task ends by that."""
    event.set()
    task.cancel()
    done, _ = await asyncio.wait((task,), timeout=END_S)
    task.cancel()  # one that went on is ended here, for the loop to close
    await asyncio.wait((task,))
    return bool(done) and task.cancelled()


def test_wait_ends_by_a_cancellation_in_the_turn_in_which_its_event_is_set() -> None:
    async def play() -> None:
        event = asyncio.Event()
        task = asyncio.create_task(wait_until_set(event, LONG_S))
        await turns()
        assert await cancelled_as_it_is_set(event, task)

    asyncio.run(play())


def test_wait_tells_whether_its_event_was_set_in_time() -> None:
    async def play() -> list[bool]:
        event = asyncio.Event()
        asyncio.get_running_loop().call_later(0.01, event.set)
        waits: tuple[Coroutine[Any, Any, bool], ...] = (
            wait_until_set(asyncio.Event(), 0.01),
            wait_until_set(event, LONG_S),
        )
        return [await wait for wait in waits] + [await wait_until_set(event, LONG_S)]

    assert asyncio.run(play()) == [False, True, True]


def test_member_ends_by_a_cancellation_in_the_turn_in_which_a_datagram_wakes_it() -> None:
    async def play() -> None:
        peers = member()
        task = asyncio.create_task(peers.run())
        async with asyncio.timeout(LONG_S):
            while peers.transport is None:
                await asyncio.sleep(0)
        await turns()
        assert await cancelled_as_it_is_set(peers.wake, task)

    asyncio.run(play())
