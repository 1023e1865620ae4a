"""Counts of calls and attempts, by the policy epoch that they were decided under."""

from collections import Counter

MAX_EPOCHS = 8  # newest epochs whose counts are kept


class EpochCounts:
    """The counters `calls` and `attempts` of each of the newest epochs."""

    __slots__ = ("by_epoch", "current", "epoch")

    def __init__(self, epoch: int) -> None:
        self.by_epoch: dict[int, Counter[str]] = {}
        self.epoch: int  # in force; `current` holds its counts
        self.current: Counter[str]
        self.start_epoch(epoch)

    def start_epoch(self, epoch: int) -> None:
        """Count calls from now on under this epoch; the counts of all but the newest epochs are dropped."""
        self.epoch = epoch
        self.current = self.by_epoch.setdefault(epoch, Counter())
        for old in sorted(self.by_epoch)[:-MAX_EPOCHS]:
            del self.by_epoch[old]

    def count_attempt(self, epoch: int) -> None:
        """Count an attempt, unless the counts of its epoch have been dropped."""
        if epoch in self.by_epoch:
            self.by_epoch[epoch]["attempts"] += 1
