"""What a load came to, as JSON, and its course as a plot."""

from collections import Counter
from pathlib import Path
from typing import Any

from maplestile.tools.load.client import FAILED, LOST, NOWHERE, REFUSED, SERVED, Result

SHARES = (50.0, 90.0, 99.0, 99.9)
COLOURS = {SERVED: "tab:green", REFUSED: "tab:orange", FAILED: "tab:red", LOST: "black", NOWHERE: "grey"}


def told(result: Result) -> dict[str, Any]:
    """Counts of calls by their end, the share served, and latencies in milliseconds of the served ones."""
    calls, served = sum(result.ends.values()), result.ends[SERVED]
    latency = {f"p{share:g}": result.latency.get_value_at_percentile(share) / 1000 for share in SHARES}
    return {
        "calls": calls,
        "ends": dict(sorted(result.ends.items())),
        "seconds": round(result.seconds, 3),
        "served_share": round(served / calls, 6) if calls else None,
        "latency_ms": latency | {"max": result.latency.get_max_value() / 1000} if served else None,
        "statuses": {str(status): count for status, count in sorted(result.statuses.items())},
        "served_by_target": dict(sorted(result.targets.items())),
        "moved": result.moved,
        "own_lag_ms": round(result.late_us / 1000, 3),
    }


def plot(result: Result, title: str, path: Path) -> None:
    """Ends of calls by the second in which they were due, and the latencies of the served ones."""
    import matplotlib

    matplotlib.use("Agg")  # no screen: the figure goes to a file
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(8, 6))
    seconds = range(max(result.course, default=0) + 1)
    below = [0] * len(seconds)
    for end, colour in COLOURS.items():
        counts = [result.course.get(second, Counter())[end] for second in seconds]
        if any(counts):
            top.bar(seconds, counts, bottom=below, label=end, color=colour, width=1.0)
            below = [one + other for one, other in zip(below, counts, strict=True)]
    top.set_xlabel("seconds")
    top.set_ylabel("calls")
    top.legend(loc="best")
    shares = [0.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 100.0]
    values = [result.latency.get_value_at_percentile(share) / 1000 for share in shares]
    bottom.plot([str(share) for share in shares], values, marker="o")
    bottom.set_xlabel("percentile of served calls")
    bottom.set_ylabel("milliseconds")
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={"Software": None})
    pyplot.close(figure)
