"""The agent process: keeps many instances running, answers the command line, and runs the control plane."""

import asyncio
import logging
import signal
from collections import Counter
from collections.abc import Callable

from maplestile.agent.command_client import send_command
from maplestile.agent.command_server import OPERATE, CommandServer
from maplestile.agent.instance import Instance
from maplestile.agent.process_registry import ProcessRegistry
from maplestile.agent.router_client import RouterClient
from maplestile.agent.settings import AgentSettings, InstanceSettings, load_settings
from maplestile.agent.supervised_process import SupervisedProcess
from maplestile.common.errors import CommandRejected
from maplestile.control.settings import ControlSettings
from maplestile.operation.state_folder import ProcessLocks

log = logging.getLogger("maplestile.agent")
__all__ = [
    "OPERATE",
    "AgentSettings",
    "InstanceSettings",
    "Supervisor",
    "send_command",
    "load_settings",
]


class Supervisor:
    """An agent with its instances."""

    def __init__(self, settings: AgentSettings, reread: Callable[[str], InstanceSettings]) -> None:
        """Raises OSError where its folder is another agent's, or cannot be used."""
        self.settings = settings
        registry = None
        if settings.folder is not None:
            # Two agents over the same instances would each start what the other has stopped.
            self.lock = ProcessLocks(settings.folder)
            if not self.lock.acquire("agent"):
                raise OSError(f"another agent has the folder {settings.folder}")
            registry = ProcessRegistry(settings.folder)
        self.instances: dict[str, Instance] = {}
        for instance in settings.instances:
            process = SupervisedProcess(instance, settings, reread, registry)
            self.instances[instance.name] = Instance(process, RouterClient(process))
        self.stopping = asyncio.Event()
        self.counters: Counter[str] = Counter()
        self.command_server = CommandServer(self.instances, self.stopping.set)

    async def run(self) -> None:
        """Run until a signal or a command stops it, and end its instances. Raises OSError at the start."""
        self._handle_signals()
        server = await self.command_server.listen(*self.settings.listen)
        host, port = server.sockets[0].getsockname()[:2]
        log.info("agent listens on %s:%d, %d instances", host, port, len(self.instances))
        tasks = self._start_tasks()
        await self.stopping.wait()
        log.info("agent stops its instances")
        await asyncio.gather(*(instance.process.stop() for instance in self.instances.values()))
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_routers)

    def _start_tasks(self) -> list[asyncio.Task[None]]:
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(instance.process.run()) for instance in self.instances.values()]
        if self.settings.control is not None:
            tasks.append(loop.create_task(self._run_control_plane(self.settings.control)))
        return tasks

    async def _run_control_plane(self, settings: ControlSettings) -> None:
        # The library of the replicated log is loaded by an agent with a control plane alone.
        from maplestile.agent.control_plane import ControlPlane

        try:
            control_plane = ControlPlane.open(settings, self.instances, self.counters)
            self.command_server.enable_control(control_plane)
            await control_plane.run()
        except Exception as fault:  # whatever the library raises over its folder or address
            self.command_server.disable_control(f"it does not run: {fault}")
            trace = None if isinstance(fault, CommandRejected | OSError) else fault
            text = "the control plane does not run; the instances go on without it: %s"
            log.error(text, fault, exc_info=trace)  # noqa: TRY400 - an expected fault is logged untraced

    def _reload_routers(self) -> None:
        """Pass SIGHUP on to the routers; the agent's own file is read at its start alone."""
        reloaded = [
            name
            for name, instance in self.instances.items()
            if instance.process.settings.is_router and instance.process.send(signal.SIGHUP)
        ]
        log.info("agent: SIGHUP passed on to %s", ", ".join(reloaded) or "nobody")
