"""Which name server is polled for the endpoint list, also while a reload replaces it by another."""

import asyncio

from maplestile.common.address import Address
from maplestile.net.dns_discovery import DnsDiscovery
from maplestile.router.components import Components
from maplestile.router.supervisor import TaskSupervisor


class Discovery:
    """Polls the name server of the configuration, if it has one."""

    def __init__(self, components: Components, supervisor: TaskSupervisor) -> None:
        self.components = components
        self.supervisor = supervisor
        self.driver: DnsDiscovery | None = None
        self.task: asyncio.Task[None] | None = None

    def poll(self, server: Address | None) -> None:
        """Poll this name server from now on.

        The server before it is polled until this one has answered: otherwise the router would learn of no
        drain while the new one does not answer.
        """
        previous = self._answering_task()
        if self.task is not None and (self.task is not previous or server is None):
            self.task.cancel()
        self.task = None
        self.driver = None
        if server is None:
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
        )
        self.task = self.supervisor.start(self.driver.run)

    @property
    def has_answered(self) -> bool:
        """Whether a usable answer was received, or none is awaited."""
        return self.driver is None or self.driver.has_answered

    def _answering_task(self) -> asyncio.Task[None] | None:
        """Return the current task, or the one before it where the current server never answered."""
        driver = self.driver
        if driver is None or driver.has_answered or driver.previous_task is None:
            return self.task
        previous = driver.previous_task
        driver.previous_task = None
        return previous
