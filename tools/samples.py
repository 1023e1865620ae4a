"""What the measurements of fleets share: the collected values, and their summary."""

import statistics
from collections import defaultdict
from collections.abc import Sequence

from maplestile.tools.load.client import CallEnd
from maplestile.tools.load.report import LoadSummary
from tests.rollout_fleet import Calls

DIGITS = 4  # after the decimal point of a summary
LOAD_TOOL_START_S = 0.7  # until the load tool makes its first call
HARMLESS_ENDS = (CallEnd.SERVED, CallEnd.REJECTED)  # of calls: served, or refused without having run


def spread(values: Sequence[float]) -> dict[str, float]:
    """The least, median and greatest, and how many values there are."""
    summary = {"min": min(values), "median": statistics.median(values), "max": max(values)}
    return {key: round(value, DIGITS) for key, value in summary.items()} | {"runs": len(values)}


class Samples:
    """The measured values by what is measured, in the order of the rounds."""

    def __init__(self) -> None:
        self._values: defaultdict[str, list[float]] = defaultdict(list)

    def add(self, name: str, value: float) -> None:
        """Add a measured value."""
        self._values[name].append(value)

    def add_calls(self, name: str, calls: Calls) -> None:
        """Wait for the load tool to end, and add what it reports."""
        summary = LoadSummary(**calls.result())
        assert summary.served_share is not None and summary.latency_ms is not None
        lost = (count for end, count in summary.ends.items() if end not in HARMLESS_ENDS)
        self.add(f"served share, {name}", summary.served_share)
        self.add(f"p99 ms, {name}", summary.latency_ms["p99"])
        self.add(f"lost or failed calls, {name}", sum(lost))

    def summary(self) -> dict[str, dict[str, float]]:
        """The spread of each value."""
        return {name: spread(values) for name, values in self._values.items()}
