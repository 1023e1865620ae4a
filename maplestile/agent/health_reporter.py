"""Collects the health of an agent's routers, and sends it to the leader as a heartbeat."""

import asyncio
import contextlib
from collections.abc import Collection, Mapping

from maplestile.agent.instance import RouterHandle
from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.control.commands import Heartbeat
from maplestile.control.errors import LogError


class HealthReporter:
    """What the routers of one agent report of themselves, of other members, and of the runners they list."""

    def __init__(
        self,
        agent: str,
        replicated_log: ReplicatedLog,
        routers: Mapping[str, RouterHandle],
        managed: Collection[str],
    ) -> None:
        self.agent = agent
        self.replicated_log = replicated_log
        self.routers = routers
        self.managed = managed  # names of the processes here that are no routers
        self.lost_members: frozenset[str] = frozenset()
        self.listed_runners: dict[str, bool] = {}  # and whether the runner's process is managed here

    async def report(self) -> None:
        """Query all routers concurrently, and submit a heartbeat."""
        clients = [router.client for router in self.routers.values()]
        reports, lost, listed = await asyncio.gather(
            asyncio.gather(*(client.health_report() for client in clients)),
            asyncio.gather(*(client.lost_members() for client in clients)),
            asyncio.gather(*(client.runners() for client in clients)),
        )
        self.lost_members = frozenset(name for members in lost for name in members)
        runners = {runner for of_router in listed if of_router is not None for runner in of_router}
        if runners:  # where no router answers, the last list is kept
            self.listed_runners = {runner: runner in self.managed for runner in sorted(runners)}
        heartbeat = Heartbeat(agent=self.agent, reports=dict(zip(self.routers, reports, strict=True)))
        with contextlib.suppress(LogError):  # counted there; the next one follows soon
            await self.replicated_log.submit(heartbeat)
