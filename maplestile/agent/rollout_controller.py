"""The agent's side of rollouts: registration, the steps of its leases, heartbeats, and operators' commands.

While this agent's voter is the leader, `RolloutLeader` also plans the next step of the rollout.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Mapping

from maplestile.agent.command_results import CommandResult, RolloutAccepted, RolloutStatus
from maplestile.agent.errors import CommandError
from maplestile.agent.health_reporter import HealthReporter
from maplestile.agent.instance import ProcessHandle, RouterHandle
from maplestile.agent.process_steps import StepContext
from maplestile.agent.replicated_log import LogClient, ReplicatedLog, submit_for_operator
from maplestile.agent.rollout_leader import RolloutLeader
from maplestile.agent.rollout_steps import LeaseSteps
from maplestile.common import logs
from maplestile.common.tasks import start_task
from maplestile.control.commands import EncodedCommand, Register
from maplestile.control.errors import LogError
from maplestile.control.log_view import LogAnswer
from maplestile.control.rollout import ACTIVE_PHASES
from maplestile.control.settings import ControlSettings

POLL_INTERVAL_S = 0.05  # between polls of the replicated state
HEARTBEAT_ACTIVE_S = 0.5  # between heartbeats during a rollout
HEARTBEAT_IDLE_S = 2.0  # between heartbeats while there is no rollout


class RolloutController:
    """Carries out this agent's steps of the rollouts in the replicated state, and reports its health."""

    def __init__(
        self,
        settings: ControlSettings,
        replicated_log: ReplicatedLog,
        routers: Mapping[str, RouterHandle],
        other_processes: Mapping[str, ProcessHandle],
        counters: Counter[str],
    ) -> None:
        """Create the controller.

        `other_processes` are this agent's processes that are not routers, by name. A process is a runner if a
        router lists a runner of that name.
        """
        self.settings = settings
        self.replicated_log = replicated_log
        self.routers = routers
        self.counters = counters
        self.events = logs.events("control")
        self.log_client = LogClient(replicated_log, counters)
        self.steps = LeaseSteps(StepContext(settings.name, self.log_client, routers, other_processes))
        self.health = HealthReporter(settings.name, replicated_log, routers, other_processes)
        self.leader = RolloutLeader(settings, self.log_client, lambda: self.health.lost_members)
        self.is_registered = False
        self.last_heartbeat_s = -HEARTBEAT_IDLE_S
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Run the replicated log and this controller until cancelled. Raises what the log raises."""
        log_task = start_task(self.replicated_log.run())
        try:
            while not log_task.done():
                await asyncio.sleep(POLL_INTERVAL_S)
                if self.replicated_log.is_ready():
                    await self._poll()
            await log_task
        finally:
            log_task.cancel()
            self.leader.cancel()
            self.steps.cancel()
            if self.heartbeat_task is not None:
                self.heartbeat_task.cancel()

    async def _poll(self) -> None:
        await self._register()
        self.steps.start_tasks()
        self._start_heartbeat()
        self.leader.run_once()

    async def _register(self) -> None:
        """Register this agent's instances and runners unless the replicated state already has them."""
        state = self.replicated_log.state
        instances = sorted(self.routers)
        registered = sorted(name for name, agent in state.instances.items() if agent == self.settings.name)
        listed = state.listed.get(self.settings.name, [])
        runners = self.health.listed_runners
        is_up_to_date = registered == instances and (not runners or listed == sorted(runners))
        if self.is_registered and is_up_to_date:
            return
        command = Register(instances=tuple(instances), runners=runners, agent=self.settings.name)
        self.is_registered = await self.log_client.submit(command) is not None

    def _start_heartbeat(self) -> None:
        """Start sending a heartbeat if one is due and the previous one has been sent."""
        rollout = self.replicated_log.state.rollout
        is_active = rollout is not None and rollout.phase in ACTIVE_PHASES
        interval_s = HEARTBEAT_ACTIVE_S if is_active else HEARTBEAT_IDLE_S
        if time.monotonic() - self.last_heartbeat_s < interval_s:
            return
        if self.heartbeat_task is None or self.heartbeat_task.done():
            self.last_heartbeat_s = time.monotonic()
            self.heartbeat_task = start_task(self.health.send_heartbeat())

    # Commands.

    async def serve_log(self, command: object) -> LogAnswer:
        """Answer an agent without a vote: return the replicated state, and the reply to its command, if any.

        Raises CommandError if the log gives no reply to the command.
        """
        ready = self.replicated_log.is_ready()  # as it was before the command is submitted
        reply = None
        try:
            if isinstance(command, dict):
                reply = await self.replicated_log.submit(command)
        except LogError as error:
            raise CommandError(str(error)) from None
        return LogAnswer(ready, self.replicated_log.state, self.replicated_log.router_status, reply)

    async def execute(self, operation: str, command: EncodedCommand) -> CommandResult:
        """Execute an operator's command about rollouts, or `status`, and return the result.

        Raises CommandError if the log refuses the command or gives no reply.
        """
        if operation == "status":
            return self._status()
        if operation == "start" and command.get("budget") is None:
            command = {**command, "budget": self.settings.budget}
        reply = await submit_for_operator(self.replicated_log, self.settings.name, operation, command)
        content = {key: value for key, value in reply.items() if key != "ok"}
        self.events.info(f"operator {operation}", **content)
        return RolloutAccepted(reply)

    def _status(self) -> RolloutStatus:
        return RolloutStatus(
            control=self.replicated_log.state,
            voter=self.replicated_log.status(),
            ready=self.replicated_log.is_ready(),
            counters=self.counters,
        )
