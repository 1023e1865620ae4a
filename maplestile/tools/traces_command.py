"""`maplestile traces`: summarize public cluster traces, or make function tables from them."""

import argparse
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

from maplestile.tools import trace_output, traces

DEFAULT_MEMORY_MB = 256.0


def add(commands: Any) -> None:
    """Add the command to argparse's sub-parsers."""
    command = commands.add_parser("traces", help="summarize public cluster traces in CSV")
    command.add_argument("file", type=Path, nargs="+")
    command.add_argument("--format", choices=("table", "json", "functions"), default="table")
    command.add_argument("--top", type=int, default=0, help="only so many functions, the busiest first")
    command.add_argument("--class", dest="class_name", default="default", help="class in the function table")
    command.add_argument(
        "--memory-mb", type=float, default=DEFAULT_MEMORY_MB, help="memory where the trace has none"
    )
    command.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Read the files and print their summary in the chosen format."""
    trace = read_traces(arguments.file)
    for line in _output_lines(trace, arguments):
        print(line)
    return 0


def _output_lines(trace: traces.Trace, arguments: argparse.Namespace) -> Iterator[str]:
    if arguments.format == "functions":
        return trace_output.format_function_tables(
            trace, arguments.class_name, arguments.memory_mb, arguments.top
        )
    summaries = trace_output.summarize(trace, arguments.top)
    if arguments.format == "table":
        return trace_output.format_table(summaries)
    return trace_output.format_json_lines(summaries)


def read_traces(paths: Sequence[Path], on_calls: traces.CallGroupHandler | None = None) -> traces.Trace:
    """Read the files of one trace; invalid rows are reported on standard error.

    Raises `TraceError` for a file that cannot be read or is in no known trace format.
    """
    trace = traces.Trace(on_calls=on_calls)
    for path in paths:
        try:
            with path.open(newline="", encoding="utf-8", errors="replace") as file:
                trace.read(file, str(path))
        except OSError as error:
            raise traces.TraceError(f"{path}: {error.strerror}") from None
    for error_text in trace.row_errors:
        print(f"maplestile: {error_text}", file=sys.stderr)
    return trace
