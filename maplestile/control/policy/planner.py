"""When a change of policy may be committed, and when it is given up. Free of I/O.

The leader's driver hands in the agreed state with its own monotonic time in microseconds, and submits what
comes back to the log, where `agreed.AgreedPolicies` judges it once more. A leader that has just been elected
starts with an empty `PolicyPlanner`: verdicts and reads are in the log, its patience begins anew."""

from collections.abc import Iterable
from dataclasses import dataclass

from maplestile.control.commands import AbortPolicy, CommitPolicy, EncodedCommand, encode
from maplestile.control.policy.agreed import AgreedPolicies

CHECK_US = 6_000_000  # for a router's verdict; then the change is aborted
ABSENT_US = 3_000_000  # of six reads none named it: it is down or cut off


@dataclass(slots=True)
class PolicyPlanner:
    check_us: int = CHECK_US
    absent_us: int = ABSENT_US
    change: int = 0
    since_us: int = 0  # when this leader first saw the change

    def decide(self, agreed: AgreedPolicies, instances: Iterable[str], now_us: int) -> EncodedCommand | None:
        """The wire form of `next_command`."""
        command = self.next_command(agreed, instances, now_us)
        return None if command is None else encode(command)

    def next_command(
        self, agreed: AgreedPolicies, instances: Iterable[str], now_us: int
    ) -> CommitPolicy | AbortPolicy | None:
        """At most one command: the log answers it before the next is decided on."""
        change = agreed.checking()
        if change is None:
            return None
        if change.number != self.change:
            self.change, self.since_us = change.number, now_us
        waited_us = now_us - self.since_us
        unchecked = [name for name in sorted(instances) if change.verdicts.get(name) != ""]
        silent = [name for name in unchecked if not agreed.serves(name)]
        if change.verdicts and silent == unchecked and (not silent or waited_us >= self.absent_us):
            return CommitPolicy(change=change.number, absent=tuple(silent))
        if waited_us < self.check_us:
            return None
        missing = [name for name in unchecked if name not in silent]
        reason = f"no verdict within {self.check_us / 1e6:g} s of {', '.join(missing)}"
        if not missing:
            reason = "no router is there to check it"
        return AbortPolicy(change=change.number, reason=reason)
