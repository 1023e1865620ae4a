"""Collects health reports from an agent's routers and sends them to the leader in heartbeats."""

import asyncio
import contextlib
import time
from collections.abc import Collection, Mapping, Sequence

from maplestile.agent.instance import RouterHandle
from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.control.commands import Heartbeat
from maplestile.control.errors import LogError

VIEW_MAX_AGE_S = 10.0  # a router's view of lost members counts for this long if the router stops answering


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
        self._views: dict[str, tuple[float, set[str]]] = {}  # by router: when it told which members are lost
        self.listed_runners: dict[str, bool] = {}  # by runner id: whether this agent manages its process

    async def send_heartbeat(self) -> None:
        """Query all routers concurrently, and submit a heartbeat with their health reports."""
        clients = [router.client for router in self.routers.values()]
        reports, lost, listed = await asyncio.gather(
            asyncio.gather(*(client.fetch_health_report() for client in clients)),
            asyncio.gather(*(client.fetch_lost_members() for client in clients)),
            asyncio.gather(*(client.fetch_runners() for client in clients)),
        )
        self.update_lost_members(lost, time.monotonic())
        runners = {runner for runner_list in listed if runner_list is not None for runner in runner_list}
        if runners:  # if no router answers, the previous list is kept
            self.listed_runners = {runner: runner in self.managed_processes for runner in sorted(runners)}
        heartbeat = Heartbeat(agent=self.agent, reports=dict(zip(self.routers, reports, strict=True)))
        with contextlib.suppress(LogError):  # the log counts its errors, and the next heartbeat follows soon
            await self.replicated_log.submit(heartbeat)

    def update_lost_members(self, answers: Sequence[set[str] | None], now_s: float) -> None:
        """Update the lost members from the routers' answers, in their order; None if one did not answer.

        A router that does not answer says nothing: its last view still counts, for `VIEW_MAX_AGE_S`. Counting
        its silence as "none is lost" would let a rollout take more out of service than its budget.
        """
        for router, lost in zip(self.routers, answers, strict=True):
            if lost is not None:
                self._views[router] = (now_s, lost)
        recent = [lost for told_s, lost in self._views.values() if now_s - told_s <= VIEW_MAX_AGE_S]
        self.lost_members = frozenset().union(*recent)
