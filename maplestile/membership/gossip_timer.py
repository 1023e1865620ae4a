"""Gossip messages between the probes, for updates that the probes would not spread fast enough.

Normally the probes carry every update. Gossip messages are sent when the member probes slowly because of its
local health, so that updates do not spread slowly as well, or when there are more updates than one message
holds.
"""

from maplestile.membership.local_health import LocalHealth
from maplestile.membership.message_sender import MessageSender
from maplestile.membership.messages import MessageKind
from maplestile.membership.update_merger import UpdateMerger


class GossipTimer:
    """Sends updates to random members, when needed, at an interval shorter than the probe period."""

    def __init__(self, sender: MessageSender, merger: UpdateMerger, health: LocalHealth, now_us: int) -> None:
        self._sender = sender
        self._tuning = sender.tuning
        self._merger = merger
        self._health = health
        self._interval_us = int(self._tuning.period_us * self._tuning.gossip_interval_periods)
        self._next_exchange_us = now_us
        self.next_gossip_us = now_us + self._interval_us

    def tick(self, now_us: int) -> None:
        """Gossip if it is due; while there is a backlog, also request one full-state exchange per period."""
        if now_us < self.next_gossip_us:
            return
        self.next_gossip_us = now_us + self._interval_us
        if now_us >= self._next_exchange_us:
            self._next_exchange_us = now_us + self._tuning.period_us
            self._merger.begin_period()
            self._request_state_for_backlog()
        if self._is_gossip_needed():
            for member in self._sender.random_members(self._tuning.gossip_fanout):
                self._sender.send(member.address, self._sender.new_message(MessageKind.GOSSIP))

    def _request_state_for_backlog(self) -> None:
        if len(self._sender.update_queue) > self._tuning.backlog_updates:
            for member in self._sender.random_members(1):
                self._sender.send_state(member.address, MessageKind.JOIN)

    def _is_gossip_needed(self) -> bool:
        queued = len(self._sender.update_queue)
        return queued > 0 and (self._health.score > 0 or queued > self._tuning.updates_per_message)
