"""A router's part in the fleet's policy, put to work: its record on disk, its configuration, its events.

The decisions are made by `follower.Follower`. What is built here is built from the file's tables as they were
last taken, so that an epoch brings in its policy, and nothing of the file that was not taken.
"""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

from maplestile import __version__
from maplestile.common import logs
from maplestile.common.toml_table import ConfigError
from maplestile.control.policy import store
from maplestile.control.policy.document import AdoptedPolicy, Document, PolicyError, Tables, digest_of
from maplestile.control.policy.follower import NO_EPOCH, Follower, PolicyAnnouncement, PolicyStatus, Step
from maplestile.control.policy.settings import PolicySettings
from maplestile.requests.core import AttemptId
from maplestile.router.config import Config
from maplestile.router.policy_messages import (
    PolicyReport,
    decode_announcement,
    decode_check,
    encode_check_passed,
)

log = logging.getLogger("maplestile.policy")
TICK_INTERVAL_S = 0.1
US_PER_S = 1e6
LIVE_TABLES = ("function", "tenant", "worker", "limits")  # tables of the file that a reload takes

Build = Callable[[Tables, AdoptedPolicy | None], Config]
Job = Callable[[], None]
OnEnd = Callable[[BaseException | None], None]

# Runs the job, away from the loop or not, and then on the loop `OnEnd` with its failure, if it has failed.
RunJob = Callable[[Job, OnEnd], None]


def at_once(job: Job, on_end: OnEnd) -> None:
    """Run a job here and now."""
    try:
        job()
    except OSError as fault:
        on_end(fault)
    else:
        on_end(None)


def in_thread(job: Job, on_end: OnEnd) -> None:
    """Run a job in a thread, and its end on the running loop."""
    done = asyncio.get_running_loop().run_in_executor(None, job)
    done.add_done_callback(lambda ended: on_end(ended.exception()))


def monotonic_us() -> int:
    """The machine's monotonic clock, which a router shares with its agent."""
    return time.monotonic_ns() // 1000


class PolicyConfiguration:
    """The tables of the router's file as they were last taken, and what is built from them."""

    def __init__(self, tables: Tables, build: Build) -> None:
        """Raises PolicyError where the file's own policy has no form of use."""
        self.tables = tables
        self.build = build
        self.file_policy = Document.own(tables)  # in force until an epoch brings another

    def build_own(self) -> Config:
        """The configuration of the file alone. Raises ConfigError."""
        return self.build(self.tables, None)

    def build_with(self, epoch: int, document: Document | None, tables: Tables | None = None) -> Config:
        """The configuration with the policy of an epoch in the place of the file's. Raises ConfigError."""
        adopted = AdoptedPolicy(epoch, document or self.file_policy)
        return self.build(self.tables if tables is None else tables, adopted)

    def take(self, tables: Tables) -> None:
        """Take those tables of the file that a reload may change."""
        self.tables = self.tables | {name: tables[name] for name in LIVE_TABLES if name in tables}


class PolicyDriver:
    """Follows the fleet's policy on behalf of one router.

    The router sets `counters`, `calls`, `take` and `elsewhere` once it is composed.
    """

    def __init__(self, plan: PolicySettings, tables: Tables, build: Build) -> None:
        """Raises PolicyError where the file's own policy has no form of use."""
        self.plan = plan
        self.configuration = PolicyConfiguration(tables, build)
        self.events = logs.events("policy")
        self.counters: Counter[str] = Counter()
        self.take: Callable[[Config], None] = lambda _config: None  # puts a configuration in force
        self.calls: dict[int, Counter[str]] = {}  # by epoch
        self.elsewhere: RunJob = at_once
        self.writing = False  # a record is being written
        self.logged_refusal = (NO_EPOCH, "")
        record = store.read(plan.folder)
        self.document = None if record is None else record.document
        self.follower = Follower(plan.rules, NO_EPOCH if record is None else record.epoch, monotonic_us())
        self.logged_status = PolicyStatus.WAITING
        self.configured = False

    @property
    def epoch(self) -> int:
        """The epoch in force, 0 where none is on record."""
        return max(0, self.follower.epoch)

    # The configuration.

    def configure(self, tables: Tables) -> Config:
        """At the start, and at each reload: the file with the policy in force in the place of its own.

        Raises ConfigError; then all stays as it was.
        """
        if not self.configured:
            self.configured = True
            return self._first_configuration()
        config = self.configuration.build_with(self.epoch, self.document, tables)
        self._check_promise(tables)
        if Document.own(tables) != self.configuration.file_policy:
            self.counters["policy.reloads_refused"] += 1
            log.warning(
                "policy: the file's policy has changed and is not taken: the fleet decides, "
                "and its epoch is %d; `maplestile policy propose`",
                self.follower.epoch,
            )
        self.configuration.take(tables)
        return config

    def _first_configuration(self) -> Config:
        if self.follower.epoch == NO_EPOCH:
            return self.configuration.build_own()
        try:
            return self.configuration.build_with(self.epoch, self.document)
        except ConfigError as fault:
            reason = str(fault)
        log.error("policy: epoch %d does not fit this build or file: %s", self.follower.epoch, reason)
        self.follower.refused(reason)
        return self.configuration.build_own()

    def _check_promise(self, tables: Tables) -> None:
        """The change that is being agreed on has to fit still: this router has reported that it does.

        Raises PolicyError.
        """
        prepared = self.follower.prepared
        if prepared is None:
            return
        try:
            self.configuration.build_with(self.follower.epoch + 1, prepared.document, tables)
        except ConfigError as fault:
            place = f"change {prepared.change}"
            raise PolicyError(f"does not fit the policy that is being agreed on ({place}): {fault}") from None

    # What the agent sends to the operators' front.

    def hear(self, message: object, reply: Callable[[dict[str, Any]], None]) -> None:
        """Take an announcement of what is committed; the answer may come later. Raises PolicyError."""
        announcement = decode_announcement(message)
        step = self.follower.hear(announcement, monotonic_us())
        if step is Step.ADOPT and not self.writing:
            self._adopt(announcement, reply)
            return
        if step is Step.OLDER:
            self.counters["policy.older"] += 1
        self._log_status()
        reply(self._report().as_json(fetch=step is Step.FETCH))

    def _adopt(self, announcement: PolicyAnnouncement, reply: Callable[[dict[str, Any]], None]) -> None:
        """On record first, off the loop, since a disk may take its time; then in force."""
        finish = partial(self._finish_adoption, announcement, reply)
        try:
            self.configuration.build_with(announcement.epoch, announcement.document)
        except ConfigError as fault:
            finish(fault)
            return
        self.writing = True
        record = AdoptedPolicy(announcement.epoch, announcement.document)
        self.elsewhere(lambda: store.write(self.plan.folder, record), finish)

    def _finish_adoption(
        self,
        announcement: PolicyAnnouncement,
        reply: Callable[[dict[str, Any]], None],
        fault: BaseException | None,
    ) -> None:
        self.writing = False
        try:
            if fault is not None:
                raise fault
            # Built again: a reload may have come meanwhile.
            config = self.configuration.build_with(announcement.epoch, announcement.document)
        except (ConfigError, OSError) as cause:
            self._refuse(announcement.epoch, str(cause))
        else:
            self._put_in_force(announcement, config)
        self._log_status()
        reply(self.view())

    def _put_in_force(self, announcement: PolicyAnnouncement, config: Config) -> None:
        self.document = announcement.document
        self.take(config)
        self.follower.adopted(announcement, monotonic_us())
        self.counters["policy.adopted"] += 1
        self.events.info("applied", epoch=announcement.epoch, digest=digest_of(announcement.document))

    def _refuse(self, epoch: int, reason: str) -> None:
        self.counters["policy.refused"] += 1
        if (epoch, reason) != self.logged_refusal:  # it is tried again and again
            self.logged_refusal = epoch, reason
            log.error("policy: epoch %d is not taken, and so no new call: %s", epoch, reason)
        self.follower.refused(reason)

    def check(self, message: object) -> dict[str, Any]:
        """Check that a change fits this build and file. Raises PolicyError, which names the field."""
        change = decode_check(message)
        try:
            self.configuration.build_with(self.epoch + 1, change.document)
        except PolicyError:
            raise
        except ConfigError as fault:
            raise PolicyError(str(fault)) from None
        self.follower.prepare(change.change, change.document)
        self.events.info("checked", change=change.change, digest=digest_of(change.document))
        return encode_check_passed()

    # What the router and its operators ask.

    def admits(self) -> bool:
        """Whether new calls are taken."""
        return self.follower.admits(monotonic_us())

    def lacking(self) -> str:
        """Why it takes no calls; empty if it does."""
        if self.admits():
            return ""
        if self.follower.status is PolicyStatus.REFUSED:
            return f"the fleet's policy is refused here: {self.follower.reason}"
        return "the fleet has not told its policy yet"

    def view(self) -> dict[str, Any]:
        """The router's report of its policy, in JSON's types."""
        return self._report().as_json()

    def _report(self) -> PolicyReport:
        now_us = monotonic_us()
        self.follower.tick(now_us)
        return PolicyReport(
            epoch=self.epoch,
            digest=digest_of(self.document),
            standing=self.follower.status.value,
            stale_s=self._stale_s(now_us),
            reason=self.follower.reason,
            build=__version__,
            calls={str(epoch): dict(counts) for epoch, counts in self.calls.items()},
        )

    def figures(self) -> dict[str, float]:
        """The metrics of the policy."""
        now_us = monotonic_us()
        return {
            "epoch": self.epoch,
            "stale": int(self.follower.status is PolicyStatus.STALE),
            "stale_seconds": self._stale_s(now_us),
            "refused": int(self.follower.status is PolicyStatus.REFUSED),
            "reloads_refused_total": self.counters["policy.reloads_refused"],
            "mixed_calls_total": self.counters["policy.mixed_calls"],
        }

    def _stale_s(self, now_us: int) -> float:
        return round(self.follower.stale_us(now_us) / US_PER_S, 1)

    def sent(self, attempt: AttemptId, epoch: int) -> None:
        """Log an attempt with the epoch that it was sent by; where the file asks for that trace."""
        self.events.info("attempt", call=attempt[0], attempt=attempt[1], epoch=epoch)

    async def run(self) -> None:
        """Have its status follow the clock until cancelled."""
        while True:
            self.follower.tick(monotonic_us())
            self._log_status()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _log_status(self) -> None:
        """Log each change of the status once."""
        status = self.follower.status
        if status is self.logged_status:
            return
        before = self.logged_status
        self.logged_status = status
        reason = self.follower.reason
        self.events.info(status.value, epoch=self.epoch, before=before.value, reason=reason)
