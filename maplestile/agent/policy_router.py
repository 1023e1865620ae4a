"""Announces committed epochs of the policy to one router process, and has it check proposed changes."""

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
from maplestile.operation.api import POLICY_CHECK_PATH, POLICY_PATH

log = logging.getLogger("maplestile.policy")
REPEAT_INTERVAL_S = 0.5  # between announcements to a router that does not answer or does not accept the epoch
ANSWER_TIMEOUT_S = 1.0  # for a router on loopback; the next read does not name a router that has not answered
NO_POLICY = "the policy is its own: no [policy] in its file"
# Replies of a router without [policy] in its file, of an older router version, and of another program.
NO_POLICY_STATUSES = (HTTPStatus.NOT_FOUND, HTTPStatus.METHOD_NOT_ALLOWED, HTTPStatus.NOT_IMPLEMENTED)
UNKNOWN_EPOCH = -1  # the epoch of a router that has not reported one


@dataclass(slots=True, frozen=True)
class Fence:
    """The result of a read of the replicated log that named the router.

    At `requested_us` or later, by the machine's monotonic clock, `epoch` was the committed epoch.
    """

    epoch: int = 0
    requested_us: int = 0  # when the agent requested the read


@dataclass(slots=True, frozen=True)
class Announcement:
    """A message to a router: the committed epoch, its fence, and the change that is being checked."""

    epoch: int
    fenced_us: int  # `Fence.requested_us` of the last read that named the router; 0 before the first
    checking: int  # the number of the change that is being checked; 0 for none


@dataclass(slots=True, frozen=True)
class RouterReport:
    """A router's reply to an announcement: the state of its policy."""

    epoch: int  # the one that the router uses
    lacks_document: bool  # whether the router needs the document of the announced epoch
    content: Mapping[str, Any]  # the whole reply, which is shown to operators

    @classmethod
    def decode(cls, text: str) -> "RouterReport | None":
        """Decode a router's JSON reply; return None if its epoch is not an integer.

        Raises KeyError, TypeError or ValueError if it is invalid in another way.
        """
        content: dict[str, Any] = json.loads(text)
        epoch = content["epoch"]
        return cls(epoch, bool(content.get("fetch")), content) if type(epoch) is int else None


@dataclass(slots=True)
class RouterPolicy:
    """What the agent knows about the policy of one router process; a restarted router gets a new record."""

    name: str  # of the instance
    router: RouterHandle
    starts: int  # the number of the instance's starts, which identifies the process
    is_answering: bool = True  # whether it answered the last request; True before the first
    has_own_policy: bool = False  # whether its file has no [policy], so that it does not follow the fleet's
    fence: Fence = Fence()
    epoch: int = UNKNOWN_EPOCH  # as the router last reported it
    last_announcement: Announcement | None = None
    last_announced_s: float = 0.0
    report: RouterReport | None = None  # the last one; None before the first
    checked_change: int = 0  # number of the last change whose verdict the log has accepted; 0 for none
    announcement_task: asyncio.Task[None] | None = None
    check_task: asyncio.Task[None] | None = None

    def next_announcement(self, agreed_epoch: int, change: Change | None) -> Announcement | None:
        """Return the announcement that the router needs now, or None if there is nothing new to send."""
        if agreed_epoch < self.fence.epoch:
            return None  # the read returned a later epoch than this agent's replica has yet
        change_number = 0 if change is None else change.number
        announcement = Announcement(agreed_epoch, self.fence.requested_us, change_number)
        is_repeat_due = (
            self.epoch < agreed_epoch and time.monotonic() - self.last_announced_s >= REPEAT_INTERVAL_S
        )
        return announcement if announcement != self.last_announcement or is_repeat_due else None

    async def announce(self, announcement: Announcement, agreed: AgreedPolicies) -> bool:
        """Send an announcement, and the document if the router lacks it.

        Returns whether the router changed to the announced epoch.
        """
        self.last_announcement = announcement
        self.last_announced_s = time.monotonic()
        epoch = agreed.kept_epoch(announcement.epoch) or agreed.epoch
        report = await self._put(announcement, epoch, with_document=self.epoch != epoch.number)
        if report is not None and report.lacks_document:
            report = await self._put(announcement, epoch, with_document=True)
        if report is None:
            self.epoch = UNKNOWN_EPOCH
            return False
        has_changed_epoch = report.epoch == epoch.number != self.epoch
        self.epoch = report.epoch
        self.report = report
        if has_changed_epoch:
            logs.events("policy").info("router changed epoch", instance=self.name, epoch=epoch.number)
        return has_changed_epoch

    async def _put(
        self, announcement: Announcement, epoch: Epoch, *, with_document: bool
    ) -> RouterReport | None:
        """Send an epoch; return the router's report, or None if it sends none or an invalid one."""
        content = {
            "epoch": epoch.number,
            "fenced_us": announcement.fenced_us,
            "checking": announcement.checking,
            **({"document": epoch.document} if with_document else {}),
        }
        reply = await self.router.client.send_request(
            "PUT", POLICY_PATH, json.dumps(content).encode(), ANSWER_TIMEOUT_S
        )
        self.is_answering = reply.status is not None
        if _has_no_policy(reply):
            self.has_own_policy = True
            self.report = None
            log.info("policy: router %s gets no announcements: %s", self.name, NO_POLICY)
            return None
        if not reply.ok:
            log.warning(
                "policy: router %s did not accept an announcement; retrying: %s",
                self.name,
                reply.text,
            )
            return None
        try:
            return RouterReport.decode(reply.text)
        except (ValueError, KeyError, TypeError) as error:
            log.warning("policy: router %s sent an invalid report; ignoring it: %s", self.name, error)
            return None

    async def check(self, change: Change) -> str | None:
        """Have the router check a change.

        Returns "" if the router accepts the change, the reason if it refuses it, and None if it does not
        answer.
        """
        content = json.dumps({"change": change.number, "document": change.document}).encode()
        reply = await self.router.client.send_request("POST", POLICY_CHECK_PATH, content, ANSWER_TIMEOUT_S)
        self.is_answering = reply.status is not None
        if _has_no_policy(reply):
            return NO_POLICY
        if not self.is_answering:
            return None
        return "" if reply.ok else reply.text or "it says no, and not why"


def _has_no_policy(reply: OperatorReply) -> bool:
    return not reply.has_front or reply.status in NO_POLICY_STATUSES
