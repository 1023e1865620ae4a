"""Health checks of runners, shared among the members: each runner is probed by the member that owns it.

Without this every router probes every runner for itself, and a fleet of N sends N probes where one would do.
Here a runner's owner by rendezvous hashing (`assignment.py`) probes it once an interval, and reports to the
others when the outcome changes. They skip their own probes of a runner that its owner finds silent, and probe
for themselves when it answers its owner again, since the path from here may be another.

A finding is piggybacked a limited number of times, which reaches all members with high probability only, and
in a small group misses one now and then. The views of members are reconciled by their digests; findings are
repeated instead: every member sends each finding that still matters once more at a slow rate.

A finding is a last-writer-wins register: its version counts up from the last one known, and equal versions
are ordered by the writer's name. Two owners of one runner, as in a partition, may write against each other;
the next probe of the one owner that is left sets it right. Free of I/O; times in microseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from maplestile.membership.assignment import CheckAssignment

MISSES_UNTIL_SILENT = 2  # probes in a row without an answer: one may be lost or late
RUNNERS_MAX = 4096
REPEAT_INTERVALS = 5  # of the health checks, between two repeats of the findings
# In place of a count of transmissions: one more, after all findings that are new.
LAST_TRANSMISSION = 1 << 30


@dataclass(slots=True, frozen=True)
class HealthFinding:
    """What its owner found: whether `runner` answers; `version` and `by` order the findings of a runner."""

    runner: str
    answers: bool
    version: int
    by: str

    def later(self, other: "HealthFinding | None") -> bool:
        """Return whether this finding replaces `other`."""
        return other is None or (self.version, self.by) > (other.version, other.by)

    def changes_something(self) -> bool:
        """Return whether a member without this finding would treat the runner in another way.

        Without any finding a runner is taken to answer, and so is one that has answered all its checks.
        """
        return not self.answers or self.version > 1


class SharedHealthChecks:
    """One member's part: which runners to probe when, and what is known of all of them.

    The driver calls `due` for the runners to probe now, and `record_result` with the outcome of each probe.
    """

    def __init__(self, own_name: str, interval_us: int, runners_max: int = RUNNERS_MAX) -> None:
        self.own_name = own_name
        self.interval_us = interval_us
        self.runners_max = runners_max
        self.assignment = CheckAssignment(own_name)
        self.runners: tuple[str, ...] = ()
        self.live: tuple[str, ...] = (own_name,)
        self.agreed: tuple[str, ...] = (own_name,)
        self.isolated = False
        self.findings: dict[str, HealthFinding] = {}
        self.skipped_probes = 0  # probes of this router's own that were left to a runner's owner
        self.next_probe_us: dict[str, int] = {}  # of the runners owned here, when each is due
        self._next_repeat_us = 0
        self._transmissions: dict[str, int] = {}  # of the findings to pass on, how often they went out so far
        self._misses: dict[str, int] = {}  # of the runners owned here, probes in a row without an answer

    def set_runners(self, runners: Iterable[str]) -> None:
        """Take a new list of runners; what is known of those no longer listed is forgotten."""
        self.runners = tuple(sorted(runners))[: self.runners_max]
        listed = set(self.runners)
        for by_runner in (self.findings, self._transmissions, self.next_probe_us, self._misses):
            for runner in [name for name in by_runner if name not in listed]:
                del by_runner[runner]
        self._assign()

    def set_view(self, live: Iterable[str], agreed: Iterable[str], isolated: bool) -> None:
        """Take a new view; checks move at once."""
        self.isolated = isolated
        live_members = tuple(live)
        agreed_members = tuple(sorted(agreed))
        if live_members != self.live or agreed_members != self.agreed:
            self.live = live_members
            self.agreed = agreed_members
            self._assign()

    def due(self, now_us: int) -> list[str]:
        """Return the runners to probe now. One that was just taken over is due at once."""
        self._repeat_findings(now_us)
        due = [runner for runner, due_us in self.next_probe_us.items() if due_us <= now_us]
        for runner in due:
            self.next_probe_us[runner] = now_us + self.interval_us
        return due

    def due_us(self) -> int | None:
        """Return when the next probe is due, or None where no runner is owned here."""
        return min(self.next_probe_us.values(), default=None)

    def record_result(self, runner: str, answers: bool) -> HealthFinding | None:
        """Take the outcome of a probe, and return the finding if it is a new one.

        A probe of a runner that another member owns makes no finding.
        """
        if runner not in self.next_probe_us:
            return None
        misses = 0 if answers else self._misses.get(runner, 0) + 1
        self._misses[runner] = misses
        known = self.findings.get(runner)
        if known is not None and known.answers == answers:
            return None
        if 0 < misses < MISSES_UNTIL_SILENT:
            return None
        finding = HealthFinding(runner, answers, known.version + 1 if known else 1, self.own_name)
        self._store(finding)
        return finding

    def merge(self, finding: HealthFinding) -> bool:
        """Take another member's finding, and return whether it replaced the one known here."""
        if finding.runner not in self.runners or not finding.later(self.findings.get(finding.runner)):
            return False
        self._store(finding)
        return True

    def piggyback(self, count: int, transmit_limit: int) -> list[HealthFinding]:
        """Return up to `count` findings to send along, least sent first.

        Each finding is sent `transmit_limit` times in all.
        """
        by_transmissions = sorted(
            self._transmissions, key=lambda runner: (self._transmissions[runner], runner)
        )
        chosen = by_transmissions[:count]
        for runner in chosen:
            self._transmissions[runner] += 1
            if self._transmissions[runner] >= transmit_limit:
                del self._transmissions[runner]
        return [self.findings[runner] for runner in chosen]

    def all_findings(self) -> list[HealthFinding]:
        """Return what is known of every runner, for a full-state exchange."""
        return list(self.findings.values())

    def may_probe(self, runner: str) -> bool:
        """Return whether this router probes `runner` for itself.

        A member that is cut off trusts no other's findings; a runner that answers its owner is probed from
        here all the same, since the path differs.
        """
        finding = self.findings.get(runner)
        if self.isolated or finding is None or finding.answers or runner in self.next_probe_us:
            return True
        self.skipped_probes += 1
        return False

    def _repeat_findings(self, now_us: int) -> None:
        """Queue each finding for one more transmission, at a slow rate, for members that missed it."""
        if now_us < self._next_repeat_us:
            return
        self._next_repeat_us = now_us + REPEAT_INTERVALS * self.interval_us
        for runner, finding in self.findings.items():
            if finding.changes_something():
                self._transmissions.setdefault(runner, LAST_TRANSMISSION)

    def _assign(self) -> None:
        assigned = self.assignment.assign(self.runners, self.live, self.agreed)
        self.next_probe_us = {runner: self.next_probe_us.get(runner, 0) for runner in sorted(assigned)}

    def _store(self, finding: HealthFinding) -> None:
        self.findings[finding.runner] = finding
        self._transmissions[finding.runner] = 0
