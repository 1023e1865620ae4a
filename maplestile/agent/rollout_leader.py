"""The rollout leader: while this agent's voter leads, it plans the steps of all agents."""

from collections.abc import Callable

from maplestile.agent.leader import Leader, logged_fields
from maplestile.agent.replicated_log import LogClient
from maplestile.control.commands import GrantLease, HaltRollout, encode
from maplestile.control.rollout_planner import RolloutPlanner
from maplestile.control.settings import ControlSettings

LOGGED_KEYS = ("instance", "down", "reason")


class RolloutLeader(Leader[RolloutPlanner, GrantLease | HaltRollout]):
    """Grants the steps of a rollout, or halts the rollout, while this agent's voter leads."""

    def __init__(
        self, settings: ControlSettings, log_client: LogClient, lost_members: Callable[[], frozenset[str]]
    ) -> None:
        """Create the leader; `lost_members` returns the instances and runners that membership found lost."""
        super().__init__(settings.name, log_client.replicated_log, "control")
        self.rules = settings.rules
        self.log_client = log_client
        self.lost_members = lost_members
        # By agent: the number of the last heartbeat that is not to be passed to the planner any more.
        self.last_heartbeats: dict[str, int] = {}

    def _create_planner(self, now_us: int) -> RolloutPlanner:
        heartbeats = self.replicated_log.heartbeats
        # Heartbeats that came before this voter led may be old, so the planner never gets them.
        self.last_heartbeats = {agent: heartbeat.number for agent, heartbeat in heartbeats.items()}
        self.events.info("became leader", term=self.term, voter=self.agent)
        return RolloutPlanner(self.rules, now_us)

    def _observe(self, planner: RolloutPlanner, now_us: int) -> None:
        """Pass new heartbeats to the planner."""
        for agent, heartbeat in self.replicated_log.heartbeats.items():
            if heartbeat.number != self.last_heartbeats.get(agent):
                self.last_heartbeats[agent] = heartbeat.number
                planner.record_reports(heartbeat.reports, now_us)

    def _next_command(self, planner: RolloutPlanner, now_us: int) -> GrantLease | HaltRollout | None:
        return planner.next_command(self.replicated_log.state, self.lost_members(), self.term, now_us)

    async def _submit(self, command: GrantLease | HaltRollout) -> None:
        reply = await self.log_client.submit(command)
        if reply is None:
            return
        encoded = encode(command)
        self.events.info(encoded["do"], term=self.term, **logged_fields(encoded, LOGGED_KEYS), **reply)
