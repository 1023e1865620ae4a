"""The measurements and metrics of the policy model: epochs, and when each router applied them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from statistics import quantiles

from maplestile.tools.faults.schedule import US_PER_MS, US_PER_S

PERCENTILE_PARTS = 100


@dataclass(slots=True, frozen=True)
class PolicyMetrics:
    """The metrics of one run; None if there was nothing to measure.

    Delays and old calls cover only epochs that every router that was neither cut off nor down applied.
    """

    routers: int  # number of routers
    changes: int  # number of changes committed or aborted
    committed: int  # number of changes committed
    abort_rate: float | None  # share of the changes that were aborted
    last_applied_p50_ms: float | None  # from the commit of an epoch until the last router applied it
    last_applied_p99_ms: float | None
    old_calls_per_change: float | None  # mean number of calls under an epoch older than the committed one
    old_share_of_a_second: float | None  # those calls as a share of all calls made in one second
    stale_most: int  # maximum number of routers that were stale at the same time
    behind_at_the_end: int  # number of routers that lack the last epoch and are neither cut off nor down


@dataclass(slots=True)
class PolicyMeasurements:
    """The measurements of a run so far."""

    committed_us: dict[int, int] = field(default_factory=lambda: {0: 0})  # time of the commit, by epoch
    # Routers that were cut off or down before they applied an epoch, by epoch.
    unreachable: dict[int, set[str]] = field(default_factory=dict)
    # When a router applied an epoch, by (router, epoch).
    applied_us: dict[tuple[str, int], int] = field(default_factory=dict)
    committed: int = 0  # number of changes
    aborted: int = 0  # number of changes
    stale_most: int = 0  # maximum number of routers that were stale at the same time

    def record_commit(self, epoch: int, now_us: int, unreachable: set[str]) -> None:
        """Record when an epoch was committed, and which routers could not be reached then."""
        self.committed_us[epoch] = now_us
        self.unreachable[epoch] = unreachable

    def record_applied(self, name: str, epoch: int, now_us: int) -> None:
        """Record when a router applied an epoch, and with it any earlier epochs that it had missed."""
        for applied in range(1, epoch + 1):
            self.applied_us.setdefault((name, applied), now_us)

    def record_unreachable(self, names: Iterable[str], epoch: int) -> None:
        """Exclude routers that become unreachable before they have applied the latest epoch."""
        lagging = (name for name in names if (name, epoch) not in self.applied_us)
        self.unreachable.setdefault(epoch, set()).update(lagging)

    def record_decision(self, is_committed: bool) -> None:
        """Count a change that has been committed or aborted."""
        if is_committed:
            self.committed += 1
        else:
            self.aborted += 1

    def record_stale(self, count: int) -> None:
        """Record the number of routers that are stale now."""
        self.stale_most = max(self.stale_most, count)

    def metrics(self, names: Sequence[str], rate: float, behind: int) -> PolicyMetrics:
        """Compute the metrics from the routers' names, each one's calls per second, and the number behind."""
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
        """Return the routers' delays after the commit, for each epoch that all reachable routers applied."""
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
