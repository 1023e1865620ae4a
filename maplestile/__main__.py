"""One function router: start, drain at SIGTERM, counters at SIGUSR1 and at the end.

Without arguments it is a node of the platform, told all by its environment; else the command line."""

import asyncio
import gc
import json
import logging
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from maplestile.core import Core
from maplestile.fleet import Fleet, FleetError
from maplestile.interface import ListKind
from maplestile.limits import Limits
from maplestile.net.names import Names
from maplestile.net.platform import Platform
from maplestile.net.runners import Runners
from maplestile.net.stamps import StampedSelector
from maplestile.settings import SettingsError, settings_from

if TYPE_CHECKING:  # the platform's nodes do not load the second front
    from maplestile.invoke.operator import Operator

log = logging.getLogger("maplestile")
SWEEP_S, DRAIN_LOOK_S = 1.0, 0.02
GC_THRESHOLD = 20_000  # allocations between looks of the youngest generation: each look stops the loop


def clock() -> int:
    """The Unix clock in microseconds."""
    return time.time_ns() // 1000


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Node:
    """The parts of one function router, put together."""

    def __init__(
        self, config: Mapping[str, Any], selector: StampedSelector, operator: "Operator | None" = None
    ) -> None:
        self.name = str(config.get("name", ""))
        settings = settings_from(config["settings"])
        told = config.get("limits", {})
        self.limits = Limits.of(settings, int(told.get("sockets", 1024)))
        self.listen = address(config["listen"]) if "listen" in config else None
        self.dns = address(config["dns"]) if "dns" in config else None
        self.operator, self.selector, self.collecting_s = operator, selector, 0.0
        self.counters: Counter[str] = Counter()
        self.fleet = Fleet()
        self.fleet.apply_known(config.get("known", {"updates": []}))
        self.runners = Runners(self.limits, clock, self.counters)
        self.seed = int(str(config.get("seed", "0")), 16) & (1 << 63) - 1
        self.core = Core(settings, self.limits, self.seed, self.runners, clock, self._alarm, self.counters)
        self.runners.core = self.core
        self.handle: asyncio.TimerHandle | None = None
        self.stopping = asyncio.Event()
        self.listening = False

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
        gc.callbacks.append(self._collected)
        self.runners.update(self.fleet)
        self.core.list_changed(self.fleet.event(ListKind.CACHED))
        servers = await self._listen()
        self.listening = True
        tasks = [loop.create_task(self._sweep())]
        if self.dns is not None:
            names = Names(self.dns, self.fleet, self.limits, self.counters, self._changed, self.seed)
            tasks.append(loop.create_task(names.run()))
        for task in tasks:
            task.add_done_callback(self._task_ended)
        await self.stopping.wait()
        await self._drain()
        for server in servers:
            server.close()
        for task in tasks:
            task.cancel()
        self.print_counters()

    async def _listen(self) -> list[asyncio.Server]:
        servers = []
        if self.listen is not None:
            platform = Platform(self.core, self.limits, self.counters, self._received, self._ready)
            servers.append(await platform.start(*self.listen))
            self._listens("platform", servers[-1])
        if self.operator is not None:
            from maplestile.invoke.api import Api
            from maplestile.invoke.http import Http

            api = Api(self.core, self.operator, self.counters)
            http = Http(api, self.operator, self.counters, self._received)
            servers.append(await http.start(*address(self.operator.listen)))
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

    async def _drain(self) -> None:
        """Go on serving what comes; clients hear of the end late. Leave when nothing is owed."""
        log.info("%s was asked to stop; %d requests open", self.name, len(self.core.open))
        until = clock() + self.limits.drain_least_us
        while clock() < until or self.core.open:
            await asyncio.sleep(DRAIN_LOOK_S)
        log.info("%s stops; nothing is owed", self.name)

    def _collected(self, phase: str, info: dict[str, int]) -> None:
        """Keeps the longest pause that the collector made; each one stops the loop."""
        now = time.perf_counter()
        if phase == "stop":
            pause_us = int((now - self.collecting_s) * 1e6)
            self.counters["gc.longest_us"] = max(self.counters["gc.longest_us"], pause_us)
        self.collecting_s = now

    def print_counters(self) -> None:
        self.counters["loop.longest_us"] = int(self.selector.busiest_s * 1e6)
        told = {name: self.counters[name] for name in sorted(self.counters)}
        print(json.dumps({"counters": told}), file=sys.stderr, flush=True)


def serve(operator: "Operator") -> int:
    """One instance set up by an operator's file, with the invoke front."""
    return _run(lambda: {**operator.node, "seed": os.urandom(8).hex()}, operator)


def _run(configure: Callable[[], Mapping[str, Any]], operator: "Operator | None" = None) -> int:
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    try:
        config = configure()
        selector = StampedSelector(clock)
        loop: asyncio.AbstractEventLoop = asyncio.SelectorEventLoop(selector)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:

            async def start() -> None:
                node = Node(config, selector, operator)
                gc.freeze()
                gc.set_threshold(GC_THRESHOLD, 20, 50)
                await node.run()

            runner.run(start())
    except (KeyError, ValueError, OSError, SettingsError, FleetError) as fault:
        log.error("cannot start: %s: %s", type(fault).__name__, fault)
        return 1
    return 0


def read_config() -> Any:
    with open(os.environ["NODE_CONFIG"], encoding="utf-8") as file:
        return json.load(file)


def main() -> int:
    if sys.argv[1:]:
        from maplestile import cli

        return cli.main()
    return _run(read_config)


if __name__ == "__main__":
    sys.exit(main())
