"""The agent process: keeps its instances running, answers the command line, and runs the control plane."""

import asyncio
import logging
import signal
from collections import Counter
from collections.abc import Callable

from maplestile.agent.command_client import send_command
from maplestile.agent.command_server import FRONT_REQUESTS, CommandServer
from maplestile.agent.instance import Instance
from maplestile.agent.process_registry import ProcessRegistry
from maplestile.agent.router_client import RouterClient
from maplestile.agent.settings import AgentSettings, InstanceSettings, load_settings
from maplestile.agent.supervised_process import SupervisedProcess
from maplestile.common.errors import CommandRejected
from maplestile.common.loop_errors import LoopErrorReporter
from maplestile.common.tasks import start_task
from maplestile.control.settings import ControlSettings
from maplestile.operation.state_folder import ProcessLocks

log = logging.getLogger("maplestile.agent")
__all__ = [
    "FRONT_REQUESTS",
    "AgentSettings",
    "InstanceSettings",
    "Supervisor",
    "send_command",
    "load_settings",
]


class Supervisor:
    """Runs one agent: supervises its instances and serves its commands."""

    def __init__(self, settings: AgentSettings, read_settings: Callable[[str], InstanceSettings]) -> None:
        """Create the agent; nothing is started yet.

        `read_settings` returns the current settings of an instance from the agent's file. Raises OSError if
        the agent's folder cannot be used or belongs to another running agent.
        """
        self.settings = settings
        registry = None
        if settings.folder is not None:
            # Two agents with the same instances would each restart the processes that the other has stopped.
            self.lock = ProcessLocks(settings.folder)
            if not self.lock.acquire("agent"):
                raise OSError(f"another agent has the folder {settings.folder}")
            registry = ProcessRegistry(settings.folder)
        self.instances: dict[str, Instance] = {}
        for instance in settings.instances:
            process = SupervisedProcess(instance, settings, read_settings, registry)
            self.instances[instance.name] = Instance(process, RouterClient(process))
        self.stopping = asyncio.Event()
        self.counters: Counter[str] = Counter()
        self.command_server = CommandServer(self.instances, self.stopping.set, self.counters)

    async def run(self) -> None:
        """Run until a signal or a command stops the agent, then stop its instances.

        Raises OSError if the command server cannot listen.
        """
        self._handle_signals()
        LoopErrorReporter(self.counters).install()
        server = await self.command_server.listen(*self.settings.listen)
        host, port = server.sockets[0].getsockname()[:2]
        log.info("agent listens on %s:%d, %d instances", host, port, len(self.instances))
        tasks = self._start_tasks()
        await self.stopping.wait()
        log.info("agent is stopping: waiting for its instances to exit")
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
        tasks = [start_task(instance.process.run()) for instance in self.instances.values()]
        if self.settings.control is not None:
            tasks.append(start_task(self._run_control_plane(self.settings.control)))
        return tasks

    async def _run_control_plane(self, settings: ControlSettings) -> None:
        # Imported here so that an agent without a control plane does not load the Raft library.
        from maplestile.agent.control_plane import ControlPlane

        try:
            control_plane = ControlPlane.open(settings, self.instances, self.counters)
            self.command_server.enable_control(control_plane)
            await control_plane.run()
        except Exception as error:  # the Raft library raises various types for a bad folder or address
            self.command_server.disable_control(f"it does not run: {error}")
            trace = None if isinstance(error, CommandRejected | OSError) else error
            text = "the control plane does not run; the instances go on without it: %s"
            log.error(text, error, exc_info=trace)  # noqa: TRY400 - no traceback for an expected error

    def _reload_routers(self) -> None:
        """Forward SIGHUP to the routers. The agent reads its own file only when it starts."""
        reloaded = [
            name
            for name, instance in self.instances.items()
            if instance.process.settings.is_router and instance.process.send_signal(signal.SIGHUP)
        ]
        log.info("agent: SIGHUP passed on to %s", ", ".join(reloaded) or "no router, since none is running")
