"""Formats the model's metrics as JSON or CSV, and plots its time series with matplotlib without a display."""

import csv
import io
import json
import os
import statistics
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, astuple, dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from maplestile.tools.plots import load_pyplot

MEDIAN_DIGITS = 6  # after the decimal point

Metrics = dict[str, float | None]  # metrics of one run, by name; None if there was nothing to measure
Experiment = TypeVar("Experiment")


@dataclass(slots=True)
class TimeSeries:
    """The time series of a run; each list has one value per protocol period."""

    at_s: list[float] = field(default_factory=list)  # simulated time
    # Mean numbers of members that a sampled member considers live, and that it suspects.
    view: list[float] = field(default_factory=list)
    suspects: list[float] = field(default_factory=list)
    isolated: list[int] = field(default_factory=list)  # number of isolated members


@dataclass(slots=True, frozen=True)
class MetricSpread:
    """The spread of one metric over several runs; the field names are printed."""

    min: float
    median: float
    max: float
    runs: int  # number of runs that have the metric


Spread = dict[str, MetricSpread | None]  # by metric name; None if no run has the metric


def as_json(metrics: Metrics) -> str:
    """Format the metrics of one run as JSON."""
    return json.dumps(metrics, indent=2, sort_keys=True)


def as_csv(metrics: Metrics) -> str:
    """Format the metrics of one run as CSV, one metric per line."""
    rows = ((name, "" if metrics[name] is None else metrics[name]) for name in sorted(metrics))
    return _csv(("figure", "value"), rows)


def spread_of_runs(run: Callable[[Experiment], Metrics], experiments: Sequence[Experiment]) -> Spread:
    """Run experiments, at most one per CPU core at a time, and return the spread of their metrics.

    `run` must be a module-level function, since worker processes import it by name.
    """
    with ProcessPoolExecutor(min(len(experiments), os.cpu_count() or 1)) as pool:
        return spread(list(pool.map(run, experiments)))


def spread(runs: Sequence[Metrics]) -> Spread:
    """Return the spread of each metric over several runs."""
    return {
        name: _spread_of_values([value for metrics in runs if (value := metrics[name]) is not None])
        for name in sorted(runs[0])
    }


def _spread_of_values(values: Sequence[float]) -> MetricSpread | None:
    if not values:
        return None
    median = round(statistics.median(values), MEDIAN_DIGITS)
    return MetricSpread(min(values), median, max(values), len(values))


def spread_json(spread: Spread) -> str:
    """Format the spread as JSON."""
    rows = {name: None if row is None else asdict(row) for name, row in spread.items()}
    return json.dumps(rows, indent=2)


def spread_csv(spread: Spread) -> str:
    """Format the spread as CSV, one metric per line."""
    empty = ("", "", "", 0)
    rows = ((name, *(empty if row is None else astuple(row))) for name, row in spread.items())
    return _csv(("figure", "min", "median", "max", "runs"), rows)


def _csv(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(head)
    writer.writerows(rows)
    return out.getvalue()


def plot(series: TimeSeries, title: str, path: Path) -> None:
    """Plot the mean numbers of live and suspected members, and below them the number of isolated members."""
    pyplot = load_pyplot()
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
