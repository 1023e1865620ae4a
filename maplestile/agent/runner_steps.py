"""Rollout steps of runners: this agent's part in each of their leases."""

import asyncio
from functools import partial

from maplestile.agent.instance import RouterHandle
from maplestile.agent.polling import POLL_INTERVAL_S, poll_until
from maplestile.agent.process_steps import StepContext, StepEvents, change_settings, drain_process
from maplestile.control.commands import ConfirmRenewed, ReportPart
from maplestile.control.rollout import PART_BEGUN, PART_IN, PART_OUT, Lease, Stage


class RunnerSteps:
    """Carries out an agent's part in the leases of runners.

    The agent's routers stop using the runner; if this agent manages the runner's process, it replaces the
    process; then the routers use the runner again.
    """

    def __init__(self, context: StepContext) -> None:
        self.agent = context.agent
        self.log_client = context.log_client
        self.routers = context.routers
        self.processes = context.processes

    async def run(self, lease_number: int, runner: str) -> None:
        """Carry out this agent's part in the lease of a runner until the lease has ended.

        While the runner is out of use, the routers are checked repeatedly, because a router that was
        restarted does not know that the runner is cordoned.
        """
        while (lease := self._lease(runner)) is not None and lease.number == lease_number:
            if lease.stage is Stage.RETURNING:
                await self._resume_runner(lease)
            elif not await self._suspend_runner(lease):
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        await poll_until(partial(self._is_used_or_leased, runner))

    async def _is_used_or_leased(self, runner: str) -> bool:
        """Resume a runner whose lease has ended; return whether all routers use it, or it has a new lease.

        The runner may still be cordoned here if an operator, who vouches for it, has released the lease.
        """
        return self._lease(runner) is not None or await self._set_used(runner, True)

    def _lease(self, runner: str) -> Lease | None:
        return self.log_client.replicated_log.state.leases.get(runner)

    async def _resume_runner(self, lease: Lease) -> None:
        """Make the routers here use the runner again, and report it once all of them do."""
        assert lease.parts is not None
        if lease.parts.get(self.agent) != PART_IN and await self._set_used(lease.instance, True):
            StepEvents(lease).info("runner resumed")
            await self.log_client.submit_until_answered(self._part_report(lease, PART_IN))

    async def _suspend_runner(self, lease: Lease) -> bool:
        """Make the routers here stop using the runner, and report it once all of them have.

        If this agent holds the lease, it replaces the runner's process once no router of any agent uses it.
        Returns False if the log does not confirm that this agent has begun its part.
        """
        assert lease.parts is not None
        if not lease.parts.get(self.agent) and not await self._begin(lease):
            return False
        is_idle = await self._set_used(lease.instance, False)
        if is_idle and lease.parts.get(self.agent) == PART_BEGUN:
            StepEvents(lease).info("runner taken out of service")
            await self.log_client.submit_until_answered(self._part_report(lease, PART_OUT))
        if lease.stage is Stage.AWAY and lease.holder == self.agent:
            await self._replace_process(lease)
        return True

    async def _begin(self, lease: Lease) -> bool:
        is_confirmed = await self.log_client.submit(self._part_report(lease, PART_BEGUN)) is not None
        if is_confirmed:
            StepEvents(lease).info("step begun", action="runner")
        return is_confirmed

    def _part_report(self, lease: Lease, part: str) -> ReportPart:
        return ReportPart(part=part, instance=lease.instance, lease=lease.number, agent=self.agent)

    async def _set_used(self, runner: str, used: bool) -> bool:
        """Make the routers here use a runner, or stop using it; return whether that is done.

        It is done once all routers use the runner, or none does and none has an attempt in flight there. A
        router whose process has ended has no attempt in flight; one that does not answer may have some.
        """
        is_done = True
        for router in self.routers.values():
            if router.process.is_running():
                is_done = await self._set_used_by(router, runner, used) and is_done
        return is_done

    async def _set_used_by(self, router: RouterHandle, runner: str, used: bool) -> bool:
        runners = await router.client.fetch_runners()
        if runners is None:
            return False
        if runner not in runners:
            return True
        listed = runners[runner]
        if listed.suspended == used:
            # A runner that was just cordoned may have attempts in flight; the next call checks that.
            return await router.client.set_suspended(runner, not used) and used
        return used or not listed.in_flight

    async def _replace_process(self, lease: Lease) -> None:
        """Replace the runner's process, which no router uses now."""
        events = StepEvents(lease)
        process = self.processes[lease.instance]

        async def is_running() -> bool:
            return process.is_running()

        await drain_process(process, events)
        change_settings(lease.action, process, events)
        process.start()
        await poll_until(is_running)
        events.info("process replaced")
        replaced = ConfirmRenewed(instance=lease.instance, lease=lease.number, agent=self.agent)
        await self.log_client.submit_until_answered(replaced)
