"""The model's metrics as JSON or CSV, and its time series as a plot (matplotlib, without a screen)."""

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

DIGITS = 6  # after the decimal point of a median

Metrics = dict[str, float | None]  # of one run, by name
Experiment = TypeVar("Experiment")


@dataclass(slots=True)
class TimeSeries:
    """The course of a run, with one value a period in each list."""

    at_s: list[float] = field(default_factory=list)  # simulated time
    view: list[float] = field(default_factory=list)  # mean view of the sampled members
    suspects: list[float] = field(default_factory=list)  # mean number that a sampled member suspects
    isolated: list[int] = field(default_factory=list)  # members that find themselves isolated


@dataclass(slots=True, frozen=True)
class MetricSpread:
    """One metric over several runs; the names of the fields are printed."""

    min: float
    median: float
    max: float
    runs: int  # that have the metric


Spread = dict[str, MetricSpread | None]  # by metric; None where no run has it


def as_json(metrics: Metrics) -> str:
    """The metrics of one run as JSON."""
    return json.dumps(metrics, indent=2, sort_keys=True)


def as_csv(metrics: Metrics) -> str:
    """The metrics of one run as CSV, one a line."""
    rows = ((name, "" if metrics[name] is None else metrics[name]) for name in sorted(metrics))
    return _csv(("figure", "value"), rows)


def spread_of_runs(run: Callable[[Experiment], Metrics], experiments: Sequence[Experiment]) -> Spread:
    """Run experiments, as many at a time as there are cores, and return the spread of their metrics.

    `run` is a function of a module: other processes import it by its name.
    """
    with ProcessPoolExecutor(min(len(experiments), os.cpu_count() or 1)) as pool:
        return spread(list(pool.map(run, experiments)))


def spread(runs: Sequence[Metrics]) -> Spread:
    """The spread of each metric over runs with different seeds."""
    return {
        name: _spread_of_values([value for metrics in runs if (value := metrics[name]) is not None])
        for name in sorted(runs[0])
    }


def _spread_of_values(values: Sequence[float]) -> MetricSpread | None:
    if not values:
        return None
    median = round(statistics.median(values), DIGITS)
    return MetricSpread(min(values), median, max(values), len(values))


def spread_json(spread: Spread) -> str:
    """The spread as JSON."""
    rows = {name: None if row is None else asdict(row) for name, row in spread.items()}
    return json.dumps(rows, indent=2)


def spread_csv(spread: Spread) -> str:
    """The spread as CSV, one metric a line."""
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
    """Draw the mean view of the sampled members with their suspects, and below it the isolated members."""
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
