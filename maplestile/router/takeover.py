"""Follows the handover between the two processes of an upgrade, in one of them."""

import asyncio
import logging

from maplestile.operation.handover import Handover, HandoverStage
from maplestile.router.clock import clock, poll_until
from maplestile.router.components import Components
from maplestile.router.readiness import Readiness

log = logging.getLogger("maplestile")
# How long a successor waits for the ids of the predecessor's requests. The predecessor looks for a successor
# ten times a second; one of an earlier release leaves no ids.
IDS_WAIT_US = 1_000_000


class HandoverMonitor:
    """The observer of the other process of an upgrade; it announces to it when this process can serve."""

    def __init__(self, components: Components, readiness: Readiness, handover: Handover) -> None:
        self.components = components
        self.readiness = readiness
        self.handover = handover
        self._wait_for_ids_until_us = 0  # 0 before it waits

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
        await poll_until(lambda: self._may_take_clients() and self._has_ids())

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
        self._share_ids(has_advanced=self.handover.stage is not stage_before)
        components.save_endpoints_again()
        if components.adopt_endpoints():
            log.info("%s: the endpoint list of the other process is newer, and applies", components.name)
            components.publish_endpoints()
        process_count = self.handover.process_count
        if process_count != components.process_count:
            log.info("%s: splitting the limits into budgets for %d processes", components.name, process_count)
            components.share_budgets(process_count)

    def _share_ids(self, has_advanced: bool) -> None:
        """Share the ids of requests with the other process while there is one."""
        exchange = self.components.id_exchange
        assert exchange is not None  # created together with the handover
        is_alone = self.handover.process_count == 1
        if exchange.is_sharing and (is_alone or has_advanced):
            exchange.stop_sharing()
        if not is_alone and self.handover.stage is not HandoverStage.WAITING:
            exchange.share(is_successor=not self.handover.is_alone)
            exchange.collect()

    def _has_ids(self) -> bool:
        """Return whether the ids of the predecessor's requests are known, or were waited for long enough."""
        exchange = self.components.id_exchange
        if exchange is None or self.components.stopping.is_set() or self.handover.is_alone:
            return True
        self._wait_for_ids_until_us = self._wait_for_ids_until_us or clock() + IDS_WAIT_US
        is_late = clock() >= self._wait_for_ids_until_us
        return is_late or (exchange.is_sharing and exchange.has_predecessors_ids())

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
