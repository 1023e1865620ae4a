"""Detection of isolation: a member that sees less than a majority of its quorum view is isolated."""

from maplestile.membership.events import EventKind, EventLog
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.local_health import LocalHealth
from maplestile.membership.member_list import MemberList
from maplestile.membership.messages import Status
from maplestile.membership.tuning import Tuning

# Each member is certainly probed within two rounds, since every round has a new order (SWIM, section 4.3).
PROBE_PASSES = 2


class IsolationDetector:
    """Compares the live members with the quorum view, and passes every new view to the shared health checks.

    A view is undisputed while no member is suspected and this member is not isolated. The agreed view is the
    last undisputed one. After a network partition, the members on the other side are declared dead one after
    another, and when one is declared dead the others may not be suspected yet. The majority is therefore
    taken of the quorum view: the agreed view together with recently dead members, which it keeps until all
    other members have been probed since the last death. A member that becomes isolated takes the quorum view
    as its agreed view.
    """

    def __init__(
        self,
        members: MemberList,
        event_log: EventLog,
        health_checks: SharedHealthChecks | None,
        tuning: Tuning,
        health: LocalHealth,
    ) -> None:
        self._members = members
        self._event_log = event_log
        self._health_checks = health_checks
        self._tuning = tuning
        self._health = health
        self._last_live: list[str] | None = None  # the names evaluated last; None before the first time
        self._quorum_view = frozenset(members.live())
        self._dead: frozenset[str] = frozenset()  # the dead members of the quorum view
        # The time by which all other members will have been probed since the last death.
        self._dead_kept_until_us = 0
        self.agreed = frozenset(members.live())
        self.isolated = False

    def accept_view(self) -> None:
        """Make the current live members the agreed view and the quorum view."""
        self.agreed = frozenset(self._members.live())
        self._quorum_view = self.agreed
        self._dead = frozenset()

    def evaluate(self, now_us: int) -> None:
        """Process a change of the view; without one, drop the dead from the quorum view once that is due."""
        live = self._members.live()
        if live is not self._last_live:  # the list is a new object after each change of the view
            self._last_live = live
            self._update_views(frozenset(live), now_us)
            if self._health_checks is not None:
                self._health_checks.set_view(live, self.agreed, self.isolated)
        elif self._dead and now_us >= self._dead_kept_until_us and self._is_undisputed():
            self.accept_view()

    def _update_views(self, live: frozenset[str], now_us: int) -> None:
        self._update_dead(now_us)
        seen = len(self._quorum_view & live)
        isolated = seen < len(self._quorum_view) // 2 + 1
        if isolated != self.isolated:
            self.isolated = isolated
            if isolated:
                self.agreed = self._quorum_view
            self._record_change(seen)
        if self._is_undisputed():
            self.agreed = live
            self._quorum_view = live | self._dead

    def _update_dead(self, now_us: int) -> None:
        """Drop members that left from the quorum view; keep the dead, even if removed from the table."""
        dead = frozenset(name for name in self._quorum_view if self._is_dead(name))
        in_view = frozenset(name for name in self._quorum_view if self._is_in_view(name))
        if dead - self._dead:
            passes_us = PROBE_PASSES * len(self._quorum_view) * self._tuning.period_us
            self._dead_kept_until_us = now_us + passes_us * self._health.multiplier
        self._dead = dead
        self._quorum_view = in_view | dead

    def _is_dead(self, name: str) -> bool:
        member = self._members.get(name)
        return member is None or member.status is Status.DEAD

    def _is_in_view(self, name: str) -> bool:
        member = self._members.get(name)
        return member is not None and member.is_in_view

    def _is_undisputed(self) -> bool:
        return not self._members.suspects and not self.isolated

    def _record_change(self, seen: int) -> None:
        kind = EventKind.ISOLATED if self.isolated else EventKind.HEALED
        self._event_log.add(
            kind, {"member": self._members.own_name, "seen": seen, "agreed": len(self.agreed)}
        )
