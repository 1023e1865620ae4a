"""The model's figures as JSON or CSV, and its course as a plot (matplotlib, without a screen)."""

import csv
import io
import json
import os
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TypeVar

from maplestile.tools.model.run import Course


def as_json(figures: dict[str, float | None]) -> str:
    return json.dumps(figures, indent=2, sort_keys=True)


def as_csv(figures: dict[str, float | None]) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(("figure", "value"))
    for key in sorted(figures):
        writer.writerow((key, "" if figures[key] is None else figures[key]))
    return out.getvalue()


Experiment = TypeVar("Experiment")


def over(figures: Callable[[Experiment], dict[str, float | None]], runs: Sequence[Experiment]) -> "Spread":
    """The spread of the figures over some runs, as many at a time as there are cores."""
    with ProcessPoolExecutor(min(len(runs), os.cpu_count() or 1)) as pool:
        return spread(list(pool.map(figures, runs)))


Spread = dict[str, dict[str, float] | None]


def spread(runs: list[dict[str, float | None]]) -> Spread:
    """Each figure's least, median and greatest over runs of other seeds; None where it has none."""
    told: Spread = {}
    for key in sorted(runs[0]):
        values = [value for figures in runs if (value := figures[key]) is not None]
        told[key] = None
        if values:
            middle = round(statistics.median(values), 6)
            told[key] = {"min": min(values), "median": middle, "max": max(values), "runs": len(values)}
    return told


def spread_csv(told: Spread) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(("figure", "min", "median", "max", "runs"))
    for key, row in told.items():
        writer.writerow((key, *(row or dict.fromkeys(("min", "median", "max"), "") | {"runs": 0}).values()))
    return out.getvalue()


def plot(course: Course, title: str, path: Path) -> None:
    """Two panels over time: the mean view of the sampled members with their suspects, and those cut off."""
    import matplotlib

    matplotlib.use("Agg")  # no screen: the figure goes to a file
    from matplotlib import pyplot

    figure, (top, bottom) = pyplot.subplots(2, 1, sharex=True, figsize=(8, 5))
    top.plot(course.at_s, course.view, label="members in view (mean)")
    top.plot(course.at_s, course.suspects, label="suspected (mean)")
    top.set_ylabel("members")
    top.legend(loc="best")
    bottom.step(course.at_s, course.isolated, where="post", color="tab:red")
    bottom.set_ylabel("isolated")
    bottom.set_xlabel("seconds")
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={"Software": None})
    pyplot.close(figure)
