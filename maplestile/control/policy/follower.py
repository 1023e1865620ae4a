"""One router's part: which epoch it decides by, and whether it may take new calls. Free of I/O.

    WAITING --the committed epoch is announced--> CURRENT <--announced again-- STALE
       |                                             +--no announcement for `stale_us`--> STALE
       +--no announcement for `wait_us`, and an epoch is on record--> STALE
    any --paused for `pause_us`, as a stopped process is--> WAITING
    any --its build or file refuses what is committed--> REFUSED --one that fits is announced--> CURRENT

A router that starts, or that was paused, may have missed a commit, so it takes no new calls until its agent
announces what was committed after that moment. One that only gets no announcements is cut off, and serves
with the last epoch it knows: all of its epochs were committed. It never goes back.

Times are microseconds of the machine's monotonic clock, which its agent shares.
"""

from dataclasses import dataclass, field
from enum import Enum

from maplestile.control.policy.document import Document

NO_EPOCH = -1  # the epoch of a router that has none on record


class PolicyStatus(Enum):
    """The state of a router's epoch in relation to the fleet's."""

    WAITING = "waiting"
    CURRENT = "current"
    STALE = "stale"
    REFUSED = "refused"


class Step(Enum):
    """What the driver has to do about an announcement."""

    NOTHING = "nothing"
    ADOPT = "adopt"
    FETCH = "fetch"  # the document was not sent along
    OLDER = "older"  # an epoch before the one in force: it came late, and changes nothing


@dataclass(slots=True, frozen=True)
class FollowerTimeouts:
    """The timeouts of a router that gets no announcements, in microseconds."""

    stale_us: int = 5_000_000
    wait_us: int = 10_000_000
    pause_us: int = 2_000_000  # a router that is silent for so long counts as absent at the leader


@dataclass(slots=True, frozen=True)
class PolicyAnnouncement:
    """What the agent announces: at `fenced_us` or later this epoch was the committed one."""

    epoch: int
    fenced_us: int
    checking: int = 0  # the change that is being checked; 0 for none
    has_document: bool = False  # the document was sent along
    document: Document | None = None  # None, if it was sent along: the file's own


@dataclass(slots=True, frozen=True)
class PreparedPolicy:
    """A change that was found to fit, and may be committed any moment: nothing may make it unfit."""

    change: int
    document: Document | None


@dataclass(slots=True)
class Follower:
    """The state machine of one router's policy."""

    timeouts: FollowerTimeouts
    epoch: int  # on record, or NO_EPOCH
    since_us: int  # since when it may have missed a commit: its start, or the end of a pause
    ticked_us: int = field(init=False)
    confirmed_us: int = 0  # the last moment at which its epoch is known to have been the committed one
    status: PolicyStatus = PolicyStatus.WAITING
    reason: str = ""  # of a refusal
    prepared: PreparedPolicy | None = None

    def __post_init__(self) -> None:
        """Count the time without a tick from the start."""
        self.ticked_us = self.since_us

    def tick(self, now_us: int) -> None:
        """Advance the clock; called at intervals, and before each decision."""
        gap_us = now_us - self.ticked_us
        self.ticked_us = now_us
        if gap_us > self.timeouts.pause_us:
            self._restart(now_us)
        if self.status is PolicyStatus.CURRENT and now_us - self.confirmed_us > self.timeouts.stale_us:
            self.status = PolicyStatus.STALE
        has_waited = now_us - self.since_us > self.timeouts.wait_us
        if self.status is PolicyStatus.WAITING and has_waited and self.epoch != NO_EPOCH:
            self.status = PolicyStatus.STALE

    def _restart(self, now_us: int) -> None:
        """Wait for a new announcement: a commit may have been missed while the process was paused."""
        self.since_us = now_us
        if self.status in (PolicyStatus.CURRENT, PolicyStatus.STALE):
            self.status = PolicyStatus.WAITING

    def admits(self, now_us: int) -> bool:
        """Whether new calls are taken."""
        self.tick(now_us)
        return self.status in (PolicyStatus.CURRENT, PolicyStatus.STALE)

    def stale_us(self, now_us: int) -> int:
        """For how long its epoch has not been known to be the committed one; 0 while it is."""
        if self.status is not PolicyStatus.STALE:
            return 0
        return now_us - (self.confirmed_us or self.since_us)

    def prepare(self, change: int, document: Document | None) -> None:
        """Remember that the driver has found the change to fit this build and file."""
        self.prepared = PreparedPolicy(change, document)

    def take_announcement(self, announcement: PolicyAnnouncement, now_us: int) -> Step:
        """Take an announcement, and return what the driver has to do about it."""
        self.tick(now_us)
        if announcement.epoch < self.epoch:
            return Step.OLDER
        if self.prepared is not None and announcement.checking != self.prepared.change:
            self.prepared = None  # decided; if it was committed the document comes with its epoch
        # A refused epoch may be the one on record, which this file or build does not fit any more.
        if announcement.epoch > self.epoch or self.status is PolicyStatus.REFUSED:
            return Step.ADOPT if announcement.has_document else Step.FETCH
        self._confirm(announcement, now_us)
        return Step.NOTHING

    def adopted(self, announcement: PolicyAnnouncement, now_us: int) -> None:
        """Record that the driver has stored the announced epoch and put it in force."""
        self.epoch = announcement.epoch
        self.reason = ""
        if self.status is PolicyStatus.REFUSED:
            self.status = PolicyStatus.WAITING
        self._confirm(announcement, now_us)

    def refused(self, reason: str) -> None:
        """Record that the build or file refuses the committed epoch: no new call is taken meanwhile."""
        self.status = PolicyStatus.REFUSED
        self.reason = reason

    def _confirm(self, announcement: PolicyAnnouncement, now_us: int) -> None:
        fenced_us = announcement.fenced_us
        if fenced_us < self.since_us or now_us - fenced_us > self.timeouts.stale_us:
            return  # what was committed since then is not known
        self.confirmed_us = max(self.confirmed_us, fenced_us)
        self.status = PolicyStatus.CURRENT
