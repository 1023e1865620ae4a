"""The control plane of one agent: the replicated log, the rollout controller and the policy controller."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Any

from maplestile.agent.command_client import send_command
from maplestile.agent.command_results import CommandResult
from maplestile.agent.instance import Instance
from maplestile.agent.policy_controller import PolicyController
from maplestile.agent.replicated_log import ReplicatedLog
from maplestile.agent.rollout_controller import RolloutController
from maplestile.agent.supervised_process import SupervisedProcess
from maplestile.control.log_view import LogAnswer
from maplestile.control.raft_log import RaftLog
from maplestile.control.remote_log import RemoteLog
from maplestile.control.settings import ControlSettings


class ControlPlane:
    """The two controllers over one replicated log."""

    def __init__(self, rollouts: RolloutController, policies: PolicyController) -> None:
        self.rollouts = rollouts
        self.policies = policies

    @classmethod
    def open(
        cls, settings: ControlSettings, instances: Mapping[str, Instance], counters: Counter[str]
    ) -> "ControlPlane":
        """Open the log: the agent's own replica, or another agent's. Raises what its library raises."""
        replicated_log: ReplicatedLog
        if settings.listen:
            replicated_log = RaftLog(settings, counters)
        else:
            replicated_log = RemoteLog(settings, send_command, counters)
        routers: dict[str, Instance] = {}
        others: dict[str, SupervisedProcess] = {}
        for name, instance in instances.items():
            if instance.process.settings.has_operator_front:
                routers[name] = instance
            else:  # a runner's process, where a router lists a runner by that name
                others[name] = instance.process
        rollouts = RolloutController(settings, replicated_log, routers, others, counters)
        policies = PolicyController(settings, replicated_log, routers)
        return cls(rollouts, policies)

    async def run(self) -> None:
        """Run both controllers until cancelled. Raises what the rollout controller or the log raises."""
        policies = asyncio.get_running_loop().create_task(self.policies.run())
        try:
            await self.rollouts.run()
        finally:
            policies.cancel()

    async def rollout(self, operation: str, command: Any) -> CommandResult:
        """The result of an operator's command about rollouts. Raises CommandError."""
        return await self.rollouts.execute(operation, command)

    async def policy(self, operation: str, command: Any) -> CommandResult:
        """The result of an operator's command about the fleet's policy. Raises CommandError."""
        return await self.policies.execute(operation, command)

    async def replicated_log(self, command: object) -> LogAnswer:
        """The answer to an agent that is no voter: the agreed state, and the reply to its command, if any.

        Raises CommandError.
        """
        return await self.rollouts.serve_log(command)
