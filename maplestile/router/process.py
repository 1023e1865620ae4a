"""Runs the main program of a router: reload at SIGHUP, drain at SIGTERM, counters at SIGUSR1 and on exit."""

import asyncio
import json
import logging
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from maplestile.common import logs
from maplestile.common.loop_errors import LoopErrorReporter
from maplestile.common.toml_table import ConfigError
from maplestile.dispatch.api import ListKind
from maplestile.net.listen import Listener
from maplestile.net.receive_timestamps import TimestampingSelector
from maplestile.router.clock import clock as clock  # re-exported for users outside this package
from maplestile.router.components import Components
from maplestile.router.config import Config, config_from_environment
from maplestile.router.discovery import Discovery
from maplestile.router.drain import Drain
from maplestile.router.fronts import open_client_fronts, open_operator_front
from maplestile.router.gc_scheduler import GcScheduler
from maplestile.router.memory_monitor import MemoryMonitor
from maplestile.router.policy_attachment import attach_policy, start_policy
from maplestile.router.readiness import Readiness
from maplestile.router.reload import Reloader
from maplestile.router.supervisor import TaskSupervisor
from maplestile.router.wall_clock_monitor import WallClockMonitor

if TYPE_CHECKING:  # imported at run time only if the configuration needs them, to save start time and memory
    from maplestile.router.policy_driver import PolicyDriver
    from maplestile.router.takeover import HandoverMonitor

log = logging.getLogger("maplestile")
SWEEP_S = 1.0  # how often to close idle runner connections and collect garbage


class RouterProcess:
    """One router process, from its start to its exit."""

    def __init__(
        self,
        load_config: Callable[[], Config],
        selector: TimestampingSelector,
        policy: "PolicyDriver | None" = None,
    ) -> None:
        """Build the components. Raises ConfigError or OSError if the configuration cannot be used."""
        self.components = Components(load_config(), selector)
        self.supervisor = TaskSupervisor(self.components.counters)
        self.discovery = Discovery(self.components, self.supervisor)
        self.readiness = Readiness(self.components, self.discovery)
        self.reloader = Reloader(self.components, self.discovery, load_config)
        self.gc_scheduler = GcScheduler(self.components.counters)
        self.wall_clock_monitor = WallClockMonitor(self.components.counters)
        memory_mb = self.components.config.limits.process.memory_mb
        self.memory_monitor = MemoryMonitor(memory_mb, self.components.counters)
        self.handover: HandoverMonitor | None = None
        if policy is not None:
            attach_policy(self.components, policy)

    async def run(self) -> None:
        """Serve until asked to stop, and then drain. Raises OSError if a front cannot bind its address."""
        self._install_signal_handlers()
        LoopErrorReporter(self.components.counters).install()
        self.gc_scheduler.start()
        operator_listener = await open_operator_front(self.components, self.readiness)
        self.components.publish_endpoints(ListKind.CACHED)
        await self._start_background_tasks()
        client_listeners = await self._serve_clients()
        for listener in (*client_listeners, operator_listener):
            if listener is not None:
                listener.close()
        self.supervisor.cancel_all()
        self.gc_scheduler.stop()
        if self.components.records is not None:
            self.components.records.journal.close()
        self.print_counters()

    def print_counters(self) -> None:
        """Print all counters as one line of JSON on standard error."""
        components = self.components
        components.counters["loop.longest_us"] = int(components.selector.longest_busy_s * 1e6)
        late_ratio = components.core.dispatcher.admission.late_ratio
        components.counters["requests.late_permille"] = int(late_ratio * 1000)
        answers = Counter[str]()
        for (_, verdict), count in components.core.answers.items():
            answers[f"answers.{verdict.value}"] += count
        output = dict(sorted({**components.counters, **answers}.items()))
        print(json.dumps({"counters": output}), file=sys.stderr, flush=True)

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.components.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.components.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)

    async def _start_background_tasks(self) -> None:
        """Start the background tasks; return once clients may be accepted, or at a request to stop."""
        components = self.components
        self.supervisor.start(self._sweep)
        self._start_peers()
        self.discovery.poll(components.config.dns)
        if components.handover is not None:
            from maplestile.router.takeover import HandoverMonitor  # imported only if it is used

            self.handover = HandoverMonitor(components, self.readiness, components.handover)
            self.supervisor.start(self.handover.run)
            await self.handover.wait_until_may_serve()
        if components.policy is not None:
            await start_policy(components, components.policy, self.supervisor)

    def _start_peers(self) -> None:
        """Join the membership group, if the configuration has peers."""
        components = self.components
        if (settings := components.config.peers) is None:
            return
        from maplestile.net.gossip import GossipDriver  # imported only if it is used

        peers = GossipDriver(
            components.name,
            settings,
            components.config.seed,
            components.counters,
            components.core.control.check_health,
        )
        components.peers = peers
        components.core.control.may_check_health = peers.may_check_health
        components.core.control.on_health_check_result = peers.record_health_check
        peers.set_runners(components.endpoints.entries)
        self.supervisor.start(peers.run)

    async def _serve_clients(self) -> list[Listener]:
        """Serve until asked to stop, and drain; return the listeners for the caller to close."""
        components = self.components
        if components.stopping.is_set():  # asked to stop during the start: accept no clients
            return []
        components.measure_base_memory()
        listeners = await open_client_fronts(components, self.readiness)
        if listeners:
            components.is_listening = True
            await components.stopping.wait()
            await Drain(components, listeners, self.handover).run()
        return listeners

    async def _sweep(self) -> None:
        while True:
            self.wall_clock_monitor.check()
            self.memory_monitor.check()
            await asyncio.sleep(SWEEP_S)
            self.components.runners.sweep()
            self.gc_scheduler.collect_if_due(time.monotonic())


def serve(file: Path) -> int:
    """Run a router with the invoke front, configured by an operator's file; return its exit code."""
    from maplestile.router.file_configuration import FileConfiguration  # not needed by platform nodes

    try:
        configuration = FileConfiguration(file)
    except ConfigError as error:
        print(f"maplestile: {error}", file=sys.stderr)
        return 1
    return _run(configuration.read, configuration.policy)


def platform() -> int:
    """Run a node of the platform, configured by its environment; return its exit code."""
    return _run(config_from_environment)


def _run(load_config: Callable[[], Config], policy: "PolicyDriver | None" = None) -> int:
    """Run one router process until it exits; return its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the handler is installed; the default would exit
    logs.start()
    try:
        selector = TimestampingSelector(clock)
        loop: asyncio.AbstractEventLoop = asyncio.SelectorEventLoop(selector)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            return runner.run(_run_process(load_config, selector, policy))
    except (ConfigError, OSError) as error:
        _log_failed_start(error)
        return 1


async def _run_process(
    load_config: Callable[[], Config], selector: TimestampingSelector, policy: "PolicyDriver | None"
) -> int:
    """Build the process in the running event loop, run it, and return its exit code.

    Raises ConfigError or OSError if it cannot start.
    """
    process = RouterProcess(load_config, selector, policy)
    try:
        await process.run()
    except Exception:
        if not process.components.is_listening:
            raise
        log.exception("%s failed while it was serving", process.components.name)
        process.print_counters()
        return 1
    return 0


def _log_failed_start(error: Exception) -> None:
    log.error("the router cannot start: %s: %s", type(error).__name__, error)
