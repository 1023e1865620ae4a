"""One function router on the platform: start, drain at SIGTERM, counters at SIGUSR1 and at the end."""

import asyncio
import gc
import json
import logging
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Mapping
from typing import Any

from maplestile.core import Core
from maplestile.fleet import Fleet, FleetError
from maplestile.interface import ListKind
from maplestile.limits import Limits
from maplestile.net.names import Names
from maplestile.net.platform import Platform
from maplestile.net.runners import Runners
from maplestile.net.stamps import StampedSelector
from maplestile.settings import SettingsError, settings_from

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

    def __init__(self, config: Mapping[str, Any], selector: StampedSelector) -> None:
        self.name = str(config.get("name", ""))
        settings = settings_from(config["settings"])
        told = config.get("limits", {})
        self.limits = Limits.of(settings, int(told.get("sockets", 1024)))
        self.listen, self.dns = address(config["listen"]), address(config["dns"])
        self.counters: Counter[str] = Counter()
        self.fleet = Fleet()
        self.fleet.apply_known(config["known"])
        self.runners = Runners(self.limits, clock, self.counters)
        seed = int(str(config.get("seed", "0")), 16) & (1 << 63) - 1
        self.core = Core(settings, self.limits, seed, self.runners, clock, self._alarm, self.counters)
        self.runners.core = self.core
        self.platform = Platform(
            self.core, self.limits, self.counters, lambda: selector.since_us, self._ready
        )
        self.names = Names(self.dns, self.fleet, self.limits, self.counters, self._changed, seed)
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
        self.runners.update(self.fleet)
        self.core.list_changed(self.fleet.event(ListKind.CACHED))
        server = await self.platform.start(*self.listen)
        self.listening = True
        log.info("%s listens on %s:%d, %d runners known", self.name, *self.listen, len(self.fleet.entries))
        tasks = [loop.create_task(self.names.run()), loop.create_task(self._sweep())]
        for task in tasks:
            task.add_done_callback(self._task_ended)
        await self.stopping.wait()
        await self._drain()
        server.close()
        for task in tasks:
            task.cancel()
        self.print_counters()

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

    def print_counters(self) -> None:
        told = {name: self.counters[name] for name in sorted(self.counters)}
        print(json.dumps({"counters": told}), file=sys.stderr, flush=True)


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    try:
        with open(os.environ["NODE_CONFIG"], encoding="utf-8") as file:
            config = json.load(file)
        selector = StampedSelector(clock)
        loop: asyncio.AbstractEventLoop = asyncio.SelectorEventLoop(selector)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:

            async def start() -> None:
                node = Node(config, selector)
                gc.freeze()
                gc.set_threshold(GC_THRESHOLD, 20, 50)
                await node.run()

            runner.run(start())
    except (KeyError, ValueError, OSError, SettingsError, FleetError) as fault:
        log.error("cannot start: %s: %s", type(fault).__name__, fault)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
