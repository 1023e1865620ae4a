"""The measured values of fleets and their summary, shared by the measurements."""

import statistics
from collections import defaultdict
from collections.abc import Sequence

from maplestile.tools.load.client import CallEnd
from maplestile.tools.load.report import LoadSummary
from tests.rollout_fleet import Calls

DIGITS = 4  # after the decimal point in a summary
LOAD_GENERATOR_START_S = 0.7  # time until the load generator makes its first call
HARMLESS_ENDS = (CallEnd.SERVED, CallEnd.REJECTED)  # of calls that were served, or rejected before they ran


def spread(values: Sequence[float]) -> dict[str, float]:
    """Return the minimum, median, maximum and number of the values."""
    summary = {"min": min(values), "median": statistics.median(values), "max": max(values)}
    return {key: round(value, DIGITS) for key, value in summary.items()} | {"runs": len(values)}


class Samples:
    """The measured values by their names, in the order of the rounds."""

    def __init__(self) -> None:
        self._values: defaultdict[str, list[float]] = defaultdict(list)

    def add(self, name: str, value: float) -> None:
        """Add a measured value."""
        self._values[name].append(value)

    def add_calls(self, name: str, calls: Calls) -> None:
        """Wait until the load generator ends, and add its results."""
        summary = LoadSummary(**calls.result())
        assert summary.served_share is not None and summary.latency_ms is not None
        lost_or_failed = (count for end, count in summary.ends.items() if end not in HARMLESS_ENDS)
        self.add(f"served share, {name}", summary.served_share)
        self.add(f"p99 ms, {name}", summary.latency_ms["p99"])
        self.add(f"lost or failed calls, {name}", sum(lost_or_failed))

    def summary(self) -> dict[str, dict[str, float]]:
        """Return the spread of the values under each name."""
        return {name: spread(values) for name, values in self._values.items()}
