"""One function router: start, reload at SIGHUP, drain at SIGTERM, counters at SIGUSR1 and at the end.

Without arguments it is a node of the platform, told all by its environment; else the command line."""

import asyncio
import json
import logging
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from maplestile import logs
from maplestile.config import Config, ConfigError, address, config_from
from maplestile.core import Core
from maplestile.garbage import Collector
from maplestile.interface import ListKind
from maplestile.net.names import Names
from maplestile.net.platform import Platform
from maplestile.net.runners import Runners
from maplestile.net.stamps import StampedSelector

if TYPE_CHECKING:  # the platform's nodes do not load the second front
    from maplestile.invoke.api import Api

log = logging.getLogger("maplestile")
SWEEP_S, DRAIN_LOOK_S = 1.0, 0.02


def clock() -> int:
    """The Unix clock in microseconds."""
    return time.time_ns() // 1000


class Node:
    """The parts of one function router, put together."""

    def __init__(self, configure: Callable[[], Config], selector: StampedSelector) -> None:
        self.configure, self.config = configure, configure()
        self.name, self.limits, self.fleet = self.config.name, self.config.limits, self.config.fleet
        self.selector = selector
        self.counters: Counter[str] = Counter()
        self.collector = Collector(self.counters)
        self.runners = Runners(self.limits, clock, self.counters)
        seed, settings = self.config.seed, self.config.settings
        self.core = Core(settings, self.limits, seed, self.runners, clock, self._alarm, self.counters)
        self.runners.core = self.core
        self.handle: asyncio.TimerHandle | None = None
        self.stopping = asyncio.Event()
        self.listening = False
        self.api: Api | None = None
        self.names: asyncio.Task[None] | None = None

    def _ready(self) -> bool:
        return self.listening and bool(self.fleet.entries) and not self.stopping.is_set()

    def _alarm(self, due_us: int) -> None:
        if self.handle is not None:
            self.handle.cancel()
        delay = max(0.0, (due_us - clock()) / 1e6)
        self.handle = asyncio.get_running_loop().call_later(delay, self.core.tick)

    def _changed(self) -> None:
        # The pool first: a decision on the new list must find its addresses and drains.
        self.runners.update(self.fleet)
        self.core.list_changed(self.fleet.event())

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.collector.start()
        self.runners.update(self.fleet)
        self.core.list_changed(self.fleet.event(ListKind.CACHED))
        servers = await self._listen()
        self.listening = True
        sweep = self._start(self._sweep())
        self._ask_names()
        await self.stopping.wait()
        await self._drain()
        for server in servers:
            server.close()
        for task in (sweep, self.names):
            if task is not None:
                task.cancel()
        self.collector.stop()
        self.print_counters()

    def _start(self, part: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(part)
        task.add_done_callback(self._task_ended)
        return task

    def _ask_names(self) -> None:
        """Ask the name server of the configuration from now on; queries to another one end."""
        if self.names is not None:
            self.names.cancel()
            self.names = None
        if (server := self.config.dns) is not None:
            names = Names(server, self.fleet, self.limits, self.counters, self._changed)
            self.names = self._start(names.run())

    def reload(self) -> None:
        """SIGHUP: read the configuration again, whole, before anything of it is taken."""
        restarts, taken, fault = list[str](), list[str](), ""
        try:
            new = self.configure()
        except (ConfigError, OSError) as cause:
            self.counters["reloads.failed"] += 1
            fault = f"{type(cause).__name__}: {cause}"
            log.error("%s cannot reload; the old configuration stays: %s", self.name, fault)
        else:
            self.counters["reloads.taken"] += 1
            restarts = self.config.restarts(new)
            taken = self._take(new)
            told = ", ".join(taken) or "nothing", ", ".join(restarts) or "nothing"
            log.info("%s reloaded; taken: %s; only a restart takes: %s", self.name, *told)
        told_json = {"ok": not fault, "fault": fault, "taken": taken, "restart": restarts}
        print(json.dumps({"reload": told_json}), file=sys.stderr, flush=True)

    def _take(self, new: Config) -> list[str]:
        """Swap what can change live; the rest of the old configuration stays in force."""
        taken, old = list[str](), self.config
        self.config = replace(old, dns=new.dns)
        if new.dns != old.dns:
            taken.append("dns")
            self._ask_names()
        # The serials go on: a file older than what the name server has told brings back no dead worker.
        # Where no name server is asked, the file is all that tells of the workers.
        newer = new.fleet.version > self.fleet.version
        if newer or (new.dns is None and new.fleet.entries != self.fleet.entries):
            self.fleet.replace(new.fleet)
            self._changed()
            taken.append("known")
        if self.api is not None and new.operator is not None and self.api.reload(new.operator):
            taken.append("invoke")
        return taken

    async def _listen(self) -> list[asyncio.Server]:
        servers = []
        if self.config.listen is not None:
            platform = Platform(self.core, self.limits, self.counters, self._received, self._ready)
            servers.append(await platform.start(*self.config.listen))
            self._listens("platform", servers[-1])
        if (operator := self.config.operator) is not None:
            from maplestile.invoke.api import Api
            from maplestile.invoke.http import Http

            self.api = Api(self.core, operator, self.counters)
            http = Http(self.api, self.counters, self._received)
            servers.append(await http.start(*address(operator.listen)))
            self._listens("invoke", servers[-1])
        return servers

    def _listens(self, front: str, server: asyncio.Server) -> None:
        host, port = server.sockets[0].getsockname()[:2]
        known = len(self.fleet.entries)
        log.info("%s: %s front listens on %s:%d, %d runners known", self.name, front, host, port, known)

    def _received(self) -> int:
        return self.selector.read_us

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.error("a part has failed", exc_info=task.exception())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.runners.sweep()
            self.collector.look(time.monotonic())

    async def _drain(self) -> None:
        """Go on serving what comes; clients hear of the end late. Leave when nothing is owed."""
        log.info("%s was asked to stop; %d requests open", self.name, len(self.core.open))
        until = clock() + self.limits.drain_least_us
        while clock() < until or self.core.open:
            await asyncio.sleep(DRAIN_LOOK_S)
        await asyncio.sleep(DRAIN_LOOK_S)  # the invoke front has yet to write the last answers
        log.info("%s stops; nothing is owed", self.name)

    def print_counters(self) -> None:
        self.counters["loop.longest_us"] = int(self.selector.busiest_s * 1e6)
        told = {name: self.counters[name] for name in sorted(self.counters)}
        print(json.dumps({"counters": told}), file=sys.stderr, flush=True)


def serve(file: Path) -> int:
    """One instance set up by an operator's file, with the invoke front."""
    from maplestile.invoke.operator import load

    seed = os.urandom(8).hex()

    def configure() -> Config:
        operator = load(file)
        return config_from({**operator.node, "seed": seed}, operator)

    return _run(configure)


def _run(configure: Callable[[], Config]) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until its handler stands; the default ends the program
    logs.start()
    try:
        selector = StampedSelector(clock)
        loop: asyncio.AbstractEventLoop = asyncio.SelectorEventLoop(selector)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:

            async def start() -> None:
                await Node(configure, selector).run()

            runner.run(start())
    except (ConfigError, OSError) as fault:
        log.error("cannot start: %s: %s", type(fault).__name__, fault)
        return 1
    return 0


def read_config() -> Config:
    file = os.environ.get("NODE_CONFIG")
    if file is None:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        told = json.loads(Path(file).read_bytes())
    except ValueError as fault:
        raise ConfigError(f"no JSON: {fault}") from None
    if not isinstance(told, dict):
        raise ConfigError("no JSON object")
    return config_from(told)


def main() -> int:
    if sys.argv[1:]:
        from maplestile import cli

        return cli.main()
    return _run(read_config)


if __name__ == "__main__":
    sys.exit(main())
