"""One process of a router and the policy: it is sent what is committed, and checks what is proposed."""

import asyncio
import json
import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from maplestile.agent.instance import RouterHandle
from maplestile.agent.router_client import OperatorReply
from maplestile.common import logs
from maplestile.control.policy.agreed import AgreedPolicies, Change, Epoch
from maplestile.operation.api import POLICY, POLICY_CHECK

log = logging.getLogger("maplestile.policy")
REPEAT_INTERVAL_S = 0.5  # between announcements to a router that does not answer, or does not take the epoch
ANSWER_TIMEOUT_S = 1.0  # of a router on loopback; one that gives none is not named in the next read
NO_POLICY = "the policy is its own: no [policy] in its file"
# Of a router whose file has no [policy], of an older one, and of another program.
NO_POLICY_STATUS = (HTTPStatus.NOT_FOUND, HTTPStatus.METHOD_NOT_ALLOWED, HTTPStatus.NOT_IMPLEMENTED)
UNKNOWN_EPOCH = -1


@dataclass(slots=True, frozen=True)
class Fence:
    """What a read that named the router has agreed on."""

    epoch: int = 0  # the committed epoch
    requested_us: int = 0  # when the read was requested, by the machine's monotonic clock


@dataclass(slots=True, frozen=True)
class Announcement:
    """What a router has to be sent now."""

    epoch: int
    fenced_us: int
    checking: int  # the number of the change that is being checked; 0 for none


@dataclass(slots=True, frozen=True)
class RouterReport:
    """A router's answer to an announcement: the state of its policy."""

    epoch: int  # that it decides by
    lacks_document: bool  # of the announced epoch
    content: Mapping[str, Any]  # the full answer, as operators see it

    @classmethod
    def decode(cls, text: str) -> "RouterReport | None":
        """The report of a router's JSON; None where its epoch is no number.

        Raises KeyError, TypeError or ValueError for anything else that is no report.
        """
        content: dict[str, Any] = json.loads(text)
        epoch = content["epoch"]
        return cls(epoch, bool(content.get("fetch")), content) if type(epoch) is int else None


@dataclass(slots=True)
class RouterPolicy:
    """What is known of one process of a router; nothing is known of one that was just started."""

    name: str
    router: RouterHandle
    starts: int
    answers: bool = True  # until it does not
    has_own_policy: bool = False  # its file has no [policy], so it is sent none
    fence: Fence = Fence()
    epoch: int = UNKNOWN_EPOCH  # by its own last report
    sent: Announcement | None = None
    sent_s: float = 0.0
    report: RouterReport | None = None  # its last
    checked_change: int = 0  # the change whose verdict has been agreed on
    announcing: asyncio.Task[None] | None = None
    checking: asyncio.Task[None] | None = None

    def next_announcement(self, agreed_epoch: int, change: Change | None) -> Announcement | None:
        """What the router has to be sent now; None where it has it already."""
        if agreed_epoch < self.fence.epoch:
            return None  # this replica is behind what is agreed
        number = 0 if change is None else change.number
        announcement = Announcement(agreed_epoch, self.fence.requested_us, number)
        repeats = self.epoch < agreed_epoch and time.monotonic() - self.sent_s >= REPEAT_INTERVAL_S
        return announcement if announcement != self.sent or repeats else None

    async def announce(self, announcement: Announcement, agreed: AgreedPolicies) -> bool:
        """Send an announcement, with the document where the router lacks it; whether it took a new epoch."""
        self.sent = announcement
        self.sent_s = time.monotonic()
        epoch = agreed.kept_epoch(announcement.epoch) or agreed.epoch
        report = await self._put(announcement, epoch, with_document=self.epoch != epoch.number)
        if report is not None and report.lacks_document:
            report = await self._put(announcement, epoch, with_document=True)
        if report is None:
            self.epoch = UNKNOWN_EPOCH
            return False
        took_epoch = report.epoch == epoch.number != self.epoch
        self.epoch = report.epoch
        self.report = report
        if took_epoch:
            logs.events("policy").info("told", instance=self.name, epoch=epoch.number)
        return took_epoch

    async def _put(
        self, announcement: Announcement, epoch: Epoch, *, with_document: bool
    ) -> RouterReport | None:
        """Send an epoch; the router's report, None where it gives none, or an invalid one."""
        content = {
            "epoch": epoch.number,
            "fenced_us": announcement.fenced_us,
            "checking": announcement.checking,
            **({"document": epoch.document} if with_document else {}),
        }
        reply = await self.router.client.operate(
            "PUT", POLICY, json.dumps(content).encode(), ANSWER_TIMEOUT_S
        )
        self.answers = reply.status is not None
        if _has_no_policy(reply):
            self.has_own_policy = True
            self.report = None
            log.info("policy: %s: %s", self.name, NO_POLICY)
            return None
        if not reply.ok:
            log.warning("policy: %s does not take its word: %s", self.name, reply.text)
            return None
        try:
            return RouterReport.decode(reply.text)
        except (ValueError, KeyError, TypeError) as fault:
            log.warning("policy: %s gives an answer of no use: %s", self.name, fault)
            return None

    async def check(self, change: Change) -> str | None:
        """Why the router refuses the change; "" where it accepts, None where it gives no answer."""
        content = json.dumps({"change": change.number, "document": change.document}).encode()
        reply = await self.router.client.operate("POST", POLICY_CHECK, content, ANSWER_TIMEOUT_S)
        self.answers = reply.status is not None
        if _has_no_policy(reply):
            return NO_POLICY
        if not self.answers:
            return None
        return "" if reply.ok else reply.text or "it says no, and not why"


def _has_no_policy(reply: OperatorReply) -> bool:
    return not reply.has_front or reply.status in NO_POLICY_STATUS
