"""The output of the trace reader: a summary, or a function table for the operator's file."""

import json
import math
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, fields

from maplestile.tools.traces import MS_PER_S, Trace

MAX_LANES = 16


@dataclass(slots=True, frozen=True)
class FunctionSummary:
    """The summary of one function; the field names are printed. None where the trace has no data."""

    app: str
    function: str
    calls: int
    rate_per_s: float | None
    mean_gap_s: float | None  # between the starts of two calls
    longest_gap_s: float | None
    mean_ms: float | None  # of a call's duration
    most_ms: float | None
    memory_mb: float | None


def summary(trace: Trace, top: int = 0) -> Iterator[FunctionSummary]:
    """Summarise each function, the busiest first; only so many where `top` is not 0."""
    for usage in trace.ranked(top):
        yield FunctionSummary(
            app=usage.app,
            function=usage.name,
            calls=int(usage.calls),
            rate_per_s=_rounded(usage.rate()),
            mean_gap_s=_rounded(usage.gap_s()),
            longest_gap_s=_rounded(usage.max_gap_s if usage.gaps else None),
            mean_ms=_rounded(usage.duration_ms()),
            most_ms=_rounded(usage.max_duration_ms if usage.durations else None),
            memory_mb=_rounded(trace.memory_mb(usage)),
        )


def _rounded(value: float | None) -> float | None:
    """Round to four significant digits."""
    return None if value is None else float(f"{value:.4g}")


def table(summaries: Iterable[FunctionSummary]) -> Iterator[str]:
    """The summaries as lines with tabs, under a line with the names of the columns."""
    for index, function in enumerate(summaries):
        if index == 0:
            yield "\t".join(column.name for column in fields(function))
        yield "\t".join("-" if value is None else str(value) for value in asdict(function).values())


def json_lines(summaries: Iterable[FunctionSummary]) -> Iterator[str]:
    """Each summary as a JSON object."""
    return (json.dumps(asdict(function)) for function in summaries)


def functions(trace: Trace, class_name: str, memory_mb: float, top: int = 0) -> Iterator[str]:
    """A function table for the operator's file; a function without known memory gets `memory_mb`."""
    for usage, name in trace.named(top):
        # By Little's law: as many lanes as calls that are in flight on average.
        in_flight = usage.rate() * (usage.duration_ms() or 0.0) / MS_PER_S
        lanes = min(MAX_LANES, max(1, math.ceil(in_flight)))
        memory = max(1.0, trace.memory_mb(usage) or memory_mb)
        yield f"[[function]]\nname = {json.dumps(name)}\nclass = {json.dumps(class_name)}"
        yield f"memory_mb = {memory:.1f}\nlanes = {lanes}\n"
