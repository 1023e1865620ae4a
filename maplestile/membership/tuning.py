"""Every time, count and size of the membership protocol, with its reason. Times are in microseconds."""

import math
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Tuning:
    # One probe a period: a dead member is found within one period of its end on average, two at worst,
    # plus the suspicion. A second keeps the messages of 1000 members under 3 per member and second.
    period_us: int = 1_000_000
    # For the direct ack: loopback and one switch answer in well under a millisecond, a busy process in tens.
    ack_us: int = 400_000
    helpers: int = 3  # k of SWIM: indirect probes when the direct one is not answered
    # Lifeguard: the suspicion lasts from SUSPICION_MIN * log10(N) periods down to a sixth of its longest as
    # independent confirmations come in; `confirmations` is how many are expected.
    suspicion_mult: float = 4.0
    suspicion_max_mult: float = 6.0
    confirmations: int = 3
    health_most: int = 8  # Lifeguard's local health: periods and ack times stretch at most (8 + 1) times
    # A rumour goes out about lambda * log10(N + 1) times: enough for all with high probability (SWIM, 4.4).
    retransmit_mult: int = 4
    gossip_per_message: int = 12  # entries piggybacked on one message: 12 of at most 96 bytes fit in 1200
    findings_per_message: int = 4  # of runners; most are far shorter than their bound of 128 bytes
    datagram_bytes: int = 1400  # under the path's MTU of 1500 less the headers
    # A member once dead is tried by a full exchange now and then, so that two sides of a split find each
    # other again without an operator; its tombstone also turns away old rumours of it.
    reconnect_periods: int = 5
    tombstone_periods: int = 600
    # Where the probes do not carry the rumours in time (more than a message holds, or this member probes
    # slowly by its local health), they also go to so many members this often: a slow prober must not be a
    # slow teller.
    word_periods: float = 0.5
    word_fanout: int = 2
    # More rumours than this wait in line for over a period, as when a split heals: then one full exchange a
    # period goes to a member at random, and rumours beyond `rumours_most` are left to the exchanges.
    backlog: int = 48
    rumours_most: int = 128
    # Views that differ by their digests are made one by a full exchange, this often at most.
    differ_periods: int = 5
    # Members whose death others tell, and who are well here, are told so at once: at most so many a period.
    doubts_per_period: int = 8
    exchange_chunk: int = 250  # entries a datagram of a full exchange: 24 KB at most, under UDP's 64 KB
    members_most: int = 4096  # of any state: beyond, new names are turned away; the model goes to 2000
    name_bytes: int = 64
    lifeguard: bool = True  # off: plain SWIM, for the measurements beside it

    def suspicion_us(self, members: int, confirmed: int) -> int:
        """How long a suspicion lasts before the member is declared dead: Lifeguard's formula, section 4.2.

        members: the size of the view, at least one; confirmed: independent suspicions after the first."""
        least = self.suspicion_mult * max(1.0, math.log10(max(members, 1))) * self.period_us
        if not self.lifeguard:
            return int(least)
        most = least * self.suspicion_max_mult
        share = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        return int(max(least, most - (most - least) * min(share, 1.0)))

    def retransmits(self, members: int) -> int:
        return self.retransmit_mult * max(1, math.ceil(math.log10(members + 1)))
