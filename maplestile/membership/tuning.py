"""The parameters of the membership protocol: times in microseconds or in probe periods, counts and sizes."""

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Tuning:
    """The parameters of the protocol, derived as in SWIM (2002) and Lifeguard (2017)."""

    # The probe period. A dead member is first probed within one period of its end on average, two at worst,
    # and declared dead after the suspicion. At one second, each of 1000 members sends under 3 messages/s.
    period_us: int = 1_000_000
    # Timeout of a direct ack. Over loopback or one switch an ack takes well under a millisecond, from a busy
    # process tens of milliseconds.
    ack_us: int = 400_000
    indirect_probes: int = 3  # SWIM's k: helpers that ping the target when it has not answered directly
    # Lifeguard: a suspicion lasts at least suspicion_mult * log10(N) periods and at most suspicion_max_mult
    # times that. Each independent confirmation shortens it, down to the minimum after `confirmations`.
    suspicion_mult: float = 4.0
    suspicion_max_mult: float = 6.0
    confirmations: int = 3
    local_health_max: int = 8  # Lifeguard: probe periods and ack timeouts are multiplied by up to 8 + 1
    # SWIM's lambda (section 4.4): each update is sent about lambda * log10(N + 1) times, which reaches all
    # members with high probability.
    retransmit_mult: int = 4
    updates_per_message: int = 12  # 12 updates of at most 96 bytes fit into 1200 bytes
    findings_per_message: int = 4  # health findings; most are much shorter than their limit of 128 bytes
    # One member that is dead or has left is contacted every `reconnect_periods` for a full-state exchange, so
    # that the two sides of a partition reconnect without an operator. The table keeps the entry of such a
    # member, its tombstone, for `tombstone_periods`; meanwhile old updates about the member are ignored.
    reconnect_periods: int = 5
    tombstone_periods: int = 600
    # Gossip messages are sent to `gossip_fanout` members at this interval while more updates are queued than
    # one message holds, or while this member probes slowly because of its local health.
    gossip_interval_periods: float = 0.5
    gossip_fanout: int = 2
    # While more updates than this are queued, as when a partition heals, a full-state exchange is requested
    # from a random member once per period. Only those exchanges spread updates beyond `queued_updates_max`.
    backlog_updates: int = 48
    queued_updates_max: int = 128
    # Minimum time between two full-state exchanges that reconcile views with different digests.
    reconcile_periods: int = 5
    # Maximum number of members that are told at once, in each period, that another member declared them dead.
    death_notices_per_period: int = 8
    state_updates_per_message: int = 250  # in a full state: at most 24 KB, below UDP's 64 KB
    members_max: int = 4096  # of any status; new names beyond it are ignored. The model has up to 2000
    lifeguard: bool = True  # False selects plain SWIM, for comparison

    def suspicion_us(self, members: int, confirmed: int) -> int:
        """Return how long a suspicion lasts before the member is declared dead (Lifeguard, section 4.2).

        `members` is the size of the view; `confirmed` counts the independent suspicions after the first.
        """
        min_us = self.suspicion_mult * max(1.0, math.log10(max(members, 1))) * self.period_us
        if not self.lifeguard:
            return int(min_us)
        max_us = min_us * self.suspicion_max_mult
        confirmed_share = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        return int(max(min_us, max_us - (max_us - min_us) * min(confirmed_share, 1.0)))

    def retransmits(self, members: int) -> int:
        """Return how many times an update is sent in a view of this many members (SWIM's lambda * log N)."""
        return self.retransmit_mult * max(1, math.ceil(math.log10(members + 1)))
