"""Shuts a router down gracefully: it keeps serving for a while, then closes connections or hands over."""

import asyncio
import logging
from typing import TYPE_CHECKING

from maplestile.net.listen import Listener
from maplestile.net.platform import PlatformFront
from maplestile.router.clock import POLL_S, clock, poll_until
from maplestile.router.components import Components

if TYPE_CHECKING:  # imported at run time only if processes hand over, to save start time and memory
    from maplestile.router.takeover import HandoverMonitor

log = logging.getLogger("maplestile")


class Drain:
    """The drain of one process; it is created when the process is asked to stop."""

    def __init__(
        self, components: Components, listeners: list[Listener], handover: "HandoverMonitor | None"
    ) -> None:
        self.components = components
        self.listeners = listeners
        self.handover = handover
        limits = components.limits
        started_us = clock()
        longest_deadline_us = max(call_class.deadline_us for call_class in components.core.settings.classes)
        spare_us = limits.handover.spare_us
        # When the process must exit, a little before the platform kills it.
        self.exit_deadline_us = started_us + limits.kill_after_us(longest_deadline_us) - spare_us
        # Clients learn of the drain late, and keep calling this router until then.
        self.serve_until_us = min(started_us + limits.shutdown.min_drain_us, self.exit_deadline_us)
        self.last_pending_us = started_us  # when a call was last seen open

    async def run(self) -> None:
        """Keep serving, and return when no request is pending or the process must exit."""
        components = self.components
        log.info("%s was asked to stop; %d requests open", components.name, len(components.core.open))
        self._announce()
        if await self._serve_until_done():
            assert components.platform is not None
            wait_for_idle_until_us = clock() + components.limits.handover.idle_wait_us
            await self._close_platform(components.platform, wait_for_idle_until_us)
        else:
            await asyncio.sleep(POLL_S)  # for the invoke front to write the last answers
            if components.invoke is not None:
                await components.invoke.http.close_gracefully(components.invoke.listener)
            if components.platform is not None:
                await self._close_platform(components.platform, clock())
        pending = len(components.core.open)
        unanswered = f"an answer to {pending} requests" if pending else "nothing"
        log.info("%s stops; %s is owed", components.name, unanswered)

    def _announce(self) -> None:
        """Notify each component that the process is draining."""
        components = self.components
        if components.platform is not None:
            # Requests that are still pending at that time would get no answer.
            components.core.prepare_exit(self.exit_deadline_us)
        if components.peers is not None:  # so that the other members do not suspect a failure
            components.peers.leave()
        if components.invoke is not None:
            components.invoke.http.start_draining()
        if self.handover is not None:
            self.handover.handover.announce_stopping()

    async def _serve_until_done(self) -> bool:
        """Serve until nothing is pending, time is up or a successor is ready; return whether one is."""
        components = self.components
        while self._has_to_serve():
            if components.core.open:
                self.last_pending_us = clock()
            if self.handover is not None:
                self.handover.observe()
                if components.is_successor_ready and components.platform is not None:
                    count = len(components.platform.clients)
                    log.info("%s hands over to its successor; %d connections open", components.name, count)
                    return True
            if clock() >= self.serve_until_us + components.limits.shutdown.drain_patience_us:
                await self._reject_new_requests()
            await asyncio.sleep(POLL_S)
        return False

    def _has_to_serve(self) -> bool:
        if clock() < self.serve_until_us:
            return True
        if not (self._has_unanswered() or self._has_uncollected_results()):
            return False
        # Only the platform kills the process after a fixed time; without it, the drain may last as long as
        # its calls.
        return self.components.platform is None or clock() < self.exit_deadline_us

    async def _reject_new_requests(self) -> None:
        """Reject new requests, and close each connection after its last answer.

        Otherwise clients that never stop calling would always have a request pending, and their connections
        would be reset when the process exits.
        """
        components = self.components
        components.core.close()
        if components.platform is not None and components.platform_listener is not None:
            timeout_s = components.limits.shutdown.drain_patience_us / 1e6
            await components.platform_listener.accept_queued_and_close(timeout_s, components.free_descriptor)
            components.platform.close_gracefully(0)

    def _has_unanswered(self) -> bool:
        """Return whether requests are open, or answers not accepted by the kernel yet."""
        components = self.components
        if components.core.open:
            return True
        return components.platform is not None and components.platform.has_unread_answers()

    def _has_uncollected_results(self) -> bool:
        """Return whether to wait for callers that have not collected the results of their deferred calls.

        No other process has these results. Callers poll at the interval given by `Retry-After`, so the drain
        waits for them for a limited time after the last call was open.
        """
        components = self.components
        if components.invoke is None:
            return False
        if clock() >= self.last_pending_us + components.limits.shutdown.collect_us:
            return False
        return components.invoke.api.store.uncollected(clock())

    async def _close_platform(self, platform: PlatformFront, wait_for_idle_until_us: int) -> None:
        """Stop accepting connections, and close each open one once it is idle.

        From `wait_for_idle_until_us` on, a connection is closed as soon as it has no pending request. The
        process then lingers for input that arrives just before its exit: a request that was received but not
        answered would be lost.
        """
        components = self.components
        limits = components.limits
        for listener in self.listeners:
            timeout_s = max(0.0, (self.exit_deadline_us - clock()) / 1e6)
            await listener.accept_queued_and_close(timeout_s, components.free_descriptor)
        while (self._has_unanswered() or platform.has_open_connections()) and clock() < self.exit_deadline_us:
            await asyncio.sleep(POLL_S)
            platform.close_gracefully(limits.handover.idle_us if clock() < wait_for_idle_until_us else 0)
        platform.close_all()
        linger_until_us = clock() + limits.handover.linger_us
        # Until then, input that crosses the close is read and discarded.
        await poll_until(lambda: not platform.clients or clock() >= linger_until_us)
