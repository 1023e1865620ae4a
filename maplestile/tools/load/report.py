"""The result of the load generator as JSON and as a plot."""

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
COLORS = {
    CallEnd.SERVED: "tab:green",
    CallEnd.REJECTED: "tab:orange",
    CallEnd.FAILED: "tab:red",
    CallEnd.LOST: "black",
    CallEnd.NO_TARGET: "grey",
}


@dataclass(slots=True, frozen=True)
class LoadSummary:
    """The result in the printed form; the field names are the keys of the JSON object."""

    calls: int
    ends: dict[str, int]  # calls by `CallEnd`
    seconds: float  # duration of the run
    served_share: float | None  # None without calls
    latency_ms: dict[str, float] | None  # of served calls, by percentile; None without served calls
    statuses: dict[str, int]  # answers by HTTP status
    served_by_target: dict[str, int]
    moved: int  # attempts whose call could not be sent, so that the next target was tried
    own_lag_ms: float  # the longest delay of the load generator itself in making a call that was due


def _latency_ms(result: Result, percentile: float) -> float:
    return float(result.latency.get_value_at_percentile(percentile)) / US_PER_MS


def summarize(result: Result) -> LoadSummary:
    """Summarize a run: how the calls ended, and the latency percentiles of the served calls."""
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
        served_by_target=dict(sorted(result.served_by_target.items())),
        moved=result.moved,
        own_lag_ms=round(result.max_lag_us / US_PER_MS, 3),
    )


def as_json(summary: LoadSummary) -> str:
    """Return the summary as a JSON object."""
    return json.dumps(asdict(summary), indent=2)


def plot(result: Result, title: str, path: Path) -> None:
    """Plot how the calls of each second ended, and the latencies of the served calls, into a file."""
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
    """Draw a stacked bar for each second, with the calls that were due in it by how they ended."""
    seconds = range(max(result.ends_by_second, default=0) + 1)
    below = [0] * len(seconds)
    for end, color in COLORS.items():
        counts = [result.ends_by_second.get(second, Counter())[end] for second in seconds]
        if any(counts):
            axes.bar(seconds, counts, bottom=below, label=end.value, color=color, width=1.0)
            below = [lower + count for lower, count in zip(below, counts, strict=True)]
    axes.set_xlabel("seconds")
    axes.set_ylabel("calls")
    axes.legend(loc="best")
