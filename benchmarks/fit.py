"""Straight lines fitted to measurements at several sizes, with the standard error of the slope."""

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from maplestile.tools.plots import load_pyplot


@dataclass(frozen=True)
class Line:
    """A least-squares fit `y = intercept + slope * x`, and its slope's standard error (0 with two points)."""

    intercept: float
    slope: float
    slope_error: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line by least squares. Raises ValueError for fewer than two distinct sizes."""
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    squares_x = sum((x - mean_x) ** 2 for x in xs)
    if count < 2 or squares_x == 0:
        raise ValueError("a line needs at least two sizes that differ")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / squares_x
    intercept = mean_y - slope * mean_x
    residual_squares = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    slope_error = math.sqrt(residual_squares / (count - 2) / squares_x) if count > 2 else 0.0
    return Line(intercept, slope, slope_error)


@dataclass
class Series:
    """One measured quantity at several sizes."""

    name: str
    size: str  # name of what is varied
    unit: str
    points: list[tuple[float, float]] = field(default_factory=list)  # size and measured value

    def add(self, x: float, y: float) -> None:
        """Add the value `y` that was measured at the size `x`."""
        self.points.append((x, y))

    def line(self) -> Line:
        """Return the line fitted to the points."""
        return fit([x for x, _ in self.points], [y for _, y in self.points])

    def rows(self) -> list[str]:
        """Return the rows of the series in a Markdown table."""
        line = self.line()
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        # Rounded first, so that a rounding error such as 1e-15 is printed as 0.
        intercept, slope, slope_error = (
            round(value, 9) for value in (line.intercept, line.slope, line.slope_error)
        )
        measured = f"| {self.name} ({self.unit}) | {self.size} | {points} |"
        return [f"{measured} {intercept:.3g} | {slope:.3g} ± {slope_error:.1g} |"]

    def json(self) -> dict[str, Any]:
        """Return the points and the fitted line as a JSON object."""
        return {**asdict(self), "line": asdict(self.line())}

    def plot(self, folder: Path) -> Path:
        """Plot the points and the fitted line, and return the file of the plot."""
        pyplot = load_pyplot()
        line = self.line()
        xs = [x for x, _ in self.points]
        figure, axes = pyplot.subplots(figsize=(5, 3.2))
        axes.plot(xs, [y for _, y in self.points], "o", label="measured")
        axes.plot(xs, [line.at(x) for x in xs], "-", label=f"{line.intercept:.3g} + {line.slope:.3g} x")
        axes.set_xlabel(self.size)
        axes.set_ylabel(f"{self.name}, {self.unit}")
        axes.legend()
        figure.tight_layout()
        file = folder / f"{self.name.replace(' ', '-').replace('/', '-')}.png"
        figure.savefig(file, dpi=100)
        pyplot.close(figure)
        return file


TABLE_HEAD = "| figure | size | measured | at 0 | slope |\n| --- | --- | --- | --- | --- |"
