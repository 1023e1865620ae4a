"""The agent's part in rollouts: registration, the steps of its leases, heartbeats, and operators' commands.

Where the agent's voter leads, `RolloutLeader` plans what comes next.
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
from maplestile.control.commands import EncodedCommand, Register
from maplestile.control.errors import LogError
from maplestile.control.log_view import LogAnswer
from maplestile.control.rollout import ACTIVE
from maplestile.control.settings import ControlSettings

POLL_INTERVAL_S = 0.05  # of the agreed state
HEARTBEAT_ACTIVE_S = 0.5  # between heartbeats during a rollout
HEARTBEAT_IDLE_S = 2.0  # and without one


class RolloutController:
    """Takes this agent's part in the rollouts that the fleet agrees on."""

    def __init__(
        self,
        settings: ControlSettings,
        replicated_log: ReplicatedLog,
        routers: Mapping[str, RouterHandle],
        others: Mapping[str, ProcessHandle],
        counters: Counter[str],
    ) -> None:
        """`others` are processes that are no routers; runners, if a router lists them by their names."""
        self.settings = settings
        self.replicated_log = replicated_log
        self.routers = routers
        self.counters = counters
        self.events = logs.events("control")
        self.log_client = LogClient(replicated_log, counters)
        self.steps = LeaseSteps(StepContext(settings.name, self.log_client, routers, others))
        self.health = HealthReporter(settings.name, replicated_log, routers, others)
        self.leader = RolloutLeader(settings, self.log_client, lambda: self.health.lost_members)
        self.registered = False
        self.reported_s = -HEARTBEAT_IDLE_S
        self.reporting: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Run the log and this agent's part until cancelled. Raises what the log raises."""
        running = asyncio.get_running_loop().create_task(self.replicated_log.run())
        try:
            while not running.done():
                await asyncio.sleep(POLL_INTERVAL_S)
                if self.replicated_log.ready():
                    await self._poll()
            await running
        finally:
            running.cancel()
            self.leader.cancel()
            self.steps.cancel()
            if self.reporting is not None:
                self.reporting.cancel()

    async def _poll(self) -> None:
        await self._register()
        self.steps.start_tasks()
        self._report_health()
        self.leader.run_once()

    async def _register(self) -> None:
        """Register this agent's instances, where the agreed state has others."""
        control = self.replicated_log.control
        instances = sorted(self.routers)
        registered = sorted(name for name, agent in control.instances.items() if agent == self.settings.name)
        listed = control.listed.get(self.settings.name, [])
        runners = self.health.listed_runners
        is_same = registered == instances and (not runners or listed == sorted(runners))
        if self.registered and is_same:
            return
        command = Register(instances=tuple(instances), runners=runners, agent=self.settings.name)
        self.registered = await self.log_client.submit(command) is not None

    def _report_health(self) -> None:
        rollout = self.replicated_log.control.rollout
        is_active = rollout is not None and rollout.phase in ACTIVE
        interval_s = HEARTBEAT_ACTIVE_S if is_active else HEARTBEAT_IDLE_S
        if time.monotonic() - self.reported_s < interval_s:
            return
        if self.reporting is None or self.reporting.done():
            self.reported_s = time.monotonic()
            self.reporting = asyncio.get_running_loop().create_task(self.health.report())

    # Commands.

    async def serve_log(self, command: object) -> LogAnswer:
        """The answer to an agent that is no voter: the agreed state, and the reply to its command, if any.

        Raises CommandError where its command is not agreed on.
        """
        ready = self.replicated_log.ready()  # before the command is submitted
        reply = None
        try:
            if isinstance(command, dict):
                reply = await self.replicated_log.submit(command)
        except LogError as error:
            raise CommandError(str(error)) from None
        return LogAnswer(ready, self.replicated_log.control, self.replicated_log.router_status, reply)

    async def execute(self, operation: str, command: EncodedCommand) -> CommandResult:
        """The result of `status` or an operator's command. Raises CommandError where it is not agreed on."""
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
            control=self.replicated_log.control,
            voter=self.replicated_log.status(),
            ready=self.replicated_log.ready(),
            counters=self.counters,
        )
