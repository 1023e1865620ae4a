"""Decides when a change of the policy is committed or aborted. Does no I/O.

The leading agent passes in the replicated state with its own monotonic time in microseconds, and submits the
returned command to the log, where `transitions` checks it again. A newly elected leader starts with an empty
`PolicyPlanner`: verdicts and reads are in the replicated state, and the timeouts start again.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from maplestile.control.commands import AbortPolicy, CommitPolicy
from maplestile.control.policy.agreed import AgreedPolicies

US_PER_S = 1e6
CHECK_US = 6_000_000  # a change is aborted if a verdict is missing after this time
# A router that no read has named for this long, in which its agent makes six reads, is down or cut off.
ABSENT_US = 3_000_000


@dataclass(slots=True)
class PolicyPlanner:
    """Decides for one leader on the change that is being checked."""

    check_us: int = CHECK_US
    absent_us: int = ABSENT_US
    change: int = 0  # the number of the last change that this leader saw; 0 for none
    since_us: int = 0  # when this leader first saw that change

    def next_command(
        self, agreed: AgreedPolicies, instances: Iterable[str], now_us: int
    ) -> CommitPolicy | AbortPolicy | None:
        """Return the next command for the log, or None.

        The caller waits for the reply before it asks for another command.
        """
        change = agreed.change_being_checked()
        if change is None:
            return None
        if change.number != self.change:
            self.change = change.number
            self.since_us = now_us
        waited_us = now_us - self.since_us
        unchecked = [name for name in sorted(instances) if change.verdicts.get(name) != ""]
        absent = [name for name in unchecked if not agreed.was_named_since_proposal(name)]
        present = [name for name in unchecked if agreed.was_named_since_proposal(name)]
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
