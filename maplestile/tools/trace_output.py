"""The output of the trace reader: a summary, or a function table for the operator's file."""

import json
import math
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, fields

from maplestile.tools.traces import MS_PER_S, Trace

MAX_LANES = 16  # per function


@dataclass(slots=True, frozen=True)
class FunctionSummary:
    """The summary of one function; None means that the trace has no data.

    The field names are the column names of the table and the keys of the JSON objects.
    """

    app: str
    function: str
    calls: int
    rate_per_s: float | None
    mean_gap_s: float | None  # between the starts of consecutive calls
    longest_gap_s: float | None
    mean_ms: float | None  # mean duration of a call
    most_ms: float | None  # longest duration of a call
    memory_mb: float | None  # mean memory of the function's app


def summarize(trace: Trace, top: int = 0) -> Iterator[FunctionSummary]:
    """Summarize the `top` busiest functions, or all if `top` is 0; the busiest comes first."""
    for usage in trace.ranked(top):
        yield FunctionSummary(
            app=usage.app,
            function=usage.name,
            calls=int(usage.calls),
            rate_per_s=_round(usage.calls_per_second()),
            mean_gap_s=_round(usage.mean_gap_s()),
            longest_gap_s=_round(usage.max_gap_s if usage.gap_count else None),
            mean_ms=_round(usage.mean_duration_ms()),
            most_ms=_round(usage.max_duration_ms if usage.duration_count else None),
            memory_mb=_round(trace.memory_mb(usage)),
        )


def _round(value: float | None) -> float | None:
    """Round to four significant digits."""
    return None if value is None else float(f"{value:.4g}")


def format_table(summaries: Iterable[FunctionSummary]) -> Iterator[str]:
    """Yield a line of column names, then a line for each summary; the columns are separated by tabs."""
    for index, function in enumerate(summaries):
        if index == 0:
            yield "\t".join(column.name for column in fields(function))
        yield "\t".join("-" if value is None else str(value) for value in asdict(function).values())


def format_json_lines(summaries: Iterable[FunctionSummary]) -> Iterator[str]:
    """Return each summary as a JSON object on one line."""
    return (json.dumps(asdict(function)) for function in summaries)


def format_function_tables(trace: Trace, class_name: str, memory_mb: float, top: int = 0) -> Iterator[str]:
    """Yield the function tables of an operator's file; functions of unknown memory get `memory_mb`."""
    for usage, name in trace.named(top):
        # Little's law gives the mean number of calls in flight; each occupies one lane.
        in_flight = usage.calls_per_second() * (usage.mean_duration_ms() or 0.0) / MS_PER_S
        lanes = min(MAX_LANES, max(1, math.ceil(in_flight)))
        memory = max(1.0, trace.memory_mb(usage) or memory_mb)
        yield f"[[function]]\nname = {json.dumps(name)}\nclass = {json.dumps(class_name)}"
        yield f"memory_mb = {memory:.1f}\nlanes = {lanes}\n"
