"""Tests of which name servers are polled across reloads that replace and remove them."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import cast

from maplestile.common.address import Address
from maplestile.requests.endpoint_list import EndpointList
from maplestile.router.components import Components
from maplestile.router.discovery import Discovery
from maplestile.router.supervisor import TaskSupervisor
from maplestile.wire.limits import Limits

FIRST: Address = ("127.0.0.1", 9)  # nobody answers there
SECOND: Address = ("127.0.0.2", 9)


async def running_polls(servers: list[Address | None]) -> int:
    """Poll these name servers one after the other, and return how many are still polled."""
    components = SimpleNamespace(
        endpoints=EndpointList(),
        limits=Limits(),
        counters=Counter[str](),
        publish_endpoints=lambda: None,
        free_descriptor=lambda: None,
        confirm_endpoints=lambda: None,
    )
    supervisor = TaskSupervisor(components.counters)
    discovery = Discovery(cast(Components, components), supervisor)
    for server in servers:
        discovery.poll(server)
        await asyncio.sleep(0)
    for _ in range(5):  # for cancelled tasks to end
        await asyncio.sleep(0)
    running = len(supervisor.tasks)
    supervisor.cancel_all()
    await asyncio.gather(*supervisor.tasks, return_exceptions=True)
    return running


def test_old_server_is_polled_until_the_new_one_has_answered() -> None:
    assert asyncio.run(running_polls([FIRST, SECOND])) == 2


def test_removed_server_is_not_polled() -> None:
    assert asyncio.run(running_polls([FIRST, None])) == 0


def test_no_server_is_polled_once_one_that_had_not_answered_is_removed() -> None:
    """Guards against the server before it being polled for good, as no new one ever cancels it."""
    assert asyncio.run(running_polls([FIRST, SECOND, None])) == 0
