"""Health checks of runners, shared among the members: each runner is probed by its assignee.

Without sharing, every router probes every runner, so a group of N routers sends N probes where one suffices.
With it, the assignee of a runner, chosen by rendezvous hashing (`assignment.py`), probes the runner once per
interval and reports a changed result to the other members. They skip their own probes of a runner while its
assignee finds it silent. Once it answers the assignee again, they probe it themselves, since their network
path to it may differ.

A finding is piggybacked a limited number of times. That reaches all members only with high probability: in a
small group a finding occasionally misses a member. Views are reconciled by comparing digests; findings are
repeated instead: at a low rate, every member sends each finding that differs from the default once more.

A finding is a last-writer-wins register: a new finding's version is one more than the last known one, and
equal versions are ordered by the writer's name. Two assignees of one runner, as in a partition, may overwrite
each other's findings; the next probe of the remaining assignee corrects this. Performs no I/O; times are in
microseconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from maplestile.membership.assignment import CheckAssignment

MISSES_UNTIL_SILENT = 2  # consecutive probes without an answer; a single one may be lost or late
RUNNERS_MAX = 4096
REPEAT_INTERVALS = 5  # health check intervals between two repeats of the findings
# Transmission count given to a finding that is repeated: it is sent once, and after all new findings.
REPEAT_TRANSMISSIONS = 1 << 30


@dataclass(slots=True, frozen=True)
class HealthFinding:
    """Whether `runner` answers, as found by the member `by`; `version` and `by` order a runner's findings."""

    runner: str
    answers: bool
    version: int  # from 1
    by: str  # name of the member that probed the runner

    def is_newer_than(self, other: "HealthFinding | None") -> bool:
        """Return whether this finding replaces `other`; None means that there is no other."""
        return other is None or (self.version, self.by) > (other.version, other.by)

    def differs_from_default(self) -> bool:
        """Return whether a member without this finding would treat the runner differently.

        A runner without a finding is assumed to answer; a first finding that it answers changes nothing.
        """
        return not self.answers or self.version > 1


class SharedHealthChecks:
    """One member's share of the health checks: when it probes which runner, and the findings of the group.

    The driver calls `due` for the runners to probe now, and `record_result` with the result of each probe.
    """

    def __init__(self, own_name: str, interval_us: int, runners_max: int = RUNNERS_MAX) -> None:
        self.own_name = own_name
        self.interval_us = interval_us
        self.runners_max = runners_max
        self.assignment = CheckAssignment(own_name)
        self.runners: tuple[str, ...] = ()
        self.live: tuple[str, ...] = (own_name,)  # the members in view
        self.agreed: tuple[str, ...] = (own_name,)  # the last view without suspicions
        self.isolated = False
        self.findings: dict[str, HealthFinding] = {}  # the newest one of each runner
        self.skipped_probes = 0  # own probes skipped since the assignee finds the runner silent
        self.next_probe_us: dict[str, int] = {}  # when each runner assigned to this member is due
        self._next_repeat_us = 0
        self._transmissions: dict[str, int] = {}  # of the findings still to be sent, by runner
        self._missed_probes: dict[str, int] = {}  # consecutive probes without an answer, by runner

    def set_runners(self, runners: Iterable[str]) -> None:
        """Replace the list of runners, and discard the findings and probe times of those no longer listed."""
        self.runners = tuple(sorted(runners))[: self.runners_max]
        listed = set(self.runners)
        for by_runner in (self.findings, self._transmissions, self.next_probe_us, self._missed_probes):
            for runner in [name for name in by_runner if name not in listed]:
                del by_runner[runner]
        self._assign()

    def set_view(self, live: Iterable[str], agreed: Iterable[str], isolated: bool) -> None:
        """Replace the view, and reassign the checks at once."""
        self.isolated = isolated
        live_members = tuple(live)
        agreed_members = tuple(sorted(agreed))
        if live_members != self.live or agreed_members != self.agreed:
            self.live = live_members
            self.agreed = agreed_members
            self._assign()

    def due(self, now_us: int) -> list[str]:
        """Return the runners to probe now. A runner that was just assigned to this member is due at once."""
        self._repeat_findings(now_us)
        due = [runner for runner, due_us in self.next_probe_us.items() if due_us <= now_us]
        for runner in due:
            self.next_probe_us[runner] = now_us + self.interval_us
        return due

    def due_us(self) -> int | None:
        """Return when the next probe is due, or None if no runner is assigned to this member."""
        return min(self.next_probe_us.values(), default=None)

    def record_result(self, runner: str, answers: bool) -> HealthFinding | None:
        """Record the result of a probe; return the new finding, or None if nothing changed.

        A probe of a runner that is assigned to another member yields no finding.
        """
        if runner not in self.next_probe_us:
            return None
        misses = 0 if answers else self._missed_probes.get(runner, 0) + 1
        self._missed_probes[runner] = misses
        known = self.findings.get(runner)
        if known is not None and known.answers == answers:
            return None
        if 0 < misses < MISSES_UNTIL_SILENT:
            return None
        finding = HealthFinding(runner, answers, known.version + 1 if known else 1, self.own_name)
        self._store(finding)
        return finding

    def merge(self, finding: HealthFinding) -> bool:
        """Merge a finding received from another member; return whether it replaced the known one."""
        if finding.runner not in self.runners or not finding.is_newer_than(self.findings.get(finding.runner)):
            return False
        self._store(finding)
        return True

    def piggyback(self, count: int, transmit_limit: int) -> list[HealthFinding]:
        """Return up to `count` findings to piggyback on a message, the least often sent first.

        A new finding is sent `transmit_limit` times in total, a repeated one once.
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
        """Return the known finding of each runner, for a full-state exchange."""
        return list(self.findings.values())

    def may_probe(self, runner: str) -> bool:
        """Return whether this router sends its own probe to `runner`; count the probe as skipped if not.

        An isolated member does not rely on the findings of others. A runner that answers its assignee is
        still probed from here, since the network path differs.
        """
        finding = self.findings.get(runner)
        if self.isolated or finding is None or finding.answers or runner in self.next_probe_us:
            return True
        self.skipped_probes += 1
        return False

    def _repeat_findings(self, now_us: int) -> None:
        """Queue the findings for one more transmission every few intervals, for members that missed them."""
        if now_us < self._next_repeat_us:
            return
        self._next_repeat_us = now_us + REPEAT_INTERVALS * self.interval_us
        for runner, finding in self.findings.items():
            if finding.differs_from_default():
                self._transmissions.setdefault(runner, REPEAT_TRANSMISSIONS)

    def _assign(self) -> None:
        assigned = self.assignment.assign(self.runners, self.live, self.agreed)
        self.next_probe_us = {runner: self.next_probe_us.get(runner, 0) for runner in sorted(assigned)}

    def _store(self, finding: HealthFinding) -> None:
        self.findings[finding.runner] = finding
        self._transmissions[finding.runner] = 0
