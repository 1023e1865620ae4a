"""One function router: start, reload at SIGHUP, drain at SIGTERM, counters at SIGUSR1 and at the end."""

import asyncio
import json
import logging
import os
import signal
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from maplestile.common import logs
from maplestile.common.address import parse_address
from maplestile.common.toml_table import ConfigError
from maplestile.dispatch.api import ListKind
from maplestile.net import reads
from maplestile.net.dns_discovery import DnsDiscovery
from maplestile.net.listen import Listener
from maplestile.net.platform import PlatformFront
from maplestile.net.receive_timestamps import TimestampingSelector
from maplestile.net.runners import RunnerPool
from maplestile.operation.handover import Handover, Stage
from maplestile.requests.core import Core
from maplestile.router.config import Config, config_from
from maplestile.router.gc_scheduler import GcScheduler

if TYPE_CHECKING:  # a process loads only the fronts that are set up
    from maplestile.control.policy.document import AdoptedPolicy
    from maplestile.invoke.api import Api
    from maplestile.net.gossip import GossipDriver
    from maplestile.net.http import HttpFront
    from maplestile.operation.cordons import Cordons
    from maplestile.router.policy_driver import PolicyDriver

log = logging.getLogger("maplestile")
SWEEP_S, DRAIN_LOOK_S, AGAIN_S = 1.0, 0.02, 0.2
RELOADS = 10  # tries to read a configuration while there is no descriptor for its file


def clock() -> int:
    """The Unix clock in microseconds."""
    return time.time_ns() // 1000


class RouterProcess:
    """The parts of one function router, put together."""

    def __init__(
        self,
        configure: Callable[[], Config],
        selector: TimestampingSelector,
        policy: "PolicyDriver | None" = None,
    ) -> None:
        self.configure, self.config = configure, configure()
        self.name, self.limits, self.fleet = self.config.name, self.config.limits, self.config.fleet
        self.selector = selector
        self.counters: Counter[str] = Counter()
        self.collector = GcScheduler(self.counters)
        self.runners = RunnerPool(self.limits, clock, self.counters)
        seed, settings = self.config.seed, self.config.settings
        self.core = Core(settings, self.limits, seed, self.runners, clock, self._alarm, self.counters)
        self.runners.core, self.runners.starved = self.core, self._starved
        self.runners.input_is_old = selector.input_is_old
        self.handle: asyncio.TimerHandle | None = None
        self.stopping = asyncio.Event()
        self.listening = False
        self.began_us, self.live = clock(), 1
        self.api: Api | None = None
        self.invoke: tuple[HttpFront, Listener] | None = None
        self.accepting: Listener | None = None  # the platform's front
        self.names: DnsDiscovery | None = None
        self.asking: asyncio.Task[None] | None = None
        self.platform: PlatformFront | None = None
        self.bans: Cordons | None = None
        self.handover: Handover | None = None
        self.current = False
        self.peers: GossipDriver | None = None
        self.policy = policy
        if policy is not None:
            policy.counters, policy.take, policy.calls = self.counters, self._take_policy, self.core.epochs
            self.core.admits = policy.admits
            if policy.plan.trace:
                self.core.sent = policy.sent

    def _ready(self) -> bool:
        """To clients: the router serves, be it by the process that takes over."""
        going = self.stopping.is_set() and not self._handing_over()
        return self.listening and bool(self.fleet.entries) and not going

    def _lacking(self) -> str:
        """To operators: why this process cannot serve; empty if it can."""
        if self.stopping.is_set():
            return "it was asked to stop"
        if not self._list_is_current():
            return "the name server has not answered yet"
        if self.policy is not None and (lacking := self.policy.lacking()):
            return lacking
        if not self.listening:
            return "it does not listen yet"
        return "" if self.fleet.entries else "no runner is listed"

    def _list_is_current(self) -> bool:
        """What the configuration knows of runners may be old, so the name server is heard first; a silent one
        keeps nobody from serving for good."""
        waited = clock() - self.began_us >= self.limits.names_wait_us
        self.current = self.current or self.names is None or self.names.heard or waited
        return self.current

    def _handing_over(self) -> bool:
        return self.handover is not None and self.handover.successor_ready

    def _alarm(self, due_us: int) -> None:
        if self.handle is not None:
            self.handle.cancel()
        delay = max(0.0, (due_us - clock()) / 1e6)
        self.handle = asyncio.get_running_loop().call_later(delay, self.core.tick)

    def _changed(self, kind: ListKind = ListKind.FULL) -> None:
        if self.bans is not None:
            self.bans.listed(self.fleet.entries)
            self.fleet.suspended = self.bans.banned
        # The pool first: a decision on the new list must find its addresses and drains.
        self.runners.update(self.fleet)
        if self.peers is not None:
            self.peers.listed(self.fleet.entries)
        self.core.list_changed(self.fleet.event(kind))

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self.print_counters)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.collector.start()
        operation = await self._operation()
        self._changed(ListKind.CACHED)
        parts = [self._start(self._sweep)]
        if (plan := self.config.peers) is not None:
            from maplestile.net.gossip import GossipDriver

            self.peers = GossipDriver(self.name, plan, self.config.seed, self.counters, self.core.probe)
            self.core.may_probe, self.core.probed = self.peers.may_probe, self.peers.probed
            self.peers.listed(self.fleet.entries)
            parts.append(self._start(self.peers.run))
        self._ask_names()
        if self.handover is not None:
            parts.append(self._start(self._follow))
            await self._succeed(self.handover)
        if self.policy is not None:
            from maplestile.router.policy_driver import in_thread

            self.policy.elsewhere = in_thread
            parts.append(self._start(self.policy.run))
            while not (self.policy.admits() or self.stopping.is_set()):
                await asyncio.sleep(DRAIN_LOOK_S)
        # One that was told to end before it could serve takes nobody in.
        fronts = [] if self.stopping.is_set() else await self._listen()
        if fronts:
            self.listening = True
            await self.stopping.wait()
            await self._drain(fronts)
        for front in (*fronts, operation):
            if front is not None:
                front.close()
        for part in (*parts, self.asking):
            if part is not None:
                part.cancel()
        self.collector.stop()
        self.print_counters()

    def _start(self, part: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        async def kept() -> None:
            while True:
                try:
                    return await part()
                except Exception:  # guards against a part that is gone for good over one bad moment
                    self.counters["parts.failed"] += 1
                    log.exception("a part has failed, and begins anew: %s", part.__qualname__)
                    await asyncio.sleep(AGAIN_S)

        return asyncio.get_running_loop().create_task(kept())

    def _ask_names(self) -> None:
        """Ask the name server of the configuration from now on. Another one is asked until this one has
        answered: guards against a new one that says nothing, which would leave all drains untold."""
        before, server = self.asking, self.config.dns
        if self.names is not None and not self.names.heard and self.names.before is not None:
            before, self.names.before = self.names.before, None  # this one never answered
        if self.asking is not None and (self.asking is not before or server is None):
            self.asking.cancel()
        self.asking = self.names = None
        if server is not None:
            self.names = DnsDiscovery(
                server, self.fleet, self.limits, self.counters, self._changed, self._starved, before
            )
            self.asking = self._start(self.names.run)

    def reload(self, tries: int = RELOADS) -> None:
        """SIGHUP: read the configuration again, whole, before anything of it is taken."""
        restarts, taken, fault = list[str](), list[str](), ""
        try:
            new = self.configure()
            # Half of it would be a mixture of two configurations, perhaps of two customers.
            if restarts := self.config.restarts(new):
                raise ConfigError(f"only a restart takes {', '.join(restarts)}")
        except (ConfigError, OSError) as cause:
            if isinstance(cause, OSError) and cause.errno in reads.NO_DESCRIPTOR and tries > 1:
                self._starved()
                asyncio.get_running_loop().call_later(DRAIN_LOOK_S, self.reload, tries - 1)
                return
            self.counters["reloads.failed"] += 1
            fault = f"{type(cause).__name__}: {cause}"
            log.error("%s cannot reload; the old configuration stays: %s", self.name, fault)
        else:
            self.counters["reloads.taken"] += 1
            taken = self._take(new)
            log.info("%s reloaded; taken: %s", self.name, ", ".join(taken) or "nothing")
        told_json = {"ok": not fault, "fault": fault, "taken": taken, "restart": restarts}
        print(json.dumps({"reload": told_json}), file=sys.stderr, flush=True)

    def _take(self, new: Config) -> list[str]:
        """Swap what can change live, which is all that differs."""
        taken, old = list[str](), self.config
        self.config = replace(old, dns=new.dns)
        if new.dns != old.dns:
            taken.append("dns")
            self._ask_names()
        # The serials go on: a file older than what the name server has told brings back no dead worker.
        # Where no name server is asked, the file is all that tells of the workers.
        newer = new.fleet.version != self.fleet.version and not self.fleet.behind(new.fleet.version)
        if newer or (new.dns is None and new.fleet.entries != self.fleet.entries):
            self.fleet.replace(new.fleet)
            self._changed()
            taken.append("known")
        if self.api is not None and new.operator is not None and self.api.reload(new.operator):
            taken.append("invoke")
        return taken

    def _take_policy(self, new: Config) -> None:
        """An epoch of the fleet's: for the calls that come from now on, at the module and at the fronts."""
        self.config = replace(self.config, settings=new.settings, limits=new.limits, operator=new.operator)
        self._limit()
        self.core.adopt(new.settings, self.limits)
        if self.platform is not None:
            self.platform.adopt(new.settings)
        if self.api is not None and new.operator is not None:
            self.api.adopt(new.operator)

    def _limit(self) -> None:
        """The budgets of this process, as the configuration and the processes beside it have them."""
        self.limits = self.core.limits = self.runners.limits = self.config.limits.shared(self.live)
        if self.platform is not None:
            self.platform.limits = self.limits

    async def _listen(self) -> list[Listener]:
        fronts = list[Listener]()
        if self.config.listen is not None:
            self.platform = PlatformFront(self.core, self.limits, self.counters, self.selector, self._ready)
            # Also where the folder is of no use: two processes that cannot hand over may still serve in turn.
            shared = self.config.operation is not None and self.config.operator is None
            self.accepting = await self.platform.start(*self.config.listen, shared)
            fronts.append(self.accepting)
            self._listens("platform", self.accepting)
        if (operator := self.config.operator) is not None:
            from maplestile.invoke.api import Api
            from maplestile.net.http import HttpFront

            self.api = Api(self.core, operator, self.counters)
            http = HttpFront("invoke", self.api, self.counters, self._received)
            fronts.append(await http.start(*parse_address(operator.listen)))
            self._listens("invoke", fronts[-1])
            self.invoke = http, fronts[-1]
        return fronts

    async def _operation(self) -> Listener | None:
        """The operators' front, which answers before the others stand; and what is shared with the process
        before this one."""
        if self.config.operation is None:
            return None
        from maplestile.net.http import HttpFront
        from maplestile.operation.api import OperatorApi
        from maplestile.operation.cordons import Cordons
        from maplestile.operation.service import OperatorService
        from maplestile.operation.state_folder import FileCordonStore, ProcessLocks

        folder = self.config.folder
        markers = FileCordonStore(folder / "suspended") if folder is not None else None
        self.bans = Cordons(markers, self.limits, self.counters, self._changed)
        self.bans.look()
        # A router with an invoke front has records that another process would not know.
        if folder is not None and self.config.operator is None:
            try:
                self.handover = Handover(ProcessLocks(folder))
            except OSError as fault:
                log.warning("%s cannot be replaced while it serves: %s", self.name, fault)
        desk = OperatorService(
            self.core,
            self.fleet,
            self.bans,
            lambda: self.runners.calls_written,
            self._lacking,
            lambda: None if self.peers is None else self.peers.members(),
            lambda: {} if self.peers is None else self.peers.figures(),
            self.policy,
        )
        http = HttpFront("operator", OperatorApi(desk, self.limits), self.counters, self._received)
        front = await http.start(*self.config.operation)
        self._listens("operator", front)
        return front

    def _listens(self, front: str, listener: Listener) -> None:
        (host, port), known = listener.address, len(self.fleet.entries)
        log.info("%s: %s front listens on %s:%d, %d runners known", self.name, front, host, port, known)

    # Replacing the process.

    async def _succeed(self, handover: Handover) -> None:
        """Where another process serves, clients are taken only once this one serves as well."""
        if handover.stage is Stage.ALONE:
            return
        log.info("%s: another process serves; it is %s", self.name, handover.stage.value)
        while not (self._list_is_current() and handover.stage is not Stage.WAITING):
            if self.stopping.is_set():
                return
            await asyncio.sleep(DRAIN_LOOK_S)

    async def _follow(self) -> None:
        """Look now and then at what the other process of an upgrade does and was told."""
        assert self.handover is not None
        while True:
            self._look(self.handover)
            await asyncio.sleep(self.limits.folder_look_us / 1e6)

    def _look(self, handover: Handover) -> None:
        assert self.bans is not None
        self.bans.look()
        before = handover.stage
        try:
            if not self._lacking():
                handover.ready()
            handover.look()
        except OSError as fault:
            log.warning("%s: the locks: %s", self.name, fault)
        if handover.stage is not before:
            log.info("%s: %s", self.name, handover.stage.value)
        if handover.live != self.live:
            self.live = handover.live
            log.info("%s: budgets for %d processes side by side", self.name, self.live)
            self._limit()

    def _received(self) -> int:
        """For bytes that a stream hands on, one turn after they were read."""
        return self.selector.read_us

    def _starved(self) -> None:
        """No descriptor is left for what the router itself needs: an idle client goes."""
        self.counters["descriptors.none_left"] += 1
        if self.platform is not None:
            self.platform.make_room()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self.runners.sweep()
            self.collector.look(time.monotonic())

    async def _drain(self, fronts: list[Listener]) -> None:
        """Go on serving what comes; clients hear of the end late. Leave when nothing is owed."""
        log.info("%s was asked to stop; %d requests open", self.name, len(self.core.open))
        told_us, limits = clock(), self.limits
        longest_us = max(kind.deadline_us for kind in self.core.settings.classes)
        end_us = told_us + limits.kill_after_us(longest_us) - limits.handover_spare_us
        until = min(told_us + limits.drain_least_us, end_us)
        if self.platform is not None:
            self.core.leave(end_us)  # what is owed then would never be answered
        if self.peers is not None:  # the others hear of the leave, and suspect nobody
            self.peers.leave()
        if self.invoke is not None:
            self.invoke[0].leaving = True
        if self.handover is not None:
            self.handover.leaving()
        busy_us = told_us  # when a call was last open
        while clock() < until or (self._owes(busy_us) and (self.platform is None or clock() < end_us)):
            if self.core.open:
                busy_us = clock()
            if self.handover is not None:
                self._look(self.handover)
                if self._handing_over() and self.platform is not None:
                    log.info("%s hands over; %d connections stand", self.name, len(self.platform.clients))
                    await self._part(self.platform, fronts, end_us, clock() + limits.handover_choosy_us)
                    break
            if clock() >= until + limits.drain_patience_us:
                await self._close()
            await asyncio.sleep(DRAIN_LOOK_S)
        else:
            await asyncio.sleep(DRAIN_LOOK_S)  # the invoke front has yet to write the last answers
            if self.invoke is not None:
                http, listener = self.invoke
                await http.end(listener)
            if self.platform is not None:
                await self._part(self.platform, fronts, end_us, clock())
        owed = len(self.core.open)
        log.info("%s stops; %s is owed", self.name, f"an answer to {owed} requests" if owed else "nothing")

    async def _close(self) -> None:
        """Take nothing more, and end each connection as it is answered. Guards against clients that never
        stop: something would always be owed, and all of them be cut off where they stand in the end."""
        self.core.close()
        if self.platform is not None and self.accepting is not None:
            await self.accepting.finish(self.limits.drain_patience_us / 1e6, self._starved)
            self.platform.part(0)

    def _owes(self, busy_us: int = 0) -> bool:
        """Also, for a while, results that callers of deferred calls have yet to collect: no other process
        could tell them, and they come when `Retry-After` has told them to."""
        if self.core.open or self.platform is not None and self.platform.owes():
            return True
        if self.api is None or clock() >= busy_us + self.limits.collect_us:
            return False
        return self.api.store.uncollected(clock())

    async def _part(
        self, platform: PlatformFront, fronts: list[Listener], end_us: int, choosy_us: int
    ) -> None:
        """Nobody is accepted any more, or by another process; the connections that stand end one by one, once
        quiet, and from `choosy_us` on also in a moment's rest. Guards what comes just before the exit: read
        by a process that ends without looking back, it would never be answered."""
        limits = self.limits
        for front in fronts:
            await front.finish(max(0.0, (end_us - clock()) / 1e6), self._starved)
        while (self._owes() or platform.stand()) and clock() < end_us:
            await asyncio.sleep(DRAIN_LOOK_S)
            platform.part(limits.handover_quiet_us if clock() < choosy_us else 0)
        platform.end()
        until = clock() + limits.handover_linger_us
        while platform.clients and clock() < until:  # what crossed the end is read away
            await asyncio.sleep(DRAIN_LOOK_S)

    def print_counters(self) -> None:
        answers = Counter[str]()
        self.counters["loop.longest_us"] = int(self.selector.busiest_s * 1e6)
        for (_, verdict), count in self.core.answers.items():
            answers[f"answers.{verdict.value}"] += count
        told = dict(sorted({**self.counters, **answers}.items()))
        print(json.dumps({"counters": told}), file=sys.stderr, flush=True)


def serve(file: Path) -> int:
    """One instance set up by an operator's file, with the invoke front."""
    from maplestile.control.policy.settings import plan_of
    from maplestile.invoke.operator_file import from_tables, read

    seed = os.urandom(8).hex()

    def build(tables: Mapping[str, Any], adopted: "AdoptedPolicy | None" = None) -> Config:
        operator = from_tables(tables, adopted)
        return config_from({**operator.node, "seed": seed}, operator)

    driver: PolicyDriver | None = None
    try:
        tables = read(file)
        if (plan := plan_of(tables)) is not None:
            from maplestile.router import policy_driver as policy

            driver = policy.PolicyDriver(plan, tables, build)
    except ConfigError as fault:
        print(f"maplestile: {fault}", file=sys.stderr)
        return 1

    def configure() -> Config:
        tables = read(file)
        return build(tables) if driver is None else driver.configure(tables)

    return _run(configure, driver)


def platform() -> int:
    """A node of the platform, told all by its environment."""
    return _run(read_config)


def _run(configure: Callable[[], Config], policy: "PolicyDriver | None" = None) -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until its handler stands; the default ends the program
    logs.start()
    try:
        selector = TimestampingSelector(clock)
        loop: asyncio.AbstractEventLoop = asyncio.SelectorEventLoop(selector)
        with asyncio.Runner(loop_factory=lambda: loop) as runner:

            async def start() -> None:
                await RouterProcess(configure, selector, policy).run()

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
    except (ValueError, RecursionError) as fault:  # deep nesting must not end the program
        raise ConfigError(f"no JSON: {fault}") from None
    if not isinstance(told, dict):
        raise ConfigError("no JSON object")
    # The process that replaces another is told the same but for this address.
    told["operator"] = os.environ.get("NODE_OPERATOR") or told.get("operator")
    told["folder"] = os.environ.get("TMPDIR")
    return config_from(told)
