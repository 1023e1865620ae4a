"""Detection of isolation: a member is cut off that sees less than a majority of the last undisputed view."""

from maplestile.membership.events import EventKind, EventLog
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.local_health import LocalHealth
from maplestile.membership.member_list import MemberList
from maplestile.membership.messages import Status
from maplestile.membership.tuning import Tuning

PROBE_PASSES = 2  # within which each member is probed: the order is drawn anew for each pass (SWIM, 4.3)


class IsolationDetector:
    """Compares the view with the last one agreed, and passes every new view to the shared health checks.

    The members of a lost side are declared dead one after the other, and perhaps none of the rest is
    suspected yet as one is declared dead. So the majority is that of the quorum view, which keeps the dead
    until all other members have been probed since.
    """

    def __init__(
        self,
        members: MemberList,
        log: EventLog,
        checks: SharedHealthChecks | None,
        tuning: Tuning,
        health: LocalHealth,
    ) -> None:
        self._members = members
        self._log = log
        self._health_checks = checks
        self._tuning = tuning
        self._health = health
        self._evaluated: list[str] | None = None  # the list of names evaluated last
        self._quorum_view = frozenset(members.live())
        self._dead: frozenset[str] = frozenset()  # of the quorum view
        self._all_probed_us = 0  # when all others have been probed since the last death
        self.agreed = frozenset(members.live())
        self.isolated = False

    def agree(self) -> None:
        """Take the present view as agreed, and as the quorum view."""
        self.agreed = frozenset(self._members.live())
        self._quorum_view = self.agreed
        self._dead = frozenset()

    def evaluate(self, now_us: int) -> None:
        """Follow a change of the view, if there was one, and forget the dead once that is due."""
        live = self._members.live()
        if live is not self._evaluated:  # the list is a new object after each change of the view
            self._evaluated = live
            self._follow(frozenset(live), now_us)
            if self._health_checks is not None:
                self._health_checks.set_view(live, self.agreed, self.isolated)
        elif self._dead and now_us >= self._all_probed_us and self._is_undisputed():
            self.agree()

    def _follow(self, live: frozenset[str], now_us: int) -> None:
        self._note_deaths(now_us)
        seen = len(self._quorum_view & live)
        isolated = seen < len(self._quorum_view) // 2 + 1
        if isolated != self.isolated:
            self.isolated = isolated
            if isolated:
                self.agreed = self._quorum_view
            self._record(seen)
        if self._is_undisputed():
            self.agreed = live
            self._quorum_view = live | self._dead

    def _note_deaths(self, now_us: int) -> None:
        """Keep the dead of the quorum view, also once they are forgotten; drop the members that have left."""
        dead = frozenset(name for name in self._quorum_view if self._is_dead(name))
        in_view = frozenset(name for name in self._quorum_view if self._is_in_view(name))
        if dead - self._dead:
            passes_us = PROBE_PASSES * len(self._quorum_view) * self._tuning.period_us
            self._all_probed_us = now_us + passes_us * self._health.multiplier
        self._dead = dead
        self._quorum_view = in_view | dead

    def _is_dead(self, name: str) -> bool:
        member = self._members.get(name)
        return member is None or member.status is Status.DEAD

    def _is_in_view(self, name: str) -> bool:
        member = self._members.get(name)
        return member is not None and member.in_view

    def _is_undisputed(self) -> bool:
        return not self._members.suspects and not self.isolated

    def _record(self, seen: int) -> None:
        kind = EventKind.ISOLATED if self.isolated else EventKind.HEALED
        self._log.add(kind, {"member": self._members.own_name, "seen": seen, "agreed": len(self.agreed)})
