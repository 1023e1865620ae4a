"""The policy leader: while this agent's voter leads, it commits or aborts the proposed change."""

import logging

from maplestile.agent.leader import Leader, logged_fields
from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.agent.tasks import is_idle
from maplestile.control.commands import AbortPolicy, CommitPolicy, encode, name_of
from maplestile.control.errors import LogError
from maplestile.control.policy.planner import PolicyPlanner

log = logging.getLogger("maplestile.policy")
LOGGED_KEYS = ("absent", "reason")


class PolicyLeader(Leader[PolicyPlanner, CommitPolicy | AbortPolicy]):
    """Commits or aborts the change of policy that is being checked, while this agent's voter leads."""

    def __init__(self, agent: str, replicated_log: ReplicatedLog) -> None:
        super().__init__(agent, replicated_log, "policy")

    def _is_idle(self) -> bool:
        return is_idle(self.submission)

    def _create_planner(self, now_us: int) -> PolicyPlanner:  # noqa: ARG002 - used by the rollout leader
        return PolicyPlanner()

    def _observe(self, planner: PolicyPlanner, now_us: int) -> None:
        """Do nothing: this planner decides by the replicated state alone."""

    def _next_command(self, planner: PolicyPlanner, now_us: int) -> CommitPolicy | AbortPolicy | None:
        state = self.replicated_log.state
        return planner.next_command(state.policy, state.instances, now_us)

    async def _submit(self, command: CommitPolicy | AbortPolicy) -> None:
        name = name_of(command)
        try:
            reply = await self.replicated_log.submit(command)
        except LogError as error:
            log.warning("policy: the replicated log has not confirmed the command '%s': %s", name, error)
            return
        if not reply["ok"]:
            log.info("policy: the replicated log rejected the command '%s': %s", name, reply["reason"])
            return
        logged = logged_fields(encode(command), LOGGED_KEYS)
        content = {key: value for key, value in reply.items() if key != "ok"}
        self.events.info(name.removeprefix("policy "), term=self.term, **logged, **content)
