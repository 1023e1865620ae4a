"""What is measured in a run of policy changes: epochs, and when each router applied them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import quantiles

from maplestile.tools.faults.schedule import US_PER_MS, US_PER_S

PERCENTILE_PARTS = 100


@dataclass(slots=True, frozen=True)
class PolicyMetrics:
    """The metrics of one run; None where there is nothing to measure.

    Epochs count only where every router that was neither cut off nor down has applied them.
    """

    routers: int
    changes: int  # committed or aborted
    committed: int
    abort_rate: float | None  # share of the changes
    last_applied_p50_ms: float | None  # from a commit until the last router applied it
    last_applied_p99_ms: float | None
    old_calls_per_change: float | None  # under an older epoch than the committed one, in the mean
    old_share_of_a_second: float | None  # those calls as a share of all calls of a second
    stale_most: int  # routers that were stale at the same time
    behind_at_the_end: int  # routers neither cut off nor down that lack the last epoch


@dataclass(slots=True)
class PolicyMeasurements:
    """What has been measured in a run so far."""

    committed_us: dict[int, int] = field(default_factory=lambda: {0: 0})  # by epoch
    unreachable: dict[int, set[str]] = field(default_factory=dict)  # by epoch: cut off or down before it came
    applied_us: dict[tuple[str, int], int] = field(default_factory=dict)  # by router and epoch
    committed: int = 0
    aborted: int = 0
    stale_most: int = 0

    def record_commit(self, epoch: int, now_us: int, unreachable: set[str]) -> None:
        """Record when an epoch was committed, and which routers could not be reached then."""
        self.committed_us[epoch] = now_us
        self.unreachable[epoch] = unreachable

    def record_applied(self, name: str, epoch: int, now_us: int) -> None:
        """Record when a router applied an epoch, and with it the epochs before that it had missed."""
        for applied in range(1, epoch + 1):
            self.applied_us.setdefault((name, applied), now_us)

    def record_unreachable(self, names: Iterable[str], epoch: int) -> None:
        """Leave out routers that become unreachable before they have applied the last epoch."""
        waiting = (name for name in names if (name, epoch) not in self.applied_us)
        self.unreachable.setdefault(epoch, set()).update(waiting)

    def record_end(self, is_committed: bool) -> None:
        """Count a change that is decided."""
        if is_committed:
            self.committed += 1
        else:
            self.aborted += 1

    def record_stale(self, count: int) -> None:
        """Record the number of routers that are stale now."""
        self.stale_most = max(self.stale_most, count)

    def metrics(self, names: Sequence[str], rate: float, behind: int) -> PolicyMetrics:
        """The metrics of the run, given all routers' names, their calls a second, and how many are behind."""
        delays_us = self._delays_us(names)
        last_ms = [max(delays) / US_PER_MS for delays in delays_us]
        old_calls = [sum(delays) / US_PER_S * rate for delays in delays_us]
        mean_old_calls = sum(old_calls) / len(old_calls) if old_calls else None
        total = self.committed + self.aborted
        return PolicyMetrics(
            routers=len(names),
            changes=total,
            committed=self.committed,
            abort_rate=round(self.aborted / total, 4) if total else None,
            last_applied_p50_ms=_percentile(last_ms, 50),
            last_applied_p99_ms=_percentile(last_ms, 99),
            old_calls_per_change=None if mean_old_calls is None else round(mean_old_calls, 2),
            old_share_of_a_second=_share_of_a_second(mean_old_calls, rate, len(names)),
            stale_most=self.stale_most,
            behind_at_the_end=behind,
        )

    def _delays_us(self, names: Sequence[str]) -> list[list[int]]:
        """For each epoch that all reachable routers applied, each one's delay after the commit."""
        delays_us = []
        for epoch, committed_us in self.committed_us.items():
            unreachable = self.unreachable.get(epoch, set())
            reachable = [name for name in names if name not in unreachable]
            if epoch and all((name, epoch) in self.applied_us for name in reachable):
                delays_us.append([self.applied_us[name, epoch] - committed_us for name in reachable])
        return delays_us


def _share_of_a_second(old_calls: float | None, rate: float, routers: int) -> float | None:
    return round(old_calls / rate / routers, 4) if old_calls is not None and rate else None


def _percentile(values: Sequence[float], percent: int) -> float | None:
    if len(values) < 2:
        return None
    return round(quantiles(values, n=PERCENTILE_PARTS, method="inclusive")[percent - 1], 1)
