"""When a change of policy may be committed, and when it is given up. Free of I/O.

The leader's driver passes in the agreed state with its own monotonic time in microseconds, and submits the
command that is returned to the log, where `transitions` checks it once more. A newly elected leader starts
with an empty `PolicyPlanner`: verdicts and reads are in the log, and its timeouts start from zero.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from maplestile.control.commands import AbortPolicy, CommitPolicy
from maplestile.control.policy.agreed import AgreedPolicies

US_PER_S = 1e6
CHECK_US = 6_000_000  # a router that gives no verdict within this time has the change aborted
ABSENT_US = 3_000_000  # one that none of the six reads within this time has named is down or cut off


@dataclass(slots=True)
class PolicyPlanner:
    """The leader's own memory of the change that is being checked, and its decisions."""

    check_us: int = CHECK_US
    absent_us: int = ABSENT_US
    change: int = 0
    since_us: int = 0  # when this leader first saw the change

    def next_command(
        self, agreed: AgreedPolicies, instances: Iterable[str], now_us: int
    ) -> CommitPolicy | AbortPolicy | None:
        """At most one command: the log answers it before the next is decided on."""
        change = agreed.checking()
        if change is None:
            return None
        if change.number != self.change:
            self.change = change.number
            self.since_us = now_us
        waited_us = now_us - self.since_us
        unchecked = [name for name in sorted(instances) if change.verdicts.get(name) != ""]
        absent = [name for name in unchecked if not agreed.serves(name)]
        present = [name for name in unchecked if agreed.serves(name)]
        absence_is_certain = not absent or waited_us >= self.absent_us
        if change.verdicts and not present and absence_is_certain:
            return CommitPolicy(change=change.number, absent=tuple(absent))
        if waited_us < self.check_us:
            return None
        return AbortPolicy(change=change.number, reason=self._abort_reason(present))

    def _abort_reason(self, missing: list[str]) -> str:
        if not missing:
            return "no router is there to check it"
        return f"no verdict within {self.check_us / US_PER_S:g} s of {', '.join(missing)}"
