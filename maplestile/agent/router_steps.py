"""The steps of a rollout of routers: those of the leases that this agent holds."""

from dataclasses import replace

from maplestile.agent.instance import ProcessHandle, RouterHandle
from maplestile.agent.polling import poll_until
from maplestile.agent.process_steps import StepContext, StepEvents, change_settings, drain_process
from maplestile.control.commands import BeginStep, ConfirmDrained, FinishStep
from maplestile.control.rollout import DRAIN, START, Lease, Stage


class RouterSteps:
    """The steps of the routers that an agent manages."""

    def __init__(self, context: StepContext) -> None:
        self.agent = context.agent
        self.log_client = context.log_client
        self.beginning = set[int]()  # leases whose begin was submitted here, without an answer yet

    async def run(self, agreed: Lease, router: RouterHandle) -> None:
        """Take the step of a lease to its end; ends at once where its begin is not agreed on."""
        lease = replace(agreed)  # as it is now: the agreed one changes while the step is taken
        # Not the first attempt: the agent before this one began the step, and the instance was started since
        # (unless it was adopted); or the step was a drain, and somebody has started the instance since.
        is_first = lease.stage is Stage.GRANTED or lease.number in self.beginning or router.process.adopted
        if lease.stage is Stage.GRANTED and not await self._begin(lease):
            return
        self.beginning.discard(lease.number)
        events = StepEvents(lease)
        events.info("begin" if is_first else "take up", action=lease.action)
        if lease.action == DRAIN:
            await self._drain(lease, router.process, events)
            return
        if is_first and lease.action != START:
            await drain_process(router.process, events)
            change_settings(lease.action, router.process, events)
        await self._bring_back(lease, router, events)

    async def _begin(self, lease: Lease) -> bool:
        # The lease as it was read may be outdated: the log may have a halt or a release after it. Where the
        # answer is lost, the lease is found begun later, and the instance untouched.
        self.beginning.add(lease.number)
        begin = BeginStep(instance=lease.instance, lease=lease.number, agent=self.agent)
        return await self.log_client.submit(begin) is not None

    async def _drain(self, lease: Lease, process: ProcessHandle, events: StepEvents) -> None:
        await drain_process(process, events)
        if lease.stage is not Stage.OUT:
            drained = ConfirmDrained(instance=lease.instance, lease=lease.number, agent=self.agent)
            await self.log_client.submit_until_agreed(drained)

    async def _bring_back(self, lease: Lease, router: RouterHandle, events: StepEvents) -> None:
        router.process.start()
        await poll_until(router.client.ready)
        events.info("back", action=lease.action)
        finished = FinishStep(instance=lease.instance, lease=lease.number, agent=self.agent)
        await self.log_client.submit_until_agreed(finished)
