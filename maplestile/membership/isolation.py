"""Detection of isolation: a member is cut off that sees less than a majority of the last undisputed view."""

from maplestile.membership.events import EventKind, EventLog
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.member_list import MemberList


class IsolationDetector:
    """Compares the view with the last one agreed, and passes every new view to the shared health checks."""

    def __init__(self, members: MemberList, log: EventLog, checks: SharedHealthChecks | None) -> None:
        self._members = members
        self._log = log
        self._health_checks = checks
        self._evaluated: list[str] | None = None  # the list of names evaluated last
        self.agreed = frozenset(members.live())
        self.isolated = False

    def agree(self) -> None:
        """Take the present view as agreed."""
        self.agreed = frozenset(self._members.live())

    def evaluate(self) -> None:
        """Follow a change of the view, if there was one."""
        live = self._members.live()
        if live is self._evaluated:  # the list is a new object after each change of the view
            return
        self._evaluated = live
        seen = len(self.agreed.intersection(live))
        isolated = seen < len(self.agreed) // 2 + 1
        if isolated != self.isolated:
            self.isolated = isolated
            self._record(seen)
        if not self._members.suspects and not isolated:
            self.agree()
        if self._health_checks is not None:
            self._health_checks.set_view(live, self.agreed, isolated)

    def _record(self, seen: int) -> None:
        kind = EventKind.ISOLATED if self.isolated else EventKind.HEALED
        self._log.add(kind, {"member": self._members.own_name, "seen": seen, "agreed": len(self.agreed)})
