"""The probes of runners, shared among the members: each runner is probed by the one that owns it.

Without this every router probes every runner for itself, and a fleet of N sends N probes where one would do.
Here a runner's owner by rendezvous hashing (`duties.py`) probes it once in `every_us` and tells the others
when what it finds changes; they leave their own probes of a runner that its owner finds silent, and probe
once for themselves when it answers its owner again, since the path from here may be another.

A finding is a register whose last write wins: its version counts up from the last one known, and equal
versions are told apart by the writer's name. Two owners of one runner, as in a split, may write against each
other; the next probe of the one owner that is left sets it right. Free of I/O; times in microseconds."""

from collections.abc import Iterable
from dataclasses import dataclass

from maplestile.membership.assignment import CheckAssignment, owner

MISSES = 2  # probes in a row without an answer before a runner is found silent: one may be lost or late


@dataclass(slots=True, frozen=True)
class HealthFinding:
    """What its owner found: whether `runner` answers; `version` and `by` say which of two is the later."""

    runner: str
    answers: bool
    version: int
    by: str

    def later(self, other: "HealthFinding | None") -> bool:
        return other is None or (self.version, self.by) > (other.version, other.by)


class SharedHealthChecks:
    """One member's part. The driver asks `due` what to probe now, and tells `ended` how each probe ended."""

    def __init__(self, me: str, every_us: int, runners_most: int = 4096) -> None:
        self.me, self.every_us, self.runners_most = me, every_us, runners_most
        self.shares = CheckAssignment(me)
        self.runners: tuple[str, ...] = ()
        self.live: tuple[str, ...] = (me,)
        self.agreed: tuple[str, ...] = (me,)
        self.isolated = False
        self.findings: dict[str, HealthFinding] = {}
        self.untold: dict[str, int] = {}  # findings to pass on, with how often they went out so far
        self.next_us: dict[str, int] = {}  # of the runners owned here, when each is due
        self.misses: dict[str, int] = {}  # of the runners owned here, in a row
        self.left = 0  # probes of the module's that were left to a runner's owner

    def listed(self, runners: Iterable[str]) -> None:
        """The list of runners has changed; what is known of those that went is forgotten."""
        self.runners = tuple(sorted(runners))[: self.runners_most]
        here = set(self.runners)
        for kept in (self.findings, self.untold, self.next_us, self.misses):
            for runner in [name for name in kept if name not in here]:
                del kept[runner]
        self._judge()

    def seen(self, live: Iterable[str], agreed: Iterable[str], isolated: bool) -> None:
        """The view has changed: duties move at once."""
        told = tuple(live), tuple(sorted(agreed))
        self.isolated = isolated
        if told != (self.live, self.agreed):
            self.live, self.agreed = told
            self._judge()

    def _judge(self) -> None:
        mine = self.shares.judge(self.runners, self.live, self.agreed)
        self.next_us = {runner: self.next_us.get(runner, 0) for runner in sorted(mine)}

    def due(self, now_us: int) -> list[str]:
        """The runners to probe now. One that was just taken over is due at once."""
        due = [runner for runner, at_us in self.next_us.items() if at_us <= now_us]
        for runner in due:
            self.next_us[runner] = now_us + self.every_us
        return due

    def due_us(self) -> int | None:
        return min(self.next_us.values(), default=None)

    def ended(self, runner: str, answers: bool) -> HealthFinding | None:
        """How a probe ended, of an owner or not; a finding that is news, and goes to the others."""
        known = self.findings.get(runner)
        if runner not in self.next_us:
            return None
        self.misses[runner] = 0 if answers else self.misses.get(runner, 0) + 1
        if known is not None and known.answers == answers or 0 < self.misses[runner] < MISSES:
            return None
        finding = HealthFinding(runner, answers, known.version + 1 if known else 1, self.me)
        self._keep(finding)
        return finding

    def take(self, finding: HealthFinding) -> bool:
        """A finding told by another; whether it is news."""
        if finding.runner not in self.runners or not finding.later(self.findings.get(finding.runner)):
            return False
        self._keep(finding)
        return True

    def _keep(self, finding: HealthFinding) -> None:
        self.findings[finding.runner] = finding
        self.untold[finding.runner] = 0

    def tell(self, most: int, times: int) -> list[HealthFinding]:
        """Findings to piggyback on a message: those told least so far, each `times` times in all."""
        chosen = sorted(self.untold, key=lambda runner: (self.untold[runner], runner))[:most]
        for runner in chosen:
            self.untold[runner] += 1
            if self.untold[runner] >= times:
                del self.untold[runner]
        return [self.findings[runner] for runner in chosen]

    def everything(self) -> list[HealthFinding]:
        return list(self.findings.values())

    def may_probe(self, runner: str) -> bool:
        """Whether the module here probes `runner` itself. One that is cut off trusts no other's findings;
        a runner that answers its owner is probed from here all the same, since the path differs."""
        finding = self.findings.get(runner)
        if self.isolated or finding is None or finding.answers or runner in self.next_us:
            return True
        self.left += 1
        return False

    def owner(self, runner: str) -> str:
        return owner(runner, sorted({*self.live, self.me}))
