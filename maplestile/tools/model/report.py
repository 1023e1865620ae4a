"""The model's metrics as JSON or CSV, and its time series as a plot (matplotlib, without a screen)."""

import csv
import io
import json
import os
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from maplestile.tools.model.membership_metrics import Figures, TimeSeries

Spread = dict[str, dict[str, float] | None]
Experiment = TypeVar("Experiment")


def as_json(figures: Figures) -> str:
    """The metrics of one run as JSON."""
    return json.dumps(figures, indent=2, sort_keys=True)


def as_csv(figures: Figures) -> str:
    """The metrics of one run as CSV, one a line."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(("figure", "value"))
    for key in sorted(figures):
        writer.writerow((key, "" if figures[key] is None else figures[key]))
    return out.getvalue()


def over(figures: Callable[[Experiment], Figures], runs: Sequence[Experiment]) -> Spread:
    """The spread of the metrics over some runs, as many at a time as there are cores."""
    with ProcessPoolExecutor(min(len(runs), os.cpu_count() or 1)) as pool:
        return spread(list(pool.map(figures, runs)))


def spread(runs: list[Figures]) -> Spread:
    """Each metric's least, median and greatest over runs of other seeds; None where it has none."""
    found: Spread = {}
    for key in sorted(runs[0]):
        values = [value for figures in runs if (value := figures[key]) is not None]
        found[key] = None
        if values:
            middle = round(statistics.median(values), 6)
            found[key] = {"min": min(values), "median": middle, "max": max(values), "runs": len(values)}
    return found


def spread_csv(spread: Spread) -> str:
    """The spread as CSV, one metric a line."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(("figure", "min", "median", "max", "runs"))
    for key, row in spread.items():
        values = ("", "", "", 0) if row is None else tuple(row.values())
        writer.writerow((key, *values))
    return out.getvalue()


def plot(series: TimeSeries, title: str, path: Path) -> None:
    """Draw the mean view of the sampled members with their suspects, and below it the isolated members."""
    import matplotlib  # here, since it takes long to import and most runs draw nothing

    matplotlib.use("Agg")  # no screen: the figure goes to a file
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 5))
    _plot_views(top, series)
    bottom.step(series.at_s, series.isolated, where="post", color="tab:red")
    bottom.set_ylabel("isolated")
    bottom.set_xlabel("seconds")
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={"Software": None})
    pyplot.close(figure)


def _plot_views(axes: Any, series: TimeSeries) -> None:
    axes.plot(series.at_s, series.view, label="members in view (mean)")
    axes.plot(series.at_s, series.suspects, label="suspected (mean)")
    axes.set_ylabel("members")
    axes.legend(loc="best")
