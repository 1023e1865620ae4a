"""The result of a load as JSON, and as a plot over time."""

import json
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from maplestile.tools.load.client import CallEnd, Result
from maplestile.tools.plots import load_pyplot

US_PER_MS = 1000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
PLOTTED_PERCENTILES = (0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 100.0)
COLOURS = {
    CallEnd.SERVED: "tab:green",
    CallEnd.REJECTED: "tab:orange",
    CallEnd.FAILED: "tab:red",
    CallEnd.LOST: "black",
    CallEnd.NO_TARGET: "grey",
}


@dataclass(slots=True, frozen=True)
class LoadSummary:
    """The result as it is printed; the names of the fields are the keys of the JSON object."""

    calls: int
    ends: dict[str, int]  # calls by their end
    seconds: float
    served_share: float | None  # None without calls
    latency_ms: dict[str, float] | None  # of served calls, by percentile; None without any
    statuses: dict[str, int]  # calls by the HTTP status of the answer
    served_by_target: dict[str, int]
    moved: int  # attempts at a target that took no connection
    own_lag_ms: float  # the most that a call was made after it was due


def _latency_ms(result: Result, percentile: float) -> float:
    return float(result.latency.get_value_at_percentile(percentile)) / US_PER_MS


def summarize(result: Result) -> LoadSummary:
    """Count calls by their end, and take the percentiles of the latencies of the served ones."""
    calls = result.ends.total()
    served = result.ends[CallEnd.SERVED]
    latency_ms = {f"p{percentile:g}": _latency_ms(result, percentile) for percentile in PERCENTILES}
    latency_ms["max"] = result.latency.get_max_value() / US_PER_MS
    return LoadSummary(
        calls=calls,
        ends=dict(sorted(result.ends.items())),
        seconds=round(result.seconds, 3),
        served_share=round(served / calls, 6) if calls else None,
        latency_ms=latency_ms if served else None,
        statuses={str(status): count for status, count in sorted(result.statuses.items())},
        served_by_target=dict(sorted(result.targets.items())),
        moved=result.moved,
        own_lag_ms=round(result.late_us / US_PER_MS, 3),
    )


def as_json(summary: LoadSummary) -> str:
    """The summary as a JSON object."""
    return json.dumps(asdict(summary), indent=2)


def plot(result: Result, title: str, path: Path) -> None:
    """Draw the ends of calls by the second in which they were due, and the latencies of the served ones."""
    pyplot = load_pyplot()
    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(8, 6))
    _plot_ends(top, result)
    latencies_ms = [_latency_ms(result, percentile) for percentile in PLOTTED_PERCENTILES]
    bottom.plot([str(percentile) for percentile in PLOTTED_PERCENTILES], latencies_ms, marker="o")
    bottom.set_xlabel("percentile of served calls")
    bottom.set_ylabel("milliseconds")
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={"Software": None})
    pyplot.close(figure)


def _plot_ends(axes: Any, result: Result) -> None:
    """Draw a stacked bar for each second."""
    seconds = range(max(result.ends_by_second, default=0) + 1)
    below = [0] * len(seconds)
    for end, colour in COLOURS.items():
        counts = [result.ends_by_second.get(second, Counter())[end] for second in seconds]
        if any(counts):
            axes.bar(seconds, counts, bottom=below, label=end.value, color=colour, width=1.0)
            below = [lower + count for lower, count in zip(below, counts, strict=True)]
    axes.set_xlabel("seconds")
    axes.set_ylabel("calls")
    axes.legend(loc="best")
