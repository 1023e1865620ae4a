"""The rollout steps of one agent: one task for each lease that the agent holds or has a part in."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from maplestile.agent.process_steps import StepContext
from maplestile.agent.router_steps import RouterSteps
from maplestile.agent.runner_steps import RunnerSteps
from maplestile.control.rollout import Lease, Stage

log = logging.getLogger("maplestile.control")


class LeaseSteps:
    """Runs the agent's rollout steps, one task per lease."""

    def __init__(self, context: StepContext) -> None:
        self.agent = context.agent
        self.replicated_log = context.log_client.replicated_log
        self.routers = context.routers
        self.router_steps = RouterSteps(context)
        self.runner_steps = RunnerSteps(context)
        self.tasks: dict[int, asyncio.Task[None]] = {}  # by lease number

    def start_tasks(self) -> None:
        """Start or resume the step of each lease that this agent has work in."""
        self._remove_finished_tasks()
        for lease in self.replicated_log.state.leases.values():
            step = None if lease.number in self.tasks else self._create_step(lease)
            if step is not None:
                self.tasks[lease.number] = asyncio.get_running_loop().create_task(step)

    def cancel(self) -> None:
        """Cancel the tasks; this agent resumes the steps when it is started again."""
        for task in self.tasks.values():
            task.cancel()

    def _create_step(self, lease: Lease) -> Coroutine[Any, Any, None] | None:
        """Return the coroutine of this agent's step for a lease, or None if the agent has nothing to do."""
        if lease.parts is not None:
            has_part = self.agent in lease.parts
            return self.runner_steps.run(lease.number, lease.instance) if has_part else None
        if lease.holder != self.agent or lease.instance not in self.routers:
            return None
        router = self.routers[lease.instance]
        is_drained = lease.stage is Stage.OUT and not router.process.is_running()
        return None if is_drained else self.router_steps.run(lease, router)

    def _remove_finished_tasks(self) -> None:
        finished = [number for number, task in self.tasks.items() if task.done()]
        for number in finished:
            task = self.tasks.pop(number)
            if not task.cancelled() and task.exception() is not None:
                log.error("control: a rollout step failed; retrying", exc_info=task.exception())
