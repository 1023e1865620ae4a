"""Every time, count and size of the membership protocol, with its reason. Times are in microseconds."""

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Tuning:
    """The protocol's parameters, as SWIM (2002) and Lifeguard (2017) name and derive them."""

    # One probe a period: a dead member is found within one period of its end on average, two at worst,
    # plus the suspicion. A second keeps the messages of 1000 members under 3 per member and second.
    period_us: int = 1_000_000
    # For the direct ack: loopback and one switch answer in well under a millisecond, a busy process in tens.
    ack_us: int = 400_000
    indirect_probes: int = 3  # k of SWIM: helpers that ping the target when the direct ping is not answered
    # Lifeguard: the suspicion lasts from suspicion_mult * log10(N) periods to suspicion_max_mult times as
    # long, and shrinks as independent confirmations come in; `confirmations` is how many are expected.
    suspicion_mult: float = 4.0
    suspicion_max_mult: float = 6.0
    confirmations: int = 3
    local_health_max: int = 8  # Lifeguard's local health: periods and ack times stretch at most (8 + 1) times
    # An update goes out about lambda * log10(N + 1) times: enough for all with high probability (SWIM, 4.4).
    retransmit_mult: int = 4
    updates_per_message: int = 12  # member updates on one message: 12 of at most 96 bytes fit in 1200
    findings_per_message: int = 4  # health findings; most are far shorter than their bound of 128 bytes
    # A dead member is tried by a full-state exchange now and then, so that two sides of a partition find
    # each other again without an operator; its tombstone also rejects old updates about it.
    reconnect_periods: int = 5
    tombstone_periods: int = 600
    # Where the probes do not carry the updates in time (more than a message holds, or this member probes
    # slowly because of its local health), gossip messages also go to `gossip_fanout` members this often.
    gossip_interval_periods: float = 0.5
    gossip_fanout: int = 2
    # More queued updates than this for over a period, as when a partition heals: then one full-state exchange
    # a period goes to a random member, and updates beyond `queued_updates_max` are left to the exchanges.
    backlog_updates: int = 48
    queued_updates_max: int = 128
    # Views that differ by their digests are reconciled by a full-state exchange, this often at most.
    reconcile_periods: int = 5
    # Members that others declare dead and that are alive here are notified at once, so many a period.
    death_notices_per_period: int = 8
    state_updates_per_message: int = 250  # of a full state: 24 KB at most, under UDP's 64 KB
    members_max: int = 4096  # of any status: beyond, new names are rejected; the model goes to 2000
    lifeguard: bool = True  # off: plain SWIM, for measurements beside it

    def suspicion_us(self, members: int, confirmed: int) -> int:
        """Return how long a suspicion lasts before the member is declared dead: Lifeguard, section 4.2.

        `members` is the size of the view; `confirmed` counts independent suspicions after the first.
        """
        min_us = self.suspicion_mult * max(1.0, math.log10(max(members, 1))) * self.period_us
        if not self.lifeguard:
            return int(min_us)
        max_us = min_us * self.suspicion_max_mult
        confirmed_share = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        return int(max(min_us, max_us - (max_us - min_us) * min(confirmed_share, 1.0)))

    def retransmits(self, members: int) -> int:
        """Return how many times an update is sent in a view of `members` (SWIM's lambda * log N)."""
        return self.retransmit_mult * max(1, math.ceil(math.log10(members + 1)))
