"""Straight lines through measured sizes, with the spread of their slope."""

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
        """The line's value at a size."""
        return self.intercept + self.slope * x


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line by least squares. Raises ValueError for fewer than two distinct sizes."""
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    spread = sum((x - mean_x) ** 2 for x in xs)
    if count < 2 or spread == 0:
        raise ValueError("a line needs two sizes")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    error = math.sqrt(residual / (count - 2) / spread) if count > 2 else 0.0
    return Line(intercept, slope, error)


@dataclass
class Series:
    """One measured quantity at several sizes."""

    name: str
    size: str  # what is varied
    unit: str
    points: list[tuple[float, float]] = field(default_factory=list)

    def add(self, x: float, y: float) -> None:
        """Add what was measured at a size."""
        self.points.append((x, y))

    def line(self) -> Line:
        """The line through the points."""
        return fit([x for x, _ in self.points], [y for _, y in self.points])

    def rows(self) -> list[str]:
        """The lines of a Markdown table."""
        line = self.line()
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in self.points)
        # Rounded first, so that a zero is not printed as some 1e-15.
        start, slope, error = (round(value, 9) for value in (line.intercept, line.slope, line.slope_error))
        measured = f"| {self.name} ({self.unit}) | {self.size} | {points} |"
        return [f"{measured} {start:.3g} | {slope:.3g} ± {error:.1g} |"]

    def json(self) -> dict[str, Any]:
        """The points and the line as a JSON object."""
        return {**asdict(self), "line": asdict(self.line())}

    def plot(self, folder: Path) -> Path:
        """Draw the points and the line; the file that has the plot."""
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
