"""The steps of a rollout at one agent: of the leases that it holds, and its part in those of runners."""

import asyncio
import logging
from collections.abc import Coroutine, Mapping
from typing import Any

from maplestile.agent.instance import ProcessHandle, RouterHandle
from maplestile.agent.replicated_log import LogClient
from maplestile.common import logs
from maplestile.control.commands import BeginStep, ConfirmDrained, ConfirmRenewed, FinishStep, ReportPart
from maplestile.control.rollout import (
    DRAIN,
    PART_BEGUN,
    PART_IN,
    PART_OUT,
    REPLACE,
    RESTORE,
    START,
    Lease,
    Stage,
)

log = logging.getLogger("maplestile.control")
READY_INTERVAL_S = 0.1


class ProcessSteps:
    """What a step does to the process of an instance."""

    def __init__(self) -> None:
        self.events = logs.events("control")

    async def drain(self, process: ProcessHandle, step: Mapping[str, Any]) -> None:
        """Wait for its end: it ends its calls in flight by itself, and is never killed."""
        fault = await process.drain()
        if fault:
            self.events.error("unclean end", fault=fault, **step)
        else:
            self.events.info("drained", **step)

    def change_settings(self, action: str, process: ProcessHandle, step: Mapping[str, Any]) -> None:
        """Of a replacement or its undo: the settings of the next start."""
        try:
            if action == REPLACE:
                process.renew()
            elif action == RESTORE:
                process.restore()
        except Exception as fault:  # what cannot be read stays as it was, and the step goes on
            self.events.error("not replaced", fault=str(fault), **step)


class RouterSteps:
    """The steps of the routers that an agent manages."""

    def __init__(self, agent: str, log_client: LogClient) -> None:
        self.agent = agent
        self.log_client = log_client
        self.events = logs.events("control")
        self.process_steps = ProcessSteps()
        self.beginning = set[int]()  # leases whose begin was submitted here, without an answer yet

    async def take(self, lease: Lease, router: RouterHandle) -> None:
        """Take the step of a lease to its end; ends at once where its begin is not agreed on."""
        # The lease changes while the step is taken.
        instance = lease.instance
        number = lease.number
        action = lease.action
        stage = lease.stage
        step = {"instance": instance, "lease": number}
        # Not the first: begun by the agent before this one, and its instances have been started since, but
        # for those that were adopted; or drained, and started by somebody since.
        is_first = stage is Stage.GRANTED or number in self.beginning or router.process.adopted
        if stage is Stage.GRANTED and not await self._begin(instance, number):
            return
        self.beginning.discard(number)
        self.events.info("begin" if is_first else "take up", action=action, **step)
        if action == DRAIN:
            await self.process_steps.drain(router.process, step)
            if stage is not Stage.OUT:
                drained = ConfirmDrained(instance=instance, lease=number, agent=self.agent)
                await self.log_client.submit_until_agreed(drained)
            return
        if is_first and action != START:
            await self.process_steps.drain(router.process, step)
            self.process_steps.change_settings(action, router.process, step)
        router.process.start()
        while not await router.client.ready():  # noqa: ASYNC110 - polls a router
            await asyncio.sleep(READY_INTERVAL_S)
        self.events.info("back", action=action, **step)
        finished = FinishStep(instance=instance, lease=number, agent=self.agent)
        await self.log_client.submit_until_agreed(finished)

    async def _begin(self, instance: str, number: int) -> bool:
        # The lease as it was read may be old, and a halt or a release may stand after it in the log. Where
        # the answer is lost the lease is found begun later, and the instance untouched.
        self.beginning.add(number)
        begin = BeginStep(instance=instance, lease=number, agent=self.agent)
        return await self.log_client.submit(begin) is not None


class RunnerSteps:
    """An agent's part in the leases of runners.

    Out of the routers here, its process renewed if it is managed here, and in again.
    """

    def __init__(
        self,
        agent: str,
        log_client: LogClient,
        routers: Mapping[str, RouterHandle],
        processes: Mapping[str, ProcessHandle],
    ) -> None:
        self.agent = agent
        self.log_client = log_client
        self.routers = routers
        self.processes = processes  # of the runners that are managed here, by their ids
        self.events = logs.events("control")
        self.process_steps = ProcessSteps()

    async def follow(self, number: int, name: str) -> None:
        """Follow the lease of a runner to its end.

        While the runner is out that is seen to again and again, since a router that was started anew does not
        know of it.
        """
        while (lease := self._lease(name)) is not None and lease.number == number:
            if lease.stage is Stage.RETURNING:
                await self._bring_in(lease)
            elif not await self._take_out(lease):
                return
            await asyncio.sleep(READY_INTERVAL_S)
        # Released by an operator, who vouches for it.
        while self._lease(name) is None and not await self._set_used(name, True):  # noqa: ASYNC110 - polls routers
            await asyncio.sleep(READY_INTERVAL_S)

    def _lease(self, name: str) -> Lease | None:
        return self.log_client.replicated_log.control.leases.get(name)

    async def _bring_in(self, lease: Lease) -> None:
        assert lease.parts is not None
        if lease.parts.get(self.agent) != PART_IN and await self._set_used(lease.instance, True):
            self.events.info("in", **_step(lease))
            await self.log_client.submit_until_agreed(self._part(lease, PART_IN))

    async def _take_out(self, lease: Lease) -> bool:
        """Whether the step goes on: its begin is agreed on."""
        assert lease.parts is not None
        if not lease.parts.get(self.agent) and not await self._begin(lease):
            return False
        is_idle = await self._set_used(lease.instance, False)
        if is_idle and lease.parts.get(self.agent) == PART_BEGUN:
            self.events.info("out", **_step(lease))
            await self.log_client.submit_until_agreed(self._part(lease, PART_OUT))
        if lease.stage is Stage.AWAY and lease.holder == self.agent:
            await self._renew(lease)
        return True

    async def _begin(self, lease: Lease) -> bool:
        is_agreed = await self.log_client.submit(self._part(lease, PART_BEGUN)) is not None
        if is_agreed:
            self.events.info("begin", action="runner", **_step(lease))
        return is_agreed

    def _part(self, lease: Lease, did: str) -> ReportPart:
        return ReportPart(did=did, instance=lease.instance, lease=lease.number, agent=self.agent)

    async def _set_used(self, runner: str, used: bool) -> bool:
        """Have the routers here use a runner or not.

        True if all do so, and have nothing in flight there if not. A router whose process has ended has
        nothing; one that does not answer may have.
        """
        is_done = True
        for router in self.routers.values():
            if router.process.running():
                is_done = await self._set_used_by(router, runner, used) and is_done
        return is_done

    async def _set_used_by(self, router: RouterHandle, runner: str, used: bool) -> bool:
        runners = await router.client.runners()
        if runners is None:
            return False
        if runner not in runners:
            return True
        listed = runners[runner]
        if listed.suspended == used:
            # Just suspended: what is in flight there is looked at the next time.
            return await router.client.suspend(runner, not used) and used
        return used or not listed.in_flight

    async def _renew(self, lease: Lease) -> None:
        """The runner's process, which no router uses now."""
        step = _step(lease)
        process = self.processes[lease.instance]
        await self.process_steps.drain(process, step)
        self.process_steps.change_settings(lease.action, process, step)
        process.start()
        while not process.running():  # noqa: ASYNC110 - a process has no event for its start
            await asyncio.sleep(READY_INTERVAL_S)
        self.events.info("renewed", **step)
        renewed = ConfirmRenewed(instance=lease.instance, lease=lease.number, agent=self.agent)
        await self.log_client.submit_until_agreed(renewed)


def _step(lease: Lease) -> dict[str, Any]:
    return {"instance": lease.instance, "lease": lease.number}


class LeaseSteps:
    """The tasks of the steps that an agent has in hand, one a lease."""

    def __init__(
        self,
        agent: str,
        log_client: LogClient,
        routers: Mapping[str, RouterHandle],
        processes: Mapping[str, ProcessHandle],
    ) -> None:
        self.agent = agent
        self.replicated_log = log_client.replicated_log
        self.routers = routers
        self.router_steps = RouterSteps(agent, log_client)
        self.runner_steps = RunnerSteps(agent, log_client, routers, processes)
        self.tasks: dict[int, asyncio.Task[None]] = {}  # by the number of the lease

    def take_up(self) -> None:
        """Begin, or go on with, the step of each lease that this agent has a part in."""
        self._forget_ended()
        for lease in self.replicated_log.control.leases.values():
            if lease.number in self.tasks:
                continue
            if lease.parts is not None:
                if self.agent in lease.parts:
                    self._spawn(lease, self.runner_steps.follow(lease.number, lease.instance))
            elif lease.holder == self.agent and lease.instance in self.routers:
                router = self.routers[lease.instance]
                is_drained = lease.stage is Stage.OUT and not router.process.running()
                if not is_drained:
                    self._spawn(lease, self.router_steps.take(lease, router))

    def cancel(self) -> None:
        """Leave the steps to the next agent."""
        for task in self.tasks.values():
            task.cancel()

    def _spawn(self, lease: Lease, step: Coroutine[Any, Any, None]) -> None:
        self.tasks[lease.number] = asyncio.get_running_loop().create_task(step)

    def _forget_ended(self) -> None:
        ended = [number for number, task in self.tasks.items() if task.done()]
        for number in ended:
            task = self.tasks.pop(number)
            if not task.cancelled() and task.exception() is not None:
                log.error("control: a step has failed", exc_info=task.exception())
