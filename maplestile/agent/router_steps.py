"""Rollout steps of routers, for the leases that this agent holds."""

from dataclasses import replace

from maplestile.agent.instance import ProcessHandle, RouterHandle
from maplestile.agent.polling import poll_until
from maplestile.agent.process_steps import StepContext, StepEvents, change_settings, drain_process
from maplestile.control.commands import BeginStep, ConfirmDrained, FinishStep
from maplestile.control.rollout import DRAIN, START, Lease, Stage


class RouterSteps:
    """Runs the rollout steps of the routers that an agent manages."""

    def __init__(self, context: StepContext) -> None:
        self.agent = context.agent
        self.log_client = context.log_client
        # Numbers of the leases whose BeginStep this agent has submitted without a reply so far.
        self.unconfirmed_begins = set[int]()

    async def run(self, agreed_lease: Lease, router: RouterHandle) -> None:
        """Run the step of a lease to its end, or return at once if the log does not confirm its begin."""
        lease = replace(agreed_lease)  # a copy, because the replicated lease changes while the step runs
        # Otherwise this is a repetition: an earlier agent began the step, and the instance was started again
        # since then (unless it was adopted), or the step was a drain and somebody has started the instance
        # again.
        is_first = (
            lease.stage is Stage.GRANTED
            or lease.number in self.unconfirmed_begins
            or router.process.is_adopted
        )
        if lease.stage is Stage.GRANTED and not await self._begin(lease):
            return
        self.unconfirmed_begins.discard(lease.number)
        events = StepEvents(lease)
        events.info("step begun" if is_first else "step resumed", action=lease.action)
        if lease.action == DRAIN:
            await self._drain(lease, router.process, events)
            return
        if is_first and lease.action != START:
            await drain_process(router.process, events)
            change_settings(lease.action, router.process, events)
        await self._return_to_service(lease, router, events)

    async def _begin(self, lease: Lease) -> bool:
        # The log decides, because a halt or a release may have been committed after this lease was read. If
        # the reply is lost, a later poll finds the step begun, and `unconfirmed_begins` says that the
        # instance has not been touched yet.
        self.unconfirmed_begins.add(lease.number)
        begin = BeginStep(instance=lease.instance, lease=lease.number, agent=self.agent)
        return await self.log_client.submit(begin) is not None

    async def _drain(self, lease: Lease, process: ProcessHandle, events: StepEvents) -> None:
        await drain_process(process, events)
        if lease.stage is not Stage.OUT:
            drained = ConfirmDrained(instance=lease.instance, lease=lease.number, agent=self.agent)
            await self.log_client.submit_until_answered(drained)

    async def _return_to_service(self, lease: Lease, router: RouterHandle, events: StepEvents) -> None:
        router.process.start()
        await poll_until(router.client.is_ready)
        events.info("back in service", action=lease.action)
        finished = FinishStep(instance=lease.instance, lease=lease.number, agent=self.agent)
        await self.log_client.submit_until_answered(finished)
