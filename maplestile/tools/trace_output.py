"""What is made of a trace: a summary, and a function table for the operator's file."""

import json
import math
from collections.abc import Iterable, Iterator

from maplestile.tools.traces import MS_PER_S, Trace

MAX_LANES = 16


def summary(trace: Trace, top: int = 0) -> Iterator[dict[str, object]]:
    """One record for each function, the busiest first."""
    for usage in trace.ranked(top):
        yield {
            "app": usage.app,
            "function": usage.name,
            "calls": int(usage.calls),
            "rate_per_s": _rounded(usage.rate()),
            "mean_gap_s": _rounded(usage.gap_s()),
            "longest_gap_s": _rounded(usage.gap_most_s if usage.gaps else None),
            "mean_ms": _rounded(usage.duration_ms()),
            "most_ms": _rounded(usage.duration_most_ms if usage.durations else None),
            "memory_mb": _rounded(trace.memory_mb(usage)),
        }


def _rounded(value: float | None) -> float | None:
    """To four significant digits."""
    return None if value is None else float(f"{value:.4g}")


def table(rows: Iterable[dict[str, object]]) -> Iterator[str]:
    """The records as lines with tabs, under a line with the names of the columns."""
    for index, row in enumerate(rows):
        if index == 0:
            yield "\t".join(row)
        yield "\t".join("-" if value is None else str(value) for value in row.values())


def functions(trace: Trace, class_name: str, memory_mb: float, top: int = 0) -> Iterator[str]:
    """A function table for the operator's file; a row that lacks its memory gets the one given."""
    for usage, name in trace.named(top):
        # By Little's law: as many lanes as calls are in flight on the mean.
        in_flight = usage.rate() * (usage.duration_ms() or 0.0) / MS_PER_S
        lanes = min(MAX_LANES, max(1, math.ceil(in_flight)))
        memory = max(1.0, trace.memory_mb(usage) or memory_mb)
        yield f"[[function]]\nname = {json.dumps(name)}\nclass = {json.dumps(class_name)}"
        yield f"memory_mb = {memory:.1f}\nlanes = {lanes}\n"
