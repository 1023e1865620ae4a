"""A router's part in the fleet's policy, put to work: its record on disk, its configuration, its events.

The decisions are `follow.Follower`'s. What is built here is built from the file's tables as they were last
taken, so that an epoch brings in its policy and nothing that stands in the file unread."""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from maplestile import __version__
from maplestile.common import logs
from maplestile.common.toml_table import ConfigError
from maplestile.control.policy import store
from maplestile.control.policy.document import (
    AdoptedPolicy,
    Document,
    PolicyError,
    Tables,
    digest_of,
    document_of,
)
from maplestile.control.policy.follower import NO_EPOCH, Follower, PolicyAnnouncement, PolicyStatus, Step
from maplestile.control.policy.settings import PolicySettings
from maplestile.requests.core import AttemptId
from maplestile.router.config import Config

log = logging.getLogger("maplestile.policy")
TICK_S = 0.1
LIVE = ("function", "tenant", "worker", "limits")  # tables of the file that a reload takes

Build = Callable[[Tables, AdoptedPolicy | None], Config]

# Do the one off the loop, then the other on it, with how the first has failed, if it has.
Elsewhere = Callable[[Callable[[], None], Callable[[BaseException | None], None]], None]


def at_once(job: Callable[[], None], then: Callable[[BaseException | None], None]) -> None:
    try:
        job()
    except OSError as fault:
        then(fault)
    else:
        then(None)


def in_thread(job: Callable[[], None], then: Callable[[BaseException | None], None]) -> None:
    done = asyncio.get_running_loop().run_in_executor(None, job)
    done.add_done_callback(lambda ended: then(ended.exception()))


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class PolicyDriver:
    def __init__(self, plan: PolicySettings, tables: Tables, build: Build) -> None:
        """Raises PolicyError where the file's own policy has no form of use."""
        self.plan, self.tables, self.build = plan, tables, build
        self.base = Document.own(tables)  # in force until an epoch brings another
        self.events = logs.events("policy")
        # The router's, once it stands.
        self.counters: Counter[str] = Counter()
        self.take: Callable[[Config], None] = lambda config: None
        self.calls: dict[int, Counter[str]] = {}  # by epoch
        self.elsewhere: Elsewhere = at_once
        self.writing = False
        self.refusal = (NO_EPOCH, "")  # the last one logged
        record = store.read(plan.folder)
        self.document = None if record is None else record.document
        self.follower = Follower(plan.rules, NO_EPOCH if record is None else record.epoch, monotonic_us())
        self.standing = PolicyStatus.WAITING
        self.begun = False

    # The configuration.

    def adopted(self) -> AdoptedPolicy:
        return AdoptedPolicy(max(0, self.follower.epoch), self.document or self.base)

    def configure(self, tables: Tables) -> Config:
        """At the start, and at each reload: the file with the policy in force in the place of its own. Raises
        ConfigError; then all stays as it was."""
        if not self.begun:
            return self._first()
        config = self.build(tables, self.adopted())
        if (pledge := self.follower.pledge) is not None:
            try:  # it may be committed any moment, and this router has said that it fits
                self.build(tables, AdoptedPolicy(self.follower.epoch + 1, pledge.document or self.base))
            except ConfigError as fault:
                told = f"does not fit the policy that is being agreed on (change {pledge.change}): {fault}"
                raise PolicyError(told) from None
        if Document.own(tables) != self.base:
            self.counters["policy.reloads_refused"] += 1
            log.warning(
                "policy: the file's policy has changed and is not taken: the fleet decides, "
                "and its epoch is %d; `maplestile policy propose`",
                self.follower.epoch,
            )
        self.tables = self.tables | {name: tables[name] for name in LIVE if name in tables}
        return config

    def _first(self) -> Config:
        self.begun = True
        if self.follower.epoch == NO_EPOCH:
            return self.build(self.tables, None)
        try:
            return self.build(self.tables, self.adopted())
        except ConfigError as fault:
            log.error("policy: epoch %d does not fit this build or file: %s", self.follower.epoch, fault)
            self.follower.refused(str(fault))
        return self.build(self.tables, None)

    # What the agent tells, on the operators' front.

    def hear(self, told: object, reply: Callable[[dict[str, Any]], None]) -> None:
        """`{"epoch", "fenced_us", "checking"}`, with "document" if it comes along; the answer may come later.
        Raises PolicyError."""
        word = _word(told)
        step = self.follower.hear(word, monotonic_us())
        if step is Step.ADOPT and not self.writing:
            self._adopt(word, reply)
            return
        if step is Step.OLDER:
            self.counters["policy.older"] += 1
        self._note()
        reply(self.view() | ({"fetch": True} if step is Step.FETCH else {}))

    def _adopt(self, word: PolicyAnnouncement, reply: Callable[[dict[str, Any]], None]) -> None:
        """On record first, off the loop, since a disk may take its time; then in force."""
        adopted = AdoptedPolicy(word.epoch, word.document)

        def written(fault: BaseException | None) -> None:
            self.writing = False
            try:
                if fault is not None:
                    raise fault
                config = self._built(adopted)  # anew: a reload may have come meanwhile
            except (ConfigError, OSError) as cause:
                self._refuse(word.epoch, cause)
            else:
                self._take(word, config)
            self._note()
            reply(self.view())

        try:
            self._built(adopted)
        except ConfigError as fault:
            written(fault)
            return
        self.writing = True
        self.elsewhere(lambda: store.write(self.plan.folder, adopted), written)

    def _built(self, adopted: AdoptedPolicy) -> Config:
        return self.build(self.tables, AdoptedPolicy(adopted.epoch, adopted.document or self.base))

    def _take(self, word: PolicyAnnouncement, config: Config) -> None:
        self.document = word.document
        self.take(config)
        self.follower.adopted(word, monotonic_us())
        self.counters["policy.adopted"] += 1
        self.events.info("applied", epoch=word.epoch, digest=digest_of(word.document))

    def _refuse(self, epoch: int, fault: Exception) -> None:
        self.counters["policy.refused"] += 1
        if (epoch, str(fault)) != self.refusal:  # it is tried again and again
            self.refusal = epoch, str(fault)
            log.error("policy: epoch %d is not taken, and so no new call: %s", epoch, fault)
        self.follower.refused(str(fault))

    def check(self, told: object) -> dict[str, Any]:
        """`{"change", "document"}`: whether it fits this build and file. Raises PolicyError, by field."""
        change = _whole(told, "change")
        document = document_of(told.get("document")) if isinstance(told, dict) else None
        try:
            self.build(self.tables, AdoptedPolicy(max(0, self.follower.epoch) + 1, document or self.base))
        except PolicyError:
            raise
        except ConfigError as fault:
            raise PolicyError(str(fault)) from None
        self.follower.promise(change, document)
        self.events.info("checked", change=change, digest=digest_of(document))
        return {"build": __version__}

    # What others ask.

    def admits(self) -> bool:
        return self.follower.admits(monotonic_us())

    def lacking(self) -> str:
        """Why it takes no calls; empty if it does."""
        if self.admits():
            return ""
        if self.follower.standing is PolicyStatus.REFUSED:
            return f"the fleet's policy is refused here: {self.follower.reason}"
        return "the fleet has not told its policy yet"

    def view(self) -> dict[str, Any]:
        follower, now = self.follower, monotonic_us()
        follower.tick(now)
        return {
            "epoch": max(0, follower.epoch),
            "digest": digest_of(self.document),
            "standing": follower.standing.value,
            "stale_s": round(follower.stale_us(now) / 1e6, 1),
            "reason": follower.reason,
            "build": __version__,
            "calls": {str(epoch): dict(counts) for epoch, counts in self.calls.items()},
        }

    def figures(self) -> dict[str, float]:
        follower, now = self.follower, monotonic_us()
        return {
            "epoch": max(0, follower.epoch),
            "stale": int(follower.standing is PolicyStatus.STALE),
            "stale_seconds": round(follower.stale_us(now) / 1e6, 1),
            "refused": int(follower.standing is PolicyStatus.REFUSED),
            "reloads_refused_total": self.counters["policy.reloads_refused"],
            "mixed_calls_total": self.counters["policy.mixed_calls"],
        }

    def sent(self, attempt: AttemptId, epoch: int) -> None:
        self.events.info("attempt", call=attempt[0], attempt=attempt[1], epoch=epoch)

    async def run(self) -> None:
        while True:
            self.follower.tick(monotonic_us())
            self._note()
            await asyncio.sleep(TICK_S)

    def _note(self) -> None:
        follower = self.follower
        if follower.standing is not self.standing:
            before, self.standing = self.standing, follower.standing
            told = {"epoch": max(0, follower.epoch), "before": before.value, "reason": follower.reason}
            self.events.info(follower.standing.value, **told)


def _word(told: object) -> PolicyAnnouncement:
    epoch, fenced_us, checking = (_whole(told, name) for name in ("epoch", "fenced_us", "checking"))
    assert isinstance(told, dict)  # it had its numbers
    return PolicyAnnouncement(
        epoch, fenced_us, checking, "document" in told, document_of(told.get("document"))
    )


def _whole(told: object, name: str) -> int:
    value = told.get(name) if isinstance(told, dict) else None
    if type(value) is not int or value < 0:
        raise PolicyError(f"{name}: must be a whole number")
    return value
