"""Keeps the copies of functions in the caching tier warm, and moves copies away from draining workers."""

from maplestile.dispatch.context import Context
from maplestile.dispatch.fleet import Fleet
from maplestile.dispatch.load_requests import LoadRequests
from maplestile.dispatch.state import CACHING, MULTIPLE, FunctionEntry
from maplestile.dispatch.tiers import FunctionTiers
from maplestile.dispatch.warm_copies import WarmCopies

RENEWAL_KEEP_ALIVES = 0.7  # idle time after which a copy is renewed, in keep-alive times


class KeepWarm:
    """The component that sends the load and keep-warm requests that are not triggered by a call."""

    def __init__(
        self,
        context: Context,
        *,
        fleet: Fleet,
        tiers: FunctionTiers,
        warm_copies: WarmCopies,
        load_requests: LoadRequests,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.tiers = tiers
        self.warm_copies = warm_copies
        self.load_requests = load_requests

    def move_homes_off_draining_workers(self) -> None:
        """For each function whose home is draining, load a copy at its most preferred worker.

        Only functions in the caching and multiple tiers are considered.
        """
        draining = self.fleet.draining
        if not draining:
            return
        caching = self.tiers.tiers[CACHING].values()
        multiple = self.tiers.tiers[MULTIPLE].values()
        for entry in [*caching, *multiple]:
            if entry.home in draining:
                self._move_home(entry)

    def renew_idle_copies(self) -> None:
        """Send keep-warm requests for copies of the caching tier that would soon be idle for too long.

        Copies that the calls of other dispatchers keep warm are left to them; otherwise each dispatcher would
        renew every copy.
        """
        for entry in self.tiers.tiers[CACHING].values():
            home = self.fleet.workers.get(entry.home)
            if home is None or entry.copy(home).busy or not self.warm_copies.is_warm(entry, home):
                continue
            if self.warm_copies.is_used_by_others(entry):
                continue
            idle_us = self.context.now_us - entry.copy(home).last_used_us
            if idle_us >= RENEWAL_KEEP_ALIVES * self.context.keep_alive_us:
                self.load_requests.request_keep_warm(entry, home)

    def _move_home(self, entry: FunctionEntry) -> None:
        target = next(iter(self.fleet.ranked(entry)), None)
        if target is None or self.warm_copies.is_warm(entry, target):
            return
        if not entry.copy(target).load_started_us and self.load_requests.may_start_load():
            self.load_requests.request_load(entry, target)
