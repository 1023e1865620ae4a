"""The leader's part in a rollout: where this agent's voter leads, it plans the steps of all agents."""

import asyncio
import time
from dataclasses import replace

from maplestile.agent.replicated_log import LogClient
from maplestile.common import logs
from maplestile.control.commands import GrantLease, HaltRollout, encode
from maplestile.control.rollout_planner import RolloutPlanner
from maplestile.control.settings import ControlSettings

# Fields of an encoded command that go into its log line, where it has them.
LOGGED_KEYS = ("instance", "down", "reason")


class RolloutLeader:
    """Runs a planner for each term in which this agent's voter leads."""

    def __init__(self, settings: ControlSettings, log_client: LogClient) -> None:
        self.settings = settings
        self.log_client = log_client
        self.events = logs.events("control")
        self.planner: RolloutPlanner | None = None  # while this voter leads
        self.term = -1
        # By agent, the number of the last heartbeat that is not to be passed to the planner again.
        self.last_heartbeats: dict[str, int] = {}
        self.deciding: asyncio.Task[None] | None = None

    def look(self, lost_members: frozenset[str]) -> None:
        """Pass new heartbeats to the planner, and submit its next command, one at a time."""
        replicated_log = self.log_client.replicated_log
        status = replicated_log.status()
        if not status.leading:
            self.planner = None
            return
        now_us = time.monotonic_ns() // 1000
        if self.planner is None or status.term != self.term:
            self.planner = self._take_lead(status.term, now_us)
        self._pass_heartbeats(self.planner, now_us)
        if self.deciding is not None and not self.deciding.done():
            return
        command = self.planner.next_command(replicated_log.control, lost_members, self.term, now_us)
        if command is not None:
            decision = self._submit(replace(command, agent=self.settings.name))
            self.deciding = asyncio.get_running_loop().create_task(decision)

    def cancel(self) -> None:
        """Give up the command that is being submitted."""
        if self.deciding is not None:
            self.deciding.cancel()

    def _take_lead(self, term: int, now_us: int) -> RolloutPlanner:
        self.term = term
        heartbeats = self.log_client.replicated_log.heartbeats
        # Those that came before this voter led are old, and are never passed.
        self.last_heartbeats = {agent: heartbeat.number for agent, heartbeat in heartbeats.items()}
        self.events.info("leads", term=term, voter=self.settings.name)
        return RolloutPlanner(self.settings.rules, now_us)

    def _pass_heartbeats(self, planner: RolloutPlanner, now_us: int) -> None:
        for agent, heartbeat in self.log_client.replicated_log.heartbeats.items():
            if heartbeat.number != self.last_heartbeats.get(agent):
                self.last_heartbeats[agent] = heartbeat.number
                planner.record_reports(heartbeat.reports, now_us)

    async def _submit(self, command: GrantLease | HaltRollout) -> None:
        reply = await self.log_client.submit(command)
        if reply is None:
            return
        encoded = encode(command)
        logged = {key: encoded[key] for key in LOGGED_KEYS if key in encoded}
        self.events.info(encoded["do"], term=self.term, **logged, **reply)
