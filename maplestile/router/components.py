"""Builds the components of a router process from its configuration.

The other modules of this package (readiness, fronts, reload, handover and drain) operate on them.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from maplestile.common.process_memory import resident_bytes
from maplestile.dispatch.api import ListKind
from maplestile.net.listen import Listener
from maplestile.net.platform import PlatformFront
from maplestile.net.receive_timestamps import TimestampingSelector
from maplestile.net.runners import RunnerPool
from maplestile.requests.core import Core
from maplestile.router.attempt_log import log_repeated
from maplestile.router.clock import clock
from maplestile.router.config import Config
from maplestile.router.endpoint_log import EndpointLog
from maplestile.router.slow_start_log import SlowStartLog
from maplestile.wire.limits import BASE_MEMORY_MB, MB

if TYPE_CHECKING:  # imported at run time only if the configuration needs them, to save start time and memory
    from maplestile.invoke.api import InvokeApi
    from maplestile.net.gossip import GossipDriver
    from maplestile.net.http import HttpFront
    from maplestile.operation.cordons import Cordons
    from maplestile.operation.handover import Handover
    from maplestile.operation.id_exchange import IdExchange
    from maplestile.operation.shared_endpoints import SharedEndpoints
    from maplestile.router.policy_driver import PolicyDriver
    from maplestile.router.records import Records


@dataclass(slots=True)
class InvokeFront:
    """The HTTP front for callers: its API, its connections and its listening socket."""

    api: "InvokeApi"
    http: "HttpFront"
    listener: Listener


class Components:
    """The components of one router process; optional ones are None until they are started."""

    def __init__(self, config: Config, selector: TimestampingSelector) -> None:
        self.config = config
        self.name = config.name
        self.limits = config.limits  # this process's share, while several processes share the budgets
        self.endpoints = config.endpoints
        self.selector = selector
        self.counters: Counter[str] = Counter()
        self.endpoint_log = EndpointLog()
        self.runners = self._build_runner_pool()
        self.core = self._build_core()
        self.runners.core = self.core
        self.started_us = clock()
        self.stopping = asyncio.Event()  # set once the process is asked to stop
        self.is_listening = False
        self.process_count = 1  # number of processes that share the budgets
        self.base_memory_mb = BASE_MEMORY_MB  # memory of this process before it has served any request
        self.platform: PlatformFront | None = None
        self.platform_listener: Listener | None = None
        self.invoke: InvokeFront | None = None
        self.records: Records | None = None  # None if invocation records are kept in memory alone
        self.cordons: Cordons | None = None
        self.handover: Handover | None = None
        self.shared_endpoints: SharedEndpoints | None = None  # created together with the handover
        self.id_exchange: IdExchange | None = None  # created together with the handover
        self.peers: GossipDriver | None = None
        self.policy: PolicyDriver | None = None
        self._is_list_saved = True  # false if the list could not be written for a successor
        self._tick_timer: asyncio.TimerHandle | None = None

    @property
    def is_successor_ready(self) -> bool:
        """Whether a successor process is ready to replace this one."""
        return self.handover is not None and self.handover.is_successor_ready

    def received_us(self) -> int:
        """Return the earliest time, in microseconds, at which input read now can have arrived.

        Streams return bytes one loop iteration after the select that found them.
        """
        return self.selector.earliest_read_us

    def publish_endpoints(self, kind: ListKind = ListKind.FULL) -> None:
        """Pass the current endpoint list to each component that depends on it."""
        if self.cordons is not None:
            self.cordons.remember_listed(self.endpoints.entries)
            self.endpoints.suspended = self.cordons.cordoned
        self.endpoints.start_times.update(self.endpoints.entries, clock())
        # The pool comes first: decisions on the new list need its addresses and drains.
        self.runners.update(self.endpoints)
        if self.peers is not None:
            self.peers.set_runners(self.endpoints.entries)
        event = self.endpoints.event(kind)
        self.endpoint_log.record(event.version, event.entries, clock(), self.core.settings)
        self.core.list_changed(event)
        self.save_endpoints()

    def confirm_endpoints(self) -> None:
        """Record that the name server has confirmed the current endpoint list."""
        self.endpoints.start_times.mark_current(clock())

    def save_endpoints(self) -> None:
        """Leave the endpoint list to a successor, if this process serves alone."""
        if self.shared_endpoints is not None and self.handover is not None and self.handover.is_alone:
            self._is_list_saved = self.shared_endpoints.save(self.endpoints, self.config.dns)

    def save_endpoints_again(self) -> None:
        """Leave the endpoint list to a successor if that could not be written before."""
        if not self._is_list_saved:
            self.save_endpoints()

    def adopt_endpoints(self) -> bool:
        """Apply what the predecessor knows of the endpoints; return whether anything changed."""
        if self.shared_endpoints is None or self.handover is None or self.handover.is_alone:
            return False
        shared = self.shared_endpoints.load_if_changed(self.config.dns)
        return shared is not None and self.endpoints.adopt(shared)

    def free_descriptor(self) -> None:
        """Free a file descriptor by closing an idle client connection, when the router needs one."""
        self.counters["descriptors.none_left"] += 1
        if self.platform is not None:
            self.platform.evict_idle()

    def share_budgets(self, process_count: int) -> None:
        """Divide the configured budgets among `process_count` processes."""
        self.process_count = process_count
        self._apply_limits()

    def adopt_policy(self, config: Config) -> None:
        """Apply the policy of a new epoch to calls that arrive from now on."""
        self.config = replace(
            self.config,
            settings=config.settings,
            limits=config.limits,
            operator_settings=config.operator_settings,
        )
        self._apply_limits()
        self.core.apply_policy(config.settings, self.limits)
        if self.platform is not None:
            self.platform.apply_settings(config.settings)
        if self.invoke is not None and config.operator_settings is not None:
            self.invoke.api.apply_settings(config.operator_settings)

    def _build_runner_pool(self) -> RunnerPool:
        runners = RunnerPool(self.limits.runners, clock, self.counters)
        runners.on_no_descriptor = self.free_descriptor
        runners.writer.may_have_stale_input = self.selector.may_have_stale_input
        return runners

    def _build_core(self) -> Core:
        config = self.config
        core = Core(
            config.settings,
            self.limits,
            config.seed,
            self.runners,
            clock,
            self._schedule_tick,
            self.counters,
        )
        core.attempts.on_repeated = log_repeated
        core.dispatcher.slow_start.on_check = SlowStartLog(self.counters).record
        return core

    def measure_base_memory(self) -> None:
        """Derive the limits on memory from what the process uses before it accepts clients."""
        self.base_memory_mb = max(BASE_MEMORY_MB, resident_bytes() / MB)
        self._apply_limits()

    def _apply_limits(self) -> None:
        """Pass this process's share of the configured limits to each component."""
        self.limits = self.config.limits.divided_among(self.process_count, self.base_memory_mb)
        self.core.limits = self.limits
        self.runners.limits = self.limits.runners
        if self.platform is not None:
            self.platform.limits = self.limits

    def _schedule_tick(self, due_us: int) -> None:
        """Schedule the next tick of the core at a time in microseconds, instead of the pending one."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        delay_s = max(0.0, (due_us - clock()) / 1e6)
        self._tick_timer = asyncio.get_running_loop().call_later(delay_s, self.core.tick)
