"""Lets a router follow the fleet's agreed policy: stores the adopted epoch, applies it, and logs events.

`control.policy.follower.Follower` makes the decisions. The agent's messages arrive at the operators' front,
where `operation.policy.PolicyOperations` decodes them.
"""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

from maplestile import __version__
from maplestile.common import logs
from maplestile.common.toml_table import ConfigError
from maplestile.control.policy import store
from maplestile.control.policy.document import AdoptedPolicy, Document, PolicyError, Tables, policy_digest
from maplestile.control.policy.follower import (
    NO_EPOCH,
    AnnouncementAction,
    Follower,
    PolicyAnnouncement,
    PolicyStatus,
)
from maplestile.control.policy.settings import PolicySettings
from maplestile.operation.policy import PolicyCheck, PolicyMetrics, PolicyReport
from maplestile.requests.core import AttemptId
from maplestile.router.config import Config
from maplestile.router.policy_configuration import ConfigBuilder, PolicyConfiguration
from maplestile.router.policy_jobs import RunJob, run_inline

log = logging.getLogger("maplestile.policy")
TICK_INTERVAL_S = 0.1  # between updates of the status
US_PER_S = 1e6

Reply = Callable[[PolicyReport], None]  # sends the report as the reply to an announcement


def monotonic_us() -> int:
    """Return the monotonic time of the machine, which the router and its agent share, in microseconds."""
    return time.monotonic_ns() // 1000


class PolicyDriver:
    """The driver that follows the fleet's policy for one router.

    `attach_policy` and `start_policy` set `counters`, `calls_by_epoch`, `apply_config` and `run_job` once the
    router's components exist.
    """

    def __init__(self, settings: PolicySettings, tables: Tables, build: ConfigBuilder) -> None:
        """Read the adopted policy from disk. Raises PolicyError if the file's own policy is invalid."""
        self.settings = settings
        self.configuration = PolicyConfiguration(tables, build)
        self.events = logs.events("policy")
        self.counters: Counter[str] = Counter()
        self.apply_config: Callable[[Config], None] = lambda _config: None
        self.calls_by_epoch: dict[int, Counter[str]] = {}
        self.run_job: RunJob = run_inline
        self.is_writing = False  # an adopted policy is being written to disk
        self.last_logged_refusal = (NO_EPOCH, "")  # epoch and reason
        stored = store.read(settings.folder)
        self.document = None if stored is None else stored.document  # None for the file's own policy
        stored_epoch = NO_EPOCH if stored is None else stored.epoch
        self.follower = Follower(settings.timeouts, stored_epoch, monotonic_us())
        self.last_logged_status = PolicyStatus.WAITING
        self.has_built_config = False  # `build_config` has been called

    @property
    def epoch(self) -> int:
        """The adopted epoch; 0 if none is stored."""
        return max(0, self.follower.epoch)

    # The configuration.

    def build_config(self, tables: Tables) -> Config:
        """Return the configuration of the file, with the adopted policy in place of the file's own.

        Called at startup and on each reload. If it raises ConfigError, nothing has changed.
        """
        if not self.has_built_config:
            self.has_built_config = True
            return self._build_first_config()
        return self._build_reloaded_config(tables)

    def _build_first_config(self) -> Config:
        if self.follower.epoch == NO_EPOCH:
            return self.configuration.build_from_file()
        try:
            return self.configuration.build_with_policy(self.epoch, self.document)
        except ConfigError as error:
            reason = str(error)
        log.error(
            "policy: the stored epoch %d is incompatible with this build or the configuration file, "
            "so new calls are rejected: %s",
            self.follower.epoch,
            reason,
        )
        self.follower.record_refusal(reason)
        return self.configuration.build_from_file()

    def _build_reloaded_config(self, tables: Tables) -> Config:
        config = self.configuration.build_with_policy(self.epoch, self.document, tables)
        self._check_prepared(tables)
        if Document.from_file(tables) != self.configuration.file_policy:
            self.counters["policy.reloads_refused"] += 1
            log.warning(
                "policy: the file's policy has changed and is ignored: the fleet's epoch %d applies; "
                "use `maplestile policy propose` to change it",
                self.follower.epoch,
            )
        self.configuration.apply_reload(tables)
        return config

    def _check_prepared(self, tables: Tables) -> None:
        """Check that the policy change being agreed on still fits the reloaded file.

        The change may be committed at any time, because this router has reported that it fits. Raises
        PolicyError if it no longer does.
        """
        prepared = self.follower.prepared
        if prepared is None:
            return
        try:
            self.configuration.build_with_policy(self.follower.epoch + 1, prepared.document, tables)
        except ConfigError as error:
            change = f"change {prepared.change}"
            raise PolicyError(
                f"does not fit the policy that is being agreed on ({change}): {error}"
            ) from None

    # Messages of the agent, received at the operators' front.

    def process_announcement(self, announcement: PolicyAnnouncement, reply: Reply) -> None:
        """Handle an announcement of the committed epoch, and reply once, either now or later."""
        action = self.follower.process_announcement(announcement, monotonic_us())
        if action is AnnouncementAction.ADOPT and not self.is_writing:
            self._adopt(announcement, reply)
            return
        if action is AnnouncementAction.OLDER:
            self.counters["policy.older"] += 1
        self._log_status()
        reply(self.report(lacks_document=action is AnnouncementAction.FETCH))

    def _adopt(self, announcement: PolicyAnnouncement, reply: Reply) -> None:
        """Store the announced policy with `run_job`, since a disk may be slow, and then apply it."""
        finish = partial(self._finish_adoption, announcement, reply)
        try:
            self.configuration.build_with_policy(announcement.epoch, announcement.document)
        except ConfigError as error:
            finish(error)
            return
        self.is_writing = True
        record = AdoptedPolicy(announcement.epoch, announcement.document)
        self.run_job(lambda: store.write(self.settings.folder, record), finish)

    def _finish_adoption(
        self,
        announcement: PolicyAnnouncement,
        reply: Reply,
        error: BaseException | None,
    ) -> None:
        self.is_writing = False
        try:
            if error is not None:
                raise error
            # Build it again, since a reload may have changed the file's tables in the meantime.
            config = self.configuration.build_with_policy(announcement.epoch, announcement.document)
        except (ConfigError, OSError) as cause:
            self._refuse(announcement.epoch, str(cause))
        else:
            self._complete_adoption(announcement, config)
        self._log_status()
        reply(self.report())

    def _complete_adoption(self, announcement: PolicyAnnouncement, config: Config) -> None:
        self.document = announcement.document
        self.apply_config(config)
        self.follower.record_adoption(announcement, monotonic_us())
        self.counters["policy.adopted"] += 1
        self.events.info("applied", epoch=announcement.epoch, digest=policy_digest(announcement.document))

    def _refuse(self, epoch: int, reason: str) -> None:
        self.counters["policy.refused"] += 1
        if (epoch, reason) != self.last_logged_refusal:  # log once: the agent keeps announcing the epoch
            self.last_logged_refusal = epoch, reason
            log.error("policy: refusing epoch %d and all new calls: %s", epoch, reason)
        self.follower.record_refusal(reason)

    def check(self, change: PolicyCheck) -> None:
        """Check that a policy change is compatible with this build and the configuration file.

        Raises PolicyError, which names the field.
        """
        try:
            self.configuration.build_with_policy(self.epoch + 1, change.document)
        except PolicyError:
            raise
        except ConfigError as error:
            raise PolicyError(str(error)) from None
        self.follower.prepare(change.change, change.document)
        self.events.info("checked", change=change.change, digest=policy_digest(change.document))

    # Queries by the router and its operators.

    def accepts_calls(self) -> bool:
        """Return whether new calls are accepted."""
        return self.follower.accepts_calls(monotonic_us())

    def not_ready_reason(self) -> str:
        """Return the reason why no new calls are accepted; empty if they are."""
        if self.accepts_calls():
            return ""
        if self.follower.status is PolicyStatus.REFUSED:
            return f"the fleet's policy is refused here: {self.follower.reason}"
        return "the fleet has not told its policy yet"

    def report(self, lacks_document: bool = False) -> PolicyReport:
        """Return the router's report on its policy.

        `lacks_document` asks the agent to send the document of the announced epoch.
        """
        now_us = monotonic_us()
        self.follower.tick(now_us)
        return PolicyReport(
            epoch=self.epoch,
            digest=policy_digest(self.document),
            status=self.follower.status,
            stale_s=self._stale_s(now_us),
            reason=self.follower.reason,
            build=__version__,
            calls_by_epoch=self.calls_by_epoch,
            lacks_document=lacks_document,
        )

    def metrics(self) -> PolicyMetrics:
        """Return the current policy metrics."""
        return PolicyMetrics(
            epoch=self.epoch,
            stale=int(self.follower.status is PolicyStatus.STALE),
            stale_s=self._stale_s(monotonic_us()),
            refused=int(self.follower.status is PolicyStatus.REFUSED),
            reloads_refused=self.counters["policy.reloads_refused"],
            mixed_calls=self.counters["policy.mixed_calls"],
        )

    def _stale_s(self, now_us: int) -> float:
        return round(self.follower.stale_us(now_us) / US_PER_S, 1)

    def log_attempt(self, attempt: AttemptId, epoch: int, age_us: int) -> None:
        """Log an attempt with the policy epoch under which it was sent; called if `trace` is set.

        `age_us` is the time since its call was accepted.
        """
        self.events.info("attempt", call=attempt[0], attempt=attempt[1], epoch=epoch, age_us=age_us)

    async def run(self) -> None:
        """Update and log the status at regular intervals until cancelled."""
        while True:
            self.follower.tick(monotonic_us())
            self._log_status()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _log_status(self) -> None:
        """Log the status if it has changed since it was last logged."""
        status = self.follower.status
        if status is self.last_logged_status:
            return
        before = self.last_logged_status
        self.last_logged_status = status
        reason = self.follower.reason
        self.events.info(status.value, epoch=self.epoch, before=before.value, reason=reason)
