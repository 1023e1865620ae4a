"""Handover between the two processes of an upgrade, as one of them observes it."""

import asyncio
import logging

from maplestile.operation.handover import Handover, HandoverStage
from maplestile.router.clock import poll_until
from maplestile.router.components import Components
from maplestile.router.readiness import Readiness

log = logging.getLogger("maplestile")


class HandoverMonitor:
    """Follows the other process of an upgrade, and notifies it when this one can serve."""

    def __init__(self, components: Components, readiness: Readiness, handover: Handover) -> None:
        self.components = components
        self.readiness = readiness
        self.handover = handover

    async def wait_until_may_serve(self) -> None:
        """Return once this process may take clients, or was asked to stop.

        Where another process serves, clients are taken only when this one has a current endpoint list.
        """
        handover = self.handover
        if handover.stage is HandoverStage.ALONE:
            return
        log.info("%s: another process serves; it is %s", self.components.name, handover.stage.value)
        await poll_until(self._may_take_clients)

    async def run(self) -> None:
        """Observe the other process again and again, until cancelled."""
        while True:
            self.observe()
            await asyncio.sleep(self.components.limits.handover.poll_us / 1e6)

    def observe(self) -> None:
        """Poll the other process and the cordons that it stored, once."""
        components = self.components
        assert components.cordons is not None  # built together with the handover
        components.cordons.refresh()
        stage_before = self.handover.stage
        self._poll_locks()
        if self.handover.stage is not stage_before:
            log.info("%s: %s", components.name, self.handover.stage.value)
        process_count = self.handover.process_count
        if process_count != components.process_count:
            log.info("%s: budgets for %d processes side by side", components.name, process_count)
            components.share_budgets(process_count)

    def _poll_locks(self) -> None:
        """Notify the other process once this one can serve, and learn what it does."""
        try:
            if not self.readiness.not_ready_reason():
                self.handover.announce_ready()
            self.handover.poll()
        except OSError as error:
            log.warning("%s: the locks: %s", self.components.name, error)

    def _may_take_clients(self) -> bool:
        if self.readiness.list_is_current() and self.handover.stage is not HandoverStage.WAITING:
            return True
        return self.components.stopping.is_set()
