"""Polls the configured name server for the endpoint list; a reload may replace the server."""

import asyncio

from maplestile.common.address import Address
from maplestile.net.dns_discovery import DnsDiscovery
from maplestile.router.components import Components
from maplestile.router.supervisor import TaskSupervisor


class Discovery:
    """The polling of the configured name server, if there is one."""

    def __init__(self, components: Components, supervisor: TaskSupervisor) -> None:
        self.components = components
        self.supervisor = supervisor
        self.driver: DnsDiscovery | None = None
        self.task: asyncio.Task[None] | None = None

    def poll(self, server: Address | None) -> None:
        """Poll this name server from now on; None stops the polling.

        The previous server is still polled until the new one has answered, since otherwise the router would
        learn of no drains in the meantime.
        """
        previous = self._answering_task()
        if self.task is not None and self.task is not previous:
            self.task.cancel()
        self.task = None
        self.driver = None
        if server is None:
            if previous is not None:
                previous.cancel()
            return
        components = self.components
        self.driver = DnsDiscovery(
            server,
            components.endpoints,
            components.limits.names,
            components.counters,
            components.publish_endpoints,
            components.free_descriptor,
            previous,
            components.confirm_endpoints,
        )
        self.task = self.supervisor.start(self.driver.run)

    @property
    def has_answered(self) -> bool:
        """Whether the name server has sent a usable reply, or no name server is polled."""
        return self.driver is None or self.driver.has_answered

    def _answering_task(self) -> asyncio.Task[None] | None:
        """Return the current task, or the previous one while the current server has not answered."""
        driver = self.driver
        if driver is None or driver.has_answered or driver.previous_task is None:
            return self.task
        previous = driver.previous_task
        driver.previous_task = None
        return previous
