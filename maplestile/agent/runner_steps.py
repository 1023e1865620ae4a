"""The steps of a rollout of runners: this agent's part in each of their leases."""

import asyncio
from functools import partial

from maplestile.agent.instance import RouterHandle
from maplestile.agent.polling import POLL_INTERVAL_S, poll_until
from maplestile.agent.process_steps import StepContext, StepEvents, change_settings, drain_process
from maplestile.control.commands import ConfirmRenewed, ReportPart
from maplestile.control.rollout import PART_BEGUN, PART_IN, PART_OUT, Lease, Stage


class RunnerSteps:
    """An agent's part in the leases of runners.

    Out of the routers here, its process renewed if it is managed here, and in again.
    """

    def __init__(self, context: StepContext) -> None:
        self.agent = context.agent
        self.log_client = context.log_client
        self.routers = context.routers
        self.processes = context.processes

    async def follow(self, number: int, name: str) -> None:
        """Follow the lease of a runner to its end.

        While the runner is out this is repeated, since a router that was restarted does not know of it.
        """
        while (lease := self._lease(name)) is not None and lease.number == number:
            if lease.stage is Stage.RETURNING:
                await self._bring_in(lease)
            elif not await self._take_out(lease):
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        await poll_until(partial(self._is_used_or_leased, name))

    async def _is_used_or_leased(self, name: str) -> bool:
        """Have the routers use a runner again whose lease an operator, who vouches for it, has released."""
        return self._lease(name) is not None or await self._set_used(name, True)

    def _lease(self, name: str) -> Lease | None:
        return self.log_client.replicated_log.control.leases.get(name)

    async def _bring_in(self, lease: Lease) -> None:
        assert lease.parts is not None
        if lease.parts.get(self.agent) != PART_IN and await self._set_used(lease.instance, True):
            StepEvents(lease).info("in")
            await self.log_client.submit_until_agreed(self._part(lease, PART_IN))

    async def _take_out(self, lease: Lease) -> bool:
        """Take the runner out of the routers here; False where the step's begin is not agreed on."""
        assert lease.parts is not None
        if not lease.parts.get(self.agent) and not await self._begin(lease):
            return False
        is_idle = await self._set_used(lease.instance, False)
        if is_idle and lease.parts.get(self.agent) == PART_BEGUN:
            StepEvents(lease).info("out")
            await self.log_client.submit_until_agreed(self._part(lease, PART_OUT))
        if lease.stage is Stage.AWAY and lease.holder == self.agent:
            await self._renew(lease)
        return True

    async def _begin(self, lease: Lease) -> bool:
        is_agreed = await self.log_client.submit(self._part(lease, PART_BEGUN)) is not None
        if is_agreed:
            StepEvents(lease).info("begin", action="runner")
        return is_agreed

    def _part(self, lease: Lease, part: str) -> ReportPart:
        return ReportPart(part=part, instance=lease.instance, lease=lease.number, agent=self.agent)

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
            # Just suspended: what is in flight there is checked the next time.
            return await router.client.suspend(runner, not used) and used
        return used or not listed.in_flight

    async def _renew(self, lease: Lease) -> None:
        """Replace the runner's process, which no router uses now."""
        events = StepEvents(lease)
        process = self.processes[lease.instance]

        async def is_running() -> bool:
            return process.running()

        await drain_process(process, events)
        change_settings(lease.action, process, events)
        process.start()
        await poll_until(is_running)
        events.info("renewed")
        renewed = ConfirmRenewed(instance=lease.instance, lease=lease.number, agent=self.agent)
        await self.log_client.submit_until_agreed(renewed)
