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
from maplestile.common.tasks import start_task
from maplestile.control.log_view import LogAnswer
from maplestile.control.raft_log import RaftLog
from maplestile.control.remote_log import RemoteLog
from maplestile.control.settings import ControlSettings


class ControlPlane:
    """Runs the rollout controller and the policy controller over one replicated log."""

    def __init__(self, rollouts: RolloutController, policies: PolicyController) -> None:
        self.rollouts = rollouts
        self.policies = policies

    @classmethod
    def open(
        cls, settings: ControlSettings, instances: Mapping[str, Instance], counters: Counter[str]
    ) -> "ControlPlane":
        """Open the replicated log and create its controllers. Raises what the Raft library raises.

        An agent that is a voter has its own replica; any other agent reaches the log through the voters.
        """
        replicated_log: ReplicatedLog
        if settings.listen:
            replicated_log = RaftLog(settings, counters)
        else:
            replicated_log = RemoteLog(settings, send_command, counters)
        routers: dict[str, Instance] = {}
        other_processes: dict[str, SupervisedProcess] = {}
        for name, instance in instances.items():
            if instance.process.settings.has_operator_front:
                routers[name] = instance
            else:  # the process of a runner, if a router lists a runner of that name
                other_processes[name] = instance.process
        rollouts = RolloutController(settings, replicated_log, routers, other_processes, counters)
        policies = PolicyController(settings, replicated_log, routers)
        return cls(rollouts, policies)

    async def run(self) -> None:
        """Run both controllers until cancelled. Raises what a controller or the log raises.

        Neither goes on without the other: an agent with half a control plane would look healthy.
        """
        controllers = {start_task(self.policies.run()), start_task(self.rollouts.run())}
        try:
            ended, _ = await asyncio.wait(controllers, return_when=asyncio.FIRST_COMPLETED)
            for controller in ended:
                controller.result()
        finally:
            for controller in controllers:
                controller.cancel()
            await asyncio.gather(*controllers, return_exceptions=True)

    async def execute_rollout_command(self, operation: str, command: Any) -> CommandResult:
        """Execute an operator's command about rollouts, and return the result. Raises CommandError."""
        return await self.rollouts.execute(operation, command)

    async def execute_policy_command(self, operation: str, command: Any) -> CommandResult:
        """Execute an operator's command about the policy, and return the result. Raises CommandError."""
        return await self.policies.execute(operation, command)

    async def serve_log(self, command: object) -> LogAnswer:
        """Answer an agent without a vote: return the replicated state, and the reply to its command, if any.

        Raises CommandError.
        """
        return await self.rollouts.serve_log(command)
