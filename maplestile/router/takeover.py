"""Follows the handover between the two processes of an upgrade, in one of them."""

import asyncio
import logging

from maplestile.operation.handover import Handover, HandoverStage
from maplestile.router.clock import poll_until
from maplestile.router.components import Components
from maplestile.router.readiness import Readiness

log = logging.getLogger("maplestile")


class HandoverMonitor:
    """The observer of the other process of an upgrade; it announces to it when this process can serve."""

    def __init__(self, components: Components, readiness: Readiness, handover: Handover) -> None:
        self.components = components
        self.readiness = readiness
        self.handover = handover

    async def wait_until_may_serve(self) -> None:
        """Return once this process may accept clients, or is asked to stop.

        While another process serves, this one accepts clients only once its endpoint list is current.
        """
        handover = self.handover
        if handover.stage is HandoverStage.ALONE:
            return
        log.info(
            "%s: another process is serving; handover stage of this process: %s",
            self.components.name,
            handover.stage.value,
        )
        await poll_until(self._may_take_clients)

    async def run(self) -> None:
        """Observe the other process at regular intervals until cancelled."""
        while True:
            self.observe()
            await asyncio.sleep(self.components.limits.handover.poll_us / 1e6)

    def observe(self) -> None:
        """Check the stored cordons and the handover locks once, and adjust this process's budgets."""
        components = self.components
        assert components.cordons is not None  # created together with the handover
        components.cordons.refresh()
        stage_before = self.handover.stage
        self._poll_locks()
        if self.handover.stage is not stage_before:
            log.info("%s: %s", components.name, self.handover.stage.value)
            components.save_endpoints()
        components.save_endpoints_again()
        if components.adopt_endpoints():
            log.info("%s: the endpoint list of the other process is newer, and applies", components.name)
            components.publish_endpoints()
        process_count = self.handover.process_count
        if process_count != components.process_count:
            log.info("%s: splitting the limits into budgets for %d processes", components.name, process_count)
            components.share_budgets(process_count)

    def _poll_locks(self) -> None:
        """Announce that this process can serve, once it can, and poll the handover locks."""
        try:
            if not self.readiness.not_ready_reason():
                self.handover.announce_ready()
            self.handover.poll()
        except OSError as error:
            log.warning("%s: handover locks cannot be used; retrying: %s", self.components.name, error)

    def _may_take_clients(self) -> bool:
        if self.readiness.list_is_current() and self.handover.stage is not HandoverStage.WAITING:
            return True
        return self.components.stopping.is_set()
