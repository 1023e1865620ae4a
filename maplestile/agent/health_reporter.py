"""Collects health reports from an agent's routers and sends them to the leader in heartbeats."""

import asyncio
import contextlib
from collections.abc import Collection, Mapping

from maplestile.agent.instance import RouterHandle
from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.control.commands import Heartbeat
from maplestile.control.errors import LogError


class HealthReporter:
    """Collects what one agent's routers report about themselves, about other members, and about runners."""

    def __init__(
        self,
        agent: str,
        replicated_log: ReplicatedLog,
        routers: Mapping[str, RouterHandle],
        managed_processes: Collection[str],
    ) -> None:
        self.agent = agent
        self.replicated_log = replicated_log
        self.routers = routers
        self.managed_processes = managed_processes  # names of this agent's processes that are not routers
        self.lost_members: frozenset[str] = frozenset()  # names of lost members and silent runners
        self.listed_runners: dict[str, bool] = {}  # by runner id: whether this agent manages its process

    async def send_heartbeat(self) -> None:
        """Query all routers concurrently, and submit a heartbeat with their health reports."""
        clients = [router.client for router in self.routers.values()]
        reports, lost, listed = await asyncio.gather(
            asyncio.gather(*(client.fetch_health_report() for client in clients)),
            asyncio.gather(*(client.fetch_lost_members() for client in clients)),
            asyncio.gather(*(client.fetch_runners() for client in clients)),
        )
        self.lost_members = frozenset(name for members in lost for name in members)
        runners = {runner for runner_list in listed if runner_list is not None for runner in runner_list}
        if runners:  # if no router answers, the previous list is kept
            self.listed_runners = {runner: runner in self.managed_processes for runner in sorted(runners)}
        heartbeat = Heartbeat(agent=self.agent, reports=dict(zip(self.routers, reports, strict=True)))
        with contextlib.suppress(LogError):  # the log counts its errors, and the next heartbeat follows soon
            await self.replicated_log.submit(heartbeat)
