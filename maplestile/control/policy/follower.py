"""Decides which epoch one router applies and whether it may accept new calls. Does no I/O.

    WAITING --the committed epoch is announced--> CURRENT <--announced again-- STALE
       |                                             +--no announcement for `stale_us`--> STALE
       +--no announcement for `wait_us`, and an epoch is on disk--> STALE
    CURRENT, STALE --the process was paused for over `pause_us`--> WAITING
    any --the committed epoch is incompatible--> REFUSED --a compatible one is adopted--> CURRENT

A router that starts, or whose process was paused, may have missed a commit. It rejects new calls until its
agent announces an epoch that was the committed one after that moment. A router that merely gets no
announcements is cut off and goes on with the last epoch that it knows, which was committed. A router never
returns to an older epoch. An epoch is incompatible if the router's build or its configuration file does not
support it.

Times are microseconds of the machine's monotonic clock, which the router and its agent share.
"""

from dataclasses import dataclass, field
from enum import Enum

from maplestile.control.policy.document import Document

NO_EPOCH = -1  # the epoch of a router that has none on disk


class PolicyStatus(Enum):
    """How a router's epoch relates to the committed one."""

    WAITING = "waiting"  # the committed epoch is not known yet; new calls are rejected
    CURRENT = "current"  # the epoch was confirmed as the committed one within `stale_us`
    STALE = "stale"  # the router is cut off and applies the last epoch that it knows
    REFUSED = "refused"  # the router cannot apply the committed epoch; new calls are rejected


class AnnouncementAction(Enum):
    """What the caller of `process_announcement` must do with the announcement."""

    NOTHING = "nothing"
    ADOPT = "adopt"  # store the announced epoch and put it in force
    FETCH = "fetch"  # ask for the document, which the announcement lacks
    OLDER = "older"  # ignore a late announcement of an epoch before the one in force


@dataclass(slots=True, frozen=True)
class FollowerTimeouts:
    """The timeouts of a router's policy, in microseconds."""

    stale_us: int = 5_000_000  # a CURRENT router without an announcement for longer becomes STALE
    wait_us: int = 10_000_000  # a WAITING router without an announcement for longer becomes STALE
    # A longer gap between ticks counts as a pause: by then the leader may consider the router absent.
    pause_us: int = 2_000_000


@dataclass(slots=True, frozen=True)
class PolicyAnnouncement:
    """An agent's announcement that `epoch` was the committed one at `fenced_us` or later."""

    epoch: int
    fenced_us: int  # when the agent requested the read of the log that returned the epoch
    checking: int = 0  # the number of the change that is being checked; 0 for none
    has_document: bool = False  # whether the announcement contains the document
    document: Document | None = None  # None, if `has_document`: the policy of the router's own file


@dataclass(slots=True, frozen=True)
class PreparedPolicy:
    """A change that fits this router and may be committed at any moment.

    Until it is decided, the router must not take a new file that the change does not fit.
    """

    change: int  # its number
    document: Document | None  # None: the policy of the router's own file


@dataclass(slots=True)
class Follower:
    """The state machine of one router's policy."""

    timeouts: FollowerTimeouts
    epoch: int  # the epoch on disk; NO_EPOCH if there is none
    since_us: int  # since when it may have missed a commit: its start or the end of a pause
    last_tick_us: int = field(init=False)  # the time of the last tick
    confirmed_us: int = 0  # when its epoch was last known to be the committed one; 0 if it never was
    status: PolicyStatus = PolicyStatus.WAITING
    reason: str = ""  # why the committed epoch was refused; "" if it was not
    prepared: PreparedPolicy | None = None  # None if no change is being checked that fits

    def __post_init__(self) -> None:
        """Start to measure gaps between ticks at `since_us`."""
        self.last_tick_us = self.since_us

    def tick(self, now_us: int) -> None:
        """Update the status to the current time; called at intervals and before each decision."""
        gap_us = now_us - self.last_tick_us
        self.last_tick_us = now_us
        if gap_us > self.timeouts.pause_us:
            self._wait_after_pause(now_us)
        if self.status is PolicyStatus.CURRENT and now_us - self.confirmed_us > self.timeouts.stale_us:
            self.status = PolicyStatus.STALE
        has_waited = now_us - self.since_us > self.timeouts.wait_us
        if self.status is PolicyStatus.WAITING and has_waited and self.epoch != NO_EPOCH:
            self.status = PolicyStatus.STALE

    def _wait_after_pause(self, now_us: int) -> None:
        """Wait for a new announcement, because a commit may have been missed while the process was paused."""
        self.since_us = now_us
        if self.status in (PolicyStatus.CURRENT, PolicyStatus.STALE):
            self.status = PolicyStatus.WAITING

    def accepts_calls(self, now_us: int) -> bool:
        """Return whether the router may accept new calls."""
        self.tick(now_us)
        return self.status in (PolicyStatus.CURRENT, PolicyStatus.STALE)

    def stale_us(self, now_us: int) -> int:
        """Return for how long the epoch has not been confirmed as the committed one; 0 unless STALE."""
        if self.status is not PolicyStatus.STALE:
            return 0
        return now_us - (self.confirmed_us or self.since_us)

    def prepare(self, change: int, document: Document | None) -> None:
        """Record that the change is compatible with this build and the configuration file."""
        self.prepared = PreparedPolicy(change, document)

    def process_announcement(self, announcement: PolicyAnnouncement, now_us: int) -> AnnouncementAction:
        """Process an announcement and return what the caller must do with it."""
        self.tick(now_us)
        if announcement.epoch < self.epoch:
            return AnnouncementAction.OLDER
        if self.prepared is not None and announcement.checking != self.prepared.change:
            self.prepared = None  # the change is decided; if committed, its document comes with the new epoch
        # A refused epoch may be the one on disk, if this build or the configuration file does not support it.
        if announcement.epoch > self.epoch or self.status is PolicyStatus.REFUSED:
            return AnnouncementAction.ADOPT if announcement.has_document else AnnouncementAction.FETCH
        self._confirm(announcement, now_us)
        return AnnouncementAction.NOTHING

    def record_adoption(self, announcement: PolicyAnnouncement, now_us: int) -> None:
        """Record that the caller has stored the announced epoch and put it in force."""
        self.epoch = announcement.epoch
        self.reason = ""
        if self.status is PolicyStatus.REFUSED:
            self.status = PolicyStatus.WAITING
        self._confirm(announcement, now_us)

    def record_refusal(self, reason: str) -> None:
        """Record that the committed epoch is incompatible with this build or the configuration file.

        New calls are rejected from then on.
        """
        self.status = PolicyStatus.REFUSED
        self.reason = reason

    def _confirm(self, announcement: PolicyAnnouncement, now_us: int) -> None:
        fenced_us = announcement.fenced_us
        if fenced_us < self.since_us or now_us - fenced_us > self.timeouts.stale_us:
            return  # the fence is too old: a later commit may have been missed
        self.confirmed_us = max(self.confirmed_us, fenced_us)
        self.status = PolicyStatus.CURRENT
